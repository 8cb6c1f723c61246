package balancer

// The interface of this package is in api.go, what a node remembers in state.go. The decisions stand in
// balancer.go (requests, placement, events), pacing.go (rate of set-ups), fleet.go (servers) and table.go.

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-jump"
)

const (
	backWithin = 2 * time.Second // a server that operators called back is used after so long at the latest
	// As in the design: the part of the mean load, and the least connections, from which a server is skipped.
	skipFactor, skipFloor = 1.5, 2

	groupReach      = 4    // how many servers, from its place on, a group may newly stand on in a short fleet
	lowSampleReach  = 2    // the same where a node sees too little to know its groups
	lowSamplePlaces = 4    // places of a group where a node sees too little to tell large groups from small ones
	againPlaces     = 3    // the least number among which one who comes again finds another than its first
	dearCrossing    = 0.05 // crossings that cost this part of a request's worth are to be saved

	noteSmooth = 0.05 // the part of one load note that moves the means: some twenty notes set them

	forgetful = 4096 // sweeps in which a larger fleet fades

	sweepEvery, sweepToken, waitToken = 200 * time.Millisecond, "sweep", "wait" // of housekeeping; names
	tick                              = time.Microsecond                        // a timer may be so early
)

// Handle takes one event at a time and returns the actions, valid until the next call.
func (b *Balancer) Handle(now time.Duration, ev Event) []Action {
	b.now, b.out = now, b.out[:0]
	if !b.sweeping {
		b.sweeping, b.secondAt, b.born = true, now, now
		b.askNotBy = now + b.jitter(min(b.apart(b.set.PollInterval/20), MaxRepollDelay*8/5))
		b.emit(SetTimer{now + sweepEvery, sweepToken})
	}
	b.table.progress(now, b.drainGrace(), b.set.DrainGrace*9/10, len(b.reqs) == 0)
	switch e := ev.(type) {
	case ListEvent:
		b.listed(e)
		b.weigh()
	case Arrival:
		b.arrive(e, nil)
	case Inherited:
		if s := b.servers[e.Server]; s != nil {
			b.arrive(e.Arrival, s)
		}
	case Established:
		b.opened(e)
	case AttemptEnded:
		b.settled(e)
	case LoadReport:
		b.loaded(b.reqs[e.ID], e.Load)
	case LatencyReport:
		b.slow(b.reqs[e.ID], e.Latency)
	case ClientDisconnected:
		b.end(b.reqs[e.ID])
	case Drain: // what waits for its turn is answered at once
		b.leaving = e
		b.resumeQueue()
	case Timer:
		if e.Token == sweepToken {
			b.sweep()
		}
		if b.now+tick >= b.nextSendAt {
			b.resumeQueue()
		}
	}
	if len(b.pacingQueue) > 0 && b.sendInterval <= 0 { // one that came up or failed makes room
		b.resumeQueue()
	}
	if len(b.pacingQueue) > 0 && b.timerAt != b.nextSendAt { // one timer for all that wait
		b.timerAt = b.nextSendAt
		b.emit(SetTimer{b.timerAt, waitToken})
	}
	return b.out
}

// drainGrace is for how long a server that drains is still sent what stands there. The rest of the grace is for the way out
// of the node, and for a hold-up on it.
func (b *Balancer) drainGrace() time.Duration {
	return max(min(b.set.DrainGrace*9/10, b.set.DrainGrace-MaxSchedulingDelay), 0)
}

// arrive takes a request in and places it at once, or notes where it stands already.
func (b *Balancer) arrive(e Arrival, on *server) {
	if b.reqs[e.ID] != nil || e.Class < 0 || e.Class >= len(b.set.Classes) {
		return
	}
	if e.Tenant < 0 || e.Tenant >= len(b.tenants) {
		e.Tenant = len(b.tenants) - 1
	}
	r := &request{Arrival: e, deadline: b.now + e.TimeLeft}
	r.load = cmp.Or(b.means[e.Class], b.unit, 1) // until a note tells more
	if b.reqs[e.ID] = r; on == nil {
		b.coming++
		b.admit(r)
		return
	}
	r.conn, r.attempts = on, []attempt{{to: on, at: b.now, out: true}}
	b.count(on, r, 1)
}

func (b *Balancer) send(r *request, left time.Duration) {
	var s *server
	if left > 0 && len(b.table.first) > 0 && (b.set.MaxAttempts <= 0 || len(r.attempts) < b.set.MaxAttempts) {
		s = b.place(r)
	}
	aim := b.set.Classes[r.Class].SetupLatencyObjective
	if s == nil {
		b.reject(r, aim, b.unplaced(r, left))
		return
	}
	// A hung server says nothing: leave time for another. But where set-ups are slow everywhere, one given up
	// early is work done again; who met no answer before, here or by its own account, waits on what all call.
	if b.lowSample() && (r.Retry || len(r.attempts) > 0) {
		left = left * 9 / 10
	} else {
		left = min(left, max(aim, 4*b.setupTime))
	}
	b.used(s)
	r.attempts = append(r.attempts, attempt{to: s, at: b.now, out: true})
	if r.setsUp() {
		b.setupsOut++
	}
	b.count(s, r, 1)
	if b.slowStartFactor(s) < 1 {
		b.noteSend(s)
	}
	b.emit(Send{r.ID, s.id, left})
}

// unplaced says why a request was sent nowhere.
func (b *Balancer) unplaced(r *request, left time.Duration) Reason {
	switch {
	case left <= 0:
		return ReasonNoTime
	case b.set.MaxAttempts > 0 && len(r.attempts) >= b.set.MaxAttempts:
		return ReasonAttempts
	}
	return ReasonNoServer
}

// value is what a request is worth for the load it brings, against the class that is worth most; a tenant
// over its share of open connections, judged by this node's part of them, counts for little.
func (b *Balancer) value(r *request) float64 {
	best := 1e-12
	for i, c := range b.set.Classes {
		best = max(best, c.PriorityWeight/cmp.Or(b.means[i], b.unit, 1))
	}
	own := b.set.Classes[r.Class].PriorityWeight / cmp.Or(b.means[r.Class], b.unit, 1)
	share := b.set.Tenants[r.Tenant].ConnectionQuota / float64(max(b.set.NodeCount, 1))
	if share > 0 && float64(b.tenants[r.Tenant]) > share {
		own *= b.set.OverQuotaWeight
	}
	return own / best
}

// home is the request's entry in the table, the hash of its client key, or of its group where there are
// groups, as connections of a group share work on a server; of its own id where it has neither. A group of
// several places has further entries, each hashed from the first; the client's key picks one, and keeps to
// it as their number changes.
func (b *Balancer) home(r *request) (at uint64, place, places int) {
	own := cmp.Or(r.Key, string(r.ID))
	at, places = xxhash.Sum64String(cmp.Or(r.Group, own)), 1
	if r.Group != "" {
		places = b.places(r.Group)
		place = int(jump.Hash(xxhash.Sum64String(own), places))
		if r.Reconnect && b.lowSample() && !r.MidFlow { // what moved it away is likely to last
			places = max(places, againPlaces)
			place = (place + 1 + int(xxhash.Sum64String(string(r.ID))%uint64(places-1))) % places
		}
	}
	return at, place, places
}

// entry is the i-th entry to look at for a request: its own, its group's others, then those behind its own.
func (b *Balancer) entry(at uint64, place, places, i int) int {
	if i < places {
		place, i = (place+i)%places, 0
	} else {
		i -= places - 1
	}
	if place > 0 {
		at = mix(at, uint64(place))
	}
	return int((at%uint64(len(b.table.first)) + uint64(i)) % uint64(len(b.table.first)))
}

// places is how many a group has: as many as it is servers' parts of what this node has open. A node that
// is to hold less than skipFloor connections on a server, by the quotas, sees neither a group's size nor a
// crowd that it should skip: there each group has the same few, so that large ones don't crowd one server,
// and small ones are not paid for on all; fewer while much of the listed weight is gone, as the rest can't
// bear the price.
func (b *Balancer) places(group string) int {
	all, kept := float64(len(b.table.holders)), b.set.CrossZoneCost >= dearCrossing
	if kept { // it has places in each zone
		all *= b.own / max(b.weight, b.own)
	}
	if b.lowSample() && kept {
		return 1
	} else if b.lowSample() {
		return max(1, int(math.Round(lowSamplePlaces*b.weight/b.most)))
	}
	return 1 + int(float64(b.groups[group])/float64(b.open+1)*all/skipFactor)
}

// lowSample reports whether this node is to hold too few connections on a server, by the quotas, to judge by.
func (b *Balancer) lowSample() bool {
	return b.quota > 0 && b.quota < skipFloor*float64(len(b.table.holders))
}

// place picks the server: the first hop of the request's place, or the second for a mid-flow arrival while
// that entry changes; where that one is barred, the first that fits of those that its group's entry and the
// next ones name, in the same order at every node.
func (b *Balancer) place(r *request) *server {
	// One that operators called back is used again soon, to show them that it is, also where its entries come up
	// seldom: once it has waited, it gets the next request that may go there.
	for _, s := range b.returning {
		if b.now >= s.backAt+backWithin && !r.MidFlow && b.mayTake(s, r) && !b.ejected(s) {
			return s
		}
	}
	at, own, places := b.home(r)
	b.walks++
	var best *server
	var rank, value float64
	local, met := b.stays(at), false
	near, size := b.reach, len(b.table.first)
	for i, left := 0, len(b.table.holders); i < size+places && left > 0; i++ {
		at := b.entry(at, own, places, i)
		if r.MidFlow && !met {
			if s := b.stands(r, at, local); s != nil {
				return s
			}
		}
		s := b.table.first[at]
		if s == nil || s.visited == b.walks {
			continue
		}
		home := !met && (!local || s.zone == b.set.Zone)
		met = met || home
		s.visited, left = b.walks, left-1
		if !b.mayTake(s, r) {
			continue
		}
		load, held := r.load, r.Group != "" && s.groups[r.Group] > 0
		if !held {
			load += b.group
		}
		ejected := b.ejected(s) && !b.trusting
		if met && !ejected {
			near--
		}
		if near < 0 && !held && b.short && r.Group != "" { // a group that scatters is paid for on every server
			continue
		}
		k, v := 2.0, 0.0 // the next entry that names another server
		switch {
		case ejected:
			k, v = 4, s.ejectedUntil.Seconds()
		case b.full(s, r, load):
			continue // one more would only make it late for all that it has
		case b.over(s, load):
			k, v = 3, b.bears(s)/b.carries(s)
		case home:
			return s
		case held:
			k = 1 // a skipped connection goes where its group is paid for already
		}
		if best == nil || k < rank || k == rank && v < value {
			best, rank, value = s, k, v
		}
	}
	return best
}

// stands finds where a mid-flow connection stands: where the table put it, however loaded that server is.
func (b *Balancer) stands(r *request, at int, local bool) *server {
	for _, s := range b.table.hops(at) {
		if s != nil && (!local || s.zone == b.set.Zone) && b.mayTake(s, r) && !b.ejected(s) {
			return s
		}
	}
	return nil
}

// stays reports whether clients of an entry are kept in this node's zone, where crossings are dear: all, or
// as many as its servers bear of their part if the clients come to all zones alike; the hash says which.
func (b *Balancer) stays(at uint64) bool {
	part := b.own * float64(b.set.Zones) / max(b.weight, 1e-9)
	return b.set.CrossZoneCost >= dearCrossing && float64(mix(at, uint64(b.set.Zone)+1)) < part*math.MaxUint64
}

// mayTake reports whether a server may get a request by what may be repeated there and by its slow start.
func (b *Balancer) mayTake(s *server, r *request) bool {
	return b.allowed(r, s) && b.hasSlowStartBudget(s)
}

// allowed reports whether another attempt may go to s: repeats are proved safe, no server is tried twice.
func (b *Balancer) allowed(r *request, s *server) bool {
	c := &b.set.Classes[r.Class]
	for i := range r.attempts {
		a := &r.attempts[i]
		far := c.Scope == ScopeZone && s.zone != a.to.zone || c.Scope == ScopeCell && s.cell != a.to.cell
		ran := !a.safe && c.Effect != Idempotent
		if a.out || a.to == s || ran && (far || c.Effect == NonIdempotent || b.now-a.at >= c.IdempotencyWindow) {
			return false
		}
	}
	return true
}

// reject answers at once: refused where that is known to be harmless, else failed.
func (b *Balancer) reject(r *request, wait time.Duration, why Reason) {
	c := &b.set.Classes[r.Class]
	harmless := true
	for i := range r.attempts {
		harmless = harmless && (r.attempts[i].safe || c.Effect == Idempotent || c.Effect == IdempotentByKey && c.Scope == ScopeAll)
	}
	if harmless {
		b.emit(Reject{r.ID, min(wait, b.set.MaxRetryAfter), why})
	} else {
		b.emit(Fail{r.ID, why})
	}
	b.end(r)
}

// end marks a request as answered and frees it once no attempt of it is out.
func (b *Balancer) end(r *request) {
	if r == nil {
		return
	}
	r.answered = true
	switch i := len(r.attempts) - 1; {
	case i < 0 || !r.attempts[i].out:
		delete(b.reqs, r.ID)
	case r.conn == nil && b.set.MayCancel:
		b.emit(Cancel{r.ID, i})
	}
}

func (b *Balancer) opened(e Established) {
	if r, a := b.running(e.ID, e.Attempt); r != nil && r.conn == nil {
		r.conn = a.to
		if r.setsUp() {
			b.placed, b.total, b.setupsOut = b.placed+1, b.total+1, b.setupsOut-1
		}
		b.observeSetup(r, a, e.Took, false)
		b.recordSuccess(r.conn)
	}
}

func (b *Balancer) settled(e AttemptEnded) {
	r, a := b.running(e.ID, e.Attempt)
	if r == nil {
		return
	}
	a.out, a.safe = false, e.Outcome.ProvesNotExecuted()
	s, stood := a.to, r.conn != nil
	if !stood && r.setsUp() {
		b.setupsOut--
	}
	aim := b.set.Classes[r.Class].SetupLatencyObjective
	switch {
	case e.Outcome == Served:
		b.recordSuccess(s)
	case e.Outcome == ConnectionReset && stood: // its death shows in failed connects
		b.dropped(s)
	case e.Outcome == ConnectFailed:
		b.recordFailure(s, 4*aim)
	case e.Outcome == ResponseTimeout:
		if r.TimeLeft >= b.minSetupAim { // no set-up is wanted sooner: a client that leaves less time tells nothing
			b.observeSetup(r, a, e.Took, true)
		}
		if e.Took >= aim {
			b.recordFailure(s, 4*aim)
		}
	case e.Outcome == Errored || e.Outcome == Rejected || e.Outcome == ConnectionReset:
		b.observeSetup(r, a, aim, true)
		b.recordFailure(s, aim)
	}
	b.count(s, r, -1)
	b.forget(s)
	if r.conn = nil; stood || e.Final || r.answered {
		b.end(r)
	} else {
		b.admit(r)
	}
}

// evictConnections sends what stands away as the node drains, least worth first, and evenly: no wave for the others.
func (b *Balancer) evictConnections() {
	on := b.standing(nil)
	steps := max((b.leaving.Deadline-b.now)/sweepEvery, 1)
	for _, r := range on[:(len(on)+int(steps)-1)/int(steps)] {
		b.emit(Migrate{r.ID})
		b.end(r)
	}
}

// standing lists what stands on a server, or on all for nil, least worth for its load first.
func (b *Balancer) standing(s *server) (on []*request) {
	for _, r := range b.reqs {
		if r.conn != nil && (s == nil || r.conn == s) && !r.answered {
			on = append(on, r)
		}
	}
	price := func(r *request) float64 {
		return (r.load + b.group/float64(r.conn.groups[r.Group])) / max(b.set.Classes[r.Class].PriorityWeight, 1e-9)
	}
	slices.SortFunc(on, func(x, y *request) int {
		return cmp.Or(cmp.Compare(price(y), price(x)), cmp.Compare(x.ID, y.ID))
	})
	return on
}

// shedLoad moves connections off a server until it is within its limit, least worth for their load first.
func (b *Balancer) shedLoad(s *server, over float64) {
	for _, r := range b.standing(s) {
		if over < r.load*b.rng.Float64() {
			return
		}
		over -= r.load
		b.emit(Migrate{r.ID})
		b.end(r)
	}
}

// sweep is the housekeeping: the rates, and the questions to the list.
func (b *Balancer) sweep() {
	b.emit(SetTimer{b.now + sweepEvery, sweepToken})
	b.weigh()
	b.most -= (b.most - b.weight) / forgetful // a fleet made smaller for good is not short for ever
	if b.leaving.Active && !b.leaving.KeepConnections {
		b.evictConnections()
	}
	b.relaxWithTime()
	if b.now >= b.secondAt+time.Second {
		// A wave of returning clients does not pass for capacity, nor a jam for the usual rate.
		if n := min(b.placed, 2*b.rate+1); b.sendInterval == 0 || n > b.rate {
			b.rate += rateSmooth * (n - b.rate)
		}
		b.placed, b.came, b.coming, b.secondAt = 0, b.coming, 0, b.now
	}
	if b.set.PollList && !b.watching && b.now >= b.askNotBy && (!b.asking || b.now > b.askedAt+b.set.PollInterval) {
		b.asking, b.askedAt = true, b.now
		b.emit(WatchList{})
	}
}
