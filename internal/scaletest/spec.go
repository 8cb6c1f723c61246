// Package scaletest measures what watching the endpoint list costs fleets of many sizes, and extrapolates the cost at a
// target size. Simulated nodes, many in one process, run the event loop, the discovery protocol and the balancer of a real
// node without clients. Fleets of real processes are measured in the same way, and the two are compared.
package scaletest

import (
	"time"

	"onyxstream/internal/tomlfile"
)

// Spec describes what is measured. It is the content of a spec file; its JSON keys are part of results.
type Spec struct {
	Name           string `toml:"name" json:"Name"`
	Seed           uint64 `toml:"seed" json:"Seed"`
	SimulatedSizes []int  `toml:"hollow" json:"Hollow"` // of fleets of simulated nodes, in nodes
	RealSizes      []int  `toml:"real" json:"Real"`     // of fleets of real processes; also measured with simulated nodes
	Hosts          int    `toml:"hosts" json:"Hosts"`

	IdleDuration  tomlfile.Duration `toml:"rest" json:"Rest"`       // of the phase without changes
	Changes       int               `toml:"changes" json:"Changes"` // of the endpoint list, one host each
	ChangesPerDay float64           `toml:"per_day" json:"PerDay"`  // in service
	Speedup       float64           `toml:"factor" json:"Factor"`   // of the changes against those in service
	RestartShare  float64           `toml:"restart" json:"Restart"` // of the nodes, which restart at once in the last phase
	MaxMemoryMB   int               `toml:"memory_mb" json:"MemoryMB"`

	Target Target `toml:"target" json:"Target"`
}

// Target is the size that the samples are extrapolated to, and the budget of a node there.
type Target struct {
	Nodes          int               `toml:"nodes" json:"Nodes"`
	BytesPerS      float64           `toml:"bytes_per_s" json:"BytesPerS"`
	Cores          float64           `toml:"core_part" json:"CorePart"`
	MemoryMB       float64           `toml:"memory_mb" json:"MemoryMB"`
	MaxPropagation tomlfile.Duration `toml:"in_force" json:"InForceMax"` // from a change until the last node has it
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
		return tomlfile.NewFieldError("hollow", "%d sizes, a slope needs %d at least", len(s.SimulatedSizes), minSizes)
	case !isAscending(s.SimulatedSizes, maxNodes):
		return tomlfile.NewFieldError("hollow", "sizes are to grow, from 1 to %d", maxNodes)
	case !isAscending(s.RealSizes, maxRealNodes):
		return tomlfile.NewFieldError("real", "sizes are to grow, from 1 to %d", maxRealNodes)
	case s.Hosts < minHosts || s.Hosts > maxHosts:
		return tomlfile.NewFieldError("hosts", "%d is not from %d to %d", s.Hosts, minHosts, maxHosts)
	case s.IdleDuration.AsDuration() < minIdleDuration:
		return tomlfile.NewFieldError("rest", "%v is under 1s: processor time is counted in hundredths of a second", s.IdleDuration.AsDuration())
	case s.Changes < 1 || s.Changes > maxChanges:
		return tomlfile.NewFieldError("changes", "%d is not from 1 to %d", s.Changes, maxChanges)
	case !(s.ChangesPerDay > 0):
		return tomlfile.NewFieldError("per_day", "%g is not above 0", s.ChangesPerDay)
	case !(s.Speedup >= 1):
		return tomlfile.NewFieldError("factor", "%g is under 1", s.Speedup)
	case s.changeInterval() < minChangeInterval:
		return tomlfile.NewFieldError("factor", "changes would come each %v, %v is the least", s.changeInterval(), minChangeInterval)
	case !(s.RestartShare >= 0 && s.RestartShare <= 1):
		return tomlfile.NewFieldError("restart", "%g is not from 0 to 1", s.RestartShare)
	case s.MaxMemoryMB < 1:
		return tomlfile.NewFieldError("memory_mb", "%d MB for the measured processes is under 1", s.MaxMemoryMB)
	case s.Target.Nodes < 1:
		return tomlfile.NewFieldError("target.nodes", "%d is under 1", s.Target.Nodes)
	}
	return nil
}

// isAscending reports whether sizes are strictly ascending from 1 to a bound.
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
