package node

import (
	"testing"
	"time"

	"onyxstream/balancer"
	"onyxstream/internal/invariant"
	"onyxstream/internal/wire"
)

// The guard says why a line may not be written, for each reason that there is.
func TestMayWrite_EachDenial_IsReturned(t *testing.T) {
	long := time.Now().Add(-time.Hour)
	for _, c := range []struct {
		name   string
		change func(n *Node, r *request)
		want   writeDenial
	}{
		{"it may", func(*Node, *request) {}, ""},
		{"the attempt has ended", func(_ *Node, r *request) { r.attemptActive = false }, denyAttemptOver},
		{"it is up", func(_ *Node, r *request) { r.established = true }, denyAttemptOver},
		{"another was sent", func(_ *Node, r *request) { r.attempts++ }, denyConcurrentAttempt},
		{"the node has ended", func(n *Node, _ *request) { n.shutDown = true }, denyShutdown},
		{"the node drains", func(n *Node, _ *request) { n.admissionCutoff = long }, denyNodeDraining},
		{"the node drains, mid-flow", func(n *Node, r *request) { n.admissionCutoff, r.midFlow = long, true }, ""},
		{"the host drains", func(_ *Node, r *request) { r.host.state, r.host.notifiedAt = balancer.Draining, long }, denyHostDraining},
		{"the host has just begun to drain", func(_ *Node, r *request) { r.host.state, r.host.notifiedAt = balancer.Draining, time.Now() }, ""},
		{"an unsafe one that may have run", func(n *Node, r *request) {
			n.settings.Classes[0].Effect, r.mayHaveExecutedAt = balancer.NonIdempotent, long
		}, denyUnsafeRetry},
	} {
		n, _, _ := newTestNode(t, endpoint("a", wire.Serving))
		arrive(t, n, "r")
		r := n.requests["r"]
		c.change(n, r)
		if got := n.checkWrite(r, 0); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

// What was written past the guard is counted by the rule that it breaks.
func TestAttemptWritten_RuleViolated_IsCounted(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(n *Node, r *request)
		want   map[invariant.Rule]uint64
	}{
		{"a right one", func(*Node, *request) {}, nil},
		{"to a drained host", func(n *Node, r *request) {
			r.host.state, r.host.notifiedAt = balancer.Removed, time.Now().Add(-n.settings.DrainGrace-time.Millisecond)
		}, map[invariant.Rule]uint64{invariant.SentToDrained: 1}},
		{"a repeat", func(n *Node, r *request) {
			n.settings.Classes[0].Effect, r.mayHaveExecutedAt = balancer.NonIdempotent, time.Now()
		}, map[invariant.Rule]uint64{invariant.UnsafeRetry: 1}},
		{"beside another", func(_ *Node, r *request) { r.attempts++ }, map[invariant.Rule]uint64{invariant.ConcurrentAttempt: 1}},
	} {
		n, _, _ := newTestNode(t, endpoint("a", wire.Serving))
		p := arrive(t, n, "r")
		c.change(n, n.requests["r"])
		n.handle(attemptWritten{requestRef: requestRef{id: "r", conn: p}, at: time.Now()})
		for _, rule := range invariant.Rules() {
			if got := n.Monitor().Count(rule); got != c.want[rule] {
				t.Errorf("%s: %q is counted %d times, want %d", c.name, rule, got, c.want[rule])
			}
		}
	}
}

// What a node sends a cold host past what all nodes may is counted, by the time in which the host falls, and nothing is of a
// host that is warm.
func TestAttemptWritten_SlowStartExceeded_IsCounted(t *testing.T) {
	for _, c := range []struct {
		name  string
		age   time.Duration
		apart time.Duration // between two lines
		want  bool
	}{{"at once", 0, 0, true}, {"spread", 0, 200 * time.Millisecond, false}, {"warm", time.Hour, 0, false}} {
		n, _, _ := newTestNode(t, endpoint("a", wire.Serving))
		n.settings.Tenants = []balancer.Tenant{{ConnectionQuota: 5}}
		n.settings.SlowStartDuration = 10 * time.Second
		arrive(t, n, "r")
		r, now := n.requests["r"], time.Now()
		r.host.startedAt = n.clockTime(now) - c.age
		budget := n.slowStartBudget(r.host, c.age)
		lines := int(invariant.SlowStartLimit(budget)) + 1
		for i := range lines {
			n.handleWritten(attemptWritten{
				requestRef: requestRef{id: "r"},
				at:         now.Add(time.Duration(i) * c.apart),
			}, r)
		}
		if got := n.Monitor().Count(invariant.SlowStartExceeded) > 0; got != c.want {
			t.Errorf("%s: %d lines with a budget of %.1f, found %v", c.name, lines, budget, got)
		}
	}
}
