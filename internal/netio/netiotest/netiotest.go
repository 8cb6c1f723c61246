// Package netiotest provides servers and connections for tests of network code.
package netiotest

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	connTimeout   = 20 * time.Second // deadline of the client's side of a connection
	eventualLimit = 20 * time.Second
	pollInterval  = 5 * time.Millisecond
)

// Serve starts a server that accepts connections until the test ends, and returns its address. It calls serve for each
// connection on a new goroutine, and closes the connection when serve returns.
func Serve(t *testing.T, serve func(*net.TCPConn)) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c.(*net.TCPConn))
			}()
		}
	}()
	return listener.Addr().String()
}

// RefusedAddr returns an address at which connections are refused, because nothing listens there.
func RefusedAddr(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// Connect dials a listener, returns both sides of the connection and closes the listener. Both sides are closed when
// the test ends.
func Connect(t *testing.T, listener *net.TCPListener) (client, server *net.TCPConn) {
	t.Helper()
	defer listener.Close()
	c, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if server, err = listener.AcceptTCP(); err != nil {
		t.Fatal(err)
	}
	client = c.(*net.TCPConn)
	t.Cleanup(func() { _, _ = client.Close(), server.Close() })
	_ = client.SetDeadline(time.Now().Add(connTimeout))
	return client, server
}

// Eventually waits until a condition holds, and fails the test if it does not hold within eventualLimit. what describes
// the condition.
func Eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for start := time.Now(); !condition(); time.Sleep(pollInterval) {
		if time.Since(start) > eventualLimit {
			t.Fatalf("condition not met in time: %s", what)
		}
	}
}

// UnreadBytes returns how many received bytes of a connection are unread.
func UnreadBytes(t *testing.T, c *net.TCPConn) (n int) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	_ = raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	if err != nil {
		t.Fatal(err)
	}
	return n
}
