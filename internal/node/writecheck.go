package node

import (
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/invariant"
)

// Every write of an opening line is checked twice. After the attempt has connected and before its first byte is
// written, checkWrite decides whether the write is allowed, with safety margins. After the write, handleWritten checks
// it against the exact limits and reports rule violations.

const (
	// writeMargin allows for the time on a busy core between the permission to write and the first byte.
	writeMargin = 20 * time.Millisecond
	// graceMargin is the part of a drain grace that must be left. It also allows for a suspension of the whole process
	// between the permission and the first byte.
	graceMargin = balancer.MaxSchedulingDelay + writeMargin
	// retryMargin is the part of an idempotency window that must be left. The window itself already allows for a
	// suspension of the process.
	retryMargin = writeMargin
)

// writeDenial is the reason why an opening line must not be written; empty if the write is allowed.
type writeDenial string

const (
	denyAttemptOver       writeDenial = "attempt is over"
	denyShutdown          writeDenial = "node has shut down"
	denyNodeDraining      writeDenial = "node is draining"
	denyHostDraining      writeDenial = "host is draining or removed"
	denyUnsafeRetry       writeDenial = "earlier attempt may have been executed"
	denyConcurrentAttempt writeDenial = "another attempt is active"
)

// checkWrite decides whether the opening line of a connected attempt may be written.
func (n *Node) checkWrite(r *request, attempt int) writeDenial {
	switch {
	case !r.attemptActive || r.established:
		return denyAttemptOver
	case !r.isLastAttempt(attempt):
		return denyConcurrentAttempt
	case n.shutDown:
		return denyShutdown
	case !r.midFlow && n.drainGraceExpired():
		return denyNodeDraining
	case !n.hostAcceptsWrites(r.host):
		return denyHostDraining
	case !n.retryAllowed(r):
		return denyUnsafeRetry
	}
	return ""
}

// handleConnected tells a connection whether its opening line may be written.
func (n *Node) handleConnected(e attemptConnected, r *request) {
	denial := n.checkWrite(r, e.attempt)
	if denial != "" {
		n.log.Debug("write of opening line denied", zap.String("request", string(e.id)),
			zap.Int("attempt", e.attempt), zap.String("reason", string(denial)))
	}
	r.conn.Proceed(e.attempt, denial == "")
}

// hostAcceptsWrites reports whether opening lines may be written to a host: it is live, or more than graceMargin is
// left of its drain grace.
func (n *Node) hostAcceptsWrites(host *hostRecord) bool {
	return host.state == balancer.Live || time.Since(host.notifiedAt) < n.settings.DrainGrace-graceMargin
}

// retryAllowed reports whether an attempt may be written although an earlier one may have been executed. The balancer
// checked this when it chose the attempt, but the idempotency window may have ended while the attempt connected.
func (n *Node) retryAllowed(r *request) bool {
	if r.mayHaveExecutedAt.IsZero() || r.class < 0 {
		return true
	}
	class := n.settings.Classes[r.class]
	switch class.Effect {
	case balancer.Idempotent:
		return true
	case balancer.IdempotentByKey:
		return time.Since(r.mayHaveExecutedAt) < class.IdempotencyWindow-retryMargin
	}
	return false
}

// handleWritten checks a completed write of an opening line for rule violations.
func (n *Node) handleWritten(e attemptWritten, r *request) {
	if r.host == nil {
		return
	}
	send := invariant.Send{
		Request:           string(e.id),
		Host:              string(r.host.id),
		At:                e.at,
		Draining:          r.host.state != balancer.Live,
		NotifiedAt:        r.host.notifiedAt,
		Grace:             n.settings.DrainGrace,
		MayHaveExecutedAt: r.mayHaveExecutedAt,
	}
	if r.class >= 0 {
		class := n.settings.Classes[r.class]
		send.Effect = class.Effect
		send.Window = class.IdempotencyWindow
	}
	if r.attemptActive && e.attempt < r.attempts-1 {
		send.ConcurrentAttempts++
	}
	n.monitor.Report(invariant.CheckSend(send)...)
	n.checkSlowStart(string(e.id), r.host, e.at)
}
