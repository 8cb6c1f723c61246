package fleet

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"onyxstream/internal/control"
)

// FailurePolicy determines how an operation continues after a step has failed.
type FailurePolicy string

// The failure policies.
const (
	PauseOnFailure    FailurePolicy = "pause"
	AbortOnFailure    FailurePolicy = "abort"
	ContinueOnFailure FailurePolicy = "continue"
)

// Options control how an operation is executed. Zero values select the defaults.
type Options struct {
	// Numbers of instances in progress or unavailable at the same time.
	WaveSize              int  `json:"at_once"`          // instances in progress; default 1
	MaxUnavailable        int  `json:"unavailable"`      // in the whole fleet; default half of the instances
	MaxUnavailablePerZone int  `json:"unavailable_zone"` // in one zone; default all but one
	AllowEmptyZone        bool `json:"empty_zone"`       // a zone may have no available instance

	DrainTimeout time.Duration `json:"within_ns"`      // until a draining instance closes its connections
	RetryAfter   time.Duration `json:"retry_after_ns"` // sent to rejected clients
	StepTimeout  time.Duration `json:"step_within_ns"` // from the accepted command to the desired state
	Deadline     time.Duration `json:"deadline_ns"`    // for the whole operation

	OnFailure FailurePolicy `json:"on_failure"`
}

// Request is an operation as an operator submits it.
type Request struct {
	ID      string              `json:"id"` // chosen by the operator; a request with a known ID refers to that operation
	Kind    control.CommandKind `json:"kind"`
	Host    string              `json:"host,omitempty"`
	Targets []string            `json:"targets"` // instances, in the order of their steps
	Options Options             `json:"options"`
}

// The defaults and limits of requests.
const (
	defaultDrainTimeout = 30 * time.Second
	defaultRetryAfter   = time.Second
	stepTimeoutMargin   = 10 * time.Second // added to the drain timeout for the default step timeout
	maxTargets          = 10_000
)

// sameRequest reports whether two requests are the same. It ignores the options, because the stored request has its
// defaults filled in.
func sameRequest(a, b Request) bool {
	return a.Kind == b.Kind && a.Host == b.Host && slices.Equal(a.Targets, b.Targets)
}

// prepare sets the defaults of a request and returns an error if the request is invalid.
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
		return fmt.Errorf("targets: %d given, want 1 to %d", len(targets), maxTargets)
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
		return errors.New("options: negative number")
	}
	if o.StepTimeout < 0 || o.Deadline < 0 {
		return errors.New("options: negative duration")
	}
	switch o.OnFailure {
	case PauseOnFailure, AbortOnFailure, ContinueOnFailure:
		return nil
	}
	return fmt.Errorf("options: invalid on_failure %q: want pause, abort or continue", o.OnFailure)
}
