package agent

import (
	"net/http"
	"sync"
	"syscall"
	"testing"

	"onyxstream/internal/control"
	"onyxstream/internal/fleet"
)

// An agent whose writes fail for a while delivers nothing meanwhile, and then completes its operations, each command once.
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
			eventually(t, "all are up", func() bool { return allUp(c) })
			var o fleet.Operation
			if err := c.Call(t.Context(), http.MethodPost, "/v1/operations", drainRequest("d", r.names()), &o); err != nil {
				t.Fatal(err)
			}
			eventually(t, "it ends", func() bool { return operation(t, c, "d").State.Ended() })
			if o = operation(t, c, "d"); o.State != fleet.Succeeded {
				t.Errorf("the operation is %s: %s", o.State, o.Reason)
			}
			for _, x := range r.instances {
				if n := x.count(control.Drain); n != 1 {
					t.Errorf("%s drained %d times", x.name, n)
				}
			}
			if mu.Lock(); failed == 0 {
				t.Error("no write failed")
			}
			mu.Unlock()
		})
	}
}
