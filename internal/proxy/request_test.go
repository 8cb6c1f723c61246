package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"testing"

	"go.uber.org/zap"

	"onyxstream/internal/netio/netiotest"
	"onyxstream/internal/wire"
)

// A request that the node never answers gets a final answer from the proxy.
func TestRequest_NodeSilent_FailsAtDeadline(t *testing.T) {
	r := startNode(t, zap.NewNop(), false)
	_, in := r.open(t, "OPEN a key c=chat,d=50")
	if all, err := io.ReadAll(in); string(all) != wire.Failure || err != nil {
		t.Errorf("client read %q, error %v; want a failure", all, err)
	}
}

// If a client disconnects while an attempt is in flight, the attempt is canceled and no other host is tried.
func TestClient_Disconnects_AttemptCancelled(t *testing.T) {
	var mu sync.Mutex
	lines, closed := 0, 0
	silent := func(c *net.TCPConn) {
		in := bufio.NewReader(c)
		if _, err := in.ReadString('\n'); err != nil {
			return
		}
		mu.Lock()
		lines++
		mu.Unlock()
		_, _ = io.Copy(io.Discard, in)
		mu.Lock()
		closed++
		mu.Unlock()
	}
	r := startNode(t, zap.NewNop(), true, netiotest.Serve(t, silent), netiotest.Serve(t, silent))
	c, _ := r.open(t, openRequest)
	count := func(n *int, want int) func() bool {
		return func() bool {
			mu.Lock()
			defer mu.Unlock()
			return *n == want
		}
	}
	netiotest.Eventually(t, "a host reads the line", count(&lines, 1))
	_ = c.Close()
	netiotest.Eventually(t, "the attempt is cancelled", count(&closed, 1))
	netiotest.Eventually(t, "no request is in flight", func() bool { return r.node.InFlightRequests() == 0 })
	if r.stop(); !count(&lines, 1)() {
		t.Error("another host was tried after the disconnect")
	}
}

// If a client disconnects while the node looks up its current host, the host is not dialed.
func TestResume_ClientDisconnected_NoRetry(t *testing.T) {
	host := startCountingHost(t, establishedLine)
	r := startNode(t, zap.NewNop(), false, host.addr)
	c, _ := r.open(t, "OPEN a key c=chat,d=5000,at=h0")
	pending := r.onlyConn(t)
	_ = c.Close()
	netiotest.Eventually(t, "the disconnect is noticed", pending.isDisconnected)
	if ctx, end := pending.beginAttempt(0, "h0"); ctx.Err() == nil {
		t.Error("attempt not canceled after the client has disconnected")
	} else {
		end()
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = r.node.Run(ctx) }() // from now on the node answers
	r.awaitNoClients(t)
	if n := host.connections(t); n != 0 {
		t.Errorf("host: got %d connections, want 0", n)
	}
}
