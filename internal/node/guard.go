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

// denial is why a line may not be written; empty where it may.
type denial string

const (
	denyOver      denial = "the attempt is over"
	denyEnded     denial = "the node has ended"
	denyDraining  denial = "the node drains"
	denyHost      denial = "the host drains or is gone"
	denyRepeat    denial = "an earlier attempt may have run"
	denySecondOut denial = "another attempt is out"
)

// mayWrite is asked once an attempt's connection is up; r is its request.
func (n *Node) mayWrite(r *request, attempt int) denial {
	switch {
	case !r.out || r.up:
		return denyOver
	case attempt != r.attempts-1:
		return denySecondOut
	case n.ended:
		return denyEnded
	case !r.mid && n.late():
		return denyDraining
	case !n.sendable(r.on):
		return denyHost
	case !n.repeatable(r):
		return denyRepeat
	}
	return ""
}

// connected answers a connection that asks whether its line may go.
func (n *Node) connected(e event, r *request) {
	why := n.mayWrite(r, e.attempt)
	if why != "" {
		n.log.Debug("a line may not be written", zap.String("request", string(e.id)), zap.Int("attempt", e.attempt),
			zap.String("why", string(why)))
	}
	r.port.Proceed(e.attempt, why == "")
}

// written checks a line that was written.
func (n *Node) written(e event, r *request) {
	if r.on == nil {
		return
	}
	s := invariant.Send{Request: string(e.id), Host: string(r.on.id), At: e.at, Draining: r.on.state != balancer.Live, NotifiedAt: r.on.toldAt,
		Grace: n.set.DrainGrace, MayHaveExecutedAt: r.mayHave}
	if r.class >= 0 {
		c := n.set.Classes[r.class]
		s.Effect, s.Window = c.Effect, c.IdempotencyWindow
	}
	if r.out && e.attempt < r.attempts-1 {
		s.ConcurrentAttempts++
	}
	n.monitor.Report(invariant.CheckSend(s)...)
	n.checkSlowStart(string(e.id), r.on, e.at)
}

// maxSentCold bounds the sends to one cold host that are remembered.
const maxSentCold = 4096

// checkSlowStart checks what this node alone has sent a cold host of late against what the settings allow all nodes.
func (n *Node) checkSlowStart(request string, m *member, at time.Time) {
	age := n.at(at) - m.start
	if m.start <= 0 || age >= n.set.SlowStartDuration || n.set.CollapseWindow <= 0 {
		m.sentCold = nil
		return
	}
	budget := n.slowStartBudget(m, age)
	if budget <= 0 { // the settings tell no quotas: what a host bears is not known
		return
	}
	m.sentCold = slices.DeleteFunc(m.sentCold, func(t time.Time) bool { return at.Sub(t) >= n.set.CollapseWindow })
	if len(m.sentCold) < maxSentCold {
		m.sentCold = append(m.sentCold, at)
	}
	if broken, found := invariant.CheckSlowStart(request, string(m.id), len(m.sentCold), budget); found {
		n.monitor.Report(broken)
	}
}

// slowStartBudget is what a host of an age may get in a FallWindow from all nodes, by its size among those listed: as much as
// fills it with its part of the tenants' quotas over its warm-up, FallMultiple times, and more from half warm on.
func (n *Node) slowStartBudget(m *member, age time.Duration) float64 {
	quota, sizes := 0.0, 0.0
	for _, t := range n.set.Tenants {
		quota += t.ConnectionQuota
	}
	for _, other := range n.members {
		if !other.out {
			sizes += cmp.Or(max(other.listed.Size, 0), 1)
		}
	}
	share := n.set.SlowStartFraction + (1-n.set.SlowStartFraction)*float64(age)/float64(n.set.SlowStartDuration)
	part := quota * cmp.Or(max(m.listed.Size, 0), 1) / max(sizes, 1)
	return n.set.CollapseMultiple * part * max(1, 2*share) * n.set.CollapseWindow.Seconds() / n.set.SlowStartDuration.Seconds()
}

// gaveUp notes why a request is refused or failed.
func (n *Node) gaveUp(id balancer.RequestID, r *request, refused bool, why balancer.Reason) {
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
