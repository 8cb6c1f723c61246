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
	port     ClientConn
	on       *member
	attempts int  // sends so far
	out      bool // the last of them has brought no outcome yet
	up       bool
	answered bool   // has had its final answer
	leaving  bool   // told to move
	mid      bool   // open elsewhere already when it came: no new work
	silent   bool   // a message of it waited too long when last looked at
	told     uint64 // messages of it that were counted

	class   int       // its index in the settings, or -1
	sentAt  time.Time // when the last attempt was sent
	mayHave time.Time // when the first attempt was sent that may have run; zero while none has
}

// takeRequest handles what a connection tells; r is its request, nil where there is none of it.
func (n *Node) takeRequest(e event, r *request) {
	switch e.kind {
	case evArrive:
		n.arrive(e, r)
	case evResume:
		n.resume(e, r)
	case evInherit:
		if r != nil && !r.up {
			n.inherit(e, r)
		}
	case evConnected:
		if r != nil {
			n.connected(e, r)
		}
	case evWritten:
		if r != nil {
			n.written(e, r)
		}
	case evOpened:
		if r != nil && r.out && !r.up && e.attempt == r.attempts-1 {
			r.up = true
			n.open.Add(1)
			n.answer(r)
			n.meet(r.on)
			n.decide(balancer.Established{ID: e.id, Attempt: e.attempt, Server: r.on.id, Took: e.took})
			if n.ended && !n.set.PassThrough { // it came up just before it was withdrawn
				n.move(r)
			}
		}
	case evSettled:
		if r != nil && r.out && e.attempt == r.attempts-1 {
			n.settle(e, r)
		}
	case evLoad:
		if r != nil && r.up {
			n.decide(balancer.LoadReport{ID: e.id, Load: e.load})
		}
	case evGone:
		if r != nil && !r.up {
			n.answer(r)
			n.decide(balancer.ClientDisconnected{ID: e.id})
			if r.out && r.attempts > e.attempt {
				n.settle(settledEvent(e.id, r.attempts-1, balancer.NotSent), r)
			}
			n.drop(e.id, r)
		}
	}
}

// resume takes in a connection that stood before the run and tells where.
func (n *Node) resume(e event, r *request) {
	if r == nil {
		r = &request{port: e.port, answered: true, class: -1}
		n.reqs[e.id] = r
	}
	at := place{ok: r.port == e.port}
	if m := n.members[balancer.ServerID(e.opening.CurrentHost)]; m != nil {
		at.addr = m.addr
	}
	e.reply <- at // has room
}

// inherit notes that such a connection is up at its host again.
func (n *Node) inherit(e event, r *request) {
	a := n.arrival(e.opening, 0)
	id := balancer.ServerID(e.opening.CurrentHost)
	m := n.members[id]
	if m == nil { // a host that the list has forgotten still has its clients
		m = &member{id: id, state: balancer.Removed}
	}
	r.on, r.attempts, r.out, r.up = m, 1, true, true
	n.open.Add(1)
	n.decide(balancer.Inherited{Arrival: a, Server: id})
}

func (n *Node) arrive(e event, r *request) {
	if r != nil {
		n.log.Info("a connection's id is held already", zap.String("request", e.opening.ID))
		e.port.Fail()
		return
	}
	a := n.arrival(e.opening, n.left(e.until))
	if a.Class < 0 {
		n.log.Info("a client names a class that the settings lack", zap.String("class", e.opening.Class))
		e.port.Fail()
		return
	}
	n.reqs[e.id] = &request{port: e.port, mid: e.opening.MidFlow, class: a.Class}
	n.owed.Add(1)
	n.decide(a)
}

// arrival puts a client's line in the module's terms; the class is -1 where the settings lack it.
func (n *Node) arrival(o *wire.Opening, left time.Duration) balancer.Arrival {
	a := balancer.Arrival{ID: balancer.RequestID(o.ID), Class: -1, Tenant: -1, Key: o.Key, TimeLeft: left, Load: o.Load,
		Retry: o.Retry, MidFlow: o.MidFlow, Reconnect: o.Reconnect}
	if i, ok := n.classes[o.Class]; ok {
		a.Class = i
	}
	if i, ok := n.tenants[o.Tenant]; ok {
		a.Tenant = i
	}
	if n.set.ConnectionGroups {
		a.Group = o.Group
	}
	return a
}

func (n *Node) settle(e event, r *request) {
	r.out = false
	if r.mayHave.IsZero() && !e.outcome.ProvesNotExecuted() {
		r.mayHave = r.sentAt
	}
	if e.outcome == balancer.ConnectFailed || e.outcome == balancer.ConnectionReset && !r.up {
		n.unreached(r.on)
	}
	final := r.up || r.answered
	if r.up {
		n.open.Add(-1)
	}
	n.decide(balancer.AttemptEnded{ID: e.id, Attempt: e.attempt, Server: r.on.id, Took: e.took, Outcome: e.outcome, Final: final})
	n.drop(e.id, r)
}

// answer notes that a request has had its final answer.
func (n *Node) answer(r *request) {
	if !r.answered {
		r.answered = true
		n.owed.Add(-1)
	}
}

// drop frees a request that has its answer and no attempt out.
func (n *Node) drop(id balancer.RequestID, r *request) {
	if r.answered && !r.out && n.reqs[id] == r {
		delete(n.reqs, id)
	}
}

// send starts an attempt. One that can't be made is settled at once, as the module waits for exactly
// one outcome of each.
func (n *Node) send(a balancer.Send) {
	r := n.reqs[a.ID]
	if r == nil || r.answered {
		n.queue = append(n.queue, balancer.AttemptEnded{ID: a.ID, Attempt: attemptOf(r), Server: a.Server,
			Outcome: balancer.NotSent, Final: true})
		return
	}
	if r.out {
		n.monitor.Report(invariant.Violation{Rule: invariant.ConcurrentAttempt, Request: string(a.ID), Host: string(a.Server)})
	}
	m := n.members[a.Server]
	at := r.attempts
	r.attempts++
	if m == nil || m.addr == "" || n.ended {
		n.queue = append(n.queue, balancer.AttemptEnded{ID: a.ID, Attempt: at, Server: a.Server, Outcome: balancer.NotSent})
		return
	}
	r.on, r.out, r.sentAt = m, true, time.Now()
	r.port.Send(Attempt{Number: at, Host: m.id, Addr: m.addr, Timeout: a.Timeout})
}

// move sends a client away whose connection stands; once is enough.
func (n *Node) move(r *request) {
	if r.up && r.out && !r.leaving {
		r.leaving = true
		r.port.Migrate()
	}
}

func attemptOf(r *request) int {
	if r == nil {
		return 0
	}
	return r.attempts
}
