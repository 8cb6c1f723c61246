package fleet

import (
	"time"

	"onyxstream/internal/control"
)

// Delivery is a command to send to an instance. RecordResponse must follow each delivery.
type Delivery struct {
	Instance Instance
	Command  control.Command
}

// redelivery is the state of delivering a command again to an instance that has restarted.
type redelivery struct {
	attempts    int           // failed ones since the last response
	notBefore   time.Duration // end of the backoff
	deliveredTo string        // the incarnation that has responded; it does not get the command again
}

// maxBackoffShift limits the doublings of the delay, to prevent an overflow.
const maxBackoffShift = 16

// hasCommandInFlight reports whether a delivery to the instance still waits for its response.
func (f *Fleet) hasCommandInFlight(name string) bool {
	_, ok := f.inFlight[name]
	return ok
}

func (f *Fleet) deliver(plan *plan, name string, command control.Command) {
	delivery := Delivery{Instance: f.instances[name], Command: command}
	f.inFlight[name] = delivery
	plan.deliveries = append(plan.deliveries, delivery)
}

// mayAttempt reports whether a command may be delivered now: its backoff is over, and the retry budget allows a retry.
// Otherwise it sets the time of the next check.
func (f *Fleet) mayAttempt(plan *plan, attempts int, notBefore time.Duration) bool {
	if notBefore > f.now {
		plan.wakeBy(notBefore)
		return false
	}
	if attempts > 0 && !f.takeRetryToken() {
		plan.wakeBy(f.now + f.cfg.RetryInitialDelay)
		return false
	}
	return true
}

// takeRetryToken takes a token for one retry from the fleet's retry budget, and reports whether there was one.
func (f *Fleet) takeRetryToken() bool { return f.retryBudget.AllowN(time.Unix(0, 0).Add(f.now), 1) }

// backoff returns the delay before the next attempt: exponential, up to RetryMaxDelay, with jitter over its upper half.
func (f *Fleet) backoff(attempts int) time.Duration {
	delay := f.cfg.RetryInitialDelay << min(attempts, maxBackoffShift)
	if delay > f.cfg.RetryMaxDelay || delay <= 0 {
		delay = f.cfg.RetryMaxDelay
	}
	return delay/2 + time.Duration(f.rng.Float64()*float64(delay/2))
}

// RecordResponse records an instance's response to a delivery, or the error if no response arrived. After an error it is
// unknown whether the instance has applied the command.
func (f *Fleet) RecordResponse(now time.Duration, delivery Delivery, response control.Response, err error) {
	f.advanceClock(now)
	name, command := delivery.Instance.Name, delivery.Command
	if current, ok := f.inFlight[name]; ok && current.Command == command {
		delete(f.inFlight, name)
	}
	f.recordRedelivery(Scope{name, command.Host}, command, response, err)
	if observation := f.observations[name]; observation != nil && err != nil {
		observation.LastError = err.Error()
	}
	o := f.operations[command.Operation]
	if o == nil || o.State.Ended() {
		return
	}
	step := o.Steps[name]
	if step == nil || step.State != StepDelivering {
		return
	}
	switch {
	case err != nil:
		step.attempts++
		step.retryAt = f.now + f.backoff(step.attempts)
		step.Reason = err.Error()
	case response.Verdict == control.Rejected:
		f.withdraw(o, name)
		f.updateStep(o, step, StepSuperseded, response.Reason)
	default:
		step.Incarnation = response.Incarnation
		f.updateStep(o, step, StepAccepted, "")
	}
}

func (f *Fleet) recordRedelivery(scope Scope, command control.Command, response control.Response, err error) {
	pending := f.redeliveries[scope]
	if pending == nil || f.desired[scope].Command != command {
		return
	}
	if err != nil {
		pending.attempts++
		pending.notBefore = f.now + f.backoff(pending.attempts)
		return
	}
	pending.deliveredTo = response.Incarnation
	pending.attempts = 0
}
