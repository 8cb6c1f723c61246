package node

import (
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/invariant"
	"onyxstream/internal/wire"
)

// For each reason to deny a write, checkWrite must return that reason.
func TestCheckWrite_EachDenial_IsReturned(t *testing.T) {
	long := time.Now().Add(-time.Hour)
	for _, c := range []struct {
		name   string
		change func(n *Node, r *request)
		want   writeDenial
	}{
		{"allowed", func(*Node, *request) {}, ""},
		{"attempt has ended", func(_ *Node, r *request) { r.attemptActive = false }, denyAttemptOver},
		{"established", func(_ *Node, r *request) { r.established = true }, denyAttemptOver},
		{"another attempt was started", func(_ *Node, r *request) { r.attempts++ }, denyConcurrentAttempt},
		{"node has shut down", func(n *Node, _ *request) { n.shutDown = true }, denyShutdown},
		{"node drains", func(n *Node, _ *request) { n.admissionCutoff = long }, denyNodeDraining},
		{"node drains, mid-flow", func(n *Node, r *request) { n.admissionCutoff, r.midFlow = long, true }, ""},
		{"host drains", func(_ *Node, r *request) {
			r.host.state, r.host.notifiedAt = balancer.Draining, long
		}, denyHostDraining},
		{"within the drain grace", func(_ *Node, r *request) {
			r.host.state, r.host.notifiedAt = balancer.Draining, time.Now()
		}, ""},
		{"unsafe retry", func(n *Node, r *request) {
			n.settings.Classes[0].Effect, r.mayHaveExecutedAt = balancer.NonIdempotent, long
		}, denyUnsafeRetry},
	} {
		n, _, _ := newTestNode(t, endpoint("a", wire.Serving))
		arrive(t, n, "r")
		r := n.requests["r"]
		c.change(n, r)
		if got := n.checkWrite(r, 0); got != c.want {
			t.Errorf("%s: denial %q, want %q", c.name, got, c.want)
		}
	}
}

// A write that violates a rule must be counted as a violation of that rule.
func TestAttemptWritten_RuleViolated_IsCounted(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(n *Node, r *request)
		want   map[invariant.Rule]uint64
	}{
		{"valid", func(*Node, *request) {}, nil},
		{"to a drained host", func(n *Node, r *request) {
			r.host.state, r.host.notifiedAt = balancer.Removed, time.Now().Add(-n.settings.DrainGrace-time.Millisecond)
		}, map[invariant.Rule]uint64{invariant.SentToDrained: 1}},
		{"unsafe retry", func(n *Node, r *request) {
			n.settings.Classes[0].Effect, r.mayHaveExecutedAt = balancer.NonIdempotent, time.Now()
		}, map[invariant.Rule]uint64{invariant.UnsafeRetry: 1}},
		{"concurrent attempt", func(_ *Node, r *request) {
			r.attempts++
		}, map[invariant.Rule]uint64{invariant.ConcurrentAttempt: 1}},
	} {
		n, _, _ := newTestNode(t, endpoint("a", wire.Serving))
		conn := arrive(t, n, "r")
		c.change(n, n.requests["r"])
		n.handle(attemptWritten{requestRef: requestRef{id: "r", conn: conn}, at: time.Now()})
		for _, rule := range invariant.Rules() {
			if got := n.Monitor().Count(rule); got != c.want[rule] {
				t.Errorf("%s: rule %q violated %d times, want %d", c.name, rule, got, c.want[rule])
			}
		}
	}
}

// Sends to a host that is warming up must be counted as a rule violation if they exceed the budget of all nodes within
// CollapseWindow. A host that has warmed up has no limit.
func TestAttemptWritten_SlowStartExceeded_IsCounted(t *testing.T) {
	for _, c := range []struct {
		name  string
		age   time.Duration
		apart time.Duration // time between the writes of two opening lines
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
			t.Errorf("%s: %d lines with a budget of %.1f: violation reported %v, want the opposite", c.name, lines, budget, got)
		}
	}
}

// An attempt counts as sent when its first byte is written, so the opening line of an attempt that connects after the
// drain grace must not be written.
func TestAttempt_HostDrainGraceOver_NotWritten(t *testing.T) {
	n, _, _ := newTestNode(t, endpoint("s1", wire.Serving))
	conn := arrive(t, n, "r")
	n.applyList(changesOf(8, endpoint("s1", wire.Draining)), balancer.ListDelta, false)
	n.handle(attemptConnected{requestRef: requestRef{id: "r"}})
	if !strings.HasSuffix(conn.recorded(), "proceed 0 true") {
		t.Fatalf("within the drain grace: calls %q, want the write allowed", conn.recorded())
	}
	n.hosts["s1"].notifiedAt = time.Now().Add(-n.settings.DrainGrace)
	n.handle(attemptConnected{requestRef: requestRef{id: "r"}})
	if !strings.HasSuffix(conn.recorded(), "proceed 0 false") {
		t.Fatalf("after the drain grace: calls %q, want the write denied", conn.recorded())
	}
	// A second notification, such as the removal of the host, must not start another drain grace.
	n.applyList(changesOf(9, endpoint("s1", wire.Removed)), balancer.ListDelta, false)
	if n.hostAcceptsWrites(n.hosts["s1"]) {
		t.Error("a second notification starts another drain grace")
	}
	n.applyList(changesOf(10, endpoint("s1", wire.Serving)), balancer.ListDelta, false)
	if !n.hostAcceptsWrites(n.hosts["s1"]) {
		t.Error("a write to a host that serves again is denied")
	}
}

// A retry that connects after the idempotency window must not be written, even if the balancer chose it within the
// window.
func TestRetry_IdempotencyWindowOver_NotWritten(t *testing.T) {
	for _, c := range []struct {
		name   string
		effect balancer.Effect
		first  balancer.Outcome
		past   bool // the window is over when the retry connects
		want   string
	}{
		{"in time", balancer.IdempotentByKey, balancer.ResponseTimeout, false, "proceed 1 true"},
		{"late", balancer.IdempotentByKey, balancer.ResponseTimeout, true, "proceed 1 false"},
		{"late, first attempt not executed", balancer.IdempotentByKey, balancer.ConnectFailed, true, "proceed 1 true"},
		{"late, idempotent class", balancer.Idempotent, balancer.ResponseTimeout, true, "proceed 1 true"},
	} {
		t.Run(c.name, func(t *testing.T) {
			window := time.Hour
			if c.past {
				window = 100 * time.Millisecond
			}
			set := testSettings()
			set.Classes[0].Effect, set.Classes[0].IdempotencyWindow = c.effect, window
			known := *snapshotOf(7, endpoint("s1", wire.Serving), endpoint("s2", wire.Serving))
			n := New(set, known, "d:1", &fakeTransport{}, zap.NewNop())
			conn := arrive(t, n, "r")
			n.handle(endAttemptEvent("r", 0, c.first))
			if len(conn.sent) != 2 {
				t.Fatalf("attempts %v, want two", conn.sent)
			}
			if c.past {
				time.Sleep(window)
			}
			n.handle(attemptConnected{requestRef: requestRef{id: "r"}, attempt: 1})
			if !strings.HasSuffix(conn.recorded(), c.want) {
				t.Errorf("calls %q, want the last to be %q", conn.recorded(), c.want)
			}
		})
	}
}
