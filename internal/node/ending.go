package node

import (
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
)

// A node that is told to stop is gone at a time that the platform sets, whatever patience its clients have: one who
// came in the last moment in which the front still sends, to a host that hangs, may wait for longer than the node
// lasts. Who is owed an answer then is to have it before, from the module, which knows whether a refusal is harmless.

// shutdownState is the loop's knowledge of its own end.
type shutdownState struct {
	shutdownAt time.Time // by then all final answers are given; zero while the node stays
	shutDown   bool      // that is past: nothing new is begun
}

// BeginShutdown tells that the node ends soon after a time, by which whatever it owes has its final answer.
func (n *Node) BeginShutdown(by time.Time) { n.post(event{kind: evEnd, until: by}) }

// timeLeft is how long the node has for a request whose client waits until then.
func (n *Node) timeLeft(until time.Time) time.Duration {
	if !n.shutdownAt.IsZero() && n.shutdownAt.Before(until) {
		until = n.shutdownAt
	}
	return time.Until(until)
}

// timeToShutdown tells how long until the end; an hour where none is near.
func (n *Node) timeToShutdown(now time.Time) time.Duration {
	if n.shutdownAt.IsZero() || n.shutDown {
		return time.Hour
	}
	return max(n.shutdownAt.Sub(now), 0)
}

// answerInFlight has all that is owed answered: the module turns away what waits and what has lost its attempt, and each
// attempt that has brought nothing is withdrawn. What stands is not touched.
func (n *Node) answerInFlight() {
	n.shutDown = true
	n.log.Info("the end is near: what is owed is answered", zap.Int64("owed", n.InFlightRequests()))
	after := time.Duration(0)
	for _, c := range n.settings.Classes {
		if after == 0 || c.SetupLatencyObjective < after {
			after = c.SetupLatencyObjective
		}
	}
	n.decide(balancer.Drain{Active: true, Deadline: n.now(), AdmissionCutoff: n.now(), RetryAfter: after, KeepConnections: true})
	for id, r := range n.requests {
		if r.attemptInFlight && !r.established && !r.answered {
			r.conn.Cancel(r.attempts - 1)
		}
		n.failIfHeldBack(id, r)
	}
}

// failIfHeldBack answers a request that the module still holds back once the node has ended, as it may with what is mid-flow
// and waits for its turn: no turn of it comes any more.
func (n *Node) failIfHeldBack(id balancer.RequestID, r *request) {
	if !n.shutDown || r == nil || r.answered || r.attemptInFlight || n.requests[id] != r {
		return
	}
	n.markAnswered(r)
	r.conn.Fail()
	n.decide(balancer.ClientDisconnected{ID: id})
	n.releaseRequest(id, r)
}
