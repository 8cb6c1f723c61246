package fleet

import (
	"fmt"
	"slices"
	"time"

	"onyxstream/internal/control"
)

// idle is when to look again where nothing else is due: instances age meanwhile.
const idle = time.Second

// Next says what to do now: what to save, whom to tell once that is on disk, and when to ask again at the latest.
func (f *Fleet) Next(now time.Duration) (save Change, tells []Tell, wake time.Duration) {
	f.now = max(f.now, now)
	f.age()
	wake = f.now + idle
	later := func(at time.Duration) { wake = min(wake, max(at, f.now+time.Millisecond)) }
	for _, o := range slices.Clone(f.running) {
		f.follow(o)
		if o.State.Ended() {
			continue
		}
		tells = f.repeat(o, tells, later)
		if o.State == Running {
			tells = f.begin(o, tells)
		}
		later(o.since + o.Options.Deadline - o.Spent)
	}
	tells = f.remind(tells, later)
	save, f.change = f.change, Change{}
	return save, tells, wake
}

// follow moves an operation on by what is known now.
func (f *Fleet) follow(o *Operation) {
	if o.Spent+f.now-o.since >= o.Options.Deadline {
		f.finish(o, Failed, "its deadline has passed")
		return
	}
	failed, open := 0, 0
	for _, name := range o.Targets {
		s := o.Steps[name]
		if !s.State.Ended() {
			f.look(o, name, s)
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
		o.State, o.Why = Paused, fmt.Sprintf("%d instances failed: continue or abort it", failed)
		f.save(o)
	}
}

// look takes what an instance last said into its step.
func (f *Fleet) look(o *Operation, name string, s *Step) {
	seen := f.seen[name]
	switch {
	case seen == nil:
		f.unhold(o, name)
		f.end(o, s, StepFailed, "it is no longer in the inventory")
	case s.State == Telling && f.now-s.since >= f.cfg.TellFor && !f.out(name):
		f.unhold(o, name)
		f.end(o, s, StepFailed, "it could not be told: "+seen.Why)
	case s.State != Told:
	case !o.instanceWide():
		f.end(o, s, StepDone, "")
	case seen.Reach == Up && seen.At > s.since && seen.Status.Boot != s.Boot:
		// Another start of the instance, which knows nothing of it. A drained one must be told again; one that was
		// to take clients does.
		if o.Kind == control.Drain {
			s.Boot, s.next = "", f.now
			f.turn(s, Telling, "it has restarted")
			f.save(o)
		} else {
			f.end(o, s, StepDone, "it has restarted")
		}
	case seen.Reach == Up && seen.At > s.since && seen.Status.Fence > o.Fence:
		f.end(o, s, Superseded, "the instance has a newer order")
	case seen.Reach == Up && seen.At > s.since && (seen.Status.State == control.Drained && o.Kind == control.Drain ||
		seen.Status.State == control.Serving && o.Kind == control.Resume):
		f.end(o, s, StepDone, "")
	case f.now-s.since >= o.Options.StepWithin:
		f.end(o, s, StepFailed, fmt.Sprintf("it is %s %s after it was told, with %d open and %d owed", seen.state(), f.now-s.since,
			seen.Status.Established, seen.Status.InFlight))
	}
}

func (s *Seen) state() string {
	if s.Reach != Up {
		return string(s.Reach)
	}
	return string(s.Status.State)
}

func (f *Fleet) end(o *Operation, s *Step, to StepState, why string) {
	f.turn(s, to, why)
	f.save(o)
}

func (f *Fleet) out(name string) bool { _, ok := f.busy[name]; return ok }

// unhold takes back what was to hold by an order that failed before it was known to be taken.
func (f *Fleet) unhold(o *Operation, name string) {
	if h, ok := f.holds[o.key(name)]; ok && h.Command.Operation == o.ID {
		f.drop(o.key(name))
		f.doubt(name)
	}
}

// repeat tells those again of whom no answer is known.
func (f *Fleet) repeat(o *Operation, tells []Tell, later func(time.Duration)) []Tell {
	for _, name := range o.Targets {
		s := o.Steps[name]
		if s.State == Telling {
			later(s.since + f.cfg.TellFor)
		}
		if s.State == Told {
			later(s.since + o.Options.StepWithin)
		}
		if s.State != Telling || f.out(name) {
			continue
		}
		switch {
		case s.next > f.now:
			later(s.next)
		case s.tries > 0 && !f.mayRetry():
			later(f.now + f.cfg.RetryFirst)
		default:
			tells = f.tell(tells, name, o.command())
		}
	}
	return tells
}

func (f *Fleet) tell(tells []Tell, name string, c control.Command) []Tell {
	t := Tell{f.instances[name], c}
	f.busy[name] = t
	return append(tells, t)
}

// begin starts steps as far as limits allow: those that are under way are one wave.
func (f *Fleet) begin(o *Operation, tells []Tell) []Tell {
	n := o.counts()
	under := n[Telling] + n[Told]
	for _, name := range o.Targets {
		s := o.Steps[name]
		if s.State != Waiting {
			continue
		}
		if under >= o.Options.AtOnce && o.instanceWide() {
			return tells
		}
		if f.out(name) || !f.room(o, name) {
			continue
		}
		under++
		f.turn(s, Telling, "")
		s.next = f.now
		f.hold(Hold{o.key(name), o.command()})
		f.save(o)
		tells = f.tell(tells, name, o.command())
	}
	return tells
}

// room says whether one more instance may be taken away now. Those that are being told count as gone: whether the
// command took effect is not known.
func (f *Fleet) room(o *Operation, name string) bool {
	if o.Kind != control.Drain || !f.counts(name) {
		return true // it is not available as it is
	}
	zone := f.instances[name].Zone
	whole, inZone := f.limits(&o.Options, zone)
	for x := range f.instances {
		if f.counts(x) {
			continue
		}
		whole--
		if f.instances[x].Zone == zone {
			inZone--
		}
	}
	return whole > 0 && inZone > 0
}

// counts reports whether an instance counts as available: it says so, and nobody has told or is telling it otherwise.
func (f *Fleet) counts(name string) bool {
	if h, ok := f.holds[Key{Instance: name}]; ok && h.Command.Kind == control.Drain {
		return false
	}
	return f.seen[name].available()
}

// Answered takes in what came of a call. The error says that no answer came: the command may have taken effect.
func (f *Fleet) Answered(now time.Duration, t Tell, a control.Answer, err error) {
	f.now = max(f.now, now)
	name, c := t.Instance.Name, t.Command
	if b, ok := f.busy[name]; ok && b.Command == c {
		delete(f.busy, name)
	}
	key := Key{name, c.Host}
	if r := f.again[key]; r != nil && f.holds[key].Command == c {
		if err != nil {
			r.tries++
			r.at = f.now + f.backoff(r.tries)
		} else {
			r.boot, r.tries = a.Boot, 0
		}
	}
	if s := f.seen[name]; s != nil && err != nil {
		s.Why = err.Error()
	}
	o := f.ops[c.Operation]
	if o == nil || o.State.Ended() {
		return
	}
	s := o.Steps[name]
	if s == nil || s.State != Telling {
		return
	}
	switch {
	case err != nil:
		s.tries++
		s.next = f.now + f.backoff(s.tries)
		s.Why = err.Error()
	case a.Verdict == control.Rejected:
		f.unhold(o, name)
		f.end(o, s, Superseded, a.Reason)
	default:
		s.Boot = a.Boot
		f.end(o, s, Told, "")
	}
}

// remind tells an instance again what holds for it when it has come back without it: it restarted, or lost it.
func (f *Fleet) remind(tells []Tell, later func(time.Duration)) []Tell {
	for _, key := range f.keys() {
		h := f.holds[key]
		seen := f.seen[key.Instance]
		if seen == nil || seen.Reach != Up || f.out(key.Instance) || f.following(h) {
			continue
		}
		lacks := key.Host == "" && h.Command.Kind == control.Drain && seen.Status.Fence < h.Command.Fence
		if key.Host != "" && h.Command.Kind == control.HostDrain {
			lacks = true // the status does not tell by which order, so each start is told once
		}
		r := f.again[key]
		if r == nil {
			r = &retry{}
			if key.Host != "" {
				if s := f.stepOf(h); s != nil {
					r.boot = s.Boot
				}
			}
			f.again[key] = r
		}
		if !lacks || r.boot == seen.Status.Boot {
			continue
		}
		if r.at > f.now {
			later(r.at)
			continue
		}
		if r.tries > 0 && !f.mayRetry() {
			later(f.now + f.cfg.RetryFirst)
			continue
		}
		tells = f.tell(tells, key.Instance, h.Command)
	}
	return tells
}

// following reports whether an operation still sees to what holds.
func (f *Fleet) following(h Hold) bool {
	s := f.stepOf(h)
	return s != nil && !s.State.Ended()
}

func (f *Fleet) stepOf(h Hold) *Step {
	if o := f.ops[h.Command.Operation]; o != nil {
		return o.Steps[h.Instance]
	}
	return nil
}
