// Package scaletest measures the cost of watching the endpoint list in fleets of several sizes, and extrapolates it to a
// target size. Simulated nodes share a process and run the event loop, the discovery protocol and the balancer of a real
// node, but have no clients. Fleets of real processes are measured in the same way, and the two kinds are compared.
package scaletest

import (
	"time"

	"onyxstream/internal/tomlfile"
)

// Spec describes a measurement. It is the decoded form of a spec file. Results contain it as JSON, so that its JSON keys
// must not change.
type Spec struct {
	Name           string `toml:"name" json:"Name"`
	Seed           uint64 `toml:"seed" json:"Seed"`
	SimulatedSizes []int  `toml:"hollow" json:"Hollow"` // sizes of the simulated fleets, in nodes
	RealSizes      []int  `toml:"real" json:"Real"`     // sizes of the real fleets; each is also measured with simulated nodes
	Hosts          int    `toml:"hosts" json:"Hosts"`

	IdleDuration  tomlfile.Duration `toml:"rest" json:"Rest"`          // duration of the phase without changes
	Changes       int               `toml:"changes" json:"Changes"`    // number of endpoint list changes, each to one host
	ChangesPerDay float64           `toml:"per_day" json:"PerDay"`     // rate of changes in production
	Speedup       float64           `toml:"factor" json:"Factor"`      // factor by which changes are faster than in production
	RestartShare  float64           `toml:"restart" json:"Restart"`    // share of the nodes that restart simultaneously in the last phase
	MaxMemoryMB   int               `toml:"memory_mb" json:"MemoryMB"` // maximum memory of all nodes of a fleet together

	Target Target `toml:"target" json:"Target"`
}

// Target is the fleet size that the samples are extrapolated to, and the budgets at this size. Budgets other than
// MaxPropagation are per node.
type Target struct {
	Nodes          int               `toml:"nodes" json:"Nodes"`
	BytesPerS      float64           `toml:"bytes_per_s" json:"BytesPerS"`
	Cores          float64           `toml:"core_part" json:"CorePart"`
	MemoryMB       float64           `toml:"memory_mb" json:"MemoryMB"`
	MaxPropagation tomlfile.Duration `toml:"in_force" json:"InForceMax"` // from a change until the last node receives it
}

// Bounds of a spec.
const (
	maxNodes          = 20_000
	maxRealNodes      = 250
	minHosts          = 2
	maxHosts          = 4096
	minSizes          = 2
	maxChanges        = 10_000
	minIdleDuration   = time.Second
	minChangeInterval = time.Millisecond
)

// changeInterval is the time between two changes.
func (s *Spec) changeInterval() time.Duration {
	const day = 24 * time.Hour
	return time.Duration(float64(day) / s.ChangesPerDay / s.Speedup)
}

// Check validates the spec. Errors are *tomlfile.FieldError.
func (s *Spec) Check() error {
	switch {
	case len(s.SimulatedSizes) < minSizes:
		return tomlfile.NewFieldError("hollow", "%d sizes; a linear fit requires at least %d", len(s.SimulatedSizes), minSizes)
	case !isAscending(s.SimulatedSizes, maxNodes):
		return tomlfile.NewFieldError("hollow", "sizes must ascend, from 1 to %d", maxNodes)
	case !isAscending(s.RealSizes, maxRealNodes):
		return tomlfile.NewFieldError("real", "sizes must ascend, from 1 to %d", maxRealNodes)
	case s.Hosts < minHosts || s.Hosts > maxHosts:
		return tomlfile.NewFieldError("hosts", "%d is not between %d and %d", s.Hosts, minHosts, maxHosts)
	case s.IdleDuration.AsDuration() < minIdleDuration:
		return tomlfile.NewFieldError("rest", "%v is less than 1s; processor time is counted in hundredths of a second", s.IdleDuration.AsDuration())
	case s.Changes < 1 || s.Changes > maxChanges:
		return tomlfile.NewFieldError("changes", "%d is not between 1 and %d", s.Changes, maxChanges)
	case !(s.ChangesPerDay > 0):
		return tomlfile.NewFieldError("per_day", "%g is not above 0", s.ChangesPerDay)
	case !(s.Speedup >= 1):
		return tomlfile.NewFieldError("factor", "%g is less than 1", s.Speedup)
	case s.changeInterval() < minChangeInterval:
		return tomlfile.NewFieldError("factor", "interval between changes would be %v; the minimum is %v", s.changeInterval(), minChangeInterval)
	case !(s.RestartShare >= 0 && s.RestartShare <= 1):
		return tomlfile.NewFieldError("restart", "%g is not between 0 and 1", s.RestartShare)
	case s.MaxMemoryMB < 1:
		return tomlfile.NewFieldError("memory_mb", "%d MB for the measured processes is less than 1 MB", s.MaxMemoryMB)
	case s.Target.Nodes < 1:
		return tomlfile.NewFieldError("target.nodes", "%d is less than 1", s.Target.Nodes)
	}
	return nil
}

// isAscending reports whether the sizes are strictly ascending and from 1 to bound.
func isAscending(sizes []int, bound int) bool {
	last := 0
	for _, n := range sizes {
		if n <= last || n > bound {
			return false
		}
		last = n
	}
	return true
}
