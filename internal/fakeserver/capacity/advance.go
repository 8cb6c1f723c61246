package capacity

import (
	"math"
	"time"
)

// collapseChecks is the number of overload checks within Spec.CollapseAfter.
const collapseChecks = 8

// Next returns the time of the next state change, provided that no other method is called before that time. ok is false
// if there is none.
func (h *Host) Next() (at time.Duration, ok bool) {
	if h.collapsed {
		return 0, false
	}
	at = h.nextDrift
	ok = len(h.order) > 0 && h.spec.LoadDrift > 0
	consider := func(candidate time.Duration) {
		if !ok || candidate < at {
			at, ok = candidate, true
		}
	}
	active, rate := h.activeSetups()
	for _, c := range active {
		consider(h.now + max(seconds(c.remainingWork/rate), time.Microsecond))
	}
	for _, c := range h.setups {
		if c.storeAnswersAt > h.now {
			consider(c.storeAnswersAt)
		}
	}
	if h.overloadedSince > 0 || h.mayCollapse() {
		consider(max(h.overloadedSince, h.now) + h.spec.CollapseAfter/collapseChecks)
	}
	return at, ok
}

// mayCollapse reports whether a host that started cold is now loaded above Spec.CollapseMultiple. It is false if the
// spec has no collapse.
func (h *Host) mayCollapse() bool {
	return h.startedCold && h.spec.CollapseAfter > 0 && h.overloadRatio() > h.spec.CollapseMultiple
}

// Advance moves the host to now and returns the events up to then, in order of time.
func (h *Host) Advance(now time.Duration) []Event {
	var events []Event
	for !h.collapsed && h.now < now {
		step, ok := h.Next()
		if !ok || step > now {
			step = now
		}
		events = h.advanceSetups(events, max(step, h.now))
		if h.spec.LoadDrift > 0 && h.now >= h.nextDrift {
			events = h.driftLoads(events)
		}
		if h.updateCollapse() {
			return append(events, Event{At: h.now, Collapsed: true})
		}
	}
	h.now = max(now, h.now)
	return events
}

// advanceSetups moves the host to a time before which no setup ends, and completes the setups that end at that time.
func (h *Host) advanceSetups(events []Event, to time.Duration) []Event {
	active, rate := h.activeSetups()
	done := (to - h.now).Seconds() * rate
	h.now = to
	for _, c := range active {
		c.remainingWork -= done
		if c.remainingWork > negligibleWork {
			continue
		}
		h.removeSetup(c)
		h.establish(c)
		events = append(events, Event{ID: c.id, At: h.now, Established: true, Load: c.load})
	}
	return events
}

// activeSetups returns the setups that the host works on now, at most one per core, and the rate of work on each setup,
// in seconds of a reference core per second.
func (h *Host) activeSetups() (active []*connection, rate float64) {
	cores := int(math.Ceil(h.spec.Cores))
	for _, c := range h.setups {
		if c.storeAnswersAt <= h.now && len(active) < cores {
			active = append(active, c)
		}
	}
	if len(active) == 0 {
		return nil, 0
	}
	free := max(h.Capacity()-h.Demand(), minSetupFraction*h.Capacity())
	return active, min(free/float64(len(active)), h.coreSpeed())
}

// driftLoads draws new loads for some established connections at random, and sets the time of the next drift.
func (h *Host) driftLoads(events []Event) []Event {
	h.nextDrift += driftInterval
	for _, c := range h.order {
		if !c.established || h.rng.IntN(driftOneIn) != 0 {
			continue
		}
		previous := c.load
		c.load = c.meanLoad * (1 + h.spec.LoadDrift*(2*h.rng.Float64()-1))
		h.establishedLoad = max(h.establishedLoad+c.load-previous, 0)
		events = append(events, Event{ID: c.id, At: h.now, Load: c.load})
	}
	return events
}

// updateCollapse tracks how long a host in slow start has been loaded above Spec.CollapseMultiple, and reports whether
// it has collapsed.
func (h *Host) updateCollapse() bool {
	if h.slowStartFactor() >= 1 || !h.mayCollapse() {
		h.overloadedSince = 0
		return false
	}
	if h.overloadedSince == 0 {
		h.overloadedSince = max(h.now, 1)
	}
	h.collapsed = h.now-h.overloadedSince >= h.spec.CollapseAfter
	return h.collapsed
}
