package node

import (
	"strings"
	"testing"
	"time"

	"onyxstream/balancer"
	"onyxstream/internal/wire"
)

// An override before the first list, as after a hot restart, must not count as a response of discovery: the node would
// not request the list.
func TestHostOverride_BeforeFirstList_ListStillPolled(t *testing.T) {
	n, transport, _ := newTestNode(t, endpoint("a", wire.Serving), endpoint("b", wire.Serving))
	for _, drain := range []bool{true, false} {
		if err := n.overrideHost("a", drain, false, time.Now()); err != nil {
			t.Fatal(err)
		}
	}
	deadline := n.now() + n.settings.PollInterval
	for now := n.now(); now < deadline && len(transport.watches) == 0; now += 200 * time.Millisecond {
		for _, a := range n.balancer.Handle(now, balancer.Timer{Token: "sweep"}) {
			n.perform(a)
		}
	}
	if len(transport.watches) != 1 {
		t.Errorf("%d list requests, want 1", len(transport.watches))
	}
}

// A host must warm up after its override is lifted, although the list still shows its old start. Lifting an override
// that does not exist must not make a host warm up.
func TestHostOverride_Lifted_HostWarmsUp(t *testing.T) {
	n, _, _ := newTestNode(t, endpoint("a", wire.Serving), endpoint("b", wire.Serving))
	at := time.Now()
	reenabledAt := n.clockTime(at).Truncate(time.Millisecond)
	for _, step := range []struct {
		drain bool
		want  time.Duration
	}{{false, 0}, {true, 0}, {true, 0}, {false, reenabledAt}} {
		if err := n.overrideHost("a", step.drain, true, at); err != nil {
			t.Fatal(err)
		}
		if (n.reenabledAt["a"] - step.want).Abs() >= time.Millisecond { // recorded in whole milliseconds
			t.Errorf("drain %v: re-enabled at %d, want %d", step.drain, n.reenabledAt["a"], step.want)
		}
	}
	if n.overrides["a"] || n.hosts["a"].state != balancer.Live {
		t.Error("an override that was set twice is still in place after it was lifted once")
	}
	if err := n.overrideHost("unknown", false, true, at); err != ErrUnknownHost {
		t.Errorf("override of an unknown host: %v, want ErrUnknownHost", err)
	}
	if err := n.overrideHost("later", true, false, at); err != nil || !n.overrides["later"] {
		t.Errorf("override of an unlisted host: error %v, want it recorded", err)
	}
	n.applyList(changesOf(8, endpoint("later", wire.Serving)), balancer.ListDelta, false)
	if n.hosts["later"].state != balancer.Draining {
		t.Error("the override does not apply to a host that was listed later")
	}
	if n.countHosts(); n.listedHosts.Load() != 3 || n.avoidedHosts.Load() != 1 {
		t.Errorf("%d hosts, %d avoided; want 3, 1", n.listedHosts.Load(), n.avoidedHosts.Load())
	}
}

// An override must hold regardless of what the list says about the host, and the opening line of an attempt that
// connects after the drain grace must not be written.
func TestHostOverride_ListChanges_HostNotUsed(t *testing.T) {
	n, _, _ := newTestNode(t, endpoint("a", wire.Serving))
	conn := arrive(t, n, "r")
	if got := conn.recorded(); got == "" {
		t.Fatal("no attempt was started")
	}
	if err := n.overrideHost("a", true, true, time.Now()); err != nil {
		t.Fatal(err)
	}
	n.hosts["a"].notifiedAt = time.Now().Add(-time.Second)
	n.handle(attemptConnected{requestRef: requestRef{id: "r"}})
	if got := conn.recorded(); !strings.HasSuffix(got, "proceed 0 false") {
		t.Errorf("attempt that connects after the drain grace: calls %q, want the write denied", got)
	}
	restarted := endpoint("a", wire.Serving)
	restarted.Addr, restarted.StartedAtMS = "elsewhere:1", time.Now().UnixMilli()
	removed := endpoint("a", wire.Removed)
	for _, c := range []struct {
		endpoint wire.Endpoint
		kind     balancer.ListKind
	}{
		{restarted, balancer.ListDelta},
		{removed, balancer.ListDelta},
		{restarted, balancer.ListDelta},
		{restarted, balancer.ListSnapshot},
	} {
		list := changesOf(n.revision+1, c.endpoint)
		list.Complete = c.kind == balancer.ListSnapshot
		n.applyList(list, c.kind, false)
		if n.hosts["a"].state == balancer.Live {
			t.Errorf("the host is live after a list with the endpoint %+v, want it draining or removed", c.endpoint)
		}
	}
	second := arrive(t, n, "s")
	if got := second.recorded(); got != "reject true" {
		t.Errorf("with all hosts overridden: calls %q, want a rejection", got)
	}
}
