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
	Cores             float64 // number of cores
	Speed             float64 // of one core; 1 is the yardstick
	ConnectionLoad    float64 // mean load of a standing connection, in cores of speed 1
	LoadDrift         float64 // how far a load swings about its mean, as a share of it; 0 for loads that stay
	GroupCost         float64 // price of each group of which any connection stands here, in mean loads
	SetupWork         float64 // work of one set-up, in seconds of a core of speed 1
	LineWork          float64 // work of one answered line, in the same
	MaxConnections    int     // connections that it holds, set-ups included; 0 for no limit
	MaxSetups         int     // set-ups under way, past which it turns away; 0 for no limit
	SlowStartFraction float64 // share of its capacity with which it starts; 0 or 1 for a host that starts warm
	SlowStartDuration time.Duration
	CollapseMultiple  float64       // a cold host that is sent more than this multiple of what it can do ...
	CollapseAfter     time.Duration // ... for so long falls over; 0 for one that never does
}

// Check says what a Spec can't mean, and names the field; err is nil where all is well.
func (s Spec) Check() (field string, err error) {
	for _, f := range []struct {
		name        string
		v, from, to float64
	}{
		{"cores", s.Cores, 0.01, 1024}, {"speed", s.Speed, 0.001, 1000}, {"load", s.ConnectionLoad, 0, 1000},
		{"drift", s.LoadDrift, 0, 1}, {"group", s.GroupCost, 0, 1e6}, {"setup", s.SetupWork, 0, 60}, {"lines", s.LineWork, 0, 60},
		{"most", float64(s.MaxConnections), 0, 1e9}, {"queue", float64(s.MaxSetups), 0, 1e9}, {"cold", s.SlowStartFraction, 0, 1},
		{"warm", s.SlowStartDuration.Seconds(), 0, 86400}, {"fall", s.CollapseMultiple, 0, 1e6}, {"fall_in", s.CollapseAfter.Seconds(), 0, 86400},
	} {
		if !(f.v >= f.from && f.v <= f.to) {
			return f.name, fmt.Errorf("%g is not between %g and %g", f.v, f.from, f.to)
		}
	}
	return "", nil
}

// SessionStore is the session store that set-ups call: one queue for all hosts that share it, at a rate of its own.
// The zero Store answers at once.
type SessionStore struct {
	Latency    time.Duration // of a call that waits for no other
	Rate       float64       // calls a second that it bears; 0 for any number
	SlowFactor float64       // factor on both; 0 and 1 for none
	idleAt     time.Duration // when the queue is empty
}

// Call says when a call made now is answered.
func (s *SessionStore) Call(now time.Duration) time.Duration {
	slow := max(s.SlowFactor, 1)
	if s.Rate > 0 {
		now = max(now, s.idleAt)
		s.idleAt = now + time.Duration(slow/s.Rate*float64(time.Second))
	}
	return now + time.Duration(slow*float64(s.Latency))
}

// Admission is what becomes of a connection that asks to be set up.
type Admission uint8

// The verdicts.
const (
	Admitted    Admission = iota // a Done follows when it is up
	Rejected                     // turned away: it never ran
	Unavailable                  // the host has fallen over: nothing comes back
)

// Event is what has happened by itself.
type Event struct {
	ID          string
	At          time.Duration
	Established bool    // the set-up is through; else the load changed
	Load        float64 // the connection's load now, in cores of speed 1
	Collapsed   bool    // the host fell over; ID is empty
}

type connection struct {
	id, group      string
	meanLoad, load float64
	storeAnswersAt time.Duration // when the store has answered; set-ups only
	remainingWork  float64       // work that the set-up still needs
	established    bool
	index          int // place in the host's order
}

// Host is one host's machine. All calls give a time that does not go back.
type Host struct {
	spec              Spec
	store             *SessionStore
	rng               *rand.Rand
	now               time.Duration
	startedAt         time.Duration // of its last start
	startedCold       bool          // of its last start
	slowFactor        float64       // factor on work; 1 for none
	stolenShare       float64       // share of its cores that another program takes
	connections       map[string]*connection
	order             []*connection // a map's order would not be the same with the same seed
	setups            []*connection // set-ups in order of arrival
	groupSizes        map[string]int
	establishedLoad   float64       // of what is up, without groups
	recentSetupWork   float64       // set-up work sent lately, decaying by pushFor
	recentSetupWorkAt time.Duration // when pushed was reckoned last
	overloadedSince   time.Duration // since when the push is too much; 0 for not
	collapsed         bool
	nextDrift         time.Duration
}

const (
	setupWorkDecay = 250 * time.Millisecond // how far back the push that a cold host feels goes
	driftInterval  = time.Second            // how often loads drift
	driftOneIn     = 4                      // one connection in so many drifts at a step
	minSetupShare  = 0.05                   // share of the capacity that set-ups get however much stands: kernels are fair
	negligibleWork = 1e-9                   // work that counts as none
)

// New makes a host that starts now, cold if the spec says so and cold is set. Hosts that share a store are given the
// same one; nil is a store that answers at once.
func New(spec Spec, store *SessionStore, seed uint64, now time.Duration, cold bool) *Host {
	if store == nil {
		store = &SessionStore{}
	}
	h := &Host{spec: spec, store: store, rng: rand.New(rand.NewPCG(seed, 0x686f7374)), slowFactor: 1}
	h.Restart(now, cold)
	return h
}

// Restart empties the host and starts it anew.
func (h *Host) Restart(now time.Duration, cold bool) {
	h.now, h.startedAt, h.startedCold = now, now, cold
	h.connections, h.groupSizes = map[string]*connection{}, map[string]int{}
	h.order, h.setups = nil, nil
	h.establishedLoad, h.recentSetupWork, h.recentSetupWorkAt, h.overloadedSince, h.collapsed = 0, 0, now, 0, false
	h.nextDrift = now + driftInterval
}

// SetSlowFactor makes all work take factor times as long; 1 ends it. Steal gives share of the cores to another program.
func (h *Host) SetSlowFactor(factor float64) { h.slowFactor = max(factor, 0.01) }

// SetStolenShare gives share of the cores to another program; 0 ends it.
func (h *Host) SetStolenShare(share float64) { h.stolenShare = min(max(share, 0), 0.99) }

// Capacity is what the host can do now, in cores of speed 1.
func (h *Host) Capacity() float64 {
	return h.spec.Cores * h.spec.Speed * (1 - h.stolenShare) / h.slowFactor * h.slowStartFactor()
}

// slowStartFactor is the share of its capacity that a host has reached since its start.
func (h *Host) slowStartFactor() float64 {
	since := h.now - h.startedAt
	if !h.startedCold || h.spec.SlowStartFraction <= 0 || h.spec.SlowStartFraction >= 1 || since >= h.spec.SlowStartDuration {
		return 1
	}
	return h.spec.SlowStartFraction + (1-h.spec.SlowStartFraction)*float64(since)/float64(h.spec.SlowStartDuration)
}

// Demand is what standing connections and their groups ask of it, in cores of speed 1.
func (h *Host) Demand() float64 {
	return h.establishedLoad + float64(len(h.groupSizes))*h.spec.GroupCost*h.spec.ConnectionLoad
}

// Utilization is the demand over the capacity.
func (h *Host) Utilization() float64 { return h.Demand() / max(h.Capacity(), negligibleWork) }

// Counts counts connections that are up, and set-ups under way.
func (h *Host) Counts() (up, setups int) { return len(h.connections) - len(h.setups), len(h.setups) }

// IDs names all connections and set-ups, in an order that the same events make the same.
func (h *Host) IDs() []string {
	ids := make([]string, len(h.order))
	for i, s := range h.order {
		ids[i] = s.id
	}
	return ids
}

// Collapsed reports whether the host was pushed over.
func (h *Host) Collapsed() bool { return h.collapsed }

// LineLatency is how long an answered line takes now: its work at the speed of a core, and the wait that a queue of such
// work has at this use (1/(1-use), as in an M/M/1 queue), at most fifty times over.
func (h *Host) LineLatency() time.Duration {
	work := h.spec.LineWork / h.spec.Speed * h.slowFactor / (1 - h.stolenShare)
	return seconds(work / max(1-h.Utilization(), 0.02))
}

// BeginSetup asks for a set-up of a connection with a load of weight mean loads. Advance to now comes first.
func (h *Host) BeginSetup(now time.Duration, id, group string, weight float64) Admission {
	h.addSetupWork(now, h.spec.SetupWork)
	up, setups := h.Counts()
	switch {
	case h.collapsed:
		return Unavailable
	case h.connections[id] != nil, h.spec.MaxConnections > 0 && up+setups >= h.spec.MaxConnections, h.spec.MaxSetups > 0 && setups >= h.spec.MaxSetups:
		return Rejected
	}
	s := &connection{id: id, group: group, meanLoad: h.spec.ConnectionLoad * weight, storeAnswersAt: h.store.Call(now), remainingWork: h.spec.SetupWork, index: len(h.order)}
	s.load = s.meanLoad
	h.connections[id], h.order, h.setups = s, append(h.order, s), append(h.setups, s)
	return Admitted
}

// addSetupWork reckons what is sent to the host, taken or not: rejecting costs work too.
func (h *Host) addSetupWork(now time.Duration, work float64) {
	h.recentSetupWork = h.recentSetupWork*math.Exp(-float64(now-h.recentSetupWorkAt)/float64(setupWorkDecay)) + work
	h.recentSetupWorkAt = now
}

// overloadRatio is the work that is sent to it now, over what it can do.
func (h *Host) overloadRatio() float64 {
	rate := h.recentSetupWork * math.Exp(-float64(h.now-h.recentSetupWorkAt)/float64(setupWorkDecay)) / setupWorkDecay.Seconds()
	return (rate + h.Demand()) / max(h.Capacity(), negligibleWork)
}

// AddEstablished puts a connection up at once, as one that stood before the run.
func (h *Host) AddEstablished(id, group string, weight float64) {
	if h.connections[id] != nil {
		return
	}
	s := &connection{id: id, group: group, meanLoad: h.spec.ConnectionLoad * weight, index: len(h.order)}
	s.load = s.meanLoad
	h.connections[id], h.order = s, append(h.order, s)
	h.establish(s)
}

func (h *Host) establish(s *connection) {
	s.established = true
	h.establishedLoad += s.load
	if s.group != "" {
		h.groupSizes[s.group]++
	}
}

// Remove takes a connection or a set-up off the host.
func (h *Host) Remove(id string) {
	s := h.connections[id]
	if s == nil {
		return
	}
	delete(h.connections, id)
	last := h.order[len(h.order)-1]
	h.order[s.index], last.index = last, s.index
	h.order = h.order[:len(h.order)-1]
	if !s.established {
		for i, q := range h.setups {
			if q == s {
				h.setups = append(h.setups[:i], h.setups[i+1:]...)
				break
			}
		}
		return
	}
	h.establishedLoad = max(h.establishedLoad-s.load, 0)
	if s.group != "" {
		if h.groupSizes[s.group]--; h.groupSizes[s.group] <= 0 {
			delete(h.groupSizes, s.group)
		}
	}
}

// activeSetups returns the set-ups that are worked on now, one a core at most, and the rate that each gets.
func (h *Host) activeSetups() (work []*connection, rate float64) {
	for _, s := range h.setups {
		if s.storeAnswersAt <= h.now && len(work) < int(math.Ceil(h.spec.Cores)) {
			work = append(work, s)
		}
	}
	if len(work) == 0 {
		return nil, 0
	}
	free := max(h.Capacity()-h.Demand(), minSetupShare*h.Capacity())
	return work, min(free/float64(len(work)), h.spec.Speed*(1-h.stolenShare)/h.slowFactor)
}

// Next says when something happens by itself if no event comes before; ok is false where nothing will.
func (h *Host) Next() (at time.Duration, ok bool) {
	if h.collapsed {
		return 0, false
	}
	at, ok = h.nextDrift, len(h.order) > 0 && h.spec.LoadDrift > 0
	sooner := func(t time.Duration) {
		if !ok || t < at {
			at, ok = t, true
		}
	}
	work, rate := h.activeSetups()
	for _, s := range work {
		sooner(h.now + max(seconds(s.remainingWork/rate), time.Microsecond))
	}
	for _, s := range h.setups {
		if s.storeAnswersAt > h.now {
			sooner(s.storeAnswersAt)
		}
	}
	if h.overloadedSince > 0 || h.startedCold && h.spec.CollapseAfter > 0 && h.overloadRatio() > h.spec.CollapseMultiple {
		sooner(max(h.overloadedSince, h.now) + h.spec.CollapseAfter/8)
	}
	return at, ok
}

// Advance moves the host to now and returns what happened on the way, in order.
func (h *Host) Advance(now time.Duration) []Event {
	var out []Event
	for !h.collapsed && h.now < now {
		step, ok := h.Next()
		if !ok || step > now {
			step = now
		}
		work, rate := h.activeSetups()
		done := (max(step, h.now) - h.now).Seconds() * rate
		h.now = max(step, h.now)
		for _, s := range work {
			if s.remainingWork -= done; s.remainingWork <= negligibleWork {
				h.completeSetup(s)
				out = append(out, Event{ID: s.id, At: h.now, Established: true, Load: s.load})
			}
		}
		if h.spec.LoadDrift > 0 && h.now >= h.nextDrift {
			out = h.driftLoads(out)
		}
		if h.updateCollapse() {
			return append(out, Event{At: h.now, Collapsed: true})
		}
	}
	h.now = max(now, h.now)
	return out
}

func (h *Host) completeSetup(s *connection) {
	for i, q := range h.setups {
		if q == s {
			h.setups = append(h.setups[:i], h.setups[i+1:]...)
			break
		}
	}
	h.establish(s)
}

// driftLoads moves the loads of some connections about their means.
func (h *Host) driftLoads(out []Event) []Event {
	h.nextDrift += driftInterval
	for _, s := range h.order {
		if !s.established || h.rng.IntN(driftOneIn) != 0 {
			continue
		}
		was := s.load
		s.load = s.meanLoad * (1 + h.spec.LoadDrift*(2*h.rng.Float64()-1))
		h.establishedLoad = max(h.establishedLoad+s.load-was, 0)
		out = append(out, Event{ID: s.id, At: h.now, Load: s.load})
	}
	return out
}

// updateCollapse says whether a cold host has been sent too much for too long by now.
func (h *Host) updateCollapse() bool {
	if h.spec.CollapseAfter <= 0 || !h.startedCold || h.slowStartFactor() >= 1 || h.overloadRatio() <= h.spec.CollapseMultiple {
		h.overloadedSince = 0
		return false
	}
	if h.overloadedSince == 0 {
		h.overloadedSince = max(h.now, 1)
	}
	h.collapsed = h.now-h.overloadedSince >= h.spec.CollapseAfter
	return h.collapsed
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, 1e9) * float64(time.Second))
}
