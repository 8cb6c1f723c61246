package proxy

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"onyxstream/internal/wire"
)

// A request that arrives just as an idle connection times out is served, because a close would lose it. The test holds
// the proxy's mutex in the middle of the last health check until the timeout has passed and the request has arrived.
func TestReadOpening_RequestAtTimeout_Served(t *testing.T) {
	r := startNode(t, zap.NewNop(), true, startCountingHost(t, establishedLine).addr)
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	r.onlyConn(t)
	r.proxy.mu.Lock()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	in := bufio.NewReader(c)
	_, _ = io.WriteString(c, healthCheck+"\r\n")
	if line, err := in.ReadString('\n'); line != wire.Pong || err != nil {
		t.Fatalf("health check: read %q, error %v; want PONG", line, err)
	}
	_, _ = io.WriteString(c, openRequest+"\r\n")
	for start := time.Now(); time.Since(start) < openingTimeout+evictionGrace; { // until the timeout has passed
		time.Sleep(evictionGrace)
	}
	r.proxy.mu.Unlock()
	if line, err := in.ReadString('\n'); line != establishedLine || err != nil {
		t.Errorf("request: read %q, error %v; want an established connection", line, err)
	}
}
