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

// A client that sent its opening line and closed while it waited in the listener's queue is replied to at once,
// without the node or a host. The node's event queue is full, so that a request passed to it would block.
func TestServe_ClientClosedInAcceptQueue_NotForwarded(t *testing.T) {
	host := startCountingHost(t, establishedLine)
	r := startNode(t, zap.NewNop(), false, host.addr)
	listener, err := Listen(context.Background(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	for range 1024 {
		r.node.PeerContacted()
	}
	var waiting []net.Conn
	for i := range 8 { // complete and closed before the first one is accepted
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
			t.Errorf("read %q, error %v", all, err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = r.node.Run(ctx) }()
	r.awaitNoClients(t)
	if n := host.connections(t); n != 0 {
		t.Errorf("the host was connected to %d times", n)
	}
}

// A mid-flow client that has sent a message early disconnects like any other.
func TestMidFlowClient_EarlyMessage_DisconnectNoticed(t *testing.T) {
	a, b := startCountingHost(t, ""), startCountingHost(t, "")
	r := startNodeWith(t, zap.NewNop(), true, netiotest.RefusedAddr(t), withLongDeadline, a.addr, b.addr)
	c, _ := r.open(t, "OPEN m key c=chat,d=500000,mid=1\r\nM 1")
	netiotest.Eventually(t, "a host has read the line", func() bool { return a.lines.Load()+b.lines.Load() == 1 })
	_ = c.Close()
	netiotest.Eventually(t, "the attempt is cancelled", func() bool { return a.closed.Load()+b.closed.Load() == 1 })
	r.awaitNoClients(t)
	if n := a.lines.Load() + b.lines.Load(); n != 1 {
		t.Errorf("%d attempts", n)
	}
}

// The disconnect of a mid-flow client is noticed also if it has sent more than the node holds back.
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
				t.Errorf("%d attempts", n)
			}
		})
	}
}

// A client that closes its side as its connection is established has its early messages forwarded: the close stands
// behind what lies unread.
func TestMidFlowClient_ClosesAsEstablished_LinesForwarded(t *testing.T) {
	r := startNode(t, zap.NewNop(), false)
	client, server := connect(t)
	_, host := connect(t)
	c := r.proxy.newConn(server, time.Now())
	if _, err := io.WriteString(client, strings.Repeat("M of a client\r\n", 1000)); err != nil {
		t.Fatal(err)
	}
	_ = client.CloseWrite()
	netiotest.Eventually(t, "its close is received", func() bool { return sendingEnded(server) != nil })
	if !c.establish(host) {
		t.Fatal("it is not established")
	}
	if c.disconnectUnestablished(sendingEnded(server)) || c.isDisconnected() || c.clientClosed.Load() {
		t.Error("its close counts before its lines are read")
	}
	if !c.awaitEstablished() {
		t.Error("its lines are not read")
	}
}
