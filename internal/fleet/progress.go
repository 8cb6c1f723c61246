package fleet

import (
	"fmt"
	"slices"
	"time"

	"onyxstream/internal/control"
)

// maxWakeInterval is the longest time until the next call of Next, because Next has to notice expired observations.
const maxWakeInterval = time.Second

// minWakeInterval is the shortest time until the next call of Next.
const minWakeInterval = time.Millisecond

// plan collects the results of Next.
type plan struct {
	now        time.Duration
	deliveries []Delivery
	wake       time.Duration
}

// wakeBy makes the next call of Next due at the given time, unless the call is already due earlier.
func (p *plan) wakeBy(at time.Duration) { p.wake = min(p.wake, max(at, p.now+minWakeInterval)) }

// Next advances all operations. It returns the data to save, the deliveries to make after that data is on disk, and the
// latest time of the next call.
func (f *Fleet) Next(now time.Duration) (change Change, deliveries []Delivery, wake time.Duration) {
	f.advanceClock(now)
	f.expireObservations()
	plan := &plan{now: f.now, wake: f.now + maxWakeInterval}
	for _, o := range slices.Clone(f.running) {
		f.advance(o)
		if o.State.Ended() {
			continue
		}
		f.redeliver(plan, o)
		if o.State == Running {
			f.startSteps(plan, o)
		}
		plan.wakeBy(o.expiresAt())
	}
	f.restoreDesired(plan)
	change, f.change = f.change, Change{}
	return change, plan.deliveries, plan.wake
}

// advance updates an operation and its steps from the last status of its instances.
func (f *Fleet) advance(o *Operation) {
	if o.elapsed(f.now) >= o.Options.Deadline {
		f.finish(o, Failed, "its deadline has passed")
		return
	}
	failed, unfinished := 0, 0
	for _, name := range o.Targets {
		step := o.Steps[name]
		if !step.State.Ended() {
			f.advanceStep(o, name, step)
		}
		if step.State == StepFailed {
			failed++
		}
		if !step.State.Ended() {
			unfinished++
		}
	}
	switch {
	case unfinished == 0 && failed > 0:
		f.finish(o, Failed, fmt.Sprintf("%d of %d instances failed", failed, len(o.Steps)))
	case unfinished == 0:
		f.finish(o, Succeeded, "")
	case failed > 0 && o.State == Running:
		f.applyFailurePolicy(o, failed)
	}
}

func (f *Fleet) applyFailurePolicy(o *Operation, failed int) {
	switch o.Options.OnFailure {
	case AbortOnFailure:
		f.finish(o, Aborted, fmt.Sprintf("%d instances failed", failed))
	case PauseOnFailure:
		o.State = Paused
		o.Reason = fmt.Sprintf("%d instances failed: continue or abort it", failed)
		f.save(o)
	}
}

// advanceStep updates a step from the last status of its instance.
func (f *Fleet) advanceStep(o *Operation, name string, step *Step) {
	observation := f.observations[name]
	if observation == nil {
		f.withdraw(o, name)
		f.updateStep(o, step, StepFailed, "the instance is no longer in the inventory")
		return
	}
	switch step.State {
	case StepDelivering:
		timedOut := f.now-step.changedAt >= f.cfg.DeliveryTimeout
		if timedOut && !f.hasCommandInFlight(name) {
			f.withdraw(o, name)
			f.updateStep(o, step, StepFailed, "command not delivered: "+observation.LastError)
		}
	case StepAccepted:
		f.advanceAccepted(o, step, observation)
	}
}

// advanceAccepted checks whether an instance that accepted a command has reached the desired state.
func (f *Fleet) advanceAccepted(o *Operation, step *Step, observation *Observation) {
	status := &observation.Status
	isCurrent := observation.isUpSince(step.changedAt)
	sinceAccepted := f.now - step.changedAt
	switch {
	case !o.isInstanceWide():
		f.updateStep(o, step, StepDone, "")
	case isCurrent && status.Incarnation != step.Incarnation:
		f.advanceRestarted(o, step)
	case isCurrent && status.Fence > o.Fence:
		f.updateStep(o, step, StepSuperseded, "the instance has a newer command")
	case isCurrent && o.isAchievedBy(status.State):
		f.updateStep(o, step, StepDone, "")
	case sinceAccepted >= o.Options.StepTimeout:
		reason := fmt.Sprintf("%s %s after it accepted the command, with %d connections and %d requests in flight",
			observation.describe(), sinceAccepted, status.Established, status.InFlight)
		f.updateStep(o, step, StepFailed, reason)
	}
}

// advanceRestarted updates the step of an instance that restarted after it accepted the command. A drain is delivered
// again. A resume is done, because instances start in state Serving.
func (f *Fleet) advanceRestarted(o *Operation, step *Step) {
	const reason = "the instance has restarted"
	if o.Kind != control.Drain {
		f.updateStep(o, step, StepDone, reason)
		return
	}
	step.Incarnation = ""
	step.retryAt = f.now
	f.updateStep(o, step, StepDelivering, reason)
}

// redeliver retries the deliveries of an operation that got no response. It also makes Next due when a step times out.
func (f *Fleet) redeliver(plan *plan, o *Operation) {
	for _, name := range o.Targets {
		step := o.Steps[name]
		switch step.State {
		case StepAccepted:
			plan.wakeBy(step.changedAt + o.Options.StepTimeout)
		case StepDelivering:
			plan.wakeBy(step.changedAt + f.cfg.DeliveryTimeout)
			if !f.hasCommandInFlight(name) && f.mayAttempt(plan, step.attempts, step.retryAt) {
				f.deliver(plan, name, o.command())
			}
		}
	}
}

// startSteps starts as many waiting steps as the wave size and the limits allow. The wave size does not apply to host
// overrides.
func (f *Fleet) startSteps(plan *plan, o *Operation) {
	counts := o.CountSteps()
	inProgress := counts[StepDelivering] + counts[StepAccepted]
	for _, name := range o.Targets {
		step := o.Steps[name]
		if step.State != StepWaiting {
			continue
		}
		if inProgress >= o.Options.WaveSize && o.isInstanceWide() {
			return
		}
		if f.hasCommandInFlight(name) || !f.mayDrain(o, name) {
			continue
		}
		inProgress++
		f.setState(step, StepDelivering, "")
		step.retryAt = f.now
		f.setDesired(DesiredState{o.scope(name), o.command()})
		f.save(o)
		f.deliver(plan, name, o.command())
	}
}

func (f *Fleet) setState(step *Step, state StepState, reason string) {
	step.State = state
	step.Reason = reason
	step.changedAt = f.now
}

// updateStep sets the state of a step and adds its operation to the pending change.
func (f *Fleet) updateStep(o *Operation, step *Step, state StepState, reason string) {
	f.setState(step, state, reason)
	f.save(o)
}

// finish ends an operation. It forgets the oldest ended operations above MaxEndedOperations.
func (f *Fleet) finish(o *Operation, state State, reason string) {
	o.State = state
	o.Reason = reason
	o.Elapsed = o.elapsed(f.now)
	o.elapsedAt = f.now
	for name, step := range o.Steps {
		f.skipStep(o, name, step)
	}
	f.running = slices.DeleteFunc(f.running, func(other *Operation) bool { return other == o })
	f.ended = append(f.ended, o.ID)
	f.save(o)
	for len(f.ended) > f.cfg.MaxEndedOperations {
		f.forgetOldestOperation()
	}
}

// skipStep ends a step whose operation has ended. A command that the instance has accepted stays in effect. The desired
// state of a command that is still being delivered is withdrawn.
func (f *Fleet) skipStep(o *Operation, name string, step *Step) {
	switch step.State {
	case StepWaiting:
		f.setState(step, StepSkipped, "the operation ended first")
	case StepDelivering:
		f.withdraw(o, name)
		f.setState(step, StepSkipped, "the operation ended first")
	case StepAccepted:
		f.setState(step, StepSkipped, "accepted; not followed further")
	}
}

func (f *Fleet) forgetOldestOperation() {
	id := f.ended[0]
	f.ended = f.ended[1:]
	delete(f.operations, id)
	f.change.ForgottenOperations = append(f.change.ForgottenOperations, id)
	f.change.Operations = slices.DeleteFunc(f.change.Operations, func(o Operation) bool { return o.ID == id })
}
