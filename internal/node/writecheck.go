package node

import (
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/invariant"
)

// Every write of an opening line is checked twice: checkWrite decides between connect and the first byte whether it is
// allowed, and handleWritten checks afterwards, by the rules' own limits, what was written.

const (
	// writeMargin is the time a connection may need on a busy core between the permission and its first byte.
	writeMargin = 20 * time.Millisecond
	// graceMargin is what must be left of a drain grace: the whole process may be suspended in between as well.
	graceMargin = balancer.MaxSchedulingDelay + writeMargin
	// retryMargin is what must be left of an idempotency window, which allows for suspension by itself.
	retryMargin = writeMargin
)

// writeDenial is why an opening line may not be written; empty if it may.
type writeDenial string

const (
	denyAttemptOver       writeDenial = "attempt is over"
	denyShutdown          writeDenial = "node has shut down"
	denyNodeDraining      writeDenial = "node is draining"
	denyHostDraining      writeDenial = "host is draining or removed"
	denyUnsafeRetry       writeDenial = "earlier attempt may have been executed"
	denyConcurrentAttempt writeDenial = "another attempt is active"
)

// checkWrite decides whether the opening line of an attempt that has connected may be written.
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

// handleConnected answers a connection that asks whether its opening line may be written.
func (n *Node) handleConnected(e attemptConnected, r *request) {
	denial := n.checkWrite(r, e.attempt)
	if denial != "" {
		n.log.Debug("write of opening line denied", zap.String("request", string(e.id)),
			zap.Int("attempt", e.attempt), zap.String("reason", string(denial)))
	}
	r.conn.Proceed(e.attempt, denial == "")
}

// hostAcceptsWrites reports whether a host may be written to: it is live, or its drain grace has not expired.
func (n *Node) hostAcceptsWrites(host *hostRecord) bool {
	return host.state == balancer.Live || time.Since(host.notifiedAt) < n.settings.DrainGrace-graceMargin
}

// retryAllowed reports whether an attempt may be written though an earlier one may have been executed. The balancer
// checked that when it chose the attempt, but connecting may have taken longer than the window had left.
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

// handleWritten checks an opening line that was written.
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
