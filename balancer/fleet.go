package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	maxEjectedShare          = 0.5    // the share of the fleet that suspicion may shut out: more is no server's fault
	lowSampleOverloadedShare = 1. / 3 // the share of known servers that tells a node which sees little of a short fleet
	headroom                 = 0.88   // the part of what a server can do that a cut aims at
	priorityReserve          = 0.15   // the part of a limit that is kept for requests of most worth for their load
	limitRecoveryDeadlines   = 16     // longest deadlines in which a limit grows back: clients' own measure of long
	concurrentPolls          = 25     // so many calls at once the list works through well before they are given up
	rateSmoothing            = 0.1    // the part of one second's count that moves the known rate of connections
)

// updateEndpoints takes in the server list, removals and drains first, then fills, by id: all tables change alike.
func (b *Balancer) updateEndpoints(e ListEvent) {
	if e.Kind == ListFailed { // back off with jitter, doubling, as far as AskAgain allows
		b.backoff = min(max(2*b.backoff, sweepInterval), b.settings.PollInterval/4, MaxRepollDelay/2)
		room := max(MaxRepollDelay, 2*MaxRepollDelay+b.polledAt-b.now) * 2 / 3
		b.polling, b.watching, b.nextPollAt = false, false, b.now+b.backoff/2+b.jitter(min(b.pollSpread(b.backoff), room))
		return
	}
	if e.Kind != ListOverride && !e.Superseded { // an operator's word, or what an older call brings, is no watch
		b.watching, b.polling, b.backoff = e.Kind != ListCached, false, 0
	}
	rows := slices.SortedFunc(slices.Values(e.Servers), func(x, y Server) int { return cmp.Compare(x.ID, y.ID) })
	named := make(map[ServerID]bool, len(rows))
	for _, row := range rows {
		named[row.ID] = row.State != Removed
		if s := b.servers[row.ID]; s != nil && row.State != Live {
			b.table.drain(s, b.now)
			b.clearReinstated(s)
		}
	}
	before := slices.Clone(b.table.holders)
	for _, s := range before {
		if held, told := named[s.id]; !held && (told || e.Kind == ListSnapshot || e.Kind == ListCached) {
			b.table.drain(s, b.now)
			b.table.remove(s)
			b.clearReinstated(s)
			b.removeIfUnused(s)
		}
	}
	if len(b.table.holders) < len(before) {
		b.table.syncSecondHops()
	}
	var initial []*server
	fresh := len(b.table.holders) == 0 // filled one by one, the first would take all
	for _, row := range rows {
		if row.State != Live {
			continue
		}
		s := b.servers[row.ID]
		if s == nil {
			s = &server{id: row.ID, hash: xxhash.Sum64String(string(row.ID)), groups: map[string]int{}}
			b.servers[row.ID] = s
		}
		if s.weight == 0 || row.StartedAt > s.startedAt || s.assumedStart && !row.AssumedStart { // new, restarted, or now told
			s.startedAt, s.assumedStart, s.loadLimit, s.peakLoad, s.consecutiveFailures, s.ejectedUntil = row.StartedAt, row.AssumedStart, 0, 0, 0, 0
			if s.tokens, s.refilledAt = 0, b.now-b.settings.CollapseWindow; b.connectionQuota <= 0 {
				s.tokens, s.refilledAt = b.rng.Float64(), b.now
			}
		}
		s.zone, s.cell, s.weight = row.Zone, row.Cell, cmp.Or(max(row.Weight, 0), 1)
		s.ejectedUntil = max(s.ejectedUntil, b.now+row.EjectFor)
		if s.state == draining { // called back
			b.table.remove(s)
			b.table.syncSecondHops()
		}
		if e.Kind == ListOverride && s.reinstatedAt == 0 {
			s.reinstatedAt, b.reinstated = b.now, append(b.reinstated, s)
		}
		if initial = append(initial, s); !fresh {
			b.table.fill(s, b.now)
		}
	}
	if fresh {
		b.table.build(initial)
	}
}

// pollSpread is the span over which the nodes that would ask the list at once do so, own at least. A few calls
// wait for each other; of many most are given up, and worked through all the same: asked again as soon, it
// serves none. Half the time allowed is twice as fast as it must bear. What AskAgain leaves is less.
func (b *Balancer) pollSpread(own time.Duration) time.Duration {
	return max(own, time.Duration(float64(b.settings.PollInterval)/2*min(1, float64(b.settings.NodeCount)/concurrentPolls/2-0.5)))
}

// removeIfUnused drops a server that nothing refers to any more.
func (b *Balancer) removeIfUnused(s *server) {
	if s.state == inactive && s.connections == 0 && b.servers[s.id] == s {
		delete(b.servers, s.id)
	}
}

// slowStartFactor returns the share of its capacity that a server has for certain, 1 when warm.
func (b *Balancer) slowStartFactor(s *server) float64 {
	age := b.now - s.startedAt
	if s.startedAt <= 0 || age >= b.settings.SlowStartDuration {
		return 1
	}
	return b.settings.SlowStartFraction + (1-b.settings.SlowStartFraction)*max(0, float64(age)/float64(b.settings.SlowStartDuration))
}

// updateTotals sums the fleet: loads and usable weight, and whether suspicion may still shut servers out.
func (b *Balancer) updateTotals() {
	shut, known, crowded := 0.0, 0.0, 0.0
	b.fleetLoad, b.usableCapacity, b.fleetWeight, b.zoneWeight = 0, 0, 0, 0
	for _, s := range b.table.holders {
		if s.state == draining {
			continue
		}
		if b.fleetWeight += s.weight; s.zone == b.settings.Zone {
			b.zoneWeight += s.weight
		}
		switch {
		case b.isLimited(s):
			crowded += s.weight
			known += s.weight
		case s.connections > 0:
			known += s.weight
		}
		if b.isEjected(s) {
			shut += s.weight
		} else {
			b.fleetLoad += b.loadOf(s)
			b.usableCapacity += b.capacityOf(s)
		}
	}
	b.maxFleetWeight = max(b.maxFleetWeight, b.fleetWeight)
	b.ignoreEjections, b.fleetOverloaded, b.maxProbes = shut > maxEjectedShare*b.fleetWeight, crowded > maxEjectedShare*known, maxGroupProbes
	if b.lowSample() { // it knows few, and late
		b.fleetOverloaded, b.maxProbes = crowded > lowSampleOverloadedShare*known, lowSampleGroupProbes
	}
}

// loadOf is the load that a server has of this node, the groups it holds counted in.
func (b *Balancer) loadOf(s *server) float64 { return s.load + b.groupCost*float64(len(s.groups)) }

// capacityOf is the weight a server is good for now.
func (b *Balancer) capacityOf(s *server) float64 { return s.weight * b.slowStartFactor(s) }

// exceedsLimit reports whether a server has as much load as it was last seen not to cope with, which grows back.
func (b *Balancer) exceedsLimit(s *server, r *request, load float64) bool {
	keep := 1 - priorityReserve*(1-b.relativeValue(r))
	limit := s.loadLimit + s.peakLoad*float64(b.now-s.limitedAt)/float64(b.limitRecovery)
	return limit > 0 && b.loadOf(s)+load > limit*keep
}

// isLimited reports whether a server's limit is new.
func (b *Balancer) isLimited(s *server) bool {
	return s.loadLimit > 0 && b.now < s.limitedAt+b.limitRecovery/4
}

// isEjected reports whether a server that fails attempts gets no new connection for now.
func (b *Balancer) isEjected(s *server) bool { return b.now < s.ejectedUntil }

// isOverloaded reports whether a server is past the skip bound, of load for its weight and of connections.
func (b *Balancer) isOverloaded(s *server, load float64) bool {
	w := b.capacityOf(s)
	return s.connections >= minOverloadConnections && b.loadOf(s)+load > overloadFactor*(b.fleetLoad+load)*w/max(b.usableCapacity, w)
}

// hasSlowStartBudget reports whether this node's share of a cold server's budget, FallMultiple times what it
// can do now, covers one more connection. It takes them no faster than fills it over its warm-up, more from
// half warm on; full it has its part of the tenants' quotas, of the fleet at its largest. Without them it is
// what this node places, or, where all are cold and nothing is placed, its share of what comes. Under one in
// a window is one in some of as many as come for it: saved up, many shares would come together.
func (b *Balancer) hasSlowStartBudget(s *server) bool {
	share := b.slowStartFactor(s)
	if share >= 1 || b.settings.CollapseWindow <= 0 { // without a window there is no budget to keep
		return true
	}
	if b.connectionQuota <= 0 { // what this node places is less than servers bear, and saved up where little comes to it
		rate := share * max(b.settings.CollapseMultiple*b.setupRate, b.arrivalsLastSecond) * s.weight / max(b.fleetWeight, s.weight)
		s.tokens = min(max(1, rate*b.settings.CollapseWindow.Seconds()), s.tokens+rate*(b.now-s.refilledAt).Seconds())
		s.refilledAt = b.now
	} else if b.now >= s.refilledAt+b.settings.CollapseWindow {
		part := b.connectionQuota * s.weight / max(b.maxFleetWeight, s.weight) * max(1, 2*share)
		n := b.settings.CollapseMultiple * part * b.settings.CollapseWindow.Seconds() / b.settings.SlowStartDuration.Seconds()
		comes := max(b.setupRate, b.arrivalsLastSecond, b.arrivalsThisSecond) * b.settings.CollapseWindow.Seconds() * s.weight / max(b.usableCapacity, s.weight)
		round := b.rng.Float64()
		s.tokens, s.refilledAt = math.Floor(n/max(min(comes, 1), min(n, 1))+round), b.now
		if s.maxPerWindow = 0; n >= 1 {
			s.maxPerWindow = int(n + round)
		}
	}
	return s.tokens >= 1 && (s.maxPerWindow == 0 || b.recentSends(s) < s.maxPerWindow)
}

// recentSends counts what was sent to a cold server within the last FallWindow. The budget binds in every window of that
// length, also in one that begins in the middle of two of this node's own: on few nodes nobody else evens that out.
func (b *Balancer) recentSends(s *server) int {
	old, _ := slices.BinarySearch(s.recentSendTimes, b.now-b.settings.CollapseWindow+1)
	s.recentSendTimes = slices.Delete(s.recentSendTimes, 0, old)
	return len(s.recentSendTimes)
}

// recordSlowStartSend takes one connection out of a cold server's budget.
func (b *Balancer) recordSlowStartSend(s *server) {
	s.tokens--
	if s.maxPerWindow > 0 {
		b.recentSends(s) // keeps those of one window alone
		s.recentSendTimes = append(s.recentSendTimes, b.now)
	}
}

// recordFailure notes a failed attempt and shuts the server out for a time.
func (b *Balancer) recordFailure(s *server, span time.Duration) {
	s.consecutiveFailures, s.ejectedUntil = s.consecutiveFailures+1, max(s.ejectedUntil, b.now+span)
	if s.consecutiveFailures == 2 {
		b.log("server " + string(s.id) + " suspect: it fails attempts")
	}
}

// recordSuccess notes a success.
func (b *Balancer) recordSuccess(s *server) { s.consecutiveFailures, s.ejectedUntil = 0, 0 }

// observeLatency takes in how long messages take at a server, told each second while that is near the shortest aim. It
// grows by what is asked beyond what the server can do and falls by what is spare: its slope tells how far to
// cut, soon and a little: of hosts that grow slower for half a minute each node learns alone, and late costs.
func (b *Balancer) observeLatency(r *request, message time.Duration) {
	if r == nil || r.establishedOn == nil {
		return
	}
	s := r.establishedOn
	was, span := s.messageLatency, b.now-s.latencyAt
	if span > 2*time.Second || span <= 0 {
		was, span = 0, time.Second
	}
	s.messageLatency, s.latencyAt = message, b.now
	keep := headroom / max(headroom/2, 1+float64(message-was)/float64(span))
	if message > 3*b.minMessageObjective/8 && keep < 1 && b.minMessageObjective > 0 {
		b.reduceLimit(s, keep)
	}
}

// recordReset notes that a server broke an open connection. One that breaks most of all lets go of a pile
// that grew before late messages could tell: it is good for half of what it bore, or all come back at once.
func (b *Balancer) recordReset(s *server) {
	if b.now > s.lastResetAt+sweepInterval {
		s.resets, s.loadBeforeResets = 0, b.loadOf(s)
	}
	s.resets, s.lastResetAt = s.resets+1, b.now
	if s.resets >= s.connections && (s.resets >= minOverloadConnections || b.isLimited(s)) {
		s.peakLoad, s.loadLimit, s.limitedAt = max(s.loadBeforeResets, s.peakLoad*headroom), s.loadBeforeResets*headroom/2, b.now
		b.recordFailure(s, 4*b.minSetupObjective)
	}
}

// reduceLimit lowers the load that a server may have, and moves what is over it.
func (b *Balancer) reduceLimit(s *server, keep float64) {
	s.peakLoad = max(b.loadOf(s), s.peakLoad*headroom)
	s.loadLimit, s.limitedAt = b.loadOf(s)*keep, b.now
	b.shedLoad(s, b.loadOf(s)-s.loadLimit)
}
