package balancer

import (
	"cmp"
	"time"
)

// attempt is one send of a request to a server.
type attempt struct {
	server      *server
	sentAt      time.Duration
	pending     bool // no outcome yet
	notExecuted bool // its outcome proves that it never ran
}

// request is one client's connection, wanted or open.
type request struct {
	Arrival
	deadline      time.Duration
	attempts      []attempt
	establishedOn *server // nil while it is not established
	load          float64
	answered      bool // has had its final answer
}

// isSetup reports whether the last attempt sets a connection up. The first one of a mid-flow arrival continues a
// connection that is open.
func (r *request) isSetup() bool { return !r.MidFlow || len(r.attempts) > 1 }

// handleArrival admits a new request.
func (b *Balancer) handleArrival(arrival Arrival) {
	req := b.addRequest(arrival)
	if req == nil {
		return
	}
	b.rates.arrivalsThisSecond++
	b.admit(req)
}

// handleInherited counts a connection that is open on a server already.
func (b *Balancer) handleInherited(arrival Arrival, srv *server) {
	req := b.addRequest(arrival)
	if req == nil {
		return
	}
	req.establishedOn = srv
	req.attempts = []attempt{{server: srv, sentAt: b.now, pending: true}}
	b.adjustCounts(srv, req, 1)
}

// addRequest registers a request, or returns nil where its id is known or its class is not.
func (b *Balancer) addRequest(arrival Arrival) *request {
	if b.requests[arrival.ID] != nil || arrival.Class < 0 || arrival.Class >= len(b.settings.Classes) {
		return nil
	}
	if arrival.Tenant < 0 || arrival.Tenant >= len(b.counts.byTenant) {
		arrival.Tenant = len(b.counts.byTenant) - 1
	}
	req := &request{
		Arrival:  arrival,
		deadline: b.now + arrival.TimeLeft,
		load:     b.expectedLoad(arrival.Class),
	}
	b.requests[arrival.ID] = req
	return req
}

// startAttempt sends a request to the server that it is placed on, or answers it where there is none.
func (b *Balancer) startAttempt(req *request, timeLeft time.Duration) {
	var srv *server
	if timeLeft > 0 && len(b.table.first) > 0 && !b.attemptsExhausted(req) {
		srv = b.selectServer(req)
	}
	if srv == nil {
		retryAfter := b.settings.Classes[req.Class].SetupLatencyObjective
		b.rejectOrFail(req, retryAfter, b.rejectionReason(req, timeLeft))
		return
	}
	timeout := b.attemptTimeout(req, timeLeft)
	b.clearReinstated(srv)
	req.attempts = append(req.attempts, attempt{server: srv, sentAt: b.now, pending: true})
	if req.isSetup() {
		b.pacing.inFlight++
	}
	b.adjustCounts(srv, req, 1)
	if b.slowStartFactor(srv) < 1 {
		b.recordSlowStartSend(srv)
	}
	b.emit(Send{req.ID, srv.id, timeout})
}

func (b *Balancer) attemptsExhausted(req *request) bool {
	return b.settings.MaxAttempts > 0 && len(req.attempts) >= b.settings.MaxAttempts
}

// attemptTimeout leaves time for another attempt, as a server that hangs sends nothing. A retry at a node with a low
// sample waits on: where set-ups are slow everywhere, giving one up early only repeats its work.
func (b *Balancer) attemptTimeout(req *request, timeLeft time.Duration) time.Duration {
	if b.lowSample() && (req.Retry || len(req.attempts) > 0) {
		return timeLeft * 9 / 10
	}
	objective := b.settings.Classes[req.Class].SetupLatencyObjective
	return min(timeLeft, max(objective, 4*b.pacing.setupTime))
}

// rejectionReason returns why no attempt was started.
func (b *Balancer) rejectionReason(req *request, timeLeft time.Duration) Reason {
	switch {
	case timeLeft <= 0:
		return ReasonNoTime
	case b.attemptsExhausted(req):
		return ReasonAttempts
	}
	return ReasonNoServer
}

// mayAttempt reports whether the next attempt may go to a server: a retry must be safe, and no server is tried twice.
func (b *Balancer) mayAttempt(req *request, srv *server) bool {
	class := &b.settings.Classes[req.Class]
	for i := range req.attempts {
		earlier := &req.attempts[i]
		if earlier.pending || earlier.server == srv {
			return false
		}
		if earlier.notExecuted || class.Effect == Idempotent {
			continue
		}
		expired := b.now-earlier.sentAt >= class.IdempotencyWindow
		if class.Effect == NonIdempotent || expired || !class.inScope(earlier.server, srv) {
			return false
		}
	}
	return true
}

// inScope reports whether one server drops repeats of what another executed.
func (c *Class) inScope(executedOn, srv *server) bool {
	switch c.Scope {
	case ScopeZone:
		return srv.zone == executedOn.zone
	case ScopeCell:
		return srv.cell == executedOn.cell
	}
	return true
}

// rejectOrFail gives the final answer: a rejection where a retry is known to be harmless, else a failure.
func (b *Balancer) rejectOrFail(req *request, retryAfter time.Duration, reason Reason) {
	if b.retryIsHarmless(req) {
		b.emit(Reject{req.ID, min(retryAfter, b.settings.MaxRetryAfter), reason})
	} else {
		b.emit(Fail{req.ID, reason})
	}
	b.finish(req)
}

// retryIsHarmless reports whether the client may repeat the request at any server.
func (b *Balancer) retryIsHarmless(req *request) bool {
	class := &b.settings.Classes[req.Class]
	if class.Effect == Idempotent || class.Effect == IdempotentByKey && class.Scope == ScopeAll {
		return true
	}
	for i := range req.attempts {
		if !req.attempts[i].notExecuted {
			return false
		}
	}
	return true
}

// finish marks a request as answered and removes it once no attempt of it is pending.
func (b *Balancer) finish(req *request) {
	if req == nil {
		return
	}
	req.answered = true
	last := len(req.attempts) - 1
	switch {
	case last < 0 || !req.attempts[last].pending:
		delete(b.requests, req.ID)
	case req.establishedOn == nil && b.settings.MayCancel:
		b.emit(Cancel{req.ID, last})
	}
}

// pendingAttempt finds an attempt without an outcome; attempts of a request run one at a time.
func (b *Balancer) pendingAttempt(id RequestID, number int) (*request, *attempt) {
	req := b.requests[id]
	if req == nil || number < 0 || number != len(req.attempts)-1 || !req.attempts[number].pending {
		return nil, nil
	}
	return req, &req.attempts[number]
}

func (b *Balancer) handleEstablished(e Established) {
	req, attempt := b.pendingAttempt(e.ID, e.Attempt)
	if req == nil || req.establishedOn != nil {
		return
	}
	req.establishedOn = attempt.server
	if req.isSetup() {
		b.rates.setupsThisSecond++
		b.rates.setupsTotal++
		b.pacing.inFlight--
	}
	b.observeSetup(req, attempt, e.Took, false)
	b.recordSuccess(req.establishedOn)
}

func (b *Balancer) handleAttemptEnded(e AttemptEnded) {
	req, attempt := b.pendingAttempt(e.ID, e.Attempt)
	if req == nil {
		return
	}
	attempt.pending = false
	attempt.notExecuted = e.Outcome.ProvesNotExecuted()
	wasEstablished := req.establishedOn != nil
	if !wasEstablished && req.isSetup() {
		b.pacing.inFlight--
	}
	b.recordOutcome(req, attempt, e)
	b.adjustCounts(attempt.server, req, -1)
	b.removeIfUnused(attempt.server)
	req.establishedOn = nil
	if wasEstablished || e.Final || req.answered {
		b.finish(req)
	} else {
		b.admit(req)
	}
}

// recordOutcome draws conclusions from an outcome on the server and on set-ups in general.
func (b *Balancer) recordOutcome(req *request, attempt *attempt, e AttemptEnded) {
	srv := attempt.server
	objective := b.settings.Classes[req.Class].SetupLatencyObjective
	switch {
	case e.Outcome == Served:
		b.recordSuccess(srv)
	case e.Outcome == ConnectionReset && req.establishedOn != nil: // a dead server shows in failed connects
		b.recordReset(srv)
	case e.Outcome == ConnectFailed:
		b.recordFailure(srv, 4*objective)
	case e.Outcome == ResponseTimeout:
		// A client that left less time than any set-up takes shows nothing.
		if req.TimeLeft >= b.derived.minSetupObjective {
			b.observeSetup(req, attempt, e.Took, true)
		}
		if e.Took >= objective {
			b.recordFailure(srv, 4*objective)
		}
	case e.Outcome == Errored || e.Outcome == Rejected || e.Outcome == ConnectionReset:
		b.observeSetup(req, attempt, objective, true)
		b.recordFailure(srv, objective)
	}
}

// expectedLoad is what a connection of a class is taken to cost until a report says more.
func (b *Balancer) expectedLoad(class int) float64 {
	return cmp.Or(b.loads.byClass[class], b.loads.mean, 1)
}
