// Package capacity models the capacity of a host: the number and speed of its cores, the drifting load of established
// connections, the cost of a connection group, connection setups that call a session store and then need work, slow
// start, and the collapse of a host that is overloaded during slow start.
//
// The model is a deterministic state machine. The caller passes in events and the time, and the model returns the
// resulting events. It uses no sockets and no clock, so that fake servers and simulations in virtual time can share it.
package capacity

import (
	"fmt"
	"time"
)

// Spec describes a host. Work is measured in seconds of a core of speed 1, and load in units of work per second.
type Spec struct {
	Cores             float64       // number of cores
	Speed             float64       // speed of one core; 1 is the reference
	ConnectionLoad    float64       // mean load of an established connection
	LoadDrift         float64       // largest deviation of a load from its mean, as a fraction of the mean; 0 for none
	GroupCost         float64       // load of each group with an established connection, in multiples of ConnectionLoad
	SetupWork         float64       // work of one connection setup
	LineWork          float64       // work to answer one line
	MaxConnections    int           // limit of connections, including those in setup; 0 for none
	MaxSetups         int           // limit of concurrent setups; 0 for none
	SlowStartFraction float64       // fraction of the capacity available at a cold start; 0 or 1 for no slow start
	SlowStartDuration time.Duration // time from a cold start to the full capacity
	CollapseMultiple  float64       // in slow start, a host collapses when its load exceeds this multiple of its capacity
	CollapseAfter     time.Duration // time above CollapseMultiple until the collapse; 0 for a host that never collapses
}

// Check validates the spec. If a field is out of range, it returns an error for the first such field, and the
// configuration key of that field.
func (s Spec) Check() (field string, err error) {
	for _, f := range []struct {
		name            string
		value, min, max float64
	}{
		{"cores", s.Cores, 0.01, 1024},
		{"speed", s.Speed, 0.001, 1000},
		{"load", s.ConnectionLoad, 0, 1000},
		{"drift", s.LoadDrift, 0, 1},
		{"group", s.GroupCost, 0, 1e6},
		{"setup", s.SetupWork, 0, 60},
		{"lines", s.LineWork, 0, 60},
		{"most", float64(s.MaxConnections), 0, 1e9},
		{"queue", float64(s.MaxSetups), 0, 1e9},
		{"cold", s.SlowStartFraction, 0, 1},
		{"warm", s.SlowStartDuration.Seconds(), 0, 86400},
		{"fall", s.CollapseMultiple, 0, 1e6},
		{"fall_in", s.CollapseAfter.Seconds(), 0, 86400},
	} {
		inRange := f.value >= f.min && f.value <= f.max // false for NaN too
		if !inRange {
			return f.name, fmt.Errorf("%g is not between %g and %g", f.value, f.min, f.max)
		}
	}
	return "", nil
}
