package proxy

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"onyxstream/internal/netio/netiotest"
	"onyxstream/internal/wire"
)

// panickingCore is a zapcore.Core that panics when one message is logged.
type panickingCore struct {
	zapcore.Core
	message string
}

func (p panickingCore) Enabled(zapcore.Level) bool { return true }

func (p panickingCore) Check(e zapcore.Entry, c *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if e.Message == p.message {
		panic("injected by the test")
	}
	return c
}

// A panic fails its own request only, and the node keeps no state of the request.
func TestRequest_Panics_OnlyThisRequestFails(t *testing.T) {
	log := zap.New(panickingCore{zapcore.NewNopCore(), attemptFailedMessage})
	r := startNode(t, log, true, respondingHost(t, "ERR\r\n"))
	for i := range 3 {
		_, in := r.open(t, fmt.Sprintf("OPEN a%d key c=chat,d=5000", i))
		if all, err := io.ReadAll(in); string(all) != wire.Failure || err != nil {
			t.Errorf("client read %q, error %v; want a failure", all, err)
		}
	}
	netiotest.Eventually(t, "no request is in flight", func() bool { return r.node.InFlightRequests() == 0 })
}

// If the relay panics, the client is reset: a final answer of the node would be mixed with the host's lines.
func TestRelay_Panics_ResetsClient(t *testing.T) {
	log := zap.New(panickingCore{zapcore.NewNopCore(), connectionClosedMessage})
	r := startNode(t, log, true, respondingHost(t, "UP r\r\nBYE\r\n"))
	c, in := r.open(t, openRequest)
	for _, want := range []string{establishedLine, "BYE\r\n"} {
		if line, err := in.ReadString('\n'); line != want {
			t.Fatalf("read %q, error %v; want %q", line, err, want)
		}
	}
	_ = c.(*net.TCPConn).CloseWrite()
	if rest, err := io.ReadAll(in); len(rest) > 0 || err == nil {
		t.Errorf("after the panic: client read %q, error %v; want a reset", rest, err)
	}
	netiotest.Eventually(t, "no connection is established", func() bool { return r.node.EstablishedConnections() == 0 })
}

// If a connection's goroutine panics before the opening line is complete, only that connection ends, and its descriptor
// is released.
func TestStart_GoroutinePanics_OnlyItsConnectionEnds(t *testing.T) {
	r := startNode(t, zap.NewNop(), false)
	_, server := connect(t)
	c := r.proxy.newConn(server, time.Now())
	r.proxy.mu.Lock()
	c.unadmitted = r.proxy.unadmitted.PushBack(c)
	r.proxy.start(c, func() { panic("injected by the test") })
	r.proxy.mu.Unlock()
	r.proxy.clients.Wait()
	r.proxy.mu.Lock()
	defer r.proxy.mu.Unlock()
	if len(r.proxy.conns) > 0 || r.proxy.unadmitted.Len() > 0 {
		t.Errorf("%d connections and %d unadmitted clients are left, want 0", len(r.proxy.conns), r.proxy.unadmitted.Len())
	}
}

// A client whose opening line was read gets a final answer even if the goroutine of its connection panics. This proxy
// has no node, so the lookup of the request's class panics.
func TestServe_PanicsAfterOpening_ClientAnswered(t *testing.T) {
	p := New(Config{MaxDescriptors: 256}, zap.NewNop())
	client, server := connect(t)
	if !p.accept(server) {
		t.Fatal("client not accepted")
	}
	if _, err := io.WriteString(client, "OPEN id key c=chat,d=1000\r\n"); err != nil {
		t.Fatal(err)
	}
	_ = client.SetDeadline(time.Now().Add(10 * time.Second))
	answer := make([]byte, len(wire.Failure))
	if n, err := io.ReadFull(client, answer); err != nil || string(answer) != wire.Failure {
		t.Errorf("client read %q, error %v; want a failure", answer[:n], err)
	}
	_ = client.Close()
	p.clients.Wait()
}
