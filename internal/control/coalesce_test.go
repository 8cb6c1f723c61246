package control

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// A caller must not get the result of a run that began before its call: a status would miss the effect of a command that
// was applied just before it was requested. Callers that wait at the same time must share one run.
func TestCoalescer_CallsDuringRun_ShareNextRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const duration = time.Second
		var runs atomic.Int64
		c := newCoalescer(func() int64 {
			defer time.Sleep(duration)
			return runs.Add(1)
		})
		var callers sync.WaitGroup
		call := func(want int64) {
			callers.Go(func() {
				if got := c.get(); got != want {
					t.Errorf("got the result of run %d, want that of run %d", got, want)
				}
			})
		}
		call(1)
		synctest.Wait()
		for range 20 {
			call(2)
		}
		time.Sleep(duration + duration/2)
		for range 20 {
			call(3)
		}
		callers.Wait()
		if n := runs.Load(); n != 3 {
			t.Errorf("%d runs for 41 callers, want 3", n)
		}
	})
}
