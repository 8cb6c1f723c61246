// Package capacity is the model of what a host can do: cores and their speed, the load of standing connections that
// drifts, the price of a group, set-ups that call a session store and then need work, a cold start, and the fall of a
// host that is pushed while cold. It is a machine: events and the time come in, what has happened comes out. It knows
// no socket and no clock, so that stand-ins on sockets and a model in virtual time can play the same host.
package capacity

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Spec says what a host is. Work is counted in seconds of a core of speed 1; loads in that a second.
type Spec struct {
	Cores  float64 // number of cores
	Speed  float64 // of one core; 1 is the yardstick
	Load   float64 // mean load of a standing connection, in cores of speed 1
	Drift  float64 // how far a load swings about its mean, as a share of it; 0 for loads that stay
	Group  float64 // price of each group of which any connection stands here, in mean loads
	Setup  float64 // work of one set-up, in seconds of a core of speed 1
	Lines  float64 // work of one answered line, in the same
	Most   int     // connections that it holds, set-ups included; 0 for no limit
	Queue  int     // set-ups under way, past which it turns away; 0 for no limit
	Cold   float64 // share of its capacity with which it starts; 0 or 1 for a host that starts warm
	Warm   time.Duration
	Fall   float64       // a cold host that is sent more than this multiple of what it can do ...
	FallIn time.Duration // ... for so long falls over; 0 for one that never does
}

// Check says what a Spec can't mean, and names the field; err is nil where all is well.
func (s Spec) Check() (field string, err error) {
	for _, f := range []struct {
		name        string
		v, from, to float64
	}{
		{"cores", s.Cores, 0.01, 1024}, {"speed", s.Speed, 0.001, 1000}, {"load", s.Load, 0, 1000},
		{"drift", s.Drift, 0, 1}, {"group", s.Group, 0, 1e6}, {"setup", s.Setup, 0, 60}, {"lines", s.Lines, 0, 60},
		{"most", float64(s.Most), 0, 1e9}, {"queue", float64(s.Queue), 0, 1e9}, {"cold", s.Cold, 0, 1},
		{"warm", s.Warm.Seconds(), 0, 86400}, {"fall", s.Fall, 0, 1e6}, {"fall_in", s.FallIn.Seconds(), 0, 86400},
	} {
		if !(f.v >= f.from && f.v <= f.to) {
			return f.name, fmt.Errorf("%g is not between %g and %g", f.v, f.from, f.to)
		}
	}
	return "", nil
}

// Store is the session store that set-ups call: one queue for all hosts that share it, at a rate of its own.
// The zero Store answers at once.
type Store struct {
	Latency time.Duration // of a call that waits for no other
	Rate    float64       // calls a second that it bears; 0 for any number
	Slow    float64       // factor on both; 0 and 1 for none
	free    time.Duration // when the queue is empty
}

// Call says when a call made now is answered.
func (s *Store) Call(now time.Duration) time.Duration {
	slow := max(s.Slow, 1)
	if s.Rate > 0 {
		now = max(now, s.free)
		s.free = now + time.Duration(slow/s.Rate*float64(time.Second))
	}
	return now + time.Duration(slow*float64(s.Latency))
}

// Verdict is what becomes of a connection that asks to be set up.
type Verdict uint8

// The verdicts.
const (
	Taken Verdict = iota // a Done follows when it is up
	Full                 // turned away: it never ran
	Down                 // the host has fallen over: nothing comes back
)

// Event is what has happened by itself.
type Event struct {
	ID     string
	At     time.Duration
	Up     bool    // the set-up is through; else the load changed
	Load   float64 // the connection's load now, in cores of speed 1
	Fallen bool    // the host fell over; ID is empty
}

type standing struct {
	id, group  string
	mean, load float64
	ready      time.Duration // when the store has answered; set-ups only
	left       float64       // work that the set-up still needs
	up         bool
	at         int // place in the host's order
}

// Host is one host's machine. All calls give a time that does not go back.
type Host struct {
	spec    Spec
	store   *Store
	rng     *rand.Rand
	now     time.Duration
	began   time.Duration // of its last start
	cold    bool          // of its last start
	slow    float64       // factor on work; 1 for none
	stolen  float64       // share of its cores that another program takes
	byID    map[string]*standing
	order   []*standing // a map's order would not be the same with the same seed
	queue   []*standing // set-ups in order of arrival
	groups  map[string]int
	load    float64       // of what is up, without groups
	pushed  float64       // set-up work sent lately, decaying by pushFor
	pushAt  time.Duration // when pushed was reckoned last
	over    time.Duration // since when the push is too much; 0 for not
	fallen  bool
	driftAt time.Duration
}

const (
	pushFor   = 250 * time.Millisecond // how far back the push that a cold host feels goes
	driftStep = time.Second            // how often loads drift
	driftPart = 4                      // one connection in so many drifts at a step
	leastFree = 0.05                   // share of the capacity that set-ups get however much stands: kernels are fair
	tiny      = 1e-9                   // work that counts as none
)

// New makes a host that starts now, cold if the spec says so and cold is set. Hosts that share a store are given the
// same one; nil is a store that answers at once.
func New(spec Spec, store *Store, seed uint64, now time.Duration, cold bool) *Host {
	if store == nil {
		store = &Store{}
	}
	h := &Host{spec: spec, store: store, rng: rand.New(rand.NewPCG(seed, 0x686f7374)), slow: 1}
	h.Restart(now, cold)
	return h
}

// Restart empties the host and starts it anew.
func (h *Host) Restart(now time.Duration, cold bool) {
	h.now, h.began, h.cold = now, now, cold
	h.byID, h.groups = map[string]*standing{}, map[string]int{}
	h.order, h.queue = nil, nil
	h.load, h.pushed, h.pushAt, h.over, h.fallen = 0, 0, now, 0, false
	h.driftAt = now + driftStep
}

// Slow makes all work take factor times as long; 1 ends it. Steal gives share of the cores to another program.
func (h *Host) Slow(factor float64) { h.slow = max(factor, 0.01) }

// Steal gives share of the cores to another program; 0 ends it.
func (h *Host) Steal(share float64) { h.stolen = min(max(share, 0), 0.99) }

// Capacity is what the host can do now, in cores of speed 1.
func (h *Host) Capacity() float64 {
	return h.spec.Cores * h.spec.Speed * (1 - h.stolen) / h.slow * h.slowStartFactor()
}

// slowStartFactor is the share of its capacity that a host has reached since its start.
func (h *Host) slowStartFactor() float64 {
	since := h.now - h.began
	if !h.cold || h.spec.Cold <= 0 || h.spec.Cold >= 1 || since >= h.spec.Warm {
		return 1
	}
	return h.spec.Cold + (1-h.spec.Cold)*float64(since)/float64(h.spec.Warm)
}

// Demand is what standing connections and their groups ask of it, in cores of speed 1.
func (h *Host) Demand() float64 { return h.load + float64(len(h.groups))*h.spec.Group*h.spec.Load }

// Excess is the demand over the capacity.
func (h *Host) Excess() float64 { return h.Demand() / max(h.Capacity(), tiny) }

// Open counts connections that are up, and set-ups under way.
func (h *Host) Open() (up, setups int) { return len(h.byID) - len(h.queue), len(h.queue) }

// IDs names all connections and set-ups, in an order that the same events make the same.
func (h *Host) IDs() []string {
	ids := make([]string, len(h.order))
	for i, s := range h.order {
		ids[i] = s.id
	}
	return ids
}

// Fallen reports whether the host was pushed over.
func (h *Host) Fallen() bool { return h.fallen }

// LineTime is how long an answered line takes now: its work at the speed of a core, and the wait that a queue of such
// work has at this use (1/(1-use), as in an M/M/1 queue), at most fifty times over.
func (h *Host) LineTime() time.Duration {
	work := h.spec.Lines / h.spec.Speed * h.slow / (1 - h.stolen)
	return seconds(work / max(1-h.Excess(), 0.02))
}

// Begin asks for a set-up of a connection with a load of weight mean loads. Advance to now comes first.
func (h *Host) Begin(now time.Duration, id, group string, weight float64) Verdict {
	h.push(now, h.spec.Setup)
	up, setups := h.Open()
	switch {
	case h.fallen:
		return Down
	case h.byID[id] != nil, h.spec.Most > 0 && up+setups >= h.spec.Most, h.spec.Queue > 0 && setups >= h.spec.Queue:
		return Full
	}
	s := &standing{id: id, group: group, mean: h.spec.Load * weight, ready: h.store.Call(now), left: h.spec.Setup, at: len(h.order)}
	s.load = s.mean
	h.byID[id], h.order, h.queue = s, append(h.order, s), append(h.queue, s)
	return Taken
}

// push reckons what is sent to the host, taken or not: rejecting costs work too.
func (h *Host) push(now time.Duration, work float64) {
	h.pushed = h.pushed*math.Exp(-float64(now-h.pushAt)/float64(pushFor)) + work
	h.pushAt = now
}

// pressure is the work that is sent to it now, over what it can do.
func (h *Host) pressure() float64 {
	rate := h.pushed * math.Exp(-float64(h.now-h.pushAt)/float64(pushFor)) / pushFor.Seconds()
	return (rate + h.Demand()) / max(h.Capacity(), tiny)
}

// Stand puts a connection up at once, as one that stood before the run.
func (h *Host) Stand(id, group string, weight float64) {
	if h.byID[id] != nil {
		return
	}
	s := &standing{id: id, group: group, mean: h.spec.Load * weight, at: len(h.order)}
	s.load = s.mean
	h.byID[id], h.order = s, append(h.order, s)
	h.rise(s)
}

func (h *Host) rise(s *standing) {
	s.up = true
	h.load += s.load
	if s.group != "" {
		h.groups[s.group]++
	}
}

// End takes a connection or a set-up off the host.
func (h *Host) End(id string) {
	s := h.byID[id]
	if s == nil {
		return
	}
	delete(h.byID, id)
	last := h.order[len(h.order)-1]
	h.order[s.at], last.at = last, s.at
	h.order = h.order[:len(h.order)-1]
	if !s.up {
		for i, q := range h.queue {
			if q == s {
				h.queue = append(h.queue[:i], h.queue[i+1:]...)
				break
			}
		}
		return
	}
	h.load = max(h.load-s.load, 0)
	if s.group != "" {
		if h.groups[s.group]--; h.groups[s.group] <= 0 {
			delete(h.groups, s.group)
		}
	}
}

// serving returns the set-ups that are worked on now, one a core at most, and the rate that each gets.
func (h *Host) serving() (work []*standing, rate float64) {
	for _, s := range h.queue {
		if s.ready <= h.now && len(work) < int(math.Ceil(h.spec.Cores)) {
			work = append(work, s)
		}
	}
	if len(work) == 0 {
		return nil, 0
	}
	free := max(h.Capacity()-h.Demand(), leastFree*h.Capacity())
	return work, min(free/float64(len(work)), h.spec.Speed*(1-h.stolen)/h.slow)
}

// Next says when something happens by itself if no event comes before; ok is false where nothing will.
func (h *Host) Next() (at time.Duration, ok bool) {
	if h.fallen {
		return 0, false
	}
	at, ok = h.driftAt, len(h.order) > 0 && h.spec.Drift > 0
	sooner := func(t time.Duration) {
		if !ok || t < at {
			at, ok = t, true
		}
	}
	work, rate := h.serving()
	for _, s := range work {
		sooner(h.now + max(seconds(s.left/rate), time.Microsecond))
	}
	for _, s := range h.queue {
		if s.ready > h.now {
			sooner(s.ready)
		}
	}
	if h.over > 0 || h.cold && h.spec.FallIn > 0 && h.pressure() > h.spec.Fall {
		sooner(max(h.over, h.now) + h.spec.FallIn/8)
	}
	return at, ok
}

// Advance moves the host to now and returns what happened on the way, in order.
func (h *Host) Advance(now time.Duration) []Event {
	var out []Event
	for !h.fallen && h.now < now {
		step, ok := h.Next()
		if !ok || step > now {
			step = now
		}
		work, rate := h.serving()
		done := (max(step, h.now) - h.now).Seconds() * rate
		h.now = max(step, h.now)
		for _, s := range work {
			if s.left -= done; s.left <= tiny {
				h.finish(s)
				out = append(out, Event{ID: s.id, At: h.now, Up: true, Load: s.load})
			}
		}
		if h.spec.Drift > 0 && h.now >= h.driftAt {
			out = h.drift(out)
		}
		if h.falls() {
			return append(out, Event{At: h.now, Fallen: true})
		}
	}
	h.now = max(now, h.now)
	return out
}

func (h *Host) finish(s *standing) {
	for i, q := range h.queue {
		if q == s {
			h.queue = append(h.queue[:i], h.queue[i+1:]...)
			break
		}
	}
	h.rise(s)
}

// drift moves the loads of some connections about their means.
func (h *Host) drift(out []Event) []Event {
	h.driftAt += driftStep
	for _, s := range h.order {
		if !s.up || h.rng.IntN(driftPart) != 0 {
			continue
		}
		was := s.load
		s.load = s.mean * (1 + h.spec.Drift*(2*h.rng.Float64()-1))
		h.load = max(h.load+s.load-was, 0)
		out = append(out, Event{ID: s.id, At: h.now, Load: s.load})
	}
	return out
}

// falls says whether a cold host has been sent too much for too long by now.
func (h *Host) falls() bool {
	if h.spec.FallIn <= 0 || !h.cold || h.slowStartFactor() >= 1 || h.pressure() <= h.spec.Fall {
		h.over = 0
		return false
	}
	if h.over == 0 {
		h.over = max(h.now, 1)
	}
	h.fallen = h.now-h.over >= h.spec.FallIn
	return h.fallen
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, 1e9) * float64(time.Second))
}
