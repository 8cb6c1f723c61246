package agent

import (
	"sync"
	"syscall"
	"testing"

	"onyxstream/internal/fleet"
)

// While writes to the store fail, the agent delivers no commands. When writes succeed again, the agent completes its
// operations and delivers each command once.
func TestAgent_WritesFail_RetriesAndCompletes(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOSPC, syscall.EIO} {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			r := newTestFleet(t, 3)
			var mu sync.Mutex
			writes, failed := 0, 0
			c, stop := r.startAgent(t, func(a *Agent) {
				write := a.writeChange
				a.writeChange = func(change fleet.Change) error {
					mu.Lock()
					defer mu.Unlock()
					if writes++; writes%3 == 2 && failed < 6 {
						failed++
						return errno
					}
					return write(change)
				}
			})
			defer func() { _ = stop() }()
			eventually(t, "all instances are up", func() bool { return allUp(c) })
			if _, err := submit(t, c, drainRequest("d", r.names())); err != nil {
				t.Fatal(err)
			}
			eventually(t, "the operation ends", func() bool { return operation(t, c, "d").State.Ended() })
			if o := operation(t, c, "d"); o.State != fleet.Succeeded {
				t.Errorf("the operation is %s: %s, want done", o.State, o.Reason)
			}
			r.checkDrainedOnce(t)
			if mu.Lock(); failed == 0 {
				t.Error("no write failed, want some failed writes")
			}
			mu.Unlock()
		})
	}
}
