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

// watchRecorder is a Transport that passes on list requests.
type watchRecorder struct{ requests chan ListRequest }

func (r *watchRecorder) Watch(c ListRequest)                 { r.requests <- c }
func (r *watchRecorder) Ping(balancer.ServerID, string) bool { return true }

// startNode returns a node whose loop runs until the test ends.
func startNode(t *testing.T, cold bool) (*Node, *watchRecorder) {
	t.Helper()
	nodeSettings := settings.Settings{
		Settings: balancer.Settings{PollList: true, PollInterval: 2 * time.Second, NodeCount: 1},
	}
	transport := &watchRecorder{make(chan ListRequest, 64)}
	n := New(nodeSettings, wire.EndpointList{}, "disco", transport, zap.NewNop())
	if cold {
		cfg := coldstart.Config{NodeCount: 1, PollInterval: 2 * time.Second, Service: "s"}
		rng := rand.New(rand.NewPCG(1, 2))
		n.EnableColdStart(coldstart.New(cfg, rng, n.now(), coldstart.NoSource, coldstart.Offer{}), "s")
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { _ = n.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return n, transport
}

// Peers may hold a newer revision than a list service that was restored from a backup. A node that the service keeps
// current does not use it, and says so, as the caller would ask again without a pause.
func TestPeerList_ServiceHasAnswered_Ignored(t *testing.T) {
	n, transport := startNode(t, true)
	var call ListRequest
	select {
	case call = <-transport.requests:
	case <-time.After(10 * time.Second):
		t.Fatal("the service is never called")
	}
	host := wire.Endpoint{ID: "h1", Addr: "127.0.0.1:1", Size: 1}
	offer := func(revision int64) bool {
		return n.ReceivePeerList(PeerList{Offer: coldstart.Offer{Service: "s", Revision: revision}, At: time.Now(),
			List: snapshotOf(revision, host)})
	}
	if !offer(7) || n.CachedList().List.Revision != 7 {
		t.Error("a peer's list is not used before the service answers")
	}
	n.ListReceived(call.Sequence, snapshotOf(5, host))
	if offer(8) || n.CachedList().List.Revision != 5 {
		t.Errorf("a peer's list replaces the service's: %+v", n.CachedList().List)
	}
}

// A drain that is kept against a peer's list must not be passed on to other peers, as nothing would make them ask the
// service whether it is over.
func TestPeerList_LiftsDrain_DrainKeptButNotGossiped(t *testing.T) {
	n, transport := startNode(t, true)
	c := <-transport.requests
	h1 := wire.Endpoint{ID: "h1", Addr: "127.0.0.1:1", Size: 1, Phase: wire.Draining}
	n.ListReceived(c.Sequence, snapshotOf(5, h1))
	n.WatchFailed(c.Sequence, 0)
	h1.Phase = wire.Serving
	if !n.ReceivePeerList(PeerList{Offer: coldstart.Offer{Service: "s", Revision: 6}, At: time.Now(),
		List: snapshotOf(6, h1)}) {
		t.Fatal("the newer list is not used")
	}
	if v := n.View(); len(v.Hosts) != 1 || v.Hosts[0].State != balancer.Draining {
		t.Errorf("the drain is not kept: %+v", v.Hosts)
	}
	if m := n.CachedList().List; m.Revision != 6 || m.Endpoints[0].Phase != wire.Serving {
		t.Errorf("published is %+v", m)
	}
	select {
	case c := <-transport.requests:
		if c.AfterRevision != NoRevision {
			t.Errorf("the service is asked for changes after %d, which don't show the drain", c.AfterRevision)
		}
	case <-time.After(10 * time.Second):
		t.Error("the service is not called")
	}
}

// Without a cold start no list is published, and heartbeats have no effect.
func TestColdStart_Disabled_NoListCached(t *testing.T) {
	n, transport := startNode(t, false)
	n.Heartbeat(1)
	select {
	case <-transport.requests: // the balancer's first wish for the list
	case <-time.After(10 * time.Second):
		t.Fatal("the service is never called")
	}
	if _, ok := n.ColdStartState(); ok || n.CachedList() != nil {
		t.Error("a state is returned, or a list is published")
	}
}
