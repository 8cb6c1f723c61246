package lifecycle

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"onyxstream/internal/proxy"
)

// The drain of a shutdown must end as soon as a successor is ready, also if it becomes ready only after several checks.
func TestDrain_SuccessorReadyLate_EndsForHandOff(t *testing.T) {
	_, n := blockedNode(t, t.TempDir())
	calls := 0
	shutdown := &gracefulShutdown{
		node:        n,
		proxy:       proxy.New(proxy.Config{MaxDescriptors: 256}, zap.NewNop()),
		passThrough: true,
		schedule: shutdownSchedule{
			frontNoticed: time.Now().Add(preStopDelay),
			deadline:     time.Now().Add(20 * time.Second),
		},
	}
	shutdown.successorReady = func() bool { calls++; return calls == 5 }
	if !shutdown.drain() || calls != 5 {
		t.Errorf("drain did not end at the 5th check for a successor: %d checks", calls)
	}
	shutdown.successorReady = func() bool { return false }
	if shutdown.drain() {
		t.Error("drain reported a successor, but there is none")
	}
}
