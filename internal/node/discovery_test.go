package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/wire"
)

func TestList_SnapshotLacksHost_HostRemoved(t *testing.T) {
	n, _, _ := newTestNode(t, endpoint("s1", wire.Serving), endpoint("s2", wire.Serving))
	n.handle(listReceived{list: &wire.EndpointList{Revision: 8, Complete: true, Endpoints: []wire.Endpoint{endpoint("s2", wire.Serving)}}})
	if n.hosts["s1"].state != balancer.Removed || n.hosts["s2"].state != balancer.Live || n.revision != 8 {
		t.Errorf("s1 %v, s2 %v, revision %d", n.hosts["s1"].state, n.hosts["s2"].state, n.revision)
	}
	n.hosts["s1"].notifiedAt = time.Now().Add(-2 * removedHostTTL)
	n.applyList(&wire.EndpointList{Revision: 9}, balancer.ListDelta, false)
	if n.hosts["s1"] != nil {
		t.Error("a host gone for long is kept")
	}
}

// A member without an address can't be sent to: the module must hear that nothing was passed on.
func TestAttempt_HostWithoutAddress_Rejected(t *testing.T) {
	m := endpoint("s1", wire.Serving)
	m.Addr = ""
	n, _, _ := newTestNode(t, m)
	if p := arrive(t, n, "r"); p.recorded() != "refuse true" || n.InFlightRequests() != 0 {
		t.Errorf("%s; %d owed", p.recorded(), n.InFlightRequests())
	}
	if p := arrive(t, n, "q"); p.recorded() != "refuse true" || len(n.requests) != 0 {
		t.Errorf("%s; %d kept", p.recorded(), len(n.requests))
	}
}

func TestWatch_PollDue_AsksFromHeldRevision(t *testing.T) {
	set := testSettings()
	set.PollInterval = time.Millisecond // the module asks within a twentieth of it
	w := &fakeTransport{}
	n := New(set, wire.EndpointList{Revision: 7}, "d:1", w, zap.NewNop())
	time.Sleep(time.Millisecond)
	n.decide(balancer.Timer{Token: "sweep"})
	if len(w.watches) != 1 || w.watches[0] != (ListRequest{1, "d:1", 7}) {
		t.Fatalf("watches %v, want one from version 7", w.watches)
	}
	n.handle(listReceived{sequence: 1, list: &wire.EndpointList{Revision: 9, Endpoints: []wire.Endpoint{endpoint("s2", wire.Serving)}}})
	if n.revision != 9 || n.hosts["s2"] == nil {
		t.Errorf("revision %d", n.revision)
	}
}

// Another discovery is asked for the whole list, the versions of the old one mean nothing there, and the module
// sees neither a failure nor an empty fleet until the new list is there.
func TestDiscoveryAddr_Changed_AsksForSnapshot(t *testing.T) {
	n, w, _ := newTestNode(t, endpoint("s1", wire.Serving), endpoint("s2", wire.Serving))
	n.watch()
	serves := func(when string) {
		t.Helper()
		if p := arrive(t, n, when); !strings.HasPrefix(p.recorded(), "send 0 ") {
			t.Errorf("%s: %q", when, p.recorded())
		}
	}
	n.handle(discoveryAddrChanged{addr: "d:2"})
	n.handle(discoveryAddrChanged{addr: "d:3"})
	if want := (ListRequest{3, "d:3", NoRevision}); len(w.watches) != 3 || w.watches[2] != want {
		t.Fatalf("asked %v, want %v last", w.watches, want)
	}
	n.handle(watchFailed{sequence: 1})
	n.handle(watchFailed{sequence: 2})
	serves("the-old-watch-has-ended")
	// What the old one wrote was told and holds, its version does not.
	n.handle(listReceived{sequence: 1, list: &wire.EndpointList{Revision: 900, Endpoints: []wire.Endpoint{endpoint("s1", wire.Draining)}}})
	if n.revision != NoRevision || n.hosts["s1"].state != balancer.Draining {
		t.Errorf("revision %d, s1 %v", n.revision, n.hosts["s1"].state)
	}
	n.handle(watchFailed{sequence: 3})
	n.watch()
	if got := w.watches[len(w.watches)-1]; got != (ListRequest{4, "d:3", NoRevision}) {
		t.Errorf("after a failure asked %v", got)
	}
	n.handle(listReceived{sequence: 4, list: &wire.EndpointList{Revision: 2, Complete: true,
		Endpoints: []wire.Endpoint{endpoint("s1", wire.Serving)}}})
	n.watch()
	if got := w.watches[len(w.watches)-1]; got != (ListRequest{5, "d:3", 2}) {
		t.Errorf("after the list asked %v", got)
	}
	if n.hosts["s2"].state != balancer.Removed || n.hosts["s1"].state != balancer.Live {
		t.Error("the whole list does not hold")
	}
	serves("with-the-new-list")
}

// Sites that need not be asked have no module that asks: the node watches by itself, and again.
func TestWatch_FailsWithoutPolling_RetriedAfterDelay(t *testing.T) {
	n, w, _ := newTestNode(t)
	n.settings.PollList = false
	n.watch()
	n.handle(watchFailed{sequence: 1})
	n.handleTick(time.Now())
	if len(w.watches) != 1 {
		t.Fatal("watched again at once")
	}
	n.handleTick(time.Now().Add(time.Second))
	n.handleTick(time.Now().Add(2 * time.Second))
	if len(w.watches) != 2 {
		t.Errorf("%d watches, want 2", len(w.watches))
	}
}

// A watch that is refused in the moment in which discovery is named anew, on either side of that: the new one is asked for
// the whole list, the refusal of the old one is none of its, and nothing is asked twice once its list is there.
func TestDiscoveryAddr_ChangedAsWatchFails_AsksOnce(t *testing.T) {
	refused, named := watchFailed{sequence: 1}, discoveryAddrChanged{addr: "new:1"}
	for name, order := range map[string][]event{"refused first": {refused, named}, "named first": {named, refused}} {
		for _, ask := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, asked for %v", name, ask), func(t *testing.T) {
				n, w, _ := newTestNode(t, endpoint("s1", wire.Serving))
				n.settings.PollList = ask
				n.watch()
				for _, e := range order {
					n.handle(e)
				}
				if last := w.watches[len(w.watches)-1]; len(w.watches) != 2 || last.Addr != "new:1" || last.AfterRevision != NoRevision {
					t.Fatalf("calls %v", w.watches)
				}
				list := wire.EndpointList{Revision: 3, Complete: true, Endpoints: []wire.Endpoint{endpoint("s2", wire.Serving)}}
				n.handle(listReceived{sequence: 2, list: &list})
				n.handle(refused)
				n.handleTick(time.Now().Add(time.Minute))
				if len(w.watches) != 2 || n.revision != 3 {
					t.Errorf("calls %v, revision %d", w.watches, n.revision)
				}
			})
		}
	}
}
