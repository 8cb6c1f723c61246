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

// asked is an outside that notes the calls to discovery.
type asked struct{ calls chan Call }

func (a *asked) Watch(c Call)                        { a.calls <- c }
func (a *asked) Ping(balancer.ServerID, string) bool { return true }

func starts(t *testing.T, cold bool) (*Node, *asked) {
	t.Helper()
	set := settings.Settings{Settings: balancer.Settings{AskList: true, AskWithin: 2 * time.Second, GroupSize: 1}}
	out := &asked{make(chan Call, 64)}
	n := New(set, wire.Catalog{}, "disco", out, zap.NewNop())
	if cold {
		n.Cold(coldstart.New(coldstart.Config{Nodes: 1, AskWithin: 2 * time.Second, Service: "s"}, rand.New(rand.NewPCG(1, 2)), n.now(),
			coldstart.Nowhere, coldstart.Offer{}), "s")
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { _ = n.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return n, out
}

// A node that the service itself tells was answered with a newer list of a service put back since by each node that it
// asked, at once, passed it over each time, and asked again without a pause.
func TestAListThatIsPassedOverIsOfNoUse(t *testing.T) {
	n, out := starts(t, true)
	var c Call
	select {
	case c = <-out.calls:
	case <-time.After(10 * time.Second):
		t.Fatal("the service is never asked")
	}
	member := wire.Member{ID: "h1", Addr: "127.0.0.1:1", Size: 1}
	offer := func(revision int64) bool {
		return n.PassedOn(Passed{Offer: coldstart.Offer{Service: "s", Revision: revision}, At: time.Now(),
			List: &wire.Catalog{Revision: revision, Complete: true, Members: []wire.Member{member}}})
	}
	if !offer(7) || n.Holding().List.Revision != 7 {
		t.Error("before the service answers a list that is passed on is of no use")
	}
	n.Listed(c.N, &wire.Catalog{Revision: 5, Complete: true, Members: []wire.Member{member}})
	if offer(8) || n.Holding().List.Revision != 5 {
		t.Errorf("what the service itself told is replaced by what another node passed on: %+v", n.Holding().List)
	}
}

// A drain that is kept against a list that was passed on is this node's own: passed on as the service's word it held at
// others, whom nothing made ask, for as long as the list did not change.
func TestAKeptDrainIsNotPassedOn(t *testing.T) {
	n, out := starts(t, true)
	c := <-out.calls
	h1 := wire.Member{ID: "h1", Addr: "127.0.0.1:1", Size: 1, Phase: wire.Draining}
	n.Listed(c.N, &wire.Catalog{Revision: 5, Complete: true, Members: []wire.Member{h1}})
	n.WatchFailed(c.N, 0)
	h1.Phase = wire.Serving
	if !n.PassedOn(Passed{Offer: coldstart.Offer{Service: "s", Revision: 6}, At: time.Now(),
		List: &wire.Catalog{Revision: 6, Complete: true, Members: []wire.Member{h1}}}) {
		t.Fatal("the newer list is of no use")
	}
	if v := n.View(); len(v.Hosts) != 1 || v.Hosts[0].State != balancer.Draining {
		t.Errorf("the drain is lifted: %+v", v.Hosts)
	}
	if m := n.Holding().List; m.Revision != 6 || m.Members[0].Phase != wire.Serving {
		t.Errorf("passed on is %+v", m)
	}
	select {
	case c := <-out.calls:
		if c.After != Whole {
			t.Errorf("the service is asked for what changed after %d: that does not tell of the drain", c.After)
		}
	case <-time.After(10 * time.Second):
		t.Error("the service is not asked")
	}
}

// Without a cold start nothing is held for others, and beats and words of others do nothing.
func TestNothingIsHeldWithoutAColdStart(t *testing.T) {
	n, out := starts(t, false)
	n.Beat(1)
	select {
	case <-out.calls: // the module's first wish is a call
	case <-time.After(10 * time.Second):
		t.Fatal("the service is never asked")
	}
	if _, ok := n.Start(); ok || n.Holding() != nil {
		t.Error("a start is shown, or a list is held")
	}
}
