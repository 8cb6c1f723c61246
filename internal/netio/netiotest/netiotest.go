// Package netiotest has the peers and connections that tests of network code need.
package netiotest

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	connTimeout   = 20 * time.Second // of a test's side of a connection
	eventualLimit = 20 * time.Second
	pollInterval  = 5 * time.Millisecond
)

// Serve starts a server that gives each connection to serve, on a goroutine of its own, and closes it behind that. It
// returns its address. The server accepts until the test ends.
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

// RefusedAddr returns an address at which nothing listens.
func RefusedAddr(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// Connect returns both sides of a connection that a listener accepted, and closes the listener. Both sides are closed
// as the test ends.
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

// Eventually waits until a condition holds, and fails the test if it does not in time.
func Eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for start := time.Now(); !condition(); time.Sleep(pollInterval) {
		if time.Since(start) > eventualLimit {
			t.Fatalf("never: %s", what)
		}
	}
}

// UnreadBytes returns how many bytes a connection has received that were not read.
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
