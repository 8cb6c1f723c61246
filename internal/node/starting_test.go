package node

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/zap"

	"onyxstream/brain"
	"onyxstream/internal/coldstart"
	"onyxstream/internal/settings"
	"onyxstream/internal/wire"
)

// asked is an outside that notes the calls to discovery.
type asked struct{ calls chan Call }

func (a *asked) Watch(c Call)                { a.calls <- c }
func (a *asked) Ping(brain.ServerID, string) {}

func starts(t *testing.T, cold bool) (*Node, *asked) {
	t.Helper()
	set := settings.Settings{Settings: brain.Settings{AskList: true, AskWithin: 2 * time.Second, GroupSize: 1}}
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
