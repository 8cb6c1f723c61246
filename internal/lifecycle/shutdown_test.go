package lifecycle

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"onyxstream/internal/proxy"
)

// The drain of a shutdown ends as soon as a successor is ready, also where that is late.
func TestDrain_SuccessorReadyLate_EndsForHandOff(t *testing.T) {
	_, n := blockedNode(t, t.TempDir())
	calls := 0
	shutdown := &gracefulShutdown{
		node:        n,
		proxy:       proxy.New(proxy.Config{MaxDescriptors: 256}, zap.NewNop()),
		passThrough: true,
		startedAt:   time.Now(),
		deadline:    time.Now().Add(20 * time.Second),
	}
	shutdown.successorReady = func() bool { calls++; return calls == 5 }
	if !shutdown.drain() || calls != 5 {
		t.Errorf("asked for a successor %d times", calls)
	}
	shutdown.successorReady = func() bool { return false }
	if shutdown.drain() {
		t.Error("handed off to nobody")
	}
}
