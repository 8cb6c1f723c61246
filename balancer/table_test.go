package balancer

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// newTestTable returns a table with the given first-hop entries, as in the examples of the paper behind the design.
func newTestTable(names string, layout []int) (*table, []*server) {
	t := &table{}
	var all []*server
	for _, n := range names {
		all = append(all, &server{id: ServerID(n), weight: 1, state: active})
	}
	t.members = append(t.members, all...)
	t.states.regroup(t.members)
	for _, i := range layout {
		t.first, t.second = append(t.first, nil), append(t.second, all[i])
		t.assign(len(t.first)-1, all[i])
	}
	return t, all
}

// render returns a row of the table as the one-letter ids of its servers, with a dash for an entry without a server.
func render(row []*server) string {
	out := ""
	for _, s := range row {
		if s == nil {
			out += "-"
		} else {
			out += string(s.id)
		}
	}
	return out
}

// expectHops compares the first and the second hops of all entries with rows as render returns them.
func expectHops(t *testing.T, tab *table, first, second string) {
	t.Helper()
	if got := render(tab.first); got != first {
		t.Errorf("first  %s, want %s", got, first)
	}
	if got := render(tab.second); got != second {
		t.Errorf("second %s, want %s", got, second)
	}
}

var threeEntriesEach = []int{0, 0, 0, 1, 1, 1, 2, 2, 2, 3, 3, 3, 4, 4, 4, 5, 5, 5, 6, 6, 6}

// The drain example of the paper behind the design, except that the entries go to the other servers in turn, sorted by
// id, as docs/design.md specifies.
func TestTable_Drain_GoesToOtherParity(t *testing.T) {
	tab, s := newTestTable("0123456", threeEntriesEach)
	tab.drain(s[4], 0)
	expectHops(t, tab, "000111222333135555666", "000111222333444555666")
	tab.drain(s[2], 0) // the same parity, so it may drain at the same time
	expectHops(t, tab, "000111135333135555666", "000111222333444555666")
	tab.remove(s[2])
	tab.remove(s[4])
	tab.syncSecondHops()
	expectHops(t, tab, "000111135333135555666", "000111135333135555666")
	if s[2].state != inactive || s[4].state != inactive || len(tab.members) != 5 {
		t.Error("the removed servers are still in the table: want both inactive and 5 members")
	}
}

// If a server drains while one of the other parity is draining, the servers of neither parity may take over all of its
// entries. They must go in turn to all active servers, and no draining server may keep a first-hop entry.
func TestTable_DrainOfBothParities_SpreadsOverAll(t *testing.T) {
	tab, s := newTestTable("0123456", threeEntriesEach)
	tab.drain(s[4], 0)
	tab.drain(s[1], 0)
	expectHops(t, tab, "000023222333535555666", "000111222333444555666")
	for _, x := range tab.first {
		if x == s[1] || x == s[4] {
			t.Fatalf("draining server %s still holds a first-hop entry", x.id)
		}
	}
}

// The fill example of the paper behind the design, with the rule of docs/design.md: entries are taken from the active
// server that holds the most, by lowest id on a tie.
func TestTable_Fill_TakesEntriesFromLargestHolders(t *testing.T) {
	tab, all := newTestTable("0123456", []int{0, 0, 0, 1, 1, 1, 1, 3, 5, 3, 3, 3, 1, 3, 5, 5, 5, 5, 6, 6, 6})
	tab.remove(all[2])
	tab.remove(all[4])
	tab.syncSecondHops()
	x := &server{id: "4", weight: 1}
	tab.fill(x, 0)
	if n := fillCount(21, 5); n != 3 {
		t.Fatalf("fill count %d, want 3", n)
	}
	// Servers 1, 3 and 5 hold five entries each. Each loses one and becomes its second hop.
	expectHops(t, tab, "000411144333135555666", "000111135333135555666")
	hops := tab.hops(3)
	first, second := hops[1], hops[0]
	if first != x || second != all[1] {
		t.Error("hops of a filled entry: want the new server first and the previous one second")
	}
	tab.finishTransitions(time.Second, time.Second, time.Second, false)
	if second := tab.hops(3)[0]; x.state != active || second != nil {
		t.Error("the fill did not end after its time: want the new server active and no second hop")
	}
}

// A server may start to drain while it is filling and another server drains. Neither may keep a first-hop entry.
func TestTable_DrainDuringFill_LeavesNoEntry(t *testing.T) {
	tab, s := newTestTable("0123", []int{0, 0, 1, 1, 2, 2, 3, 3})
	x := &server{id: "9", weight: 1}
	tab.fill(x, 0)
	tab.drain(s[0], 0)
	tab.drain(x, 0)
	for i, f := range tab.first {
		if f == nil || f == x || f == s[0] {
			t.Errorf("entry %d is held by a draining server or by none, want an active server", i)
		}
	}
}

// After the only server has been drained and removed, no entry has a server. The next server must get all entries.
func TestTable_LastServerDrains_NextServerGetsAllEntries(t *testing.T) {
	tab, s := newTestTable("0", []int{0, 0, 0})
	tab.drain(s[0], 0)
	tab.remove(s[0])
	tab.syncSecondHops()
	expectHops(t, tab, "---", "---")
	tab.fill(&server{id: "7", weight: 1}, 0)
	expectHops(t, tab, "777", "777")
}

// Servers keep track of their entries without a search of the table. After any changes a drain moves all entries of a
// server in order, and a fill takes the lowest entry of the server that holds the most.
func TestTable_AnyChanges_ServersTrackOwnEntries(t *testing.T) {
	for seed := range uint64(20) {
		b, now := newWarmNode(t, testSettings(), 12), time.Duration(0)
		draw := rand.New(rand.NewPCG(seed, 1))
		for version := range int64(60) {
			now += time.Duration(draw.Int64N(int64(time.Second)))
			states := []ServerState{Live, Draining, Removed}
			var entries []Server
			for _, s := range testFleet(16) {
				if draw.IntN(4) == 0 {
					s.State = states[draw.IntN(3)]
					entries = append(entries, s)
				}
			}
			b.Handle(now, ListEvent{Kind: ListDelta, Revision: version + 2, Servers: entries})
			held := map[*server][]int{}
			for i, s := range b.table.first {
				held[s] = append(held[s], i)
			}
			for _, s := range b.table.members {
				if !slices.Equal(s.ownEntries(b.table.first), held[s]) || s.entryCount != len(held[s]) {
					t.Fatalf("seed %d, version %d: server %s holds %d entries; ownEntries has %d, entryCount is %d", seed, version, s.id, len(held[s]),
						len(s.ownEntries(b.table.first)), s.entryCount)
				}
				if len(held[s]) > 0 && s.firstEntry(b.table.first) != held[s][0] {
					t.Fatalf("seed %d, version %d: firstEntry of server %s is %d, want %d", seed, version, s.id, s.firstEntry(b.table.first), held[s][0])
				}
			}
			for i, s := range b.table.second {
				if s != nil && s.state == inactive {
					t.Fatalf("seed %d, version %d: second hop of entry %d is the removed server %s", seed, version, i, s.id)
				}
			}
		}
	}
}

// In a new table, each server must hold entries in proportion to its weight, or its load would not match its capacity.
func TestTable_Build_FollowsWeights(t *testing.T) {
	b := newWarmNode(t, testSettings(), 12)
	held := map[ServerID]float64{}
	for _, s := range b.table.first {
		held[s.id]++
	}
	total := 0.0
	for _, s := range testFleet(12) {
		total += s.Weight
	}
	for _, s := range testFleet(12) {
		want := s.Weight / total * float64(len(b.table.first))
		if got := held[s.ID]; got < 0.8*want || got > 1.2*want {
			t.Errorf("server %s holds %.0f entries, want %.0f according to its weight", s.ID, got, want)
		}
	}
}
