package fleet

import (
	"fmt"
	"time"

	"onyxstream/internal/control"
)

// simulatedInstance is an instance in virtual time, with a real command register.
type simulatedInstance struct {
	name        string
	restarts    int
	register    *control.Register
	draining    bool
	drainedAt   time.Duration // time at which its last connection closes
	up          bool
	partitioned bool // no message passes between the agent and the instance
	overrides   map[string]bool
}

// restart starts the instance anew, without the commands that it applied before.
func (x *simulatedInstance) restart() {
	x.restarts++
	x.register = control.NewRegister(x.incarnation())
	x.draining = false
	x.overrides = map[string]bool{}
}

// incarnation identifies a start of the instance.
func (x *simulatedInstance) incarnation() string { return fmt.Sprint(x.name, "-", x.restarts) }

func (x *simulatedInstance) status(now time.Duration) control.Status {
	s := control.Status{Name: x.name, Incarnation: x.incarnation(), State: control.Serving}
	s.Operation, s.Fence = x.register.Current()
	if x.draining {
		s.State = control.Draining
		if now >= x.drainedAt {
			s.State = control.Drained
		}
	}
	return s
}

// apply applies a command. It fails the test if more instances drain then than the limit allows.
func (x *simulatedInstance) apply(sim *simulation, c control.Command) {
	switch c.Kind {
	case control.Drain:
		x.draining = true
		x.drainedAt = sim.now + time.Duration(sim.rng.Int64N(2e9))
	case control.Resume:
		x.draining = false
	case control.HostDrain, control.HostResume:
		x.overrides[c.Host] = c.Kind == control.HostDrain
	}
	draining := 0
	for _, other := range sim.instances {
		if other.draining {
			draining++
		}
	}
	if draining > sim.maxDraining {
		sim.t.Fatalf("%v: %d instances are draining, limit %d", sim.now, draining, sim.maxDraining)
	}
}
