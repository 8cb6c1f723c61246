package fleet

import (
	"fmt"
	"slices"
	"time"

	"onyxstream/internal/control"
)

// maxWakeInterval is when to look again where nothing else is due: instances age meanwhile.
const maxWakeInterval = time.Second

// Next says what to do now: what to save, whom to tell once that is on disk, and when to ask again at the latest.
func (f *Fleet) Next(now time.Duration) (save Change, tells []Delivery, wake time.Duration) {
	f.now = max(f.now, now)
	f.expireObservations()
	wake = f.now + maxWakeInterval
	later := func(at time.Duration) { wake = min(wake, max(at, f.now+time.Millisecond)) }
	for _, o := range slices.Clone(f.running) {
		f.advance(o)
		if o.State.Ended() {
			continue
		}
		tells = f.redeliver(o, tells, later)
		if o.State == Running {
			tells = f.startSteps(o, tells)
		}
		later(o.elapsedAt + o.Options.Deadline - o.Elapsed)
	}
	tells = f.restoreDesired(tells, later)
	save, f.change = f.change, Change{}
	return save, tells, wake
}

// advance moves an operation on by what is known now.
func (f *Fleet) advance(o *Operation) {
	if o.Elapsed+f.now-o.elapsedAt >= o.Options.Deadline {
		f.finish(o, Failed, "its deadline has passed")
		return
	}
	failed, open := 0, 0
	for _, name := range o.Targets {
		s := o.Steps[name]
		if !s.State.Ended() {
			f.advanceStep(o, name, s)
		}
		if s.State == StepFailed {
			failed++
		}
		if !s.State.Ended() {
			open++
		}
	}
	switch {
	case open == 0 && failed > 0:
		f.finish(o, Failed, fmt.Sprintf("%d of %d instances failed", failed, len(o.Steps)))
	case open == 0:
		f.finish(o, Succeeded, "")
	case failed > 0 && o.State == Running && o.Options.OnFailure == "abort":
		f.finish(o, Aborted, fmt.Sprintf("%d instances failed", failed))
	case failed > 0 && o.State == Running && o.Options.OnFailure == "pause":
		o.State, o.Reason = Paused, fmt.Sprintf("%d instances failed: continue or abort it", failed)
		f.save(o)
	}
}

// advanceStep takes what an instance last said into its step.
func (f *Fleet) advanceStep(o *Operation, name string, s *Step) {
	seen := f.observations[name]
	switch {
	case seen == nil:
		f.withdraw(o, name)
		f.endStep(o, s, StepFailed, "it is no longer in the inventory")
	case s.State == StepDelivering && f.now-s.changedAt >= f.cfg.DeliveryTimeout && !f.hasCommandInFlight(name):
		f.withdraw(o, name)
		f.endStep(o, s, StepFailed, "it could not be told: "+seen.LastError)
	case s.State != StepAccepted:
	case !o.isInstanceWide():
		f.endStep(o, s, StepDone, "")
	case seen.Reach == Up && seen.ObservedAt > s.changedAt && seen.Status.Boot != s.Boot:
		// Another start of the instance, which knows nothing of it. A drained one must be told again; one that was
		// to take clients does.
		if o.Kind == control.Drain {
			s.Boot, s.retryAt = "", f.now
			f.setState(s, StepDelivering, "it has restarted")
			f.save(o)
		} else {
			f.endStep(o, s, StepDone, "it has restarted")
		}
	case seen.Reach == Up && seen.ObservedAt > s.changedAt && seen.Status.Fence > o.Fence:
		f.endStep(o, s, StepSuperseded, "the instance has a newer order")
	case seen.Reach == Up && seen.ObservedAt > s.changedAt && (seen.Status.State == control.Drained && o.Kind == control.Drain ||
		seen.Status.State == control.Serving && o.Kind == control.Resume):
		f.endStep(o, s, StepDone, "")
	case f.now-s.changedAt >= o.Options.StepTimeout:
		f.endStep(o, s, StepFailed, fmt.Sprintf("it is %s %s after it was told, with %d open and %d owed", seen.state(), f.now-s.changedAt,
			seen.Status.Established, seen.Status.InFlight))
	}
}

func (s *Observation) state() string {
	if s.Reach != Up {
		return string(s.Reach)
	}
	return string(s.Status.State)
}

func (f *Fleet) endStep(o *Operation, s *Step, to StepState, why string) {
	f.setState(s, to, why)
	f.save(o)
}

func (f *Fleet) hasCommandInFlight(name string) bool { _, ok := f.inFlight[name]; return ok }

// withdraw takes back what was to hold by an order that failed before it was known to be taken.
func (f *Fleet) withdraw(o *Operation, name string) {
	if h, ok := f.desired[o.scope(name)]; ok && h.Command.Operation == o.ID {
		f.removeDesired(o.scope(name))
		f.invalidate(name)
	}
}

// redeliver tells those again of whom no answer is known.
func (f *Fleet) redeliver(o *Operation, tells []Delivery, later func(time.Duration)) []Delivery {
	for _, name := range o.Targets {
		s := o.Steps[name]
		if s.State == StepDelivering {
			later(s.changedAt + f.cfg.DeliveryTimeout)
		}
		if s.State == StepAccepted {
			later(s.changedAt + o.Options.StepTimeout)
		}
		if s.State != StepDelivering || f.hasCommandInFlight(name) {
			continue
		}
		switch {
		case s.retryAt > f.now:
			later(s.retryAt)
		case s.attempts > 0 && !f.takeRetryToken():
			later(f.now + f.cfg.RetryInitialDelay)
		default:
			tells = f.deliver(tells, name, o.command())
		}
	}
	return tells
}

func (f *Fleet) deliver(tells []Delivery, name string, c control.Command) []Delivery {
	t := Delivery{f.instances[name], c}
	f.inFlight[name] = t
	return append(tells, t)
}

// startSteps starts steps as far as limits allow: those that are under way are one wave.
func (f *Fleet) startSteps(o *Operation, tells []Delivery) []Delivery {
	n := o.countSteps()
	under := n[StepDelivering] + n[StepAccepted]
	for _, name := range o.Targets {
		s := o.Steps[name]
		if s.State != StepWaiting {
			continue
		}
		if under >= o.Options.WaveSize && o.isInstanceWide() {
			return tells
		}
		if f.hasCommandInFlight(name) || !f.mayDrain(o, name) {
			continue
		}
		under++
		f.setState(s, StepDelivering, "")
		s.retryAt = f.now
		f.setDesired(DesiredState{o.scope(name), o.command()})
		f.save(o)
		tells = f.deliver(tells, name, o.command())
	}
	return tells
}

// mayDrain says whether one more instance may be taken away now. Those that are being told count as gone: whether the
// command took effect is not known.
func (f *Fleet) mayDrain(o *Operation, name string) bool {
	if o.Kind != control.Drain || !f.countsAsAvailable(name) {
		return true // it is not available as it is
	}
	zone := f.instances[name].Zone
	whole, inZone := f.limits(&o.Options, zone)
	for x := range f.instances {
		if f.countsAsAvailable(x) {
			continue
		}
		whole--
		if f.instances[x].Zone == zone {
			inZone--
		}
	}
	return whole > 0 && inZone > 0
}

// countsAsAvailable reports whether an instance counts as available: it says so, and nobody has told or is telling it otherwise.
func (f *Fleet) countsAsAvailable(name string) bool {
	if h, ok := f.desired[Scope{Instance: name}]; ok && h.Command.Kind == control.Drain {
		return false
	}
	return f.observations[name].available()
}

// RecordAnswer takes in what came of a call. The error says that no answer came: the command may have taken effect.
func (f *Fleet) RecordAnswer(now time.Duration, t Delivery, a control.Answer, err error) {
	f.now = max(f.now, now)
	name, c := t.Instance.Name, t.Command
	if b, ok := f.inFlight[name]; ok && b.Command == c {
		delete(f.inFlight, name)
	}
	key := Scope{name, c.Host}
	if r := f.redeliveries[key]; r != nil && f.desired[key].Command == c {
		if err != nil {
			r.attempts++
			r.notBefore = f.now + f.backoff(r.attempts)
		} else {
			r.deliveredTo, r.attempts = a.Boot, 0
		}
	}
	if s := f.observations[name]; s != nil && err != nil {
		s.LastError = err.Error()
	}
	o := f.operations[c.Operation]
	if o == nil || o.State.Ended() {
		return
	}
	s := o.Steps[name]
	if s == nil || s.State != StepDelivering {
		return
	}
	switch {
	case err != nil:
		s.attempts++
		s.retryAt = f.now + f.backoff(s.attempts)
		s.Reason = err.Error()
	case a.Verdict == control.Rejected:
		f.withdraw(o, name)
		f.endStep(o, s, StepSuperseded, a.Reason)
	default:
		s.Boot = a.Boot
		f.endStep(o, s, StepAccepted, "")
	}
}

// restoreDesired tells an instance again what holds for it when it has come back without it: it restarted, or lost it.
func (f *Fleet) restoreDesired(tells []Delivery, later func(time.Duration)) []Delivery {
	for _, key := range f.sortedScopes() {
		h := f.desired[key]
		seen := f.observations[key.Instance]
		if seen == nil || seen.Reach != Up || f.hasCommandInFlight(key.Instance) || f.isFollowed(h) {
			continue
		}
		lacks := key.Host == "" && h.Command.Kind == control.Drain && seen.Status.Fence < h.Command.Fence
		if key.Host != "" && h.Command.Kind == control.HostDrain {
			lacks = true // the status does not tell by which order, so each start is told once
		}
		r := f.redeliveries[key]
		if r == nil {
			r = &redelivery{}
			if key.Host != "" {
				if s := f.stepOf(h); s != nil {
					r.deliveredTo = s.Boot
				}
			}
			f.redeliveries[key] = r
		}
		if !lacks || r.deliveredTo == seen.Status.Boot {
			continue
		}
		if r.notBefore > f.now {
			later(r.notBefore)
			continue
		}
		if r.attempts > 0 && !f.takeRetryToken() {
			later(f.now + f.cfg.RetryInitialDelay)
			continue
		}
		tells = f.deliver(tells, key.Instance, h.Command)
	}
	return tells
}

// isFollowed reports whether an operation still sees to what holds.
func (f *Fleet) isFollowed(h DesiredState) bool {
	s := f.stepOf(h)
	return s != nil && !s.State.Ended()
}

func (f *Fleet) stepOf(h DesiredState) *Step {
	if o := f.operations[h.Command.Operation]; o != nil {
		return o.Steps[h.Instance]
	}
	return nil
}
