package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Submit starts an operation. For a request with a known ID it returns the existing operation, or an error if the
// request differs from it. The error is a LimitError if a drain exceeds its limits.
func (f *Fleet) Submit(now time.Duration, r Request) (Operation, error) {
	f.advanceClock(now)
	f.expireObservations()
	if o := f.operations[r.ID]; o != nil {
		if !sameRequest(o.Request, r) {
			return Operation{}, fmt.Errorf("operation %q already exists with other contents", r.ID)
		}
		return o.clone(), nil
	}
	if err := f.prepare(&r); err != nil {
		return Operation{}, err
	}
	if err := f.checkLimits(&r); err != nil {
		return Operation{}, err
	}
	if len(f.running) >= f.cfg.MaxRunningOperations {
		return Operation{}, fmt.Errorf("too many operations: %d are running", len(f.running))
	}
	o := &Operation{
		Request:   r,
		Fence:     f.nextFence(),
		State:     Running,
		Steps:     map[string]*Step{},
		elapsedAt: f.now,
	}
	for _, name := range r.Targets {
		o.Steps[name] = &Step{State: StepWaiting, changedAt: f.now}
	}
	f.supersede(o)
	f.operations[o.ID] = o
	f.running = append(f.running, o)
	f.save(o)
	return o.clone(), nil
}

// nextFence returns a fence above all fences that instances report. They may report fences that the agent does not know,
// if its store was lost.
func (f *Fleet) nextFence() uint64 {
	for _, observation := range f.observations {
		f.fence = max(f.fence, observation.Status.Fence)
	}
	f.fence++
	f.change.Fence = f.fence
	return f.fence
}

// supersede ends the steps of older operations that have the same scope as a step of the newest operation.
func (f *Fleet) supersede(newest *Operation) {
	for _, o := range f.running {
		if o.Host != newest.Host || o.isInstanceWide() != newest.isInstanceWide() {
			continue
		}
		changed := false
		for name, step := range o.Steps {
			if newest.Steps[name] != nil && !step.State.Ended() {
				f.setState(step, StepSuperseded, "by "+newest.ID)
				changed = true
			}
		}
		if changed {
			f.save(o)
		}
	}
}

// Abort ends an operation, which then starts no further steps. Commands that instances accepted stay in effect.
func (f *Fleet) Abort(now time.Duration, id, reason string) (Operation, error) {
	f.advanceClock(now)
	o := f.operations[id]
	if o == nil {
		return Operation{}, ErrUnknownOperation
	}
	if !o.State.Ended() {
		f.finish(o, Aborted, reason)
	}
	return o.clone(), nil
}

// Continue resumes a paused operation, which then ignores further failures. It has no effect on other operations.
func (f *Fleet) Continue(now time.Duration, id string) (Operation, error) {
	f.advanceClock(now)
	o := f.operations[id]
	if o == nil {
		return Operation{}, ErrUnknownOperation
	}
	if o.State == Paused {
		o.State = Running
		o.Reason = ""
		o.Options.OnFailure = ContinueOnFailure
		f.save(o)
	}
	return o.clone(), nil
}

// Operations returns all operations, newest first.
func (f *Fleet) Operations() (operations []Operation) {
	for _, o := range f.operations {
		operations = append(operations, o.clone())
	}
	slices.SortFunc(operations, func(a, b Operation) int { return cmp.Compare(b.Fence, a.Fence) })
	return operations
}

// Operation returns the operation with the given ID, or ErrUnknownOperation.
func (f *Fleet) Operation(id string) (Operation, error) {
	o := f.operations[id]
	if o == nil {
		return Operation{}, ErrUnknownOperation
	}
	return o.clone(), nil
}
