package node

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/invariant"
)

// One guard stands before whatever is written to a host: mayWrite, asked between connect and the first byte. What was
// written all the same is checked behind it, by the rules' own limits, and counted.

// writeDenial is why a line may not be written; empty where it may.
type writeDenial string

const (
	denyAttemptOver       writeDenial = "the attempt is over"
	denyShutdown          writeDenial = "the node has ended"
	denyNodeDraining      writeDenial = "the node drains"
	denyHostDraining      writeDenial = "the host drains or is gone"
	denyUnsafeRetry       writeDenial = "an earlier attempt may have run"
	denyConcurrentAttempt writeDenial = "another attempt is out"
)

// mayWrite is asked once an attempt's connection is up; r is its request.
func (n *Node) mayWrite(r *request, attempt int) writeDenial {
	switch {
	case !r.attemptInFlight || r.established:
		return denyAttemptOver
	case attempt != r.attempts-1:
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

// handleConnected answers a connection that asks whether its line may go.
func (n *Node) handleConnected(e event, r *request) {
	why := n.mayWrite(r, e.attempt)
	if why != "" {
		n.log.Debug("a line may not be written", zap.String("request", string(e.id)), zap.Int("attempt", e.attempt),
			zap.String("why", string(why)))
	}
	r.conn.Proceed(e.attempt, why == "")
}

// handleWritten checks a line that was written.
func (n *Node) handleWritten(e event, r *request) {
	if r.host == nil {
		return
	}
	s := invariant.Send{Request: string(e.id), Host: string(r.host.id), At: e.at, Draining: r.host.state != balancer.Live, NotifiedAt: r.host.notifiedAt,
		Grace: n.settings.DrainGrace, MayHaveExecutedAt: r.mayHaveExecutedAt}
	if r.class >= 0 {
		c := n.settings.Classes[r.class]
		s.Effect, s.Window = c.Effect, c.IdempotencyWindow
	}
	if r.attemptInFlight && e.attempt < r.attempts-1 {
		s.ConcurrentAttempts++
	}
	n.monitor.Report(invariant.CheckSend(s)...)
	n.checkSlowStart(string(e.id), r.host, e.at)
}

// maxSlowStartSends bounds the sends to one cold host that are remembered.
const maxSlowStartSends = 4096

// checkSlowStart checks what this node alone has sent a cold host of late against what the settings allow all nodes.
func (n *Node) checkSlowStart(request string, m *hostRecord, at time.Time) {
	age := n.clockTime(at) - m.startedAt
	if m.startedAt <= 0 || age >= n.settings.SlowStartDuration || n.settings.CollapseWindow <= 0 {
		m.slowStartSends = nil
		return
	}
	budget := n.slowStartBudget(m, age)
	if budget <= 0 { // the settings tell no quotas: what a host bears is not known
		return
	}
	m.slowStartSends = slices.DeleteFunc(m.slowStartSends, func(t time.Time) bool { return at.Sub(t) >= n.settings.CollapseWindow })
	if len(m.slowStartSends) < maxSlowStartSends {
		m.slowStartSends = append(m.slowStartSends, at)
	}
	if broken, found := invariant.CheckSlowStart(request, string(m.id), len(m.slowStartSends), budget); found {
		n.monitor.Report(broken)
	}
}

// slowStartBudget is what a host of an age may get in a FallWindow from all nodes, by its size among those listed: as much as
// fills it with its part of the tenants' quotas over its warm-up, FallMultiple times, and more from half warm on.
func (n *Node) slowStartBudget(m *hostRecord, age time.Duration) float64 {
	quota, sizes := 0.0, 0.0
	for _, t := range n.settings.Tenants {
		quota += t.ConnectionQuota
	}
	for _, other := range n.hosts {
		if !other.unlisted {
			sizes += cmp.Or(max(other.endpoint.Size, 0), 1)
		}
	}
	share := n.settings.SlowStartFraction + (1-n.settings.SlowStartFraction)*float64(age)/float64(n.settings.SlowStartDuration)
	part := quota * cmp.Or(max(m.endpoint.Size, 0), 1) / max(sizes, 1)
	return n.settings.CollapseMultiple * part * max(1, 2*share) * n.settings.CollapseWindow.Seconds() / n.settings.SlowStartDuration.Seconds()
}

// recordGivenUp notes why a request is refused or failed.
func (n *Node) recordGivenUp(id balancer.RequestID, r *request, refused bool, why balancer.Reason) {
	n.givenUp[why]++
	n.log.Debug("a request is given up", zap.String("request", string(id)), zap.Bool("refused", refused), zap.String("why", string(why)),
		zap.Int("attempts", r.attempts))
}

// Monitor counts the rules that were broken.
func (n *Node) Monitor() *invariant.Monitor { return n.monitor }

// AttemptWritten tells of a line that was written to its end; at is just before its first byte.
func (n *Node) AttemptWritten(id balancer.RequestID, p ClientConn, attempt int, at time.Time) {
	n.post(event{kind: evWritten, id: id, port: p, attempt: attempt, at: at})
}
