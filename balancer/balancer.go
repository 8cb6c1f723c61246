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
	reinstateWithin = 2 * time.Second // a server that operators called back is used after so long at the latest
	// As in the design: the part of the mean load, and the least connections, from which a server is skipped.
	overloadFactor, minOverloadConnections = 1.5, 2

	maxGroupProbes       = 4    // how many servers, from its place on, a group may newly stand on in a short fleet
	lowSampleGroupProbes = 2    // the same where a node sees too little to know its groups
	lowSampleReplicas    = 4    // places of a group where a node sees too little to tell large groups from small ones
	minReconnectReplicas = 3    // the least number among which one who comes again finds another than its first
	minZoneLocalCost     = 0.05 // crossings that cost this part of a request's worth are to be saved

	loadSmoothing = 0.05 // the part of one load note that moves the means: some twenty notes set them

	fleetWeightDecaySweeps = 4096 // sweeps in which a larger fleet fades

	sweepInterval, sweepToken, pacingToken = 200 * time.Millisecond, "sweep", "wait" // of housekeeping; names
	timerTolerance                         = time.Microsecond                        // a timer may be so early
)

// Handle takes one event at a time and returns the actions, valid until the next call.
func (b *Balancer) Handle(now time.Duration, ev Event) []Action {
	b.now, b.actions = now, b.actions[:0]
	if !b.started {
		b.started, b.secondStartedAt, b.startedAt = true, now, now
		b.nextPollAt = now + b.jitter(min(b.pollSpread(b.settings.PollInterval/20), MaxRepollDelay*8/5))
		b.emit(SetTimer{now + sweepInterval, sweepToken})
	}
	b.table.progress(now, b.drainGrace(), b.settings.DrainGrace*9/10, len(b.requests) == 0)
	switch e := ev.(type) {
	case ListEvent:
		b.updateEndpoints(e)
		b.updateTotals()
	case Arrival:
		b.handleArrival(e, nil)
	case Inherited:
		if s := b.servers[e.Server]; s != nil {
			b.handleArrival(e.Arrival, s)
		}
	case Established:
		b.handleEstablished(e)
	case AttemptEnded:
		b.handleAttemptEnded(e)
	case LoadReport:
		b.updateLoad(b.requests[e.ID], e.Load)
	case LatencyReport:
		b.observeLatency(b.requests[e.ID], e.Latency)
	case ClientDisconnected:
		b.finish(b.requests[e.ID])
	case Drain: // what waits for its turn is answered at once
		b.drain = e
		b.resumeQueue()
	case Timer:
		if e.Token == sweepToken {
			b.sweep()
		}
		if b.now+timerTolerance >= b.nextSendAt {
			b.resumeQueue()
		}
	}
	if len(b.pacingQueue) > 0 && b.sendInterval <= 0 { // one that came up or failed makes room
		b.resumeQueue()
	}
	if len(b.pacingQueue) > 0 && b.timerAt != b.nextSendAt { // one timer for all that wait
		b.timerAt = b.nextSendAt
		b.emit(SetTimer{b.timerAt, pacingToken})
	}
	return b.actions
}

// drainGrace is for how long a server that drains is still sent what stands there. The rest of the grace is for the way out
// of the node, and for a hold-up on it.
func (b *Balancer) drainGrace() time.Duration {
	return max(min(b.settings.DrainGrace*9/10, b.settings.DrainGrace-MaxSchedulingDelay), 0)
}

// handleArrival takes a request in and places it at once, or notes where it stands already.
func (b *Balancer) handleArrival(e Arrival, on *server) {
	if b.requests[e.ID] != nil || e.Class < 0 || e.Class >= len(b.settings.Classes) {
		return
	}
	if e.Tenant < 0 || e.Tenant >= len(b.tenantConnections) {
		e.Tenant = len(b.tenantConnections) - 1
	}
	r := &request{Arrival: e, deadline: b.now + e.TimeLeft}
	r.load = cmp.Or(b.classMeanLoads[e.Class], b.meanLoad, 1) // until a note tells more
	if b.requests[e.ID] = r; on == nil {
		b.arrivalsThisSecond++
		b.admit(r)
		return
	}
	r.establishedOn, r.attempts = on, []attempt{{server: on, sentAt: b.now, pending: true}}
	b.adjustCounts(on, r, 1)
}

func (b *Balancer) startAttempt(r *request, left time.Duration) {
	var s *server
	if left > 0 && len(b.table.first) > 0 && (b.settings.MaxAttempts <= 0 || len(r.attempts) < b.settings.MaxAttempts) {
		s = b.selectServer(r)
	}
	aim := b.settings.Classes[r.Class].SetupLatencyObjective
	if s == nil {
		b.rejectOrFail(r, aim, b.rejectionReason(r, left))
		return
	}
	// A hung server says nothing: leave time for another. But where set-ups are slow everywhere, one given up
	// early is work done again; who met no answer before, here or by its own account, waits on what all call.
	if b.lowSample() && (r.Retry || len(r.attempts) > 0) {
		left = left * 9 / 10
	} else {
		left = min(left, max(aim, 4*b.setupTime))
	}
	b.clearReinstated(s)
	r.attempts = append(r.attempts, attempt{server: s, sentAt: b.now, pending: true})
	if r.isSetup() {
		b.setupsInFlight++
	}
	b.adjustCounts(s, r, 1)
	if b.slowStartFactor(s) < 1 {
		b.recordSlowStartSend(s)
	}
	b.emit(Send{r.ID, s.id, left})
}

// rejectionReason says why a request was sent nowhere.
func (b *Balancer) rejectionReason(r *request, left time.Duration) Reason {
	switch {
	case left <= 0:
		return ReasonNoTime
	case b.settings.MaxAttempts > 0 && len(r.attempts) >= b.settings.MaxAttempts:
		return ReasonAttempts
	}
	return ReasonNoServer
}

// relativeValue is what a request is worth for the load it brings, against the class that is worth most; a tenant
// over its share of open connections, judged by this node's part of them, counts for little.
func (b *Balancer) relativeValue(r *request) float64 {
	best := 1e-12
	for i, c := range b.settings.Classes {
		best = max(best, c.PriorityWeight/cmp.Or(b.classMeanLoads[i], b.meanLoad, 1))
	}
	own := b.settings.Classes[r.Class].PriorityWeight / cmp.Or(b.classMeanLoads[r.Class], b.meanLoad, 1)
	share := b.settings.Tenants[r.Tenant].ConnectionQuota / float64(max(b.settings.NodeCount, 1))
	if share > 0 && float64(b.tenantConnections[r.Tenant]) > share {
		own *= b.settings.OverQuotaWeight
	}
	return own / best
}

// preferredEntry is the request's entry in the table, the hash of its client key, or of its group where there are
// groups, as connections of a group share work on a server; of its own id where it has neither. A group of
// several places has further entries, each hashed from the first; the client's key picks one, and keeps to
// it as their number changes.
func (b *Balancer) preferredEntry(r *request) (at uint64, place, places int) {
	own := cmp.Or(r.Key, string(r.ID))
	at, places = xxhash.Sum64String(cmp.Or(r.Group, own)), 1
	if r.Group != "" {
		places = b.replicaCount(r.Group)
		place = int(jump.Hash(xxhash.Sum64String(own), places))
		if r.Reconnect && b.lowSample() && !r.MidFlow { // what moved it away is likely to last
			places = max(places, minReconnectReplicas)
			place = (place + 1 + int(xxhash.Sum64String(string(r.ID))%uint64(places-1))) % places
		}
	}
	return at, place, places
}

// candidateEntry is the i-th entry to look at for a request: its own, its group's others, then those behind its own.
func (b *Balancer) candidateEntry(at uint64, place, places, i int) int {
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

// replicaCount is how many a group has: as many as it is servers' parts of what this node has open. A node that
// is to hold less than skipFloor connections on a server, by the quotas, sees neither a group's size nor a
// crowd that it should skip: there each group has the same few, so that large ones don't crowd one server,
// and small ones are not paid for on all; fewer while much of the listed weight is gone, as the rest can't
// bear the price.
func (b *Balancer) replicaCount(group string) int {
	all, kept := float64(len(b.table.holders)), b.settings.CrossZoneCost >= minZoneLocalCost
	if kept { // it has places in each zone
		all *= b.zoneWeight / max(b.fleetWeight, b.zoneWeight)
	}
	if b.lowSample() && kept {
		return 1
	} else if b.lowSample() {
		return max(1, int(math.Round(lowSampleReplicas*b.fleetWeight/b.maxFleetWeight)))
	}
	return 1 + int(float64(b.groupConnections[group])/float64(b.connectionCount+1)*all/overloadFactor)
}

// lowSample reports whether this node is to hold too few connections on a server, by the quotas, to judge by.
func (b *Balancer) lowSample() bool {
	return b.connectionQuota > 0 && b.connectionQuota < minOverloadConnections*float64(len(b.table.holders))
}

// selectServer picks the server: the first hop of the request's place, or the second for a mid-flow arrival while
// that entry changes; where that one is barred, the first that fits of those that its group's entry and the
// next ones name, in the same order at every node.
func (b *Balancer) selectServer(r *request) *server {
	// One that operators called back is used again soon, to show them that it is, also where its entries come up
	// seldom: once it has waited, it gets the next request that may go there.
	for _, s := range b.reinstated {
		if b.now >= s.reinstatedAt+reinstateWithin && !r.MidFlow && b.isEligible(s, r) && !b.isEjected(s) {
			return s
		}
	}
	at, own, places := b.preferredEntry(r)
	b.scans++
	var best *server
	var rank, value float64
	local, met := b.isZoneLocal(at), false
	near, size := b.maxProbes, len(b.table.first)
	for i, left := 0, len(b.table.holders); i < size+places && left > 0; i++ {
		at := b.candidateEntry(at, own, places, i)
		if r.MidFlow && !met {
			if s := b.currentHolder(r, at, local); s != nil {
				return s
			}
		}
		s := b.table.first[at]
		if s == nil || s.lastScan == b.scans {
			continue
		}
		home := !met && (!local || s.zone == b.settings.Zone)
		met = met || home
		s.lastScan, left = b.scans, left-1
		if !b.isEligible(s, r) {
			continue
		}
		load, held := r.load, r.Group != "" && s.groups[r.Group] > 0
		if !held {
			load += b.groupCost
		}
		ejected := b.isEjected(s) && !b.ignoreEjections
		if met && !ejected {
			near--
		}
		if near < 0 && !held && b.fleetOverloaded && r.Group != "" { // a group that scatters is paid for on every server
			continue
		}
		k, v := 2.0, 0.0 // the next entry that names another server
		switch {
		case ejected:
			k, v = 4, s.ejectedUntil.Seconds()
		case b.exceedsLimit(s, r, load):
			continue // one more would only make it late for all that it has
		case b.isOverloaded(s, load):
			k, v = 3, b.loadOf(s)/b.capacityOf(s)
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

// currentHolder finds where a mid-flow connection stands: where the table put it, however loaded that server is.
func (b *Balancer) currentHolder(r *request, at int, local bool) *server {
	for _, s := range b.table.hops(at) {
		if s != nil && (!local || s.zone == b.settings.Zone) && b.isEligible(s, r) && !b.isEjected(s) {
			return s
		}
	}
	return nil
}

// isZoneLocal reports whether clients of an entry are kept in this node's zone, where crossings are dear: all, or
// as many as its servers bear of their part if the clients come to all zones alike; the hash says which.
func (b *Balancer) isZoneLocal(at uint64) bool {
	part := b.zoneWeight * float64(b.settings.Zones) / max(b.fleetWeight, 1e-9)
	return b.settings.CrossZoneCost >= minZoneLocalCost && float64(mix(at, uint64(b.settings.Zone)+1)) < part*math.MaxUint64
}

// isEligible reports whether a server may get a request by what may be repeated there and by its slow start.
func (b *Balancer) isEligible(s *server, r *request) bool {
	return b.mayAttempt(r, s) && b.hasSlowStartBudget(s)
}

// mayAttempt reports whether another attempt may go to s: repeats are proved safe, no server is tried twice.
func (b *Balancer) mayAttempt(r *request, s *server) bool {
	c := &b.settings.Classes[r.Class]
	for i := range r.attempts {
		a := &r.attempts[i]
		far := c.Scope == ScopeZone && s.zone != a.server.zone || c.Scope == ScopeCell && s.cell != a.server.cell
		ran := !a.notExecuted && c.Effect != Idempotent
		if a.pending || a.server == s || ran && (far || c.Effect == NonIdempotent || b.now-a.sentAt >= c.IdempotencyWindow) {
			return false
		}
	}
	return true
}

// rejectOrFail answers at once: refused where that is known to be harmless, else failed.
func (b *Balancer) rejectOrFail(r *request, wait time.Duration, why Reason) {
	c := &b.settings.Classes[r.Class]
	harmless := true
	for i := range r.attempts {
		harmless = harmless && (r.attempts[i].notExecuted || c.Effect == Idempotent || c.Effect == IdempotentByKey && c.Scope == ScopeAll)
	}
	if harmless {
		b.emit(Reject{r.ID, min(wait, b.settings.MaxRetryAfter), why})
	} else {
		b.emit(Fail{r.ID, why})
	}
	b.finish(r)
}

// finish marks a request as answered and frees it once no attempt of it is out.
func (b *Balancer) finish(r *request) {
	if r == nil {
		return
	}
	r.answered = true
	switch i := len(r.attempts) - 1; {
	case i < 0 || !r.attempts[i].pending:
		delete(b.requests, r.ID)
	case r.establishedOn == nil && b.settings.MayCancel:
		b.emit(Cancel{r.ID, i})
	}
}

func (b *Balancer) handleEstablished(e Established) {
	if r, a := b.pendingAttempt(e.ID, e.Attempt); r != nil && r.establishedOn == nil {
		r.establishedOn = a.server
		if r.isSetup() {
			b.setupsThisSecond, b.setupsTotal, b.setupsInFlight = b.setupsThisSecond+1, b.setupsTotal+1, b.setupsInFlight-1
		}
		b.observeSetup(r, a, e.Took, false)
		b.recordSuccess(r.establishedOn)
	}
}

func (b *Balancer) handleAttemptEnded(e AttemptEnded) {
	r, a := b.pendingAttempt(e.ID, e.Attempt)
	if r == nil {
		return
	}
	a.pending, a.notExecuted = false, e.Outcome.ProvesNotExecuted()
	s, stood := a.server, r.establishedOn != nil
	if !stood && r.isSetup() {
		b.setupsInFlight--
	}
	aim := b.settings.Classes[r.Class].SetupLatencyObjective
	switch {
	case e.Outcome == Served:
		b.recordSuccess(s)
	case e.Outcome == ConnectionReset && stood: // its death shows in failed connects
		b.recordReset(s)
	case e.Outcome == ConnectFailed:
		b.recordFailure(s, 4*aim)
	case e.Outcome == ResponseTimeout:
		if r.TimeLeft >= b.minSetupObjective { // no set-up is wanted sooner: a client that leaves less time tells nothing
			b.observeSetup(r, a, e.Took, true)
		}
		if e.Took >= aim {
			b.recordFailure(s, 4*aim)
		}
	case e.Outcome == Errored || e.Outcome == Rejected || e.Outcome == ConnectionReset:
		b.observeSetup(r, a, aim, true)
		b.recordFailure(s, aim)
	}
	b.adjustCounts(s, r, -1)
	b.removeIfUnused(s)
	if r.establishedOn = nil; stood || e.Final || r.answered {
		b.finish(r)
	} else {
		b.admit(r)
	}
}

// evictConnections sends what stands away as the node drains, least worth first, and evenly: no wave for the others.
func (b *Balancer) evictConnections() {
	on := b.connectionsByValue(nil)
	steps := max((b.drain.Deadline-b.now)/sweepInterval, 1)
	for _, r := range on[:(len(on)+int(steps)-1)/int(steps)] {
		b.emit(Migrate{r.ID})
		b.finish(r)
	}
}

// connectionsByValue lists what stands on a server, or on all for nil, least worth for its load first.
func (b *Balancer) connectionsByValue(s *server) (on []*request) {
	for _, r := range b.requests {
		if r.establishedOn != nil && (s == nil || r.establishedOn == s) && !r.answered {
			on = append(on, r)
		}
	}
	price := func(r *request) float64 {
		return (r.load + b.groupCost/float64(r.establishedOn.groups[r.Group])) / max(b.settings.Classes[r.Class].PriorityWeight, 1e-9)
	}
	slices.SortFunc(on, func(x, y *request) int {
		return cmp.Or(cmp.Compare(price(y), price(x)), cmp.Compare(x.ID, y.ID))
	})
	return on
}

// shedLoad moves connections off a server until it is within its limit, least worth for their load first.
func (b *Balancer) shedLoad(s *server, over float64) {
	for _, r := range b.connectionsByValue(s) {
		if over < r.load*b.rng.Float64() {
			return
		}
		over -= r.load
		b.emit(Migrate{r.ID})
		b.finish(r)
	}
}

// sweep is the housekeeping: the rates, and the questions to the list.
func (b *Balancer) sweep() {
	b.emit(SetTimer{b.now + sweepInterval, sweepToken})
	b.updateTotals()
	b.maxFleetWeight -= (b.maxFleetWeight - b.fleetWeight) / fleetWeightDecaySweeps // a fleet made smaller for good is not short for ever
	if b.drain.Active && !b.drain.KeepConnections {
		b.evictConnections()
	}
	b.relaxWithTime()
	if b.now >= b.secondStartedAt+time.Second {
		// A wave of returning clients does not pass for capacity, nor a jam for the usual rate.
		if n := min(b.setupsThisSecond, 2*b.setupRate+1); b.sendInterval == 0 || n > b.setupRate {
			b.setupRate += rateSmoothing * (n - b.setupRate)
		}
		b.setupsThisSecond, b.arrivalsLastSecond, b.arrivalsThisSecond, b.secondStartedAt = 0, b.arrivalsThisSecond, 0, b.now
	}
	if b.settings.PollList && !b.watching && b.now >= b.nextPollAt && (!b.polling || b.now > b.polledAt+b.settings.PollInterval) {
		b.polling, b.polledAt = true, b.now
		b.emit(WatchList{})
	}
}
