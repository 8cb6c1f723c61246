// Package scaletest measures what following the list of hosts costs a fleet of many sizes, and reckons from the samples what
// it costs at a target size. Hollow nodes, many in a process, run the real loop, the real protocol of the list and the
// real decision module without clients; beside them real processes are measured in the same way, and the two compared.
package scaletest

import (
	"time"

	"onyxstream/internal/tomlfile"
)

// Spec says what to measure.
type Spec struct {
	Name   string `toml:"name"`
	Seed   uint64 `toml:"seed"`
	Hollow []int  `toml:"hollow"` // sizes of fleets of hollow nodes
	Real   []int  `toml:"real"`   // sizes of fleets of real processes, each measured with hollow nodes too
	Hosts  int    `toml:"hosts"`

	Rest     tomlfile.Duration `toml:"rest"`    // without a change
	Changes  int               `toml:"changes"` // of the list, one host each
	PerDay   float64           `toml:"per_day"` // changes a day in service
	Factor   float64           `toml:"factor"`  // so much faster they come here
	Restart  float64           `toml:"restart"` // share of the nodes that restart at once, in the last phase
	MemoryMB int               `toml:"memory_mb"`

	Target Target `toml:"target"`
}

// Target is the size that the samples are reckoned up to, and what a node may spend there.
type Target struct {
	Nodes      int               `toml:"nodes"`
	BytesPerS  float64           `toml:"bytes_per_s"`
	CorePart   float64           `toml:"core_part"` // of one core
	MemoryMB   float64           `toml:"memory_mb"`
	InForceMax tomlfile.Duration `toml:"in_force"` // from a change until the last node has it
}

const (
	maxNodes   = 20_000
	maxReal    = 250
	maxHosts   = 4096
	minSizes   = 2
	maxChanges = 10_000
)

// interval is the time between changes.
func (s *Spec) interval() time.Duration {
	const day = 24 * time.Hour
	return time.Duration(float64(day) / s.PerDay / s.Factor)
}

// Check says what is wrong, as a *tomlfile.FieldError.
func (s *Spec) Check() error {
	switch {
	case len(s.Hollow) < minSizes:
		return tomlfile.NewFieldError("hollow", "%d sizes, a slope needs %d at least", len(s.Hollow), minSizes)
	case !ascending(s.Hollow, maxNodes):
		return tomlfile.NewFieldError("hollow", "sizes are to grow, from 1 to %d", maxNodes)
	case !ascending(s.Real, maxReal):
		return tomlfile.NewFieldError("real", "sizes are to grow, from 1 to %d", maxReal)
	case s.Hosts < 2 || s.Hosts > maxHosts:
		return tomlfile.NewFieldError("hosts", "%d is not from 2 to %d", s.Hosts, maxHosts)
	case s.Rest.AsDuration() < time.Second:
		return tomlfile.NewFieldError("rest", "%v is under 1s: processor time is counted in hundredths of a second", s.Rest.AsDuration())
	case s.Changes < 1 || s.Changes > maxChanges:
		return tomlfile.NewFieldError("changes", "%d is not from 1 to %d", s.Changes, maxChanges)
	case !(s.PerDay > 0):
		return tomlfile.NewFieldError("per_day", "%g is not above 0", s.PerDay)
	case !(s.Factor >= 1):
		return tomlfile.NewFieldError("factor", "%g is under 1", s.Factor)
	case s.interval() < time.Millisecond:
		return tomlfile.NewFieldError("factor", "changes would come each %v, 1ms is the least", s.interval())
	case !(s.Restart >= 0 && s.Restart <= 1):
		return tomlfile.NewFieldError("restart", "%g is not from 0 to 1", s.Restart)
	case s.MemoryMB < 1:
		return tomlfile.NewFieldError("memory_mb", "%d MB for the measured processes is under 1", s.MemoryMB)
	case s.Target.Nodes < 1:
		return tomlfile.NewFieldError("target.nodes", "%d is under 1", s.Target.Nodes)
	}
	return nil
}

// ascending reports whether sizes grow from 1 to a bound.
func ascending(sizes []int, bound int) bool {
	last := 0
	for _, n := range sizes {
		if n <= last || n > bound {
			return false
		}
		last = n
	}
	return true
}
