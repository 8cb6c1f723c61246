package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"onyxstream/internal/netio/netiotest"
	"onyxstream/internal/wire"
)

// closeWait is TCP_CLOSE_WAIT: the peer has closed its side by FIN.
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

// A close over unread bytes would send a reset, which may overtake the message.
func TestCloseWithMessage_UnreadBytes_NoReset(t *testing.T) {
	client, server := connect(t)
	_, _ = io.WriteString(client, strings.Repeat("x", 20000))
	netiotest.Eventually(t, "bytes lie unread", func() bool { return netiotest.UnreadBytes(t, server) > 0 })
	closeWithLine(server, "BUSY\r\n")
	if state := tcpState(t, client); state != closeWait { // a reset would have closed it
		t.Errorf("the client's side is in state %d", state)
	}
	if all, err := io.ReadAll(client); string(all) != "BUSY\r\n" || err != nil {
		t.Errorf("read %q, error %v", all, err)
	}
}

// An established connection is migrated and reset by its host, in either order: the client sees the first event
// alone, and the host's side is closed. Each event is held back until the other has happened.
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
				t.Fatalf("read %q, error %v", line, err)
			}
			clientConn := r.onlyConn(t)
			netiotest.Eventually(t, "the connection is established", func() bool { return r.node.EstablishedConnections() == 1 })
			if migratedFirst {
				clientConn.Migrate()
				close(hostResets)
			} else {
				clientConn.mu.Lock() // Migrate waits for the mutex, while the connection ends
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
				t.Errorf("read %q, error %v", all, err)
			}
			r.awaitNoClients(t)
		})
	}
}

// Small writes that a socket holds back would be lost with a reset that follows.
func TestSockets_EachSide_NoDelaySet(t *testing.T) {
	client, accepted := connect(t)
	f, err := accepted.File()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	adopted, err := net.FileConn(f) // as a process adopts it
	if err != nil {
		t.Fatal(err)
	}
	defer adopted.Close()
	for name, c := range map[string]*net.TCPConn{"dialled": client, "accepted": accepted, "adopted": adopted.(*net.TCPConn)} {
		raw, err := c.SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		noDelay := 0
		_ = raw.Control(func(fd uintptr) { noDelay, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NODELAY) })
		if err != nil || noDelay == 0 {
			t.Errorf("%s: %d, error %v", name, noDelay, err)
		}
	}
}
