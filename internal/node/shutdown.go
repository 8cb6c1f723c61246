package node

import (
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
)

// A node that is stopped exits at a time that the platform sets, which may be before the deadlines of its clients. At
// shutdownAt each request in flight gets its final answer from the balancer, which knows whether a retry is safe.

// shutdownState is the state of a graceful shutdown.
type shutdownState struct {
	shutdownAt time.Time // when all final answers are given; zero if the node is not stopped
	shutDown   bool      // shutdownAt has passed: no attempt is started any more
}

// BeginShutdown announces that the process exits soon after the deadline, by which each request in flight has its final
// answer. It may be called from any goroutine.
func (n *Node) BeginShutdown(deadline time.Time) { n.post(shutdownRequested{deadline: deadline}) }

// timeLeft returns how long the node has for a request whose client stops waiting at the deadline.
func (n *Node) timeLeft(deadline time.Time) time.Duration {
	if !n.shutdownAt.IsZero() && n.shutdownAt.Before(deadline) {
		deadline = n.shutdownAt
	}
	return time.Until(deadline)
}

// timeToShutdown returns the time until shutdownAt, idleWait if there is none ahead.
func (n *Node) timeToShutdown(now time.Time) time.Duration {
	if n.shutdownAt.IsZero() || n.shutDown {
		return idleWait
	}
	return max(n.shutdownAt.Sub(now), 0)
}

// answerInFlight has each request in flight answered: the balancer rejects or fails what waits, and each attempt that
// has had no response is cancelled. Established connections are not touched.
func (n *Node) answerInFlight() {
	n.shutDown = true
	n.log.Info("graceful shutdown deadline reached, answering in-flight requests",
		zap.Int64("in_flight", n.InFlightRequests()))
	n.decide(balancer.Drain{
		Active:          true,
		Deadline:        n.now(),
		AdmissionCutoff: n.now(),
		RetryAfter:      n.shutdownRetryAfter(),
		KeepConnections: true,
	})
	for id, r := range n.requests {
		if r.attemptActive && !r.established && !r.answered {
			r.conn.Cancel(r.attempts - 1)
		}
		n.failIfHeldBack(id, r)
	}
}

// shutdownRetryAfter is the advice to clients that are rejected at the shutdown: the shortest setup latency objective.
func (n *Node) shutdownRetryAfter() time.Duration {
	shortest := time.Duration(0)
	for _, class := range n.settings.Classes {
		if shortest == 0 || class.SetupLatencyObjective < shortest {
			shortest = class.SetupLatencyObjective
		}
	}
	return shortest
}

// failIfHeldBack fails a request that the balancer still holds back after the shutdown, such as a mid-flow one that
// waits for its turn: no timer will release it.
func (n *Node) failIfHeldBack(id balancer.RequestID, r *request) {
	if !n.shutDown || r == nil || r.answered || r.attemptActive || n.requests[id] != r {
		return
	}
	n.markAnswered(r)
	r.conn.Fail()
	n.decide(balancer.ClientDisconnected{ID: id})
	n.releaseRequest(id, r)
}
