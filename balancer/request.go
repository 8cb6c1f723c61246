package balancer

import (
	"cmp"
	"time"
)

// attempt is an attempt to serve a request at one server.
type attempt struct {
	server      *server
	sentAt      time.Duration
	pending     bool // has no outcome yet
	notExecuted bool // the outcome proves that the server did not execute it
}

// request is a client's request, or the connection that was established for it.
type request struct {
	Arrival
	deadline      time.Duration
	attempts      []attempt
	establishedOn *server // nil while the connection is not established
	load          float64
	answered      bool // the client needs no final answer any more
}

// isSetup reports whether the last attempt sets up a connection. The first attempt of a mid-flow arrival continues an
// established connection.
func (r *request) isSetup() bool { return !r.MidFlow || len(r.attempts) > 1 }

// handleArrival registers and admits a new request.
func (b *Balancer) handleArrival(arrival Arrival) {
	req := b.addRequest(arrival)
	if req == nil {
		return
	}
	b.rates.arrivalsThisSecond++
	b.admit(req)
}

// handleInherited registers a connection that is already established on a server.
func (b *Balancer) handleInherited(arrival Arrival, srv *server) {
	req := b.addRequest(arrival)
	if req == nil {
		return
	}
	req.establishedOn = srv
	req.attempts = []attempt{{server: srv, sentAt: b.now, pending: true}}
	b.adjustCounts(srv, req, 1)
}

// addRequest registers a request. It returns nil if the id is already registered or the class is unknown.
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

// startAttempt selects a server and sends the request to it, or gives the final answer if there is no server.
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

// attemptTimeout returns the timeout of the next attempt. It leaves time for another attempt, because a server that
// hangs sends nothing. A retry at a node with a low sample has a longer timeout: if setups are slow at all servers, an
// early timeout only repeats their work.
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

// mayAttempt reports whether the next attempt may go to a server. A retry must be safe, and no server gets two attempts
// of a request.
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

// inScope reports whether srv drops repeats of requests that executedOn has executed.
func (c *Class) inScope(executedOn, srv *server) bool {
	switch c.Scope {
	case ScopeZone:
		return srv.zone == executedOn.zone
	case ScopeCell:
		return srv.cell == executedOn.cell
	}
	return true
}

// rejectOrFail gives the final answer: a rejection if a retry is known to be harmless, otherwise a failure.
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

// finish marks a request as answered. It deletes the request unless an attempt is pending. It cancels a pending attempt
// that has not established its connection, if the settings allow that.
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

// pendingAttempt returns a request and its attempt with the given number, or nil if the attempt is not pending. Only
// the last attempt of a request can be pending.
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

// recordOutcome updates the state of the server and of setup pacing after an attempt has ended.
func (b *Balancer) recordOutcome(req *request, attempt *attempt, e AttemptEnded) {
	srv := attempt.server
	objective := b.settings.Classes[req.Class].SetupLatencyObjective
	switch {
	case e.Outcome == Served:
		b.recordSuccess(srv)
	case e.Outcome == ConnectionReset && req.establishedOn != nil:
		// This does not count as a failed attempt: if the server is down, failed connects will eject it.
		b.recordReset(srv)
	case e.Outcome == ConnectFailed:
		b.recordFailure(srv, 4*objective)
	case e.Outcome == ResponseTimeout:
		// A timeout shows nothing if the client left less time than any setup takes.
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

// expectedLoad returns the load that a connection of a class is assumed to have until its first load report.
func (b *Balancer) expectedLoad(class int) float64 {
	return cmp.Or(b.loads.byClass[class], b.loads.mean, 1)
}
