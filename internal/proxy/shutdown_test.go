package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"onyxstream/internal/netio/netiotest"
	"onyxstream/internal/wire"
)

// eventQueueLength is the number of events that fill the node's event queue.
const eventQueueLength = 1024

// shutDownMidRead begins a shutdown while text, if any, has been read from the client but not parsed.
func shutDownMidRead(t *testing.T, r *testNode, c net.Conn, text string) {
	t.Helper()
	clientConn := r.onlyConn(t)
	netiotest.Eventually(t, "the connection is idle", func() bool {
		return clientConn.idle.Load() && !clientConn.openingStarted.Load()
	})
	r.proxy.mu.Lock()
	defer r.proxy.mu.Unlock()
	if text != "" {
		_, _ = io.WriteString(c, text)
		netiotest.Eventually(t, "the bytes are read", clientConn.openingStarted.Load)
	}
	r.proxy.beginShutdown(false)
}

// A request, complete or not, that arrives on an idle connection while the shutdown begins is rejected. A connection on
// which nothing arrives is closed with FIN. No client is reset.
func TestShutdown_OpeningPartlyRead_NoClientReset(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"complete line on an idle connection", openRequest + "\r\n", rejectionPrefix},
		{"part of a line", "OPEN a key c=ch", rejectionPrefix},
		{"a health check", healthCheck + "\r\n", wire.Pong},
		{"nothing", "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			host := startCountingHost(t, establishedLine)
			r := startNode(t, zap.NewNop(), true, host.addr)
			client, in := r.open(t, healthCheck)
			if line, err := in.ReadString('\n'); line != wire.Pong || err != nil {
				t.Fatalf("health check: read %q, error %v; want PONG", line, err)
			}
			shutDownMidRead(t, r, client, c.text)
			all, err := io.ReadAll(in)
			if err != nil || !strings.HasPrefix(string(all), c.want) || (c.want == "") != (len(all) == 0) {
				t.Errorf("client read %q, error %v; want %q", all, err, c.want)
			}
			_ = client.Close()
			r.stop()
			if n := host.connections(t); n != 0 {
				t.Errorf("host: got %d connections, want 0", n)
			}
		})
	}
}

// A request that is unread when the shutdown begins is rejected, on a new connection and on one that rests after a health
// check.
func TestShutdown_RequestUnread_Rejected(t *testing.T) {
	t.Run("new connection", func(t *testing.T) {
		r := startNode(t, zap.NewNop(), true)
		client, accepted := r.dialIdle(t)
		expectUnreadRejected(t, r, client, bufio.NewReader(client), accepted)
	})
	t.Run("after a health check", func(t *testing.T) {
		r := startNode(t, zap.NewNop(), true)
		client, in := r.open(t, healthCheck)
		if line, err := in.ReadString('\n'); line != wire.Pong || err != nil {
			t.Fatalf("health check: read %q, error %v; want PONG", line, err)
		}
		accepted := r.onlyConn(t)
		netiotest.Eventually(t, "the connection is idle", func() bool {
			return accepted.idle.Load() && !accepted.openingStarted.Load()
		})
		expectUnreadRejected(t, r, client, in, accepted)
	})
}

// expectUnreadRejected sends a request and begins a shutdown, and expects a rejection. It holds the connection's mutex,
// under which bytes are read, until the request has arrived and the shutdown is about to begin.
func expectUnreadRejected(t *testing.T, r *testNode, client net.Conn, in *bufio.Reader, accepted *conn) {
	t.Helper()
	accepted.mu.Lock()
	begun := make(chan struct{})
	go func() {
		defer close(begun)
		r.proxy.mu.Lock()
		defer r.proxy.mu.Unlock()
		r.proxy.beginShutdown(false)
	}()
	_, _ = io.WriteString(client, openRequest+"\r\n")
	netiotest.Eventually(t, "the request is received", func() bool { return netiotest.UnreadBytes(t, accepted.client) > 0 })
	netiotest.Eventually(t, "the shutdown holds the proxy's mutex", func() bool {
		if r.proxy.mu.TryLock() {
			r.proxy.mu.Unlock()
			return false
		}
		return true
	})
	accepted.mu.Unlock()
	<-begun
	_ = client.SetReadDeadline(time.Now().Add(20 * time.Second))
	all, err := io.ReadAll(in)
	if err != nil || !strings.HasPrefix(string(all), rejectionPrefix) {
		t.Errorf("client read %q, error %v; want a rejection", all, err)
	}
}

// A request that the node does not know was not forwarded to any host, so it is rejected and not failed.
func TestShutdown_RequestNotForwarded_Rejected(t *testing.T) {
	r := startNode(t, zap.NewNop(), false)
	_, in := r.open(t, "OPEN a key c=chat,d=500000")
	netiotest.Eventually(t, "the request is pending", func() bool { return r.proxy.PendingRequests() == 1 })
	r.proxy.mu.Lock()
	r.proxy.beginShutdown(false)
	r.proxy.mu.Unlock()
	if all, err := io.ReadAll(in); !strings.HasPrefix(string(all), rejectionPrefix) || err != nil {
		t.Errorf("client read %q, error %v; want a rejection", all, err)
	}
}

// A request whose goroutine is held up, here by the node's full event queue, gets its final answer before Shutdown closes
// the connection.
func TestShutdown_RequestHeldUp_Answered(t *testing.T) {
	r := startNode(t, zap.NewNop(), false)
	for range eventQueueLength {
		r.node.PeerContacted()
	}
	_, in := r.open(t, "OPEN a key c=chat,d=500000")
	netiotest.Eventually(t, "the request is pending", func() bool { return r.proxy.PendingRequests() == 1 })
	r.proxy.Shutdown(true)
	if all, err := io.ReadAll(in); string(all) != wire.Failure || err != nil {
		t.Errorf("client read %q, error %v; want a failure", all, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = r.node.Run(ctx) }()
	r.awaitNoClients(t)
}

func TestAccept_AfterShutdown_Rejected(t *testing.T) {
	r := startNode(t, zap.NewNop(), true)
	r.stop()
	client, server := connect(t)
	_, _ = io.WriteString(client, openRequest+"\r\n")
	if !r.proxy.accept(server) {
		t.Fatal("client not accepted")
	}
	if all, err := io.ReadAll(client); !strings.HasPrefix(string(all), rejectionPrefix) || err != nil {
		t.Errorf("client read %q, error %v; want a rejection", all, err)
	}
}

// In pass-through mode established connections stay open, and all other clients get their final answer.
func TestShutdown_PassThrough_EstablishedStays(t *testing.T) {
	forwarded := make(chan struct{})
	r := startNode(t, zap.NewNop(), true, netiotest.Serve(t, func(c *net.TCPConn) {
		in := bufio.NewReader(c)
		if line, _ := in.ReadString('\n'); strings.Contains(line, "wait") {
			close(forwarded)
			_, _ = io.Copy(io.Discard, in)
			return
		}
		_, _ = io.WriteString(c, establishedLine)
		for {
			line, err := in.ReadString('\n')
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, line)
		}
	}))
	established, in := r.open(t, "OPEN up key c=chat,d=5000")
	if line, err := in.ReadString('\n'); line != establishedLine {
		t.Fatalf("client read %q, error %v; want an established connection", line, err)
	}
	_, pending := r.open(t, "OPEN wait key c=chat,d=5000")
	netiotest.Eventually(t, "the second request is in flight", func() bool { return r.node.InFlightRequests() == 1 })
	<-forwarded // before that, the request would be rejected and not failed
	r.proxy.Shutdown(true)
	if all, err := io.ReadAll(pending); string(all) != wire.Failure || err != nil {
		t.Errorf("pending client read %q, error %v; want a failure", all, err)
	}
	_, _ = io.WriteString(established, "M\r\n")
	if line, err := in.ReadString('\n'); line != "M\r\n" {
		t.Errorf("established client read %q, error %v; want its echoed message", line, err)
	}
}

// A connection may be established just before the shutdown, so that the node has not migrated it. The proxy must migrate
// it, because a reset without MOVE loses the connection.
func TestShutdown_EstablishedAndNotMigrated_Migrated(t *testing.T) {
	r := startNode(t, zap.NewNop(), true, echoHost(t, nil))
	_, in := r.open(t, openRequest)
	expectLine(t, in, establishedLine)
	expectLine(t, in, "LOAD 3\r\n")
	r.proxy.Shutdown(false)
	if all, err := io.ReadAll(in); string(all) != wire.Migration || err != nil {
		t.Errorf("client read %q, error %v; want a migration and EOF", all, err)
	}
}

// A client that has been sent MOVE, and has not closed its connection when the node shuts down, must be able to read the
// line: its connection must not be reset.
func TestShutdown_MigratedClientStillOpen_NotReset(t *testing.T) {
	r := startNode(t, zap.NewNop(), true, echoHost(t, nil))
	_, in := r.open(t, openRequest)
	expectLine(t, in, establishedLine)
	r.node.MigrateAll(time.Now())
	netiotest.Eventually(t, "the connection to the host has ended", func() bool {
		return r.node.EstablishedConnections() == 0
	})
	r.proxy.Shutdown(false)
	if all, err := io.ReadAll(in); !strings.HasSuffix(string(all), wire.Migration) || err != nil {
		t.Errorf("client read %q, error %v; want a migration and EOF", all, err)
	}
}

// In pass-through mode the node migrates the clients that a successor has not accepted. It counts a connection as ended just
// before the client gets MOVE, so Shutdown must wait for the client, and not only for the count.
func TestShutdown_PassThroughMigrating_Awaited(t *testing.T) {
	r := startNode(t, zap.NewNop(), true)
	_, accepted := connect(t)
	_, hostConn := connect(t)
	c := r.proxy.newConn(accepted, time.Now())
	c.host = hostConn
	r.proxy.mu.Lock()
	r.proxy.conns[c] = struct{}{}
	r.proxy.mu.Unlock()
	if got := len(r.proxy.unfinished(true)); got != 0 {
		t.Errorf("%d connections awaited, want none: the established connection stays", got)
	}
	c.Migrate()
	if got := len(r.proxy.unfinished(true)); got != 1 {
		t.Errorf("%d connections awaited after the migration has begun, want 1", got)
	}
	r.proxy.remove(c)
}

// A connection that was handed off belongs to another process. If its goroutine has not ended when the node shuts down,
// its sockets must not be reset.
func TestShutdown_HandedOffConnection_NotReset(t *testing.T) {
	r := startNode(t, zap.NewNop(), true)
	client, accepted := connect(t)
	host, hostConn := connect(t)
	c := r.proxy.newConn(accepted, time.Now())
	c.host, c.handedOff = hostConn, true
	r.proxy.mu.Lock()
	r.proxy.conns[c] = struct{}{}
	r.proxy.mu.Unlock()
	r.proxy.Shutdown(false)
	for name, remote := range map[string]*net.TCPConn{"client": client, "host": host} {
		_ = remote.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		if _, err := remote.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: error %v, want an open connection", name, err)
		}
	}
}

func TestShutdown_ConnectionsInEachState_NoGoroutineLeaked(t *testing.T) {
	before := goleak.IgnoreCurrent()
	var hosts sync.WaitGroup
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	hosts.Add(1)
	go func() {
		defer hosts.Done()
		for i := 0; ; i++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			hosts.Add(1)
			go func() {
				defer hosts.Done()
				defer c.Close()
				in := bufio.NewReader(c)
				if line, err := in.ReadString('\n'); err != nil || strings.HasPrefix(line, healthCheck) {
					return
				}
				_, _ = io.WriteString(c, []string{establishedLine, "ERR\r\n", "", "UP r\r\nM\r\nBYE\r\n"}[i%4])
				if i%4 != 3 {
					_, _ = io.Copy(io.Discard, in)
				}
			}()
		}
	}()
	r := startNode(t, zap.NewNop(), true, l.Addr().String())
	for i := range 24 {
		c, in := r.open(t, fmt.Sprintf("OPEN a%d key%d c=chat,d=300", i, i))
		if i%3 > 0 {
			_, _ = in.ReadString('\n')
		}
		if i%3 == 2 {
			_ = c.Close()
		}
	}
	r.proxy.Ping("h0", l.Addr().String())
	r.stop()
	_ = l.Close()
	hosts.Wait()
	if err := goleak.Find(before); err != nil {
		t.Error(err)
	}
}
