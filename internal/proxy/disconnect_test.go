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

// A client that asked and left while it waited in the listener's queue is gone: it has its answer at once, the loop is not
// told and no host hears of it. The loop's queue is full, so that whoever is handed to it waits.
func TestServe_ClientClosedInAcceptQueue_NotForwarded(t *testing.T) {
	h := startCountingHost(t, "UP r\r\n")
	r := startNode(t, zap.NewNop(), false, h.addr)
	door, err := Listen(context.Background(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer door.Close()
	for range 1024 {
		r.node.PeerContacted()
	}
	var waiting []net.Conn
	for i := range 8 { // they are whole and at their end before the first of them is accepted
		c, err := net.Dial("tcp", door.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = io.WriteString(c, fmt.Sprintf("OPEN q%d key c=chat,d=90000\r\n", i))
		_ = c.(*net.TCPConn).CloseWrite()
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		waiting = append(waiting, c)
	}
	go func() { _ = r.proxy.Serve(door) }()
	for _, c := range waiting {
		if all, err := io.ReadAll(c); string(all) != wire.Failure || err != nil {
			t.Errorf("heard %q, error %v", all, err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = r.node.Run(ctx) }()
	r.awaitNoClients(t)
	if n := h.connections(t); n != 0 {
		t.Errorf("its host was connected to %d times", n)
	}
}

// A client that is mid-flow and has spoken early leaves like any other: its attempt is withdrawn, no other is begun.
func TestMidFlowClient_EarlyMessage_DisconnectNoticed(t *testing.T) {
	a, b := startCountingHost(t, ""), startCountingHost(t, "")
	r := startNodeWith(t, zap.NewNop(), true, netiotest.RefusedAddr(t), withLongDeadline, a.addr, b.addr)
	c, _ := r.open(t, "OPEN m key c=chat,d=500000,mid=1\r\nM 1")
	netiotest.Eventually(t, "a host has the line", func() bool { return a.lines.Load()+b.lines.Load() == 1 })
	_ = c.Close()
	netiotest.Eventually(t, "the attempt is withdrawn", func() bool { return a.closed.Load()+b.closed.Load() == 1 })
	r.awaitNoClients(t)
	if n := a.lines.Load() + b.lines.Load(); n != 1 {
		t.Errorf("%d attempts", n)
	}
}

// A mid-flow client that says more than the node holds back for it, and leaves, is seen to leave: its attempt is
// withdrawn, and no other begins.
func TestMidFlowClient_BufferFull_DisconnectNoticed(t *testing.T) {
	for _, end := range []string{"close", "reset"} {
		t.Run(end, func(t *testing.T) {
			a, b := startCountingHost(t, ""), startCountingHost(t, "")
			r := startNodeWith(t, zap.NewNop(), true, netiotest.RefusedAddr(t), withLongDeadline, a.addr, b.addr)
			c, _ := r.open(t, "OPEN m key c=chat,d=500000,mid=1")
			netiotest.Eventually(t, "a host has the line", func() bool { return a.lines.Load()+b.lines.Load() == 1 })
			for i := range 1000 {
				if _, err := fmt.Fprintf(c, "M %d %s\r\n", i, strings.Repeat("x", 40)); err != nil {
					t.Fatal(err)
				}
			}
			if end == "reset" {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
			netiotest.Eventually(t, "the attempt is withdrawn", func() bool { return a.closed.Load()+b.closed.Load() == 1 })
			r.awaitNoClients(t)
			if n := a.lines.Load() + b.lines.Load(); n != 1 {
				t.Errorf("%d attempts", n)
			}
		})
	}
}

// A client that has sent much and ended its sending as its connection comes up has all of it passed on: the end stands
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
	netiotest.Eventually(t, "its end is here", func() bool { return sendingEnded(server) != nil })
	if !c.establish(host) {
		t.Fatal("it does not come up")
	}
	if c.disconnectUnestablished(sendingEnded(server)) || c.isDisconnected() || c.clientClosed.Load() {
		t.Error("its end counts before its lines are read")
	}
	if !c.awaitEstablished() {
		t.Error("its lines are not read on")
	}
}
