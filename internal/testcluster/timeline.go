package testcluster

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"onyxstream/internal/ctxtime"
	"onyxstream/internal/fakeserver"
)

// timeline runs the faults of a cluster.
type timeline struct {
	cancel context.CancelFunc // nil before the first run
	wg     sync.WaitGroup
	mu     sync.Mutex
	err    error // the first error of a fault
}

// stop cancels the remaining faults and waits for the goroutines of the timeline.
func (t *timeline) stop() {
	if t.cancel != nil {
		t.cancel()
	}
	t.wg.Wait()
}

// setError keeps the first error.
func (t *timeline) setError(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.err == nil {
		t.err = err
	}
}

// ScheduleFaults starts a timeline of faults in a goroutine. Faults with the same time start in the given order. Added
// hosts must have ascending numbers in the order in which their faults start.
func (c *Cluster) ScheduleFaults(ctx context.Context, faults []FaultSpec) {
	ctx, c.timeline.cancel = context.WithCancel(ctx)
	faults = slices.Clone(faults)
	slices.SortStableFunc(faults, func(a, b FaultSpec) int { return int(a.At - b.At) })
	start := time.Now()
	c.timeline.wg.Go(func() {
		for _, fault := range faults {
			if !ctxtime.Sleep(ctx, time.Until(start.Add(fault.At.AsDuration()))) {
				return
			}
			end, err := c.StartFault(fault)
			if err != nil {
				c.timeline.setError(err)
			}
			if fault.Duration <= 0 {
				continue
			}
			endAt := start.Add(fault.At.AsDuration() + fault.Duration.AsDuration())
			c.timeline.wg.Go(func() { c.endFaultAt(ctx, endAt, end) })
		}
	})
}

// endFaultAt ends a fault at a time, unless the context ends earlier.
func (c *Cluster) endFaultAt(ctx context.Context, at time.Time, end func() error) {
	if !ctxtime.Sleep(ctx, time.Until(at)) {
		return
	}
	if err := end(); err != nil {
		c.timeline.setError(err)
	}
}

// Err returns the error of the first fault of the timeline that could not be started or ended, or an error that names
// the processes that exited unexpectedly, or nil.
func (c *Cluster) Err() error {
	c.timeline.mu.Lock()
	defer c.timeline.mu.Unlock()
	if c.timeline.err != nil {
		return c.timeline.err
	}
	return c.unexpectedExits()
}

// StartFault starts a fault now, concurrently on all of its targets, and returns a function that ends it. The fault's At
// and Duration are ignored. The error names the targets on which it could not be started.
func (c *Cluster) StartFault(fault FaultSpec) (end func() error, err error) {
	targets, err := c.config.parseTargets(fault.Target)
	if err != nil {
		return func() error { return nil }, err
	}
	active := &activeFault{
		fault:   fault,
		targets: targets,
		ends:    make([]func() error, len(targets)),
		errs:    make([]error, len(targets)),
	}
	err = active.forEach(func(i int) (err error) {
		active.ends[i], err = c.startFaultOn(fault, targets[i])
		return err
	})
	return active.end, err
}

// activeFault is a fault that was started on several targets.
type activeFault struct {
	fault   FaultSpec
	targets []target
	ends    []func() error // one per target; nil for a fault that can't be ended
	errs    []error        // the last error of each target
}

// end ends the fault on all targets. Its error includes the errors of the start.
func (a *activeFault) end() error {
	return a.forEach(func(i int) error {
		if a.ends[i] == nil {
			return nil
		}
		return a.ends[i]()
	})
}

// forEach runs a function for all targets concurrently and joins their errors.
func (a *activeFault) forEach(f func(i int) error) error {
	var wg sync.WaitGroup
	for i, t := range a.targets {
		wg.Go(func() {
			if err := f(i); err != nil {
				a.errs[i] = fmt.Errorf("%s on %s: %w", a.fault.Kind, t.name, err)
			}
		})
	}
	wg.Wait()
	return errors.Join(a.errs...)
}

// Details of fault events other than the kinds of faults.
const (
	detailSlow  = "slow"
	detailEnd   = "well" // the fault has ended
	detailAdd   = "added"
	detailStart = "starts" // a process starts again
)

// recordFault records that a fault began or ended.
func (c *Cluster) recordFault(source, detail string) {
	c.EventLog.Add(fakeserver.Event{Source: source, Kind: fakeserver.EventFault, Detail: detail})
}
