package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	ejectable      = 0.5    // the share of the fleet that suspicion may shut out: more is no server's fault
	lowSampleShort = 1. / 3 // the share of known servers that tells a node which sees little of a short fleet
	headroom       = 0.88   // the part of what a server can do that a cut aims at
	reserve        = 0.15   // the part of a limit that is kept for requests of most worth for their load
	recovery       = 16     // longest deadlines in which a limit grows back: clients' own measure of long
	fewCalls       = 25     // so many calls at once the list works through well before they are given up
	rateSmooth     = 0.1    // the part of one second's count that moves the known rate of connections
)

// listed takes in the server list, removals and drains first, then fills, by id: all tables change alike.
func (b *Balancer) listed(e ListEvent) {
	if e.Kind == ListFailed { // back off with jitter, doubling, as far as AskAgain allows
		b.backoff = min(max(2*b.backoff, sweepEvery), b.set.PollInterval/4, MaxRepollDelay/2)
		room := max(MaxRepollDelay, 2*MaxRepollDelay+b.askedAt-b.now) * 2 / 3
		b.asking, b.watching, b.askNotBy = false, false, b.now+b.backoff/2+b.jitter(min(b.apart(b.backoff), room))
		return
	}
	if e.Kind != ListOverride && !e.Superseded { // an operator's word, or what an older call brings, is no watch
		b.watching, b.asking, b.backoff = e.Kind != ListCached, false, 0
	}
	rows := slices.SortedFunc(slices.Values(e.Servers), func(x, y Server) int { return cmp.Compare(x.ID, y.ID) })
	named := make(map[ServerID]bool, len(rows))
	for _, row := range rows {
		named[row.ID] = row.State != Removed
		if s := b.servers[row.ID]; s != nil && row.State != Live {
			b.table.drain(s, b.now)
			b.used(s)
		}
	}
	before := slices.Clone(b.table.holders)
	for _, s := range before {
		if held, told := named[s.id]; !held && (told || e.Kind == ListSnapshot || e.Kind == ListCached) {
			b.table.drain(s, b.now)
			b.table.drained(s)
			b.used(s)
			b.forget(s)
		}
	}
	if len(b.table.holders) < len(before) {
		b.table.settle()
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
		if s.weight == 0 || row.StartedAt > s.since || s.guess && !row.AssumedStart { // new, restarted, or now told
			s.since, s.guess, s.limit, s.peak, s.failures, s.ejectedUntil = row.StartedAt, row.AssumedStart, 0, 0, 0, 0
			if s.tokens, s.refill = 0, b.now-b.set.CollapseWindow; b.quota <= 0 {
				s.tokens, s.refill = b.rng.Float64(), b.now
			}
		}
		s.zone, s.cell, s.weight = row.Zone, row.Cell, cmp.Or(max(row.Weight, 0), 1)
		s.ejectedUntil = max(s.ejectedUntil, b.now+row.EjectFor)
		if s.state == draining { // called back
			b.table.drained(s)
			b.table.settle()
		}
		if e.Kind == ListOverride && s.backAt == 0 {
			s.backAt, b.returning = b.now, append(b.returning, s)
		}
		if initial = append(initial, s); !fresh {
			b.table.fill(s, b.now)
		}
	}
	if fresh {
		b.table.build(initial)
	}
}

// apart is the span over which the nodes that would ask the list at once do so, own at least. A few calls
// wait for each other; of many most are given up, and worked through all the same: asked again as soon, it
// serves none. Half the time allowed is twice as fast as it must bear. What AskAgain leaves is less.
func (b *Balancer) apart(own time.Duration) time.Duration {
	return max(own, time.Duration(float64(b.set.PollInterval)/2*min(1, float64(b.set.NodeCount)/fewCalls/2-0.5)))
}

// forget drops a server that nothing refers to any more.
func (b *Balancer) forget(s *server) {
	if s.state == inactive && s.conns == 0 && b.servers[s.id] == s {
		delete(b.servers, s.id)
	}
}

// slowStartFactor returns the share of its capacity that a server has for certain, 1 when warm.
func (b *Balancer) slowStartFactor(s *server) float64 {
	age := b.now - s.since
	if s.since <= 0 || age >= b.set.SlowStartDuration {
		return 1
	}
	return b.set.SlowStartFraction + (1-b.set.SlowStartFraction)*max(0, float64(age)/float64(b.set.SlowStartDuration))
}

// weigh sums the fleet: loads and usable weight, and whether suspicion may still shut servers out.
func (b *Balancer) weigh() {
	shut, known, crowded := 0.0, 0.0, 0.0
	b.load, b.usable, b.weight, b.own = 0, 0, 0, 0
	for _, s := range b.table.holders {
		if s.state == draining {
			continue
		}
		if b.weight += s.weight; s.zone == b.set.Zone {
			b.own += s.weight
		}
		switch {
		case b.limited(s):
			crowded += s.weight
			known += s.weight
		case s.conns > 0:
			known += s.weight
		}
		if b.ejected(s) {
			shut += s.weight
		} else {
			b.load += b.bears(s)
			b.usable += b.carries(s)
		}
	}
	b.most = max(b.most, b.weight)
	b.trusting, b.short, b.reach = shut > ejectable*b.weight, crowded > ejectable*known, groupReach
	if b.lowSample() { // it knows few, and late
		b.short, b.reach = crowded > lowSampleShort*known, lowSampleReach
	}
}

// bears is the load that a server has of this node, the groups it holds counted in.
func (b *Balancer) bears(s *server) float64 { return s.load + b.group*float64(len(s.groups)) }

// carries is the weight a server is good for now.
func (b *Balancer) carries(s *server) float64 { return s.weight * b.slowStartFactor(s) }

// full reports whether a server has as much load as it was last seen not to cope with, which grows back.
func (b *Balancer) full(s *server, r *request, load float64) bool {
	keep := 1 - reserve*(1-b.value(r))
	limit := s.limit + s.peak*float64(b.now-s.limitAt)/float64(b.recover)
	return limit > 0 && b.bears(s)+load > limit*keep
}

// limited reports whether a server's limit is new.
func (b *Balancer) limited(s *server) bool { return s.limit > 0 && b.now < s.limitAt+b.recover/4 }

// ejected reports whether a server that fails attempts gets no new connection for now.
func (b *Balancer) ejected(s *server) bool { return b.now < s.ejectedUntil }

// over reports whether a server is past the skip bound, of load for its weight and of connections.
func (b *Balancer) over(s *server, load float64) bool {
	w := b.carries(s)
	return s.conns >= skipFloor && b.bears(s)+load > skipFactor*(b.load+load)*w/max(b.usable, w)
}

// hasSlowStartBudget reports whether this node's share of a cold server's budget, FallMultiple times what it
// can do now, covers one more connection. It takes them no faster than fills it over its warm-up, more from
// half warm on; full it has its part of the tenants' quotas, of the fleet at its largest. Without them it is
// what this node places, or, where all are cold and nothing is placed, its share of what comes. Under one in
// a window is one in some of as many as come for it: saved up, many shares would come together.
func (b *Balancer) hasSlowStartBudget(s *server) bool {
	share := b.slowStartFactor(s)
	if share >= 1 || b.set.CollapseWindow <= 0 { // without a window there is no budget to keep
		return true
	}
	if b.quota <= 0 { // what this node places is less than servers bear, and saved up where little comes to it
		rate := share * max(b.set.CollapseMultiple*b.rate, b.came) * s.weight / max(b.weight, s.weight)
		s.tokens = min(max(1, rate*b.set.CollapseWindow.Seconds()), s.tokens+rate*(b.now-s.refill).Seconds())
		s.refill = b.now
	} else if b.now >= s.refill+b.set.CollapseWindow {
		part := b.quota * s.weight / max(b.most, s.weight) * max(1, 2*share)
		n := b.set.CollapseMultiple * part * b.set.CollapseWindow.Seconds() / b.set.SlowStartDuration.Seconds()
		comes := max(b.rate, b.came, b.coming) * b.set.CollapseWindow.Seconds() * s.weight / max(b.usable, s.weight)
		round := b.rng.Float64()
		s.tokens, s.refill = math.Floor(n/max(min(comes, 1), min(n, 1))+round), b.now
		if s.mostRecent = 0; n >= 1 {
			s.mostRecent = int(n + round)
		}
	}
	return s.tokens >= 1 && (s.mostRecent == 0 || b.recentSends(s) < s.mostRecent)
}

// recentSends counts what was sent to a cold server within the last FallWindow. The budget binds in every window of that
// length, also in one that begins in the middle of two of this node's own: on few nodes nobody else evens that out.
func (b *Balancer) recentSends(s *server) int {
	old, _ := slices.BinarySearch(s.sentAt, b.now-b.set.CollapseWindow+1)
	s.sentAt = slices.Delete(s.sentAt, 0, old)
	return len(s.sentAt)
}

// noteSend takes one connection out of a cold server's budget.
func (b *Balancer) noteSend(s *server) {
	s.tokens--
	if s.mostRecent > 0 {
		b.recentSends(s) // keeps those of one window alone
		s.sentAt = append(s.sentAt, b.now)
	}
}

// recordFailure notes a failed attempt and shuts the server out for a time.
func (b *Balancer) recordFailure(s *server, span time.Duration) {
	s.failures, s.ejectedUntil = s.failures+1, max(s.ejectedUntil, b.now+span)
	if s.failures == 2 {
		b.log("server " + string(s.id) + " suspect: it fails attempts")
	}
}

// recordSuccess notes a success.
func (b *Balancer) recordSuccess(s *server) { s.failures, s.ejectedUntil = 0, 0 }

// slow takes in how long messages take at a server, told each second while that is near the shortest aim. It
// grows by what is asked beyond what the server can do and falls by what is spare: its slope tells how far to
// cut, soon and a little: of hosts that grow slower for half a minute each node learns alone, and late costs.
func (b *Balancer) slow(r *request, message time.Duration) {
	if r == nil || r.conn == nil {
		return
	}
	s := r.conn
	was, span := s.message, b.now-s.messageAt
	if span > 2*time.Second || span <= 0 {
		was, span = 0, time.Second
	}
	s.message, s.messageAt = message, b.now
	keep := headroom / max(headroom/2, 1+float64(message-was)/float64(span))
	if message > 3*b.aim/8 && keep < 1 && b.aim > 0 {
		b.cut(s, keep)
	}
}

// dropped notes that a server broke an open connection. One that breaks most of all lets go of a pile
// that grew before late messages could tell: it is good for half of what it bore, or all come back at once.
func (b *Balancer) dropped(s *server) {
	if b.now > s.lostAt+sweepEvery {
		s.lost, s.borne = 0, b.bears(s)
	}
	s.lost, s.lostAt = s.lost+1, b.now
	if s.lost >= s.conns && (s.lost >= skipFloor || b.limited(s)) {
		s.peak, s.limit, s.limitAt = max(s.borne, s.peak*headroom), s.borne*headroom/2, b.now
		b.recordFailure(s, 4*b.minSetupAim)
	}
}

// cut lowers the load that a server may have, and moves what is over it.
func (b *Balancer) cut(s *server, keep float64) {
	s.peak = max(b.bears(s), s.peak*headroom)
	s.limit, s.limitAt = b.bears(s)*keep, b.now
	b.shedLoad(s, b.bears(s)-s.limit)
}
