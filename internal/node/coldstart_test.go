package node

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/coldstart"
	"onyxstream/internal/settings"
	"onyxstream/internal/wire"
)

// watchRecorder is an outside that notes the calls to discovery.
type watchRecorder struct{ calls chan ListRequest }

func (a *watchRecorder) Watch(c ListRequest)                 { a.calls <- c }
func (a *watchRecorder) Ping(balancer.ServerID, string) bool { return true }

func startNode(t *testing.T, cold bool) (*Node, *watchRecorder) {
	t.Helper()
	set := settings.Settings{Settings: balancer.Settings{PollList: true, PollInterval: 2 * time.Second, NodeCount: 1}}
	out := &watchRecorder{make(chan ListRequest, 64)}
	n := New(set, wire.EndpointList{}, "disco", out, zap.NewNop())
	if cold {
		n.EnableColdStart(coldstart.New(coldstart.Config{NodeCount: 1, PollInterval: 2 * time.Second, Service: "s"}, rand.New(rand.NewPCG(1, 2)), n.now(),
			coldstart.NoSource, coldstart.Offer{}), "s")
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { _ = n.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return n, out
}

// A node that the service itself tells was answered with a newer list of a service put back since by each node that it
// asked, at once, passed it over each time, and asked again without a pause.
func TestPeerList_ServiceHasAnswered_Ignored(t *testing.T) {
	n, out := startNode(t, true)
	var c ListRequest
	select {
	case c = <-out.calls:
	case <-time.After(10 * time.Second):
		t.Fatal("the service is never asked")
	}
	member := wire.Endpoint{ID: "h1", Addr: "127.0.0.1:1", Size: 1}
	offer := func(revision int64) bool {
		return n.ReceivePeerList(PeerList{Offer: coldstart.Offer{Service: "s", Revision: revision}, At: time.Now(),
			List: &wire.EndpointList{Revision: revision, Complete: true, Endpoints: []wire.Endpoint{member}}})
	}
	if !offer(7) || n.CachedList().List.Revision != 7 {
		t.Error("before the service answers a list that is passed on is of no use")
	}
	n.ListReceived(c.Sequence, &wire.EndpointList{Revision: 5, Complete: true, Endpoints: []wire.Endpoint{member}})
	if offer(8) || n.CachedList().List.Revision != 5 {
		t.Errorf("what the service itself told is replaced by what another node passed on: %+v", n.CachedList().List)
	}
}

// A drain that is kept against a list that was passed on is this node's own: passed on as the service's word it held at
// others, whom nothing made ask, for as long as the list did not change.
func TestPeerList_LiftsDrain_DrainKeptButNotGossiped(t *testing.T) {
	n, out := startNode(t, true)
	c := <-out.calls
	h1 := wire.Endpoint{ID: "h1", Addr: "127.0.0.1:1", Size: 1, Phase: wire.Draining}
	n.ListReceived(c.Sequence, &wire.EndpointList{Revision: 5, Complete: true, Endpoints: []wire.Endpoint{h1}})
	n.WatchFailed(c.Sequence, 0)
	h1.Phase = wire.Serving
	if !n.ReceivePeerList(PeerList{Offer: coldstart.Offer{Service: "s", Revision: 6}, At: time.Now(),
		List: &wire.EndpointList{Revision: 6, Complete: true, Endpoints: []wire.Endpoint{h1}}}) {
		t.Fatal("the newer list is of no use")
	}
	if v := n.View(); len(v.Hosts) != 1 || v.Hosts[0].State != balancer.Draining {
		t.Errorf("the drain is lifted: %+v", v.Hosts)
	}
	if m := n.CachedList().List; m.Revision != 6 || m.Endpoints[0].Phase != wire.Serving {
		t.Errorf("passed on is %+v", m)
	}
	select {
	case c := <-out.calls:
		if c.AfterRevision != NoRevision {
			t.Errorf("the service is asked for what changed after %d: that does not tell of the drain", c.AfterRevision)
		}
	case <-time.After(10 * time.Second):
		t.Error("the service is not asked")
	}
}

// Without a cold start nothing is held for others, and beats and words of others do nothing.
func TestColdStart_Disabled_NoListCached(t *testing.T) {
	n, out := startNode(t, false)
	n.Heartbeat(1)
	select {
	case <-out.calls: // the module's first wish is a call
	case <-time.After(10 * time.Second):
		t.Fatal("the service is never asked")
	}
	if _, ok := n.ColdStartState(); ok || n.CachedList() != nil {
		t.Error("a start is shown, or a list is held")
	}
}
