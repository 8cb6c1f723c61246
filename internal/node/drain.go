package node

import (
	"sync/atomic"
	"time"

	"onyxstream/balancer"
)

// drainState is the state of the node's own drain. The balancer decides which clients are rejected and migrated. The
// event loop ensures that no opening line is written after the drain grace.
type drainState struct {
	draining        atomic.Bool
	admissionCutoff time.Time // from then on new requests are rejected; zero if the node is not draining
}

// DrainPlan describes a drain of the node.
type DrainPlan struct {
	Deadline        time.Time     // when all established connections must have been migrated
	AdmissionCutoff time.Time     // requests are admitted until then, because the front may not have noticed the drain
	RetryAfter      time.Duration // Retry-After for rejected requests
	KeepConnections bool          // don't migrate established connections; only applies in pass-through mode
}

// Drain starts draining the node. It returns nil after the event loop has started the drain, or otherwise ErrLoopBusy
// or ErrStopped. It may be called from any goroutine.
func (n *Node) Drain(plan DrainPlan) error {
	reply := make(chan error, 1)
	return n.postAndWait(drainRequested{plan: plan, reply: reply}, reply)
}

// CancelDrain ends a drain, however far it has progressed. It returns the same errors as Drain and may be called from
// any goroutine.
func (n *Node) CancelDrain() error {
	reply := make(chan error, 1)
	return n.postAndWait(drainCancelled{reply: reply}, reply)
}

// IsDraining reports whether the node is draining. It may be called from any goroutine.
func (n *Node) IsDraining() bool { return n.draining.Load() }

func (n *Node) startDrain(plan DrainPlan) error {
	if n.shutDown {
		return ErrStopped
	}
	n.draining.Store(true)
	n.admissionCutoff = plan.AdmissionCutoff
	n.notifyBalancer(balancer.Drain{
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
	n.notifyBalancer(balancer.Drain{})
	return nil
}

// drainGraceExpired reports whether the node is draining and at most graceMargin is left of the drain grace, which
// starts at the admission cutoff. No opening line of a new connection may be written then.
func (n *Node) drainGraceExpired() bool {
	return !n.admissionCutoff.IsZero() && time.Since(n.admissionCutoff) >= n.settings.DrainGrace-graceMargin
}
