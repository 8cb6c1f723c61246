package node

import (
	"time"

	"onyxstream/balancer"
	"onyxstream/internal/invariant"
)

// startAttempt starts an attempt. An attempt that cannot be started ends at once with the outcome NotSent, because the
// balancer expects exactly one outcome for each attempt.
func (n *Node) startAttempt(action balancer.Send) {
	r := n.requests[action.ID]
	if r == nil || r.answered {
		n.endUnsent(action, attemptCount(r), true)
		return
	}
	if r.attemptActive {
		n.monitor.Report(invariant.Violation{
			Rule:    invariant.ConcurrentAttempt,
			Request: string(action.ID),
			Host:    string(action.Server),
		})
	}
	host := n.hosts[action.Server]
	attempt := r.attempts
	r.attempts++
	if host == nil || host.addr == "" || n.shutDown {
		n.endUnsent(action, attempt, false)
		return
	}
	r.host = host
	r.attemptActive = true
	r.lastSentAt = time.Now()
	r.conn.Send(Attempt{Number: attempt, Host: host.id, Addr: host.addr, Timeout: action.Timeout})
}

// endUnsent queues the outcome NotSent for an attempt. final is set if the request has its final answer or no longer
// exists.
func (n *Node) endUnsent(action balancer.Send, attempt int, final bool) {
	n.pendingEvents = append(n.pendingEvents, balancer.AttemptEnded{
		ID:      action.ID,
		Attempt: attempt,
		Server:  action.Server,
		Outcome: balancer.NotSent,
		Final:   final,
	})
}

func attemptCount(r *request) int {
	if r == nil {
		return 0
	}
	return r.attempts
}

// endAttempt records the outcome of the active attempt.
func (n *Node) endAttempt(e attemptEnded, r *request) {
	r.attemptActive = false
	if r.mayHaveExecutedAt.IsZero() && !e.outcome.ProvesNotExecuted() {
		r.mayHaveExecutedAt = r.lastSentAt
	}
	resetBeforeEstablished := e.outcome == balancer.ConnectionReset && !r.established
	if e.outcome == balancer.ConnectFailed || resetBeforeEstablished {
		n.recordDialFailure(r.host)
	}
	if r.established {
		n.established.Add(-1)
	}
	n.notifyBalancer(balancer.AttemptEnded{
		ID:      e.id,
		Attempt: e.attempt,
		Server:  r.host.id,
		Took:    e.took,
		Outcome: e.outcome,
		Final:   r.established || r.answered,
	})
	n.releaseRequest(e.id, r)
}
