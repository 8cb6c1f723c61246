package node

import (
	"strings"
	"testing"
	"time"

	"onyxstream/balancer"
	"onyxstream/internal/wire"
)

// A word that comes before the first list, as over an upgrade, must not pass for news of discovery: the node that took
// it for that never asked.
func TestHostOverride_BeforeFirstList_ListStillPolled(t *testing.T) {
	n, w, _ := newTestNode(t, endpoint("a", wire.Serving), endpoint("b", wire.Serving))
	for _, out := range []bool{true, false} {
		if err := n.overrideHost("a", out, false, time.Now()); err != nil {
			t.Fatal(err)
		}
	}
	deadline := n.now() + n.settings.PollInterval
	for now := n.now(); now < deadline && len(w.watches) == 0; now += 200 * time.Millisecond {
		for _, a := range n.balancer.Handle(now, balancer.Timer{Token: "sweep"}) {
			n.perform(a)
		}
	}
	if len(w.watches) != 1 {
		t.Errorf("discovery is asked %d times", len(w.watches))
	}
}

// A host that an operator calls back is cold from then on, though the list says that it started long ago; one that was
// never out is as warm as it was.
func TestHostOverride_Lifted_HostWarmsUp(t *testing.T) {
	n, _, _ := newTestNode(t, endpoint("a", wire.Serving), endpoint("b", wire.Serving))
	at := time.Now()
	back := n.clockTime(at).Truncate(time.Millisecond)
	for _, step := range []struct {
		out  bool
		want time.Duration
	}{{false, 0}, {true, 0}, {true, 0}, {false, back}} {
		if err := n.overrideHost("a", step.out, true, at); err != nil {
			t.Fatal(err)
		}
		if (n.reenabledAt["a"] - step.want).Abs() >= time.Millisecond { // a word's time is kept to the millisecond
			t.Errorf("out %v: called back at %d, want %d", step.out, n.reenabledAt["a"], step.want)
		}
	}
	if n.overrides["a"] || n.hosts["a"].state != balancer.Live {
		t.Error("two words out need one back")
	}
	if err := n.overrideHost("nobody", false, true, at); err != ErrUnknownHost {
		t.Errorf("an id that nobody has: %v", err)
	}
	if err := n.overrideHost("later", true, false, at); err != nil || !n.overrides["later"] {
		t.Errorf("an id that is listed only later: %v", err)
	}
	n.applyList(&wire.EndpointList{Revision: 8, Endpoints: []wire.Endpoint{endpoint("later", wire.Serving)}}, balancer.ListDelta, false)
	if n.hosts["later"].state != balancer.Draining {
		t.Error("it is used when it comes")
	}
	if n.countHosts(); n.listedHosts.Load() != 3 || n.avoidedHosts.Load() != 1 {
		t.Errorf("%d hosts, %d avoided", n.listedHosts.Load(), n.avoidedHosts.Load())
	}
}

// The list and the address of a host may change as they like while it is out, and a connection that was on its way
// there when the word came is not written once the grace has run.
func TestHostOverride_ListChanges_HostStaysOut(t *testing.T) {
	n, _, _ := newTestNode(t, endpoint("a", wire.Serving))
	p := arrive(t, n, "r")
	if got := p.recorded(); got == "" {
		t.Fatal("it was not sent")
	}
	if err := n.overrideHost("a", true, true, time.Now()); err != nil {
		t.Fatal(err)
	}
	n.hosts["a"].notifiedAt = time.Now().Add(-time.Second)
	n.handle(attemptConnected{requestRef: requestRef{id: "r"}})
	if got := p.recorded(); !strings.HasSuffix(got, "go 0 false") {
		t.Errorf("a dial that comes up late: %q", got)
	}
	again := endpoint("a", wire.Serving)
	again.Addr, again.StartedAtMS = "elsewhere:1", time.Now().UnixMilli()
	gone := endpoint("a", wire.Removed)
	for _, c := range []struct {
		m    wire.Endpoint
		kind balancer.ListKind
	}{{again, balancer.ListDelta}, {gone, balancer.ListDelta}, {again, balancer.ListDelta}, {again, balancer.ListSnapshot}} {
		n.applyList(&wire.EndpointList{Revision: n.revision + 1, Complete: c.kind == balancer.ListSnapshot, Endpoints: []wire.Endpoint{c.m}}, c.kind, false)
		if n.hosts["a"].state == balancer.Live {
			t.Errorf("with %+v it is used", c.m)
		}
	}
	q := arrive(t, n, "s")
	if got := q.recorded(); got != "refuse true" {
		t.Errorf("with all hosts out: %q", got)
	}
}

// A process that takes over under load holds pings against the best that the one before has seen: by its own first one a
// host that is three times as slow passes for well.
func TestPingBaselines_Merged_ShortestOfSameStartKept(t *testing.T) {
	old, _, _ := newTestNode(t, endpoint("a", wire.Serving), endpoint("b", wire.Serving))
	old.hosts["a"].bestPing = time.Millisecond
	n, _, _ := newTestNode(t, endpoint("a", wire.Serving), endpoint("b", wire.Serving))
	n.hosts["a"].bestPing = 3 * time.Millisecond
	n.mergePingBaselines(old.pingBaselines())
	if n.hosts["a"].bestPing != time.Millisecond || n.hosts["b"].bestPing != 0 {
		t.Errorf("learnt %v, %v", n.hosts["a"].bestPing, n.hosts["b"].bestPing)
	}
	n.hosts["a"].bestPing, n.hosts["a"].startedAtMS = 0, 7 // it has restarted
	if n.mergePingBaselines(old.pingBaselines()); n.hosts["a"].bestPing != 0 {
		t.Error("another start of the host is taken for the same")
	}
	n.mergePingBaselines([]PingBaseline{{"nobody", 0, 1}, {"a", 7, -1}})
	if n.hosts["a"].bestPing != 0 || len(n.hosts) != 2 {
		t.Error("nonsense is learnt")
	}
}
