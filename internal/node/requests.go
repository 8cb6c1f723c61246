package node

import (
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/invariant"
	"onyxstream/internal/wire"
)

// request is a client's connection, wanted or open.
type request struct {
	conn            ClientConn
	host            *hostRecord
	attempts        int  // sends so far
	attemptInFlight bool // the last of them has brought no outcome yet
	established     bool
	answered        bool   // has had its final answer
	migrating       bool   // told to move
	midFlow         bool   // open elsewhere already when it came: no new work
	unresponsive    bool   // a message of it waited too long when last looked at
	countedMessages uint64 // messages of it that were counted

	class             int       // its index in the settings, or -1
	lastSentAt        time.Time // when the last attempt was sent
	mayHaveExecutedAt time.Time // when the first attempt was sent that may have run; zero while none has
}

// handleRequestEvent handles what a connection tells; r is its request, nil where there is none of it.
func (n *Node) handleRequestEvent(e event, r *request) {
	switch e.kind {
	case evArrive:
		n.handleArrival(e, r)
	case evResume:
		n.handleResume(e, r)
	case evInherit:
		if r != nil && !r.established {
			n.handleInherited(e, r)
		}
	case evConnected:
		if r != nil {
			n.handleConnected(e, r)
		}
	case evWritten:
		if r != nil {
			n.handleWritten(e, r)
		}
	case evOpened:
		if r != nil && r.attemptInFlight && !r.established && e.attempt == r.attempts-1 {
			r.established = true
			n.established.Add(1)
			n.markAnswered(r)
			n.pingNewHost(r.host)
			n.decide(balancer.Established{ID: e.id, Attempt: e.attempt, Server: r.host.id, Took: e.took})
			if n.shutDown && !n.settings.PassThrough { // it came up just before it was withdrawn
				n.migrate(r)
			}
		}
	case evSettled:
		if r != nil && r.attemptInFlight && e.attempt == r.attempts-1 {
			n.endAttempt(e, r)
		}
	case evLoad:
		if r != nil && r.established {
			n.decide(balancer.LoadReport{ID: e.id, Load: e.load})
		}
	case evGone:
		if r != nil && !r.established {
			n.markAnswered(r)
			n.decide(balancer.ClientDisconnected{ID: e.id})
			if r.attemptInFlight && r.attempts > e.attempt {
				n.endAttempt(settledEvent(e.id, r.attempts-1, balancer.NotSent), r)
			}
			n.releaseRequest(e.id, r)
		}
	}
}

// handleResume takes in a connection that stood before the run and tells where.
func (n *Node) handleResume(e event, r *request) {
	if r == nil {
		r = &request{conn: e.port, answered: true, class: -1}
		n.requests[e.id] = r
	}
	at := resumePoint{ok: r.conn == e.port}
	if m := n.hosts[balancer.ServerID(e.opening.CurrentHost)]; m != nil {
		at.addr = m.addr
	}
	e.reply <- at // has room
}

// handleInherited notes that such a connection is up at its host again.
func (n *Node) handleInherited(e event, r *request) {
	a := n.toArrival(e.opening, 0)
	id := balancer.ServerID(e.opening.CurrentHost)
	m := n.hosts[id]
	if m == nil { // a host that the list has forgotten still has its clients
		m = &hostRecord{id: id, state: balancer.Removed}
	}
	r.host, r.attempts, r.attemptInFlight, r.established = m, 1, true, true
	n.established.Add(1)
	n.decide(balancer.Inherited{Arrival: a, Server: id})
}

func (n *Node) handleArrival(e event, r *request) {
	if r != nil {
		n.log.Info("a connection's id is held already", zap.String("request", e.opening.ID))
		e.port.Fail()
		return
	}
	a := n.toArrival(e.opening, n.timeLeft(e.until))
	if a.Class < 0 {
		n.log.Info("a client names a class that the settings lack", zap.String("class", e.opening.Class))
		e.port.Fail()
		return
	}
	n.requests[e.id] = &request{conn: e.port, midFlow: e.opening.MidFlow, class: a.Class}
	n.inFlight.Add(1)
	n.decide(a)
}

// toArrival puts a client's line in the module's terms; the class is -1 where the settings lack it.
func (n *Node) toArrival(o *wire.Opening, left time.Duration) balancer.Arrival {
	a := balancer.Arrival{ID: balancer.RequestID(o.ID), Class: -1, Tenant: -1, Key: o.Key, TimeLeft: left, Load: o.Load,
		Retry: o.Retry, MidFlow: o.MidFlow, Reconnect: o.Reconnect}
	if i, ok := n.classIndex[o.Class]; ok {
		a.Class = i
	}
	if i, ok := n.tenantIndex[o.Tenant]; ok {
		a.Tenant = i
	}
	if n.settings.ConnectionGroups {
		a.Group = o.Group
	}
	return a
}

func (n *Node) endAttempt(e event, r *request) {
	r.attemptInFlight = false
	if r.mayHaveExecutedAt.IsZero() && !e.outcome.ProvesNotExecuted() {
		r.mayHaveExecutedAt = r.lastSentAt
	}
	if e.outcome == balancer.ConnectFailed || e.outcome == balancer.ConnectionReset && !r.established {
		n.recordDialFailure(r.host)
	}
	final := r.established || r.answered
	if r.established {
		n.established.Add(-1)
	}
	n.decide(balancer.AttemptEnded{ID: e.id, Attempt: e.attempt, Server: r.host.id, Took: e.took, Outcome: e.outcome, Final: final})
	n.releaseRequest(e.id, r)
}

// markAnswered notes that a request has had its final answer.
func (n *Node) markAnswered(r *request) {
	if !r.answered {
		r.answered = true
		n.inFlight.Add(-1)
	}
}

// releaseRequest frees a request that has its answer and no attempt out.
func (n *Node) releaseRequest(id balancer.RequestID, r *request) {
	if r.answered && !r.attemptInFlight && n.requests[id] == r {
		delete(n.requests, id)
	}
}

// startAttempt starts an attempt. One that can't be made is settled at once, as the module waits for exactly
// one outcome of each.
func (n *Node) startAttempt(a balancer.Send) {
	r := n.requests[a.ID]
	if r == nil || r.answered {
		n.pendingEvents = append(n.pendingEvents, balancer.AttemptEnded{ID: a.ID, Attempt: attemptOf(r), Server: a.Server,
			Outcome: balancer.NotSent, Final: true})
		return
	}
	if r.attemptInFlight {
		n.monitor.Report(invariant.Violation{Rule: invariant.ConcurrentAttempt, Request: string(a.ID), Host: string(a.Server)})
	}
	m := n.hosts[a.Server]
	at := r.attempts
	r.attempts++
	if m == nil || m.addr == "" || n.shutDown {
		n.pendingEvents = append(n.pendingEvents, balancer.AttemptEnded{ID: a.ID, Attempt: at, Server: a.Server, Outcome: balancer.NotSent})
		return
	}
	r.host, r.attemptInFlight, r.lastSentAt = m, true, time.Now()
	r.conn.Send(Attempt{Number: at, Host: m.id, Addr: m.addr, Timeout: a.Timeout})
}

// migrate sends a client away whose connection stands; once is enough.
func (n *Node) migrate(r *request) {
	if r.established && r.attemptInFlight && !r.migrating {
		r.migrating = true
		r.conn.Migrate()
	}
}

func attemptOf(r *request) int {
	if r == nil {
		return 0
	}
	return r.attempts
}
