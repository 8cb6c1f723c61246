package balancer

import (
	"fmt"
	"testing"
	"time"
)

// Two nodes whose first lists differ by one server agree on nearly all entries that this server does not hold, so that
// mid-flow arrivals reach the servers of their connections.
func TestTable_SimilarLists_Agree(t *testing.T) {
	complete, shorter := newFleetNode(t, 0, 160, 60), New(testSettings())
	shorter.Handle(0, ListEvent{Kind: ListCached, Revision: 1, Servers: testFleet(60)[1:]})
	same, all := 0, 0
	for i, s := range complete.table.first {
		if s.id == "s00" {
			continue
		}
		if all++; shorter.table.first[i].id == s.id {
			same++
		}
	}
	if part := float64(same) / float64(all); part < 0.9 {
		t.Errorf("%.3f of the entries that the missing server does not hold agree, want at least 0.9", part)
	} else {
		t.Logf("%.3f of the entries agree", part)
	}
}

// A restarted node builds its table from the complete list, while its peers reached the same list by many changes.
// Where their tables differ, a rolling restart of nodes breaks mid-flow connections; docs/design.md quotes the figures.
func TestTable_RestartAfterChurn_Agrees(t *testing.T) {
	agree := func(from, to int) float64 {
		old := newFleetNode(t, 0, 160, from)
		list := testFleet(to)
		for i := from; i < to; i++ {
			old.Handle(time.Duration(i)*5*time.Second, ListEvent{Kind: ListDelta, Revision: int64(i), Servers: list[i : i+1]})
		}
		for i := to; i < from; i++ {
			gone := Server{ID: testFleet(from)[i].ID, State: Removed}
			old.Handle(time.Duration(i)*5*time.Second, ListEvent{Kind: ListDelta, Revision: int64(i), Servers: []Server{gone}})
		}
		fresh, same := newFleetNode(t, 1, 160, to), 0
		const keys = 4000
		for i := range keys {
			r := &request{Arrival: Arrival{Key: fmt.Sprint("k", i)}}
			if old.table.first[firstEntryOf(old, r)].id == fresh.table.first[firstEntryOf(fresh, r)].id {
				same++
			}
		}
		return float64(same) / keys
	}
	for _, c := range []struct {
		from, to int
		least    float64
	}{{60, 61, 0.9}, {60, 72, 0.6}, {60, 120, 0.1}, {60, 48, 0.5}} {
		if got := agree(c.from, c.to); got < c.least {
			t.Errorf("from %d to %d servers: %.3f of the keys agree, want at least %.2f", c.from, c.to, got, c.least)
		} else {
			t.Logf("from %d to %d servers: %.3f of the keys agree", c.from, c.to, got)
		}
	}
}

// A node whose first list is empty builds the same table from its next list as a node that starts with that list.
func TestTable_ListAfterEmptyList_BuildsSameTable(t *testing.T) {
	b := newWarmNode(t, testSettings(), 0)
	b.Handle(time.Second, ListEvent{Kind: ListSnapshot, Revision: 2, Servers: testFleet(4)})
	same := newWarmNode(t, testSettings(), 4)
	for i, s := range b.table.first {
		if s == nil || s.id != same.table.first[i].id {
			t.Fatalf("entry %d differs from that of a node that started with the list", i)
		}
	}
}

// Nodes that got the same list changes have the same table, whatever other events they got. A change moves only the
// entries of the servers in it.
func TestTable_SameChanges_StayEqualAndRemapLittle(t *testing.T) {
	other := testSettings()
	other.Seed, other.NodeIndex = 99, 1
	a, b := newWarmNode(t, testSettings(), 12), newWarmNode(t, other, 12)
	b.Handle(0, Arrival{ID: "x", Key: "k", TimeLeft: time.Second})
	changes := []Server{{ID: "s03", State: Draining}, {ID: "s05", State: Removed}, {ID: "new", Weight: 2},
		{ID: "s03", State: Removed}, {ID: "s07", State: Draining}, {ID: "s05", Weight: 3}}
	for i, c := range changes {
		before := append([]*server(nil), a.table.first...)
		at := time.Duration(i+1) * 5 * time.Second
		for _, n := range []*Balancer{a, b} {
			n.Handle(at, Timer{Token: sweepToken})
			n.Handle(at, ListEvent{Kind: ListDelta, Revision: int64(i + 2), Servers: []Server{c}})
		}
		if render(a.table.first) != render(b.table.first) || render(a.table.second) != render(b.table.second) {
			t.Fatalf("tables differ after change %d", i)
		}
		for j, was := range before {
			now := a.table.first[j]
			if was != now && was.id != c.ID && now.id != c.ID {
				t.Fatalf("change %d moved an entry of %s to %s, but is a change of neither", i, was.id, now.id)
			}
		}
	}
}
