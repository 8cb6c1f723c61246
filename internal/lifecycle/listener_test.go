package lifecycle

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"onyxstream/internal/proxy"
)

// After drainQueue, the system must refuse new connections. A connection left in a queue that no process accepts from
// would be reset together with its request.
func TestClientListener_QueueDrained_RefusesConnections(t *testing.T) {
	l, err := openClientListener(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	p := proxy.New(proxy.Config{MaxDescriptors: 256}, zap.NewNop())
	go func() { _ = l.serve(t.Context(), p) }()
	if !l.drainQueue() {
		t.Fatal("drainQueue: got false for a listener that is not inherited, want true")
	}
	c, err := net.DialTimeout("tcp", l.Addr().String(), 5*time.Second)
	if err == nil {
		_ = c.Close()
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("connecting after drainQueue: got error %v, want ECONNREFUSED", err)
	}
}
