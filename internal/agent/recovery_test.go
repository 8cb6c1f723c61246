package agent

import (
	"errors"
	"sync"
	"testing"

	"onyxstream/internal/fleet"
)

var errKilled = errors.New("killed")

// killSwitch ends an agent before or after its n-th write.
type killSwitch struct {
	n         int
	afterSave bool

	mu     sync.Mutex
	writes int
	killed bool
}

// hook is the agent's saveHook.
func (k *killSwitch) hook(saved bool) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if saved != k.afterSave {
		return nil
	}
	k.writes++
	if k.writes != k.n {
		return nil
	}
	k.killed = true
	return errKilled
}

func (k *killSwitch) hasKilled() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.killed
}

// An agent that is killed before or after any write continues its operations after a restart: no operation that it had
// acknowledged is lost, and no instance applies a command twice.
func TestAgent_KilledAtEachWrite_AppliesOnce(t *testing.T) {
	t.Parallel()
	for n := 1; ; n++ {
		before := &killSwitch{n: n}
		drainWithKill(t, before)
		after := &killSwitch{n: n, afterSave: true}
		drainWithKill(t, after)
		if before.hasKilled() || after.hasKilled() {
			continue
		}
		if n < 5 {
			t.Errorf("the operation took %d writes, want at least 4", n-1)
		}
		return
	}
}

// drainWithKill drains three instances with an agent that is killed, and with a second agent after the first.
func drainWithKill(t *testing.T, kill *killSwitch) {
	t.Helper()
	r := newTestFleet(t, 3)
	request := drainRequest("d", r.names())
	c, stop := r.startAgent(t, func(a *Agent) { a.saveHook = kill.hook })
	eventually(t, "all instances are up", func() bool { return allUp(c) })
	_, err := submit(t, c, request)
	acknowledged := err == nil
	if acknowledged {
		eventually(t, "the operation ends or the agent is killed", func() bool {
			return kill.hasKilled() || operation(t, c, "d").State.Ended()
		})
	}
	_ = stop()
	c, stop = r.startAgent(t, nil)
	eventually(t, "all instances are up again", func() bool { return allUp(c) })
	if !acknowledged {
		if _, err := submit(t, c, request); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, "the operation ends", func() bool { return operation(t, c, "d").State.Ended() })
	if o := operation(t, c, "d"); o.State != fleet.Succeeded {
		t.Fatalf("killed at write %d (after the write: %v): operation %s: %s, want done", kill.n, kill.afterSave, o.State, o.Reason)
	}
	r.checkDrainedOnce(t)
	if t.Failed() {
		t.Fatalf("agent killed at write %d (after the write: %v): see the errors above", kill.n, kill.afterSave)
	}
	for _, x := range r.instances {
		x.stop()
	}
	_ = stop()
}
