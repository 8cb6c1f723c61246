package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"onyxstream/internal/netio/netiotest"
	"onyxstream/internal/wire"
)

// A client that sent its opening line and closed its side while it waited in the listener's accept queue is answered at
// once, without the node or a host. The node's event queue is full here, so a request passed to the node would block.
func TestServe_ClientClosedInAcceptQueue_NotForwarded(t *testing.T) {
	host := startCountingHost(t, establishedLine)
	r := startNode(t, zap.NewNop(), false, host.addr)
	listener, err := Listen(context.Background(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	for range eventQueueLength {
		r.node.PeerContacted()
	}
	var waiting []net.Conn
	for i := range 8 { // all lines are sent and all sides closed before the first accept
		c, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = io.WriteString(c, fmt.Sprintf("OPEN q%d key c=chat,d=90000\r\n", i))
		_ = c.(*net.TCPConn).CloseWrite()
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		waiting = append(waiting, c)
	}
	go func() { _ = r.proxy.Serve(listener) }()
	for _, c := range waiting {
		if all, err := io.ReadAll(c); string(all) != wire.Failure || err != nil {
			t.Errorf("client read %q, error %v; want a failure", all, err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = r.node.Run(ctx) }()
	r.awaitNoClients(t)
	if n := host.connections(t); n != 0 {
		t.Errorf("host: got %d connections, want 0", n)
	}
}

// The disconnect of a mid-flow client is detected although it has sent a message before the connection is established.
func TestMidFlowClient_EarlyMessage_DisconnectNoticed(t *testing.T) {
	a, b := startCountingHost(t, ""), startCountingHost(t, "")
	r := startNodeWith(t, zap.NewNop(), true, netiotest.RefusedAddr(t), withLongDeadline, a.addr, b.addr)
	c, _ := r.open(t, "OPEN m key c=chat,d=500000,mid=1\r\nM 1")
	netiotest.Eventually(t, "a host has read the line", func() bool { return a.lines.Load()+b.lines.Load() == 1 })
	_ = c.Close()
	netiotest.Eventually(t, "the attempt is cancelled", func() bool { return a.closed.Load()+b.closed.Load() == 1 })
	r.awaitNoClients(t)
	if n := a.lines.Load() + b.lines.Load(); n != 1 {
		t.Errorf("hosts read %d opening lines, want 1", n)
	}
}

// The disconnect of a mid-flow client is detected also if the client has sent more than the node buffers.
func TestMidFlowClient_BufferFull_DisconnectNoticed(t *testing.T) {
	for _, end := range []string{"close", "reset"} {
		t.Run(end, func(t *testing.T) {
			a, b := startCountingHost(t, ""), startCountingHost(t, "")
			r := startNodeWith(t, zap.NewNop(), true, netiotest.RefusedAddr(t), withLongDeadline, a.addr, b.addr)
			c, _ := r.open(t, "OPEN m key c=chat,d=500000,mid=1")
			netiotest.Eventually(t, "a host has read the line", func() bool { return a.lines.Load()+b.lines.Load() == 1 })
			for i := range 1000 {
				if _, err := fmt.Fprintf(c, "M %d %s\r\n", i, strings.Repeat("x", 40)); err != nil {
					t.Fatal(err)
				}
			}
			if end == "reset" {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
			netiotest.Eventually(t, "the attempt is cancelled", func() bool { return a.closed.Load()+b.closed.Load() == 1 })
			r.awaitNoClients(t)
			if n := a.lines.Load() + b.lines.Load(); n != 1 {
				t.Errorf("hosts read %d opening lines, want 1", n)
			}
		})
	}
}

// If a mid-flow client closes its side while the connection is being established, the messages that it sent early are
// still forwarded, because they precede the close.
func TestMidFlowClient_ClosesAsEstablished_LinesForwarded(t *testing.T) {
	r := startNode(t, zap.NewNop(), false)
	client, server := connect(t)
	_, host := connect(t)
	c := r.proxy.newConn(server, time.Now())
	if _, err := io.WriteString(client, strings.Repeat("M of a client\r\n", 1000)); err != nil {
		t.Fatal(err)
	}
	_ = client.CloseWrite()
	netiotest.Eventually(t, "the client's close is received", func() bool { return sendingEnded(server) != nil })
	if !c.establish(host) {
		t.Fatal("connection not established")
	}
	if c.disconnectUnestablished(sendingEnded(server)) || c.isDisconnected() || c.clientClosed.Load() {
		t.Error("client counts as disconnected before its messages are read")
	}
	if !c.awaitEstablished() {
		t.Error("client's messages are not read")
	}
}
