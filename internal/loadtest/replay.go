package loadtest

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"onyxstream/internal/tomlfile"
)

// adoptTrace adds the tenants of a trace to the scenario. Its classes must be in the scenario, as a trace has no deadlines.
func (s *Scenario) adoptTrace(trace TraceSummary) error {
	known := map[string]bool{}
	for _, class := range s.Classes {
		known[class.Name] = true
	}
	for _, class := range trace.Classes {
		if !known[class] {
			return fmt.Errorf("class %q of the trace is not in the scenario, so its deadline is not known", class)
		}
	}
	known = map[string]bool{}
	for _, tenant := range s.Tenants {
		known[tenant.Name] = true
	}
	for _, tenant := range trace.Tenants {
		if !known[tenant] {
			s.Tenants = append(s.Tenants, WeightedName{Name: tenant})
		}
	}
	return nil
}

// replayLifetime is the lifetime of a class in ReplayScenario. Requests of a trace have their own.
const replayLifetime = time.Minute

// ReplayScenario returns a scenario for the replay of a trace without a scenario file. All classes have one deadline.
func ReplayScenario(path string, deadline time.Duration) (*Scenario, error) {
	summary, err := CheckTrace(path)
	if err != nil {
		return nil, err
	}
	s := &Scenario{
		Name:   "replay",
		Seed:   1,
		Phases: []Phase{{Duration: tomlfile.Duration(max(summary.Duration, time.Millisecond))}},
	}
	for _, class := range summary.Classes {
		s.Classes = append(s.Classes, Class{
			Name:     class,
			Share:    1,
			Deadline: tomlfile.Duration(deadline),
			Lifetime: tomlfile.Duration(replayLifetime),
		})
	}
	for _, tenant := range summary.Tenants {
		s.Tenants = append(s.Tenants, WeightedName{Name: tenant, Share: 1})
	}
	return s, s.Check()
}

// recordQueueSize is how many requests may wait for the disk before one is lost.
const recordQueueSize = 1 << 16

// recordTo has the requests of a run written to a trace by a goroutine of its own, since OnRequest must not block. finish
// ends the trace once the run has ended, and returns an error where requests are missing.
func recordTo(cfg *Config, path string) (finish func() error, err error) {
	w, err := CreateTrace(path)
	if err != nil {
		return nil, err
	}
	queue := make(chan Request, recordQueueSize)
	lost := 0
	var writeError error
	var writer sync.WaitGroup
	writer.Go(func() {
		for r := range queue {
			if writeError == nil {
				writeError = w.Write(r)
			}
		}
	})
	cfg.OnRequest = func(r Request) {
		select {
		case queue <- r:
		default:
			lost++
		}
	}
	return func() error {
		close(queue)
		writer.Wait()
		if lost > 0 {
			writeError = errors.Join(writeError, fmt.Errorf("%s: %d requests are missing: the disk was too slow", path, lost))
		}
		return errors.Join(writeError, w.Close())
	}, nil
}
