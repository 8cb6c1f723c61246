package node

import (
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
)

// The platform sets the time at which a stopped node exits. This time may be before the deadlines of its clients. At
// shutdownAt each request in flight therefore gets its final answer from the balancer, which knows whether a retry is
// safe.

// shutdownState is the state of a graceful shutdown.
type shutdownState struct {
	shutdownAt time.Time // when the remaining final answers are given; zero if the node is not being stopped
	shutDown   bool      // shutdownAt has passed, so no attempt is started
}

// BeginShutdown announces that the process will exit soon after the deadline. At the deadline, each request in flight
// gets its final answer. It may be called from any goroutine.
func (n *Node) BeginShutdown(deadline time.Time) { n.post(shutdownRequested{deadline: deadline}) }

// timeLeft returns the time until a request's deadline or shutdownAt, whichever is earlier.
func (n *Node) timeLeft(deadline time.Time) time.Duration {
	if !n.shutdownAt.IsZero() && n.shutdownAt.Before(deadline) {
		deadline = n.shutdownAt
	}
	return time.Until(deadline)
}

// timeToShutdown returns the time until shutdownAt, or idleWait if no shutdown is pending.
func (n *Node) timeToShutdown(now time.Time) time.Duration {
	if n.shutdownAt.IsZero() || n.shutDown {
		return idleWait
	}
	return max(n.shutdownAt.Sub(now), 0)
}

// answerInFlight gives each request in flight its final answer: the balancer rejects or fails the requests that wait,
// and each attempt without a response is cancelled. Clients that are still established are migrated, except in
// pass-through mode. So is a client whose host responds just before its attempt is cancelled.
func (n *Node) answerInFlight() {
	n.shutDown = true
	n.log.Info("graceful shutdown deadline reached, answering in-flight requests",
		zap.Int64("in_flight", n.InFlightRequests()))
	n.notifyBalancer(balancer.Drain{
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
		n.failIfWaiting(id, r)
	}
	if !n.settings.PassThrough {
		now := time.Now()
		n.startMigration(now, now)
	}
}

// shutdownRetryAfter returns the Retry-After for requests that are rejected at the shutdown: the shortest setup latency
// objective.
func (n *Node) shutdownRetryAfter() time.Duration {
	shortest := time.Duration(0)
	for _, class := range n.settings.Classes {
		if shortest == 0 || class.SetupLatencyObjective < shortest {
			shortest = class.SetupLatencyObjective
		}
	}
	return shortest
}

// failIfWaiting fails a request that still waits in the balancer after the shutdown, such as a mid-flow request delayed
// by pacing: no timer will release it.
func (n *Node) failIfWaiting(id balancer.RequestID, r *request) {
	if !n.shutDown || r == nil || r.answered || r.attemptActive || n.requests[id] != r {
		return
	}
	n.markAnswered(r)
	r.conn.Fail()
	n.notifyBalancer(balancer.ClientDisconnected{ID: id})
	n.releaseRequest(id, r)
}
