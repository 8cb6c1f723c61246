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

// watchRecorder is a Transport that sends the list requests to a channel.
type watchRecorder struct{ requests chan ListRequest }

func (r *watchRecorder) Watch(request ListRequest)           { r.requests <- request }
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
		cfg := coldstart.Config{NodeCount: 1, PollInterval: 2 * time.Second, DiscoveryName: "s"}
		rng := rand.New(rand.NewPCG(1, 2))
		n.EnableColdStart(coldstart.New(cfg, rng, n.now(), coldstart.NoSource, coldstart.Offer{}), "s")
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { _ = n.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return n, transport
}

// After discovery was restored from a backup, peers may hold a newer revision than it does. A node that discovery keeps
// current must ignore their lists, and must report that: otherwise the caller would request them again without a pause.
func TestPeerList_DiscoveryHasResponded_Ignored(t *testing.T) {
	n, transport := startNode(t, true)
	var request ListRequest
	select {
	case request = <-transport.requests:
	case <-time.After(10 * time.Second):
		t.Fatal("no list request is sent to discovery")
	}
	host := wire.Endpoint{ID: "h1", Addr: "127.0.0.1:1", Size: 1}
	offer := func(revision int64) bool {
		return n.ReceivePeerList(PeerList{Offer: coldstart.Offer{DiscoveryName: "s", Revision: revision}, At: time.Now(),
			List: snapshotOf(revision, host)})
	}
	if !offer(7) || n.CachedList().List.Revision != 7 {
		t.Error("the list of a peer was not used before discovery responded, want revision 7 adopted")
	}
	n.ListReceived(request.Sequence, snapshotOf(5, host))
	if offer(8) || n.CachedList().List.Revision != 5 {
		t.Errorf("cached list %+v after a newer list of a peer, want revision 5 of discovery", n.CachedList().List)
	}
}

// A node keeps a drain that a peer list would lift, and requests a snapshot from discovery to learn whether the drain
// is over. It must not send the kept drain to other peers, because nothing would make them send such a request.
func TestPeerList_LiftsDrain_DrainKeptButNotPublished(t *testing.T) {
	n, transport := startNode(t, true)
	request := <-transport.requests
	h1 := wire.Endpoint{ID: "h1", Addr: "127.0.0.1:1", Size: 1, Phase: wire.Draining}
	n.ListReceived(request.Sequence, snapshotOf(5, h1))
	n.WatchFailed(request.Sequence, 0)
	h1.Phase = wire.Serving
	if !n.ReceivePeerList(PeerList{Offer: coldstart.Offer{DiscoveryName: "s", Revision: 6}, At: time.Now(),
		List: snapshotOf(6, h1)}) {
		t.Fatal("the newer peer list is not used")
	}
	if v := n.View(); len(v.Hosts) != 1 || v.Hosts[0].State != balancer.Draining {
		t.Errorf("the host is no longer draining: %+v", v.Hosts)
	}
	if list := n.CachedList().List; list.Revision != 6 || list.Endpoints[0].Phase != wire.Serving {
		t.Errorf("published list is %+v, want revision 6 with a serving host", list)
	}
	select {
	case request := <-transport.requests:
		if request.AfterRevision != NoRevision {
			t.Errorf("list request for changes after revision %d, want a snapshot, which shows the drain", request.AfterRevision)
		}
	case <-time.After(10 * time.Second):
		t.Error("no list request is sent to discovery")
	}
}

// Without a cold start no list is published, and heartbeats have no effect.
func TestColdStart_Disabled_NoListCached(t *testing.T) {
	n, transport := startNode(t, false)
	n.Heartbeat(1)
	select {
	case <-transport.requests: // from the balancer's first WatchList action
	case <-time.After(10 * time.Second):
		t.Fatal("no list request is sent to discovery")
	}
	if _, ok := n.ColdStartState(); ok || n.CachedList() != nil {
		t.Error("a cold start state is returned or a list is published, want neither")
	}
}
