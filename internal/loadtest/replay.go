package loadtest

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"onyxstream/internal/tomlfile"
)

// adoptTrace adds the tenants of a trace to the scenario. It returns an error if the trace has a class that is not in the
// scenario, because the trace does not contain the deadlines.
func (s *Scenario) adoptTrace(trace TraceSummary) error {
	known := map[string]bool{}
	for _, class := range s.Classes {
		known[class.Name] = true
	}
	for _, class := range trace.Classes {
		if !known[class] {
			return fmt.Errorf("class %q of the trace has no deadline: it is missing in the scenario", class)
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

// replayLifetime is the lifetime of the classes in ReplayScenario. It has no effect, because each request of a trace has
// its own lifetime.
const replayLifetime = time.Minute

// ReplayScenario returns a scenario for replaying a trace without a scenario file. All classes have the same deadline.
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

// recordQueueSize is the number of requests that can wait to be written to disk. Requests beyond it are not recorded.
const recordQueueSize = 1 << 16

// recordTo records the requests of a run in a trace. A separate goroutine writes the trace, because OnRequest must not
// block. The caller must call finish after the run, which completes the trace and returns an error if the trace lacks
// requests.
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
			writeError = errors.Join(writeError, fmt.Errorf("%s: %d requests not recorded: the disk was too slow", path, lost))
		}
		return errors.Join(writeError, w.Close())
	}, nil
}
