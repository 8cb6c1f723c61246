package balancer

import (
	"fmt"
	"testing"
	"time"
)

// A mid-flow arrival goes to the server of its connection. That is the second hop while its entry changes, even if that
// server is draining, until its drain grace ends.
func TestMidFlow_ChangingEntry_GoesToSecondHop(t *testing.T) {
	b := newWarmNode(t, testSettings(), 6)
	b.Handle(0, Arrival{ID: "held", Key: "held", TimeLeft: time.Second}) // a node without requests ends fills at once
	var key string
	for i := range 100 {
		if key = fmt.Sprint("k", i); b.table.first[firstEntryOf(b, &request{Arrival: Arrival{Key: key}})].id == "s02" {
			break
		}
	}
	b.Handle(time.Second, listDelta(Server{ID: "s02", State: Draining}))
	send := func(id RequestID, at time.Duration, mid bool) ServerID {
		t.Helper()
		out := sends(b.Handle(at, Arrival{ID: id, Key: key, TimeLeft: time.Second, MidFlow: mid}))
		if len(out) != 1 {
			t.Fatalf("request %s was not sent", id)
		}
		return out[0].Server
	}
	if got := send("new", 1100*ms, false); got == "s02" {
		t.Error("new request was sent to a draining server")
	}
	if got := send("mid", 1200*ms, true); got != "s02" {
		t.Errorf("mid-flow arrival within the drain grace went to %s, want s02", got)
	}
	// A node learns of the drain at the start of one event loop turn and sends at the end of another, so a send that is
	// decided in the last moment of the grace would leave the node after the grace.
	if got := send("late", 1000*ms+b.settings.DrainGrace*19/20, true); got == "s02" {
		t.Error("mid-flow arrival at the very end of the drain grace was sent to the draining server")
	}

	// While a server is filling, the second hop of its entry is the entry's previous server.
	b = newWarmNode(t, testSettings(), 6)
	b.Handle(0, Arrival{ID: "held", Key: "held", TimeLeft: time.Second})
	b.Handle(time.Second, listDelta(Server{ID: "s99", Weight: 1}))
	for i := range 1000 {
		key = fmt.Sprint("k", i)
		hops := b.table.hops(firstEntryOf(b, &request{Arrival: Arrival{Key: key}}))
		first, second := hops[1], hops[0]
		if second == nil {
			continue
		}
		if first.id != "s99" {
			t.Fatalf("an entry of %s changes while s99 is filling", first.id)
		}
		if got := send("fill", 1100*ms, true); got != second.id {
			t.Errorf("mid-flow arrival during the fill went to %s, want %s", got, second.id)
		}
		return
	}
	t.Error("no entry changes during the fill")
}
