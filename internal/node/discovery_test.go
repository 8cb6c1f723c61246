package node

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/wire"
)

// A snapshot contains every host, so a host that is missing from it must count as removed. The node must delete the
// host after removedHostTTL.
func TestList_SnapshotLacksHost_HostRemoved(t *testing.T) {
	n, _, _ := newTestNode(t, endpoint("s1", wire.Serving), endpoint("s2", wire.Serving))
	n.handle(listReceived{list: snapshotOf(8, endpoint("s2", wire.Serving))})
	if n.hosts["s1"].state != balancer.Removed || n.hosts["s2"].state != balancer.Live || n.revision != 8 {
		t.Errorf("s1 is %v, s2 is %v, revision %d; want removed, live, 8",
			n.hosts["s1"].state, n.hosts["s2"].state, n.revision)
	}
	n.hosts["s1"].notifiedAt = time.Now().Add(-2 * removedHostTTL)
	n.applyList(&wire.EndpointList{Revision: 9}, balancer.ListDelta, false)
	if n.hosts["s1"] != nil {
		t.Error("the host is kept longer than removedHostTTL after its removal, want it deleted")
	}
}

// An attempt to a host without an address cannot be started. The balancer must get its outcome, or the request would
// never get a final answer.
func TestAttempt_HostWithoutAddress_Rejected(t *testing.T) {
	entry := endpoint("s1", wire.Serving)
	entry.Addr = ""
	n, _, _ := newTestNode(t, entry)
	if conn := arrive(t, n, "r"); conn.recorded() != "reject true" || n.InFlightRequests() != 0 {
		t.Errorf("calls %q, %d in flight; want a rejection and none", conn.recorded(), n.InFlightRequests())
	}
	if conn := arrive(t, n, "q"); conn.recorded() != "reject true" || len(n.requests) != 0 {
		t.Errorf("calls %q, %d requests kept; want a rejection and none", conn.recorded(), len(n.requests))
	}
}

// A node that polls must request the changes since the revision that it holds, and take over the revision of the
// response.
func TestWatch_PollDue_RequestsFromHeldRevision(t *testing.T) {
	set := testSettings()
	set.PollInterval = time.Millisecond // the first poll is due within a twentieth of it
	transport := &fakeTransport{}
	n := New(set, wire.EndpointList{Revision: 7}, "d:1", transport, zap.NewNop())
	time.Sleep(time.Millisecond)
	n.notifyBalancer(balancer.Timer{Token: "sweep"})
	if len(transport.watches) != 1 || transport.watches[0] != (ListRequest{1, "d:1", 7}) {
		t.Fatalf("list requests %v, want one from revision 7", transport.watches)
	}
	n.handle(listReceived{sequence: 1, list: changesOf(9, endpoint("s2", wire.Serving))})
	if n.revision != 9 || n.hosts["s2"] == nil {
		t.Errorf("revision %d, want 9 with the new host s2", n.revision)
	}
}

// Discovery at a new address does not know the revisions of the old one, so the node requests a snapshot. Until the
// snapshot arrives, the balancer must see neither a failure nor an empty list.
func TestDiscoveryAddr_Changed_RequestsSnapshot(t *testing.T) {
	n, transport, _ := newTestNode(t, endpoint("s1", wire.Serving), endpoint("s2", wire.Serving))
	n.watch()
	expectAttempt := func(when string) {
		t.Helper()
		if conn := arrive(t, n, when); !strings.HasPrefix(conn.recorded(), "send 0 ") {
			t.Errorf("%s: calls %q, want an attempt", when, conn.recorded())
		}
	}
	n.handle(discoveryAddrChanged{addr: "d:2"})
	n.handle(discoveryAddrChanged{addr: "d:3"})
	if want := (ListRequest{3, "d:3", NoRevision}); len(transport.watches) != 3 || transport.watches[2] != want {
		t.Fatalf("list requests %v, want %v last", transport.watches, want)
	}
	n.handle(watchFailed{sequence: 1})
	n.handle(watchFailed{sequence: 2})
	expectAttempt("after-the-old-watch")
	// A late watch event of the old discovery still updates the hosts, but not the revision.
	n.handle(listReceived{sequence: 1, list: changesOf(900, endpoint("s1", wire.Draining))})
	if n.revision != NoRevision || n.hosts["s1"].state != balancer.Draining {
		t.Errorf("revision %d, s1 is %v; want NoRevision, draining", n.revision, n.hosts["s1"].state)
	}
	n.handle(watchFailed{sequence: 3})
	n.watch()
	if got := transport.watches[len(transport.watches)-1]; got != (ListRequest{4, "d:3", NoRevision}) {
		t.Errorf("list request after a failure is %v, want a snapshot", got)
	}
	n.handle(listReceived{sequence: 4, list: snapshotOf(2, endpoint("s1", wire.Serving))})
	n.watch()
	if got := transport.watches[len(transport.watches)-1]; got != (ListRequest{5, "d:3", 2}) {
		t.Errorf("list request after the list is %v, want the changes after revision 2", got)
	}
	if n.hosts["s2"].state != balancer.Removed || n.hosts["s1"].state != balancer.Live {
		t.Error("the snapshot was not applied")
	}
	expectAttempt("with-the-new-list")
}

// Without polling, the node itself must restart a broken watch, after a delay.
func TestWatch_FailsWithoutPolling_RetriedAfterDelay(t *testing.T) {
	n, transport, _ := newTestNode(t)
	n.settings.PollList = false
	n.watch()
	n.handle(watchFailed{sequence: 1})
	n.handleTick(time.Now())
	if len(transport.watches) != 1 {
		t.Fatal("the watch was restarted without a delay")
	}
	n.handleTick(time.Now().Add(time.Second))
	n.handleTick(time.Now().Add(2 * time.Second))
	if len(transport.watches) != 2 {
		t.Errorf("%d list requests, want 2", len(transport.watches))
	}
}

// A list request that was reported as overdue may still be answered. The node must then follow its watch instead of
// sending further list requests.
func TestWatch_ListAfterOverdue_NotRepeated(t *testing.T) {
	for _, polled := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			set := testSettings()
			set.PollList = polled
			transport := &concurrentTransport{}
			n := New(set, *snapshotOf(7, endpoint("s1", wire.Serving)), "d:1", transport, zap.NewNop())
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go func() { _ = n.Run(ctx) }()
			time.Sleep(7 * time.Second)
			request, before := transport.last()
			n.WatchFailed(request.Sequence, 0)
			n.ListReceived(request.Sequence, changesOf(8, endpoint("s2", wire.Serving)))
			time.Sleep(time.Minute)
			synctest.Wait()
			if _, after := transport.last(); after != before {
				t.Errorf("polled %v: %d list requests after the list, want none", polled, after-before)
			}
		})
	}
}

// A watch may fail just before or just after the address of discovery changes. In both cases the node must send one
// list request to the new address, for a snapshot.
func TestDiscoveryAddr_ChangedAsWatchFails_RequestsOnce(t *testing.T) {
	watchFails, addrChanges := watchFailed{sequence: 1}, discoveryAddrChanged{addr: "new:1"}
	for name, order := range map[string][]event{
		"failure first": {watchFails, addrChanges},
		"address first": {addrChanges, watchFails},
	} {
		for _, polled := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, polled %v", name, polled), func(t *testing.T) {
				n, transport, _ := newTestNode(t, endpoint("s1", wire.Serving))
				n.settings.PollList = polled
				n.watch()
				for _, e := range order {
					n.handle(e)
				}
				last := transport.watches[len(transport.watches)-1]
				if len(transport.watches) != 2 || last.Addr != "new:1" || last.AfterRevision != NoRevision {
					t.Fatalf("list requests %v, want the second for a snapshot from new:1", transport.watches)
				}
				list := *snapshotOf(3, endpoint("s2", wire.Serving))
				n.handle(listReceived{sequence: 2, list: &list})
				n.handle(watchFails)
				n.handleTick(time.Now().Add(time.Minute))
				if len(transport.watches) != 2 || n.revision != 3 {
					t.Errorf("list requests %v, revision %d; want 2 requests, revision 3", transport.watches, n.revision)
				}
			})
		}
	}
}
