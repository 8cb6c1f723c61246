package loadtest

import (
	"errors"
	"fmt"
	"io"
	"time"
)

// TraceSummary summarizes a trace.
type TraceSummary struct {
	Rows             int64
	Duration         time.Duration // last intended time, at speed 1
	Classes, Tenants []string      // in order of appearance
}

// CheckTrace reads and validates a trace to its end, so that errors are found before a replay starts. It returns a summary
// of the trace.
func CheckTrace(path string) (summary TraceSummary, err error) {
	t, err := OpenTrace(path, 1)
	if err != nil {
		return summary, err
	}
	defer t.Close()
	var classes, tenants nameSet
	for {
		r, err := t.Next()
		if errors.Is(err, io.EOF) {
			return summary, nil
		}
		if err != nil {
			return summary, err
		}
		summary.Rows++
		summary.Duration = r.IntendedAt
		if !classes.add(r.Class) || !tenants.add(r.Tenant) {
			return summary, t.errorAt("", fmt.Errorf("more than %d classes or tenants", maxNames))
		}
		summary.Classes = classes.names
		summary.Tenants = tenants.names
	}
}

// nameSet is a set of at most maxNames names that keeps their order of insertion.
type nameSet struct {
	names []string
	seen  map[string]bool
}

// add adds a name. It returns false if the name is new and the set is full.
func (s *nameSet) add(name string) bool {
	if s.seen[name] {
		return true
	}
	if len(s.names) >= maxNames {
		return false
	}
	if s.seen == nil {
		s.seen = map[string]bool{}
	}
	s.seen[name] = true
	s.names = append(s.names, name)
	return true
}
