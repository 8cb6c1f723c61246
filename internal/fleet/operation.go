package fleet

import (
	"errors"
	"slices"
	"time"

	"onyxstream/internal/control"
)

// State is the state of an operation.
type State string

// The states of an operation.
const (
	Running   State = "running"
	Paused    State = "paused" // a step failed; an operator must continue or abort the operation
	Succeeded State = "done"
	Failed    State = "failed"
	Aborted   State = "aborted"
)

// Ended reports whether the state is final.
func (s State) Ended() bool { return s == Succeeded || s == Failed || s == Aborted }

// StepState is the state of one instance's part of an operation.
type StepState string

// The states of a step.
const (
	StepWaiting    StepState = "waiting"
	StepDelivering StepState = "telling" // the command is being sent or retried, and may be in effect
	StepAccepted   StepState = "told"    // the instance has accepted the command
	StepDone       StepState = "done"    // the instance is in the desired state
	StepFailed     StepState = "failed"
	StepSuperseded StepState = "superseded" // by a newer operation on the same scope
	StepSkipped    StepState = "skipped"    // the operation ended before the step did
)

// Ended reports whether the state is final.
func (s StepState) Ended() bool {
	return s == StepDone || s == StepFailed || s == StepSuperseded || s == StepSkipped
}

// Step is one instance's part of an operation.
type Step struct {
	State       StepState `json:"state"`
	Reason      string    `json:"why,omitempty"`
	Incarnation string    `json:"boot,omitempty"` // incarnation of the instance that accepted the command

	attempts  int           // failed deliveries
	retryAt   time.Duration // time of the next attempt
	changedAt time.Duration // when State last changed
}

// Operation is a request and its progress.
type Operation struct {
	Request
	Fence   uint64           `json:"fence"`
	State   State            `json:"state"`
	Reason  string           `json:"why,omitempty"`
	Steps   map[string]*Step `json:"steps"`    // by name of the instance
	Elapsed time.Duration    `json:"spent_ns"` // part of the deadline used until the last save; independent of wall clocks

	elapsedAt time.Duration // when Elapsed was computed
}

// ErrUnknownOperation means that no operation has the given ID.
var ErrUnknownOperation = errors.New("no such operation")

func (o *Operation) clone() Operation {
	c := *o
	c.Targets = slices.Clone(o.Targets)
	c.Steps = map[string]*Step{}
	for name, step := range o.Steps {
		stepCopy := *step
		c.Steps[name] = &stepCopy
	}
	return c
}

// CountSteps returns how many steps are in each state.
func (o *Operation) CountSteps() map[StepState]int {
	counts := map[StepState]int{}
	for _, step := range o.Steps {
		counts[step.State]++
	}
	return counts
}

// isInstanceWide reports whether the operation applies to whole instances, not to a host.
func (o *Operation) isInstanceWide() bool { return o.Kind == control.Drain || o.Kind == control.Resume }

// isAchievedBy reports whether an instance in the given state has completed its step of the operation.
func (o *Operation) isAchievedBy(state control.InstanceState) bool {
	return o.Kind == control.Drain && state == control.Drained || o.Kind == control.Resume && state == control.Serving
}

func (o *Operation) command() control.Command {
	command := control.Command{Operation: o.ID, Fence: o.Fence, Kind: o.Kind, Host: o.Host}
	if o.Kind == control.Drain {
		command.DrainTimeout = o.Options.DrainTimeout
		command.RetryAfter = o.Options.RetryAfter
	}
	return command
}

func (o *Operation) scope(name string) Scope { return Scope{name, o.Host} }

// elapsed returns how much of its deadline the operation has used.
func (o *Operation) elapsed(now time.Duration) time.Duration { return o.Elapsed + now - o.elapsedAt }

// expiresAt returns when the operation reaches its deadline.
func (o *Operation) expiresAt() time.Duration { return o.elapsedAt + o.Options.Deadline - o.Elapsed }
