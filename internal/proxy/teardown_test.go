package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"onyxstream/internal/netio/netiotest"
	"onyxstream/internal/wire"
)

// closeWait is the kernel's TCP_CLOSE_WAIT: the remote side has sent FIN.
const closeWait = 8

func tcpState(t *testing.T, c *net.TCPConn) uint8 {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var info *unix.TCPInfo
	_ = raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil {
		t.Fatal(err)
	}
	return info.State
}

// Closing a socket with unread bytes would send a reset, and the client could lose the line that was written before.
func TestCloseWithLine_UnreadBytes_NoReset(t *testing.T) {
	client, server := connect(t)
	_, _ = io.WriteString(client, strings.Repeat("x", 20000))
	netiotest.Eventually(t, "bytes are unread", func() bool { return netiotest.UnreadBytes(t, server) > 0 })
	closeWithLine(server, "BUSY\r\n")
	if state := tcpState(t, client); state != closeWait { // a reset would have closed the client's side
		t.Errorf("client's side: TCP state %d, want CLOSE_WAIT", state)
	}
	if all, err := io.ReadAll(client); string(all) != "BUSY\r\n" || err != nil {
		t.Errorf("client read %q, error %v; want the line", all, err)
	}
}

// An established connection is migrated by the node and reset by its host, in either order. The client must see only
// the first event, and the host's side must be closed. The test holds the second event back until the first has
// happened.
func TestMigrate_HostResets_FirstEventWins(t *testing.T) {
	for _, migratedFirst := range []bool{true, false} {
		t.Run(fmt.Sprintf("migrated first %v", migratedFirst), func(t *testing.T) {
			hostResets := make(chan struct{})
			addr := netiotest.Serve(t, func(c *net.TCPConn) {
				_, _ = bufio.NewReader(c).ReadString('\n')
				_, _ = io.WriteString(c, establishedLine)
				<-hostResets
				_ = c.SetLinger(0)
			})
			r := startNode(t, zap.NewNop(), true, addr)
			_, in := r.open(t, openRequest)
			if line, err := in.ReadString('\n'); line != establishedLine || err != nil {
				t.Fatalf("client read %q, error %v; want an established connection", line, err)
			}
			clientConn := r.onlyConn(t)
			netiotest.Eventually(t, "the connection is established", func() bool { return r.node.EstablishedConnections() == 1 })
			if migratedFirst {
				clientConn.Migrate()
				close(hostResets)
			} else {
				clientConn.mu.Lock() // Migrate waits for the mutex while the connection ends
				done := make(chan struct{})
				go func() {
					clientConn.Migrate()
					close(done)
				}()
				close(hostResets)
				netiotest.Eventually(t, "the connection has ended", func() bool { return r.node.EstablishedConnections() == 0 })
				clientConn.mu.Unlock()
				<-done
			}
			all, err := io.ReadAll(in)
			if migratedFirst && (string(all) != wire.Migration || err != nil) || !migratedFirst && (len(all) > 0 || err == nil) {
				t.Errorf("client read %q, error %v; want the first event only", all, err)
			}
			r.awaitNoClients(t)
		})
	}
}

// TCP_NODELAY must be set on every socket: a reset would discard small writes that the kernel still delays.
func TestSockets_EachSide_NoDelaySet(t *testing.T) {
	client, accepted := connect(t)
	f, err := accepted.File()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	adopted, err := net.FileConn(f) // as in a process that adopts the connection
	if err != nil {
		t.Fatal(err)
	}
	defer adopted.Close()
	for name, c := range map[string]*net.TCPConn{"dialed": client, "accepted": accepted, "adopted": adopted.(*net.TCPConn)} {
		raw, err := c.SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		noDelay := 0
		_ = raw.Control(func(fd uintptr) { noDelay, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NODELAY) })
		if err != nil || noDelay == 0 {
			t.Errorf("%s socket: TCP_NODELAY %d, error %v; want 1", name, noDelay, err)
		}
	}
}

// A client that is migrated in the middle of a long line of its host must get the rest of the line, and then MOVE: a
// reset without MOVE loses the connection. A host that does not complete its line must not delay the end for long.
func TestMigrate_MidLine_MoveAfterLineEnd(t *testing.T) {
	for _, c := range []struct{ name, rest, want string }{
		{"line completed", "end\r\nnext", "end\r\n" + wire.Migration},
		{"line not completed", "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			texts := make(chan string, 1)
			defer close(texts)
			r := startNode(t, zap.NewNop(), true, echoHost(t, texts))
			_, in := r.open(t, openRequest)
			expectLine(t, in, establishedLine)
			expectLine(t, in, "LOAD 3\r\n")
			texts <- strings.Repeat("x", wire.BufferSize)
			if _, err := io.ReadFull(in, make([]byte, wire.BufferSize)); err != nil {
				t.Fatal(err)
			}
			r.node.MigrateAll(time.Now())
			netiotest.Eventually(t, "the client is being migrated", r.onlyConn(t).migrating.Load)
			texts <- c.rest
			all, err := io.ReadAll(in)
			if string(all) != c.want || (err != nil) != (c.want == "") {
				t.Errorf("client read %q, error %v; want %q", all, err, c.want)
			}
		})
	}
}
