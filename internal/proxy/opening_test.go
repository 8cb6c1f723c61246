package proxy

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"onyxstream/internal/netio"
	"onyxstream/internal/netio/netiotest"
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

// The request of a client whose opening line is incomplete at the timeout fails, because the rest of the line may already
// be on the way, and a close without an answer would lose the request.
func TestReadOpening_LineIncompleteAtTimeout_Fails(t *testing.T) {
	for _, rest := range []string{"", "at,d=5000\r\n"} {
		r := startNode(t, zap.NewNop(), true)
		client, accepted := r.dialIdle(t)
		_, _ = io.WriteString(client, "OPEN a key c=ch")
		netiotest.Eventually(t, "a part of the line is read", accepted.openingStarted.Load)
		r.proxy.mu.Lock() // holds up the end of the connection, so that the rest arrives before it
		_ = accepted.client.SetReadDeadline(netio.Expired)
		awaitFIN(t, client, blockedTime)
		_, _ = io.WriteString(client, rest)
		r.proxy.mu.Unlock()
		_ = client.SetReadDeadline(time.Now().Add(20 * time.Second))
		if all, err := io.ReadAll(client); string(all) != wire.Failure || err != nil {
			t.Errorf("rest %q: client read %q, error %v; want a failure", rest, all, err)
		}
	}
}
