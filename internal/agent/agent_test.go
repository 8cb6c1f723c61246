package agent

import (
	"errors"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"onyxstream/internal/control"
	"onyxstream/internal/fleet"
)

// A client that got no response may submit its request again. Repeated requests, concurrent or after a restart of the
// agent, must not start a second operation.
func TestSubmit_RepeatedRequest_IsOneOperation(t *testing.T) {
	t.Parallel()
	r := newTestFleet(t, 3)
	c, stop := r.startAgent(t, nil)
	eventually(t, "all instances are up", func() bool { return allUp(c) })
	request := drainRequest("d", r.names())
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			if o, err := submit(t, c, request); err != nil || o.Fence != 1 {
				t.Errorf("Submit: fence %d, error %v, want fence 1", o.Fence, err)
			}
		})
	}
	wg.Wait()
	eventually(t, "the operation ends", func() bool { return operation(t, c, "d").State == fleet.Succeeded })
	_ = stop()
	c, _ = r.startAgent(t, nil)
	eventually(t, "all instances are up", func() bool { return allUp(c) })
	if o, err := submit(t, c, request); err != nil || o.State != fleet.Succeeded {
		t.Errorf("operation after a restart of the agent: %s, error %v, want done", o.State, err)
	}
	r.checkDrainedOnce(t)
	other := drainRequest("d", r.names()[:1])
	var remote *control.RemoteError
	if _, err := submit(t, c, other); !errors.As(err, &remote) || remote.Code != http.StatusConflict {
		t.Errorf("same ID with other contents: %v, want status 409", err)
	}
	other.ID = "e"
	other.Options.AllowEmptyZone = false
	if _, err := submit(t, c, other); !errors.As(err, &remote) || remote.Code != http.StatusPreconditionFailed {
		t.Errorf("drain that exceeds its limits: %v, want status 412", err)
	}
}

// A slow instance does not delay others, and a restarted instance gets its desired state again.
func TestAgent_SlowOrRestartedInstance_DrainsAll(t *testing.T) {
	t.Parallel()
	r := newTestFleet(t, 4)
	r.instances[0].statusGate = make(chan struct{})
	defer close(r.instances[0].statusGate)
	c, _ := r.startAgent(t, nil)
	up := func() (n int) {
		for _, v := range views(c) {
			if v.Reachability == fleet.Up {
				n++
			}
		}
		return n
	}
	eventually(t, "three instances are up", func() bool { return up() == 3 })
	request := drainRequest("d", r.names()[1:])
	request.Options.MaxUnavailable = 4 // the slow instance is Unknown, which counts as unavailable
	if _, err := submit(t, c, request); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the other instances are drained", func() bool { return operation(t, c, "d").State == fleet.Succeeded })
	if up() > 3 {
		t.Error("the slow instance has responded, want it blocked until the test ends")
	}
	x := r.instances[2]
	x.stop()
	x.start(t)
	eventually(t, "the restarted instance is drained again", func() bool { return x.count(control.Drain) == 2 })
	time.Sleep(500 * time.Millisecond)
	if n := x.count(control.Drain); n != 2 {
		t.Errorf("the restarted instance was drained %d times, want 2", n)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.applied[0] != x.applied[1] {
		t.Errorf("the first drain is %+v, the second %+v, want the same command", x.applied[0], x.applied[1])
	}
}

// Two agents with one store would overwrite each other's operations.
func TestNew_StoreInUse_Fails(t *testing.T) {
	t.Parallel()
	r := newTestFleet(t, 1)
	c, _ := r.startAgent(t, nil)
	eventually(t, "the instance of the first agent is up", func() bool { return allUp(c) })
	if _, err := New(r.cfg, zap.NewNop()); err == nil || !strings.Contains(err.Error(), "in use by another agent") {
		t.Errorf("New with a store in use: error %v, want in use by another agent", err)
	}
}
