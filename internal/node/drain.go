package node

import (
	"sync/atomic"
	"time"

	"onyxstream/balancer"
)

// drainState is the state of the node's own drain. The balancer decides which clients are rejected and migrated; the
// loop ensures that nothing is written after the drain grace.
type drainState struct {
	draining        atomic.Bool
	admissionCutoff time.Time // zero if the node does not drain
}

// DrainPlan describes a drain of the node.
type DrainPlan struct {
	Deadline        time.Time     // established connections are migrated by then
	AdmissionCutoff time.Time     // requests are admitted until then, as the front may not have noticed the drain
	RetryAfter      time.Duration // advice to rejected clients
	KeepConnections bool          // established connections stay, if packets pass through other nodes
}

// Drain starts draining the node. It returns once the loop has handled it, or ErrLoopBusy or ErrStopped. It may be
// called from any goroutine.
func (n *Node) Drain(plan DrainPlan) error {
	reply := make(chan error, 1)
	return n.postAndWait(drainRequested{plan: plan, reply: reply}, reply)
}

// CancelDrain ends a drain at any point of it. Its errors are those of Drain.
func (n *Node) CancelDrain() error {
	reply := make(chan error, 1)
	return n.postAndWait(drainCancelled{reply: reply}, reply)
}

// IsDraining reports whether the node drains. It may be called from any goroutine.
func (n *Node) IsDraining() bool { return n.draining.Load() }

func (n *Node) startDrain(plan DrainPlan) error {
	if n.shutDown {
		return ErrStopped
	}
	n.draining.Store(true)
	n.admissionCutoff = plan.AdmissionCutoff
	n.decide(balancer.Drain{
		Active:          true,
		Deadline:        n.clockTime(plan.Deadline),
		AdmissionCutoff: n.clockTime(plan.AdmissionCutoff),
		RetryAfter:      plan.RetryAfter,
		KeepConnections: plan.KeepConnections && n.settings.PassThrough,
	})
	return nil
}

func (n *Node) cancelDrain() error {
	if n.shutDown {
		return ErrStopped
	}
	n.draining.Store(false)
	n.admissionCutoff = time.Time{}
	n.decide(balancer.Drain{})
	return nil
}

// drainGraceExpired reports whether the node drains and its grace is over: nothing new may be written any more.
func (n *Node) drainGraceExpired() bool {
	return !n.admissionCutoff.IsZero() && time.Since(n.admissionCutoff) >= n.settings.DrainGrace-graceMargin
}
