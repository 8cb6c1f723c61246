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

// A request that comes as an idle connection times out is served: a close over it would lose it. The proxy's mutex is
// held in the middle of the last health check until the timeout has passed and the request has arrived.
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
		t.Fatalf("read %q, error %v", line, err)
	}
	_, _ = io.WriteString(c, openRequest+"\r\n")
	for start := time.Now(); time.Since(start) < openingTimeout+evictionGrace; { // until the timeout has passed
		time.Sleep(evictionGrace)
	}
	r.proxy.mu.Unlock()
	if line, err := in.ReadString('\n'); line != establishedLine || err != nil {
		t.Errorf("read %q, error %v", line, err)
	}
}
