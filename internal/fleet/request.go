package fleet

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"onyxstream/internal/control"
)

// FailurePolicy says how an operation goes on once a step failed.
type FailurePolicy string

// The failure policies.
const (
	PauseOnFailure    FailurePolicy = "pause"
	AbortOnFailure    FailurePolicy = "abort"
	ContinueOnFailure FailurePolicy = "continue"
)

// Options say how an operation is carried out. Zero values stand for the defaults.
type Options struct {
	WaveSize              int           `json:"at_once"`          // instances in progress at the same time; 1 by default
	MaxUnavailable        int           `json:"unavailable"`      // instances at the same time; half of them by default
	MaxUnavailablePerZone int           `json:"unavailable_zone"` // all but one by default
	AllowEmptyZone        bool          `json:"empty_zone"`       // a zone may have no available instance
	DrainTimeout          time.Duration `json:"within_ns"`        // until a draining instance closes its connections
	RetryAfter            time.Duration `json:"retry_after_ns"`   // sent to rejected clients
	StepTimeout           time.Duration `json:"step_within_ns"`   // from the accepted command to the desired state
	Deadline              time.Duration `json:"deadline_ns"`      // of the operation
	OnFailure             FailurePolicy `json:"on_failure"`
}

// Request is an operation as an operator submits it.
type Request struct {
	ID      string              `json:"id"` // chosen by the operator; a request with a known id is that operation
	Kind    control.CommandKind `json:"kind"`
	Host    string              `json:"host,omitempty"`
	Targets []string            `json:"targets"` // instances, in the order of their steps
	Options Options             `json:"options"`
}

// The defaults and bounds of requests.
const (
	defaultDrainTimeout = 30 * time.Second
	defaultRetryAfter   = time.Second
	stepTimeoutMargin   = 10 * time.Second // of the default step timeout over the drain timeout
	maxTargets          = 10_000
)

// sameRequest reports whether two requests ask for the same; options don't count, as defaults were filled in.
func sameRequest(a, b Request) bool {
	return a.Kind == b.Kind && a.Host == b.Host && slices.Equal(a.Targets, b.Targets)
}

// prepare fills in the defaults of a request and returns an error if it is invalid.
func (f *Fleet) prepare(r *Request) error {
	if err := f.checkTargets(r.Targets); err != nil {
		return err
	}
	r.Options.setDefaults(f.cfg.DefaultDeadline)
	if err := r.Options.check(); err != nil {
		return err
	}
	command := (&Operation{Request: *r, Fence: 1}).command()
	return command.Check()
}

func (f *Fleet) checkTargets(targets []string) error {
	if len(targets) == 0 || len(targets) > maxTargets {
		return fmt.Errorf("targets: there are %d, not 1 to %d", len(targets), maxTargets)
	}
	seen := map[string]bool{}
	for _, name := range targets {
		if _, ok := f.instances[name]; !ok {
			return fmt.Errorf("targets: %q is not in the inventory", name)
		}
		if seen[name] {
			return fmt.Errorf("targets: %q is named twice", name)
		}
		seen[name] = true
	}
	return nil
}

func (o *Options) setDefaults(deadline time.Duration) {
	o.DrainTimeout = cmp.Or(o.DrainTimeout, defaultDrainTimeout)
	o.RetryAfter = cmp.Or(o.RetryAfter, defaultRetryAfter)
	o.Deadline = cmp.Or(o.Deadline, deadline)
	o.StepTimeout = cmp.Or(o.StepTimeout, o.DrainTimeout+stepTimeoutMargin)
	o.WaveSize = cmp.Or(o.WaveSize, 1)
	o.OnFailure = cmp.Or(o.OnFailure, PauseOnFailure)
}

func (o *Options) check() error {
	if o.WaveSize < 0 || o.MaxUnavailable < 0 || o.MaxUnavailablePerZone < 0 {
		return errors.New("options: a number is negative")
	}
	if o.StepTimeout < 0 || o.Deadline < 0 {
		return errors.New("options: a time is negative")
	}
	switch o.OnFailure {
	case PauseOnFailure, AbortOnFailure, ContinueOnFailure:
		return nil
	}
	return fmt.Errorf("options: on_failure %q is neither pause, abort nor continue", o.OnFailure)
}
