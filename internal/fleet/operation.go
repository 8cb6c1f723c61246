package fleet

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"onyxstream/internal/control"
)

// State is where an operation stands.
type State string

// The states of an operation.
const (
	Running   State = "running"
	Paused    State = "paused" // a step failed; an operator says how it goes on
	Succeeded State = "done"
	Failed    State = "failed"
	Aborted   State = "aborted"
)

// Ended reports whether nothing more is begun for it.
func (s State) Ended() bool { return s == Succeeded || s == Failed || s == Aborted }

// StepState is where one instance of an operation stands.
type StepState string

// The states of a step.
const (
	StepWaiting    StepState = "waiting"
	StepDelivering StepState = "telling" // a call was made or is to be made again; whether it took effect is not known
	StepAccepted   StepState = "told"    // the instance has taken it
	StepDone       StepState = "done"    // the instance is as it was told to be
	StepFailed     StepState = "failed"
	StepSuperseded StepState = "superseded" // a newer operation is about the same instance
	StepSkipped    StepState = "skipped"    // the operation ended before
)

// Ended reports whether nothing more is done for the step.
func (s StepState) Ended() bool {
	return s == StepDone || s == StepFailed || s == StepSuperseded || s == StepSkipped
}

// Step is one instance of an operation.
type Step struct {
	State  StepState `json:"state"`
	Reason string    `json:"why,omitempty"`
	Boot   string    `json:"boot,omitempty"` // which start of the instance has taken it

	attempts  int
	retryAt   time.Duration // when it may be told again
	changedAt time.Duration // when it came into its state
}

// Options are how an operation goes about its work.
type Options struct {
	WaveSize              int           `json:"at_once"`          // instances under way at one time: a wave; 0 for one
	MaxUnavailable        int           `json:"unavailable"`      // instances not available at one time, in the whole; 0 for half of them
	MaxUnavailablePerZone int           `json:"unavailable_zone"` // in each zone; 0 for all but one
	AllowEmptyZone        bool          `json:"empty_zone"`       // a zone may be left with none
	DrainTimeout          time.Duration `json:"within_ns"`        // by when a drained instance sends all away; 0 for 30 s
	RetryAfter            time.Duration `json:"retry_after_ns"`   // what those who are turned away are told; 0 for 1 s
	StepTimeout           time.Duration `json:"step_within_ns"`   // by when a told instance is as told; 0 for Within and 10 s
	Deadline              time.Duration `json:"deadline_ns"`      // of the whole; 0 for the agent's
	OnFailure             string        `json:"on_failure"`       // "pause", "abort" or "continue"; "" for pause
}

// Request is an operation as it is ordered.
type Request struct {
	ID      string              `json:"id"` // chosen by who orders: the same one again is the same operation
	Kind    control.CommandKind `json:"kind"`
	Host    string              `json:"host,omitempty"`
	Targets []string            `json:"targets"` // in the order in which they are to be told
	Options Options             `json:"options"`
}

// Operation is an order and how far it came.
type Operation struct {
	Request
	Fence   uint64           `json:"fence"`
	State   State            `json:"state"`
	Reason  string           `json:"why,omitempty"`
	Steps   map[string]*Step `json:"steps"`
	Elapsed time.Duration    `json:"spent_ns"` // of its deadline, as of the last save; clocks don't count

	elapsedAt time.Duration // when Spent was reckoned
}

func (o *Operation) clone() Operation {
	c := *o
	c.Targets = slices.Clone(o.Targets)
	c.Steps = map[string]*Step{}
	for name, s := range o.Steps {
		step := *s
		c.Steps[name] = &step
	}
	return c
}

func (o *Operation) isInstanceWide() bool { return o.Kind == control.Drain || o.Kind == control.Resume }

func (o *Operation) command() control.Command {
	c := control.Command{Operation: o.ID, Fence: o.Fence, Kind: o.Kind, Host: o.Host}
	if o.Kind == control.Drain {
		c.DrainTimeout, c.RetryAfter = o.Options.DrainTimeout, o.Options.RetryAfter
	}
	return c
}

func (o *Operation) scope(name string) Scope { return Scope{name, o.Host} }

// countSteps tells how many steps are in which state.
func (o *Operation) countSteps() map[StepState]int {
	n := map[StepState]int{}
	for _, s := range o.Steps {
		n[s.State]++
	}
	return n
}

// ErrUnknownOperation says that there is no such operation.
var ErrUnknownOperation = errors.New("there is no such operation")

const (
	defaultDrainTimeout = 30 * time.Second
	defaultRetryAfter   = time.Second
	stepTimeoutMargin   = 10 * time.Second
	maxTargets          = 10_000
)

// check fills in defaults and says what is wrong with a request.
func (f *Fleet) check(r *Request) error {
	if len(r.Targets) == 0 || len(r.Targets) > maxTargets {
		return fmt.Errorf("targets: there are %d, not 1 to %d", len(r.Targets), maxTargets)
	}
	seen := map[string]bool{}
	for _, name := range r.Targets {
		if _, ok := f.instances[name]; !ok {
			return fmt.Errorf("targets: %q is not in the inventory", name)
		}
		if seen[name] {
			return fmt.Errorf("targets: %q is named twice", name)
		}
		seen[name] = true
	}
	o := &r.Options
	for _, d := range []struct {
		v   *time.Duration
		def time.Duration
	}{{&o.DrainTimeout, defaultDrainTimeout}, {&o.RetryAfter, defaultRetryAfter}, {&o.Deadline, f.cfg.DefaultDeadline}} {
		if *d.v == 0 {
			*d.v = d.def
		}
	}
	if o.StepTimeout == 0 {
		o.StepTimeout = o.DrainTimeout + stepTimeoutMargin
	}
	if o.WaveSize == 0 {
		o.WaveSize = 1
	}
	if o.OnFailure == "" {
		o.OnFailure = "pause"
	}
	switch {
	case o.WaveSize < 0 || o.MaxUnavailable < 0 || o.MaxUnavailablePerZone < 0:
		return errors.New("options: a number is negative")
	case o.StepTimeout < 0 || o.Deadline < 0:
		return errors.New("options: a time is negative")
	case o.OnFailure != "pause" && o.OnFailure != "abort" && o.OnFailure != "continue":
		return fmt.Errorf("options: on_failure %q is neither pause, abort nor continue", o.OnFailure)
	}
	c := (&Operation{Request: *r, Fence: 1}).command()
	return c.Check()
}

// limits are how many may be unavailable at one time, in the whole and in a zone.
func (f *Fleet) limits(o *Options, zone string) (whole, inZone int) {
	whole, inZone = o.MaxUnavailable, o.MaxUnavailablePerZone
	size := 0
	for _, x := range f.instances {
		if x.Zone == zone {
			size++
		}
	}
	if whole == 0 {
		whole = max(len(f.instances)/2, 1)
	}
	if inZone == 0 || inZone >= size && !o.AllowEmptyZone {
		inZone = size
		if !o.AllowEmptyZone {
			inZone = size - 1
		}
	}
	return whole, inZone
}

// LimitError says that an order would take more instances away than its limits allow.
type LimitError struct{ Text string }

func (e *LimitError) Error() string { return e.Text }

// checkLimits says whether a drain of all targets is within its limits, as things stand.
func (f *Fleet) checkLimits(r *Request) error {
	if r.Kind != control.Drain {
		return nil
	}
	gone, zones := map[string]bool{}, map[string]int{}
	for name, s := range f.observations {
		if !s.available() {
			gone[name] = true
		}
	}
	for _, name := range r.Targets {
		gone[name] = true
	}
	for name := range gone {
		zones[f.instances[name].Zone]++
	}
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		whole, inZone := f.limits(&r.Options, zone)
		switch {
		case zones[zone] > inZone && !r.Options.AllowEmptyZone && r.Options.MaxUnavailablePerZone == 0:
			return &LimitError{fmt.Sprintf("zone %s would be left with no instance: --empty-zone allows that", zone)}
		case zones[zone] > inZone:
			return &LimitError{fmt.Sprintf("%d instances of zone %s would not be available, the limit is %d: --max-unavailable-zone", zones[zone], zone, inZone)}
		case len(gone) > whole:
			return &LimitError{fmt.Sprintf("%d of %d instances would not be available, the limit is %d: --max-unavailable", len(gone), len(f.instances), whole)}
		}
	}
	return nil
}

// Submit takes an order. The same one again is the operation that it was; the same name with other contents is an error.
func (f *Fleet) Submit(now time.Duration, r Request) (Operation, error) {
	f.now = max(f.now, now)
	f.expireObservations()
	if o := f.operations[r.ID]; o != nil {
		if !sameRequest(o.Request, r) {
			return Operation{}, fmt.Errorf("operation %q was ordered with other contents before", r.ID)
		}
		return o.clone(), nil
	}
	if err := f.check(&r); err != nil {
		return Operation{}, err
	}
	if err := f.checkLimits(&r); err != nil {
		return Operation{}, err
	}
	if len(f.running) >= f.cfg.MaxRunningOperations {
		return Operation{}, fmt.Errorf("%d operations run, no more can", len(f.running))
	}
	for _, s := range f.observations { // of a store that was lost: the instances still know
		f.fence = max(f.fence, s.Status.Fence)
	}
	f.fence++
	f.change.Fence = f.fence
	o := &Operation{Request: r, Fence: f.fence, State: Running, Steps: map[string]*Step{}, elapsedAt: f.now}
	for _, name := range r.Targets {
		o.Steps[name] = &Step{State: StepWaiting, changedAt: f.now}
	}
	f.supersede(o)
	f.operations[o.ID] = o
	f.running = append(f.running, o)
	f.save(o)
	return o.clone(), nil
}

// sameRequest compares what was ordered; defaults that were filled in don't count.
func sameRequest(a, b Request) bool {
	return a.Kind == b.Kind && a.Host == b.Host && slices.Equal(a.Targets, b.Targets)
}

// supersede ends steps of older operations about the same things: the newest order counts.
func (f *Fleet) supersede(by *Operation) {
	for _, o := range f.running {
		changed := false
		for name, s := range o.Steps {
			if _, ok := by.Steps[name]; ok && o.Host == by.Host && o.isInstanceWide() == by.isInstanceWide() && !s.State.Ended() {
				f.setState(s, StepSuperseded, "by "+by.ID)
				changed = true
			}
		}
		if changed {
			f.save(o)
		}
	}
}

// Abort ends an operation: nothing more is begun for it. What instances were told holds.
func (f *Fleet) Abort(now time.Duration, id, why string) (Operation, error) {
	f.now = max(f.now, now)
	o := f.operations[id]
	if o == nil {
		return Operation{}, ErrUnknownOperation
	}
	if !o.State.Ended() {
		f.finish(o, Aborted, why)
	}
	return o.clone(), nil
}

// Continue goes on with an operation that was paused.
func (f *Fleet) Continue(now time.Duration, id string) (Operation, error) {
	f.now = max(f.now, now)
	o := f.operations[id]
	switch {
	case o == nil:
		return Operation{}, ErrUnknownOperation
	case o.State == Paused:
		o.State, o.Reason, o.Options.OnFailure = Running, "", "continue"
		f.save(o)
	}
	return o.clone(), nil
}

// finish ends an operation.
func (f *Fleet) finish(o *Operation, s State, why string) {
	o.State, o.Reason = s, why
	o.Elapsed += f.now - o.elapsedAt
	o.elapsedAt = f.now
	for name, step := range o.Steps {
		if step.State.Ended() {
			continue
		}
		// One that is told or being told holds; it is only not followed any more.
		if step.State == StepAccepted {
			f.setState(step, StepSkipped, "told; not followed to its end")
		} else {
			if step.State == StepDelivering {
				f.withdraw(o, name)
			}
			f.setState(step, StepSkipped, "the operation ended before")
		}
	}
	f.running = slices.DeleteFunc(f.running, func(x *Operation) bool { return x == o })
	f.ended = append(f.ended, o.ID)
	f.save(o)
	for len(f.ended) > f.cfg.MaxEndedOperations {
		old := f.ended[0]
		f.ended = f.ended[1:]
		delete(f.operations, old)
		f.change.ForgottenOperations = append(f.change.ForgottenOperations, old)
		f.change.Operations = slices.DeleteFunc(f.change.Operations, func(x Operation) bool { return x.ID == old })
	}
}

func (f *Fleet) setState(s *Step, to StepState, why string) {
	s.State, s.Reason, s.changedAt = to, why, f.now
}

// Operations lists operations, the newest first; Operation gives one.
func (f *Fleet) Operations() (out []Operation) {
	for _, o := range f.operations {
		out = append(out, o.clone())
	}
	slices.SortFunc(out, func(a, b Operation) int { return int(int64(b.Fence) - int64(a.Fence)) })
	return out
}

// Operation gives one operation.
func (f *Fleet) Operation(id string) (Operation, error) {
	o := f.operations[id]
	if o == nil {
		return Operation{}, ErrUnknownOperation
	}
	return o.clone(), nil
}
