package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// tableOf lays out a table by hand, as the paper's examples do.
func tableOf(names string, layout []int) (*table, []*server) {
	t := &table{}
	var all []*server
	for _, n := range names {
		all = append(all, &server{id: ServerID(n), weight: 1, state: active})
	}
	t.holders = append(t.holders, all...)
	t.states.regroup(t.holders)
	for _, i := range layout {
		t.first, t.second = append(t.first, nil), append(t.second, all[i])
		t.assign(len(t.first)-1, all[i])
	}
	return t, all
}

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

func expect(t *testing.T, tab *table, first, second string) {
	t.Helper()
	if got := render(tab.first); got != first {
		t.Errorf("first  %s, want %s", got, first)
	}
	if got := render(tab.second); got != second {
		t.Errorf("second %s, want %s", got, second)
	}
}

var sevenThrice = []int{0, 0, 0, 1, 1, 1, 2, 2, 2, 3, 3, 3, 4, 4, 4, 5, 5, 5, 6, 6, 6}

// The paper's drain example: servers in sorted order in turn, as DESIGN has it.
func TestDrainGoesToTheOtherParityGroup(t *testing.T) {
	tab, s := tableOf("0123456", sevenThrice)
	tab.drain(s[4], 0)
	expect(t, tab, "000111222333135555666", "000111222333444555666")
	tab.drain(s[2], 0) // the same group: it may drain at the same time
	expect(t, tab, "000111135333135555666", "000111222333444555666")
	tab.remove(s[2])
	tab.remove(s[4])
	tab.syncSecondHops()
	expect(t, tab, "000111135333135555666", "000111135333135555666")
	if s[2].state != inactive || s[4].state != inactive || len(tab.holders) != 5 {
		t.Error("the drained servers still hold a state")
	}
}

func TestDrainOutsideTheGroupSpreadsOverAll(t *testing.T) {
	tab, s := tableOf("0123456", sevenThrice)
	tab.drain(s[4], 0)
	tab.drain(s[1], 0)
	expect(t, tab, "000023222333535555666", "000111222333444555666")
	for _, x := range tab.first {
		if x == s[1] || x == s[4] {
			t.Fatalf("%s still takes new connections", x.id)
		}
	}
}

// The paper's fill example under DESIGN's rule: the most frequent active server, ties by id.
func TestFillTakesTwoThirdsFromTheMostFrequent(t *testing.T) {
	tab, all := tableOf("0123456", []int{0, 0, 0, 1, 1, 1, 1, 3, 5, 3, 3, 3, 1, 3, 5, 5, 5, 5, 6, 6, 6})
	tab.remove(all[2])
	tab.remove(all[4])
	tab.syncSecondHops()
	x := &server{id: "4", weight: 1}
	tab.fill(x, 0)
	if n := fillCount(21, 5); n != 3 {
		t.Fatalf("fill count %d, want 3", n)
	}
	// 1, 3 and 5 hold five entries each: one of each moves to the second hop.
	expect(t, tab, "000411144333135555666", "000111135333135555666")
	hops := tab.hops(3)
	first, second := hops[1], hops[0]
	if first != x || second != all[1] {
		t.Error("an entry that is filled must name the old server as second hop")
	}
	tab.progress(time.Second, time.Second, time.Second, false)
	if second := tab.hops(3)[0]; x.state != active || second != nil {
		t.Error("the fill did not end with the grace")
	}
}

func TestDrainDuringAFillSpreadsAndLeavesNoEntry(t *testing.T) {
	tab, s := tableOf("0123", []int{0, 0, 1, 1, 2, 2, 3, 3})
	x := &server{id: "9", weight: 1}
	tab.fill(x, 0)
	tab.drain(s[0], 0)
	tab.drain(x, 0)
	for i, f := range tab.first {
		if f == nil || f == x || f == s[0] {
			t.Errorf("entry %d is held by a draining server", i)
		}
	}
}

func TestLastServerLeavesEmptyEntriesAndTheNextFillsThem(t *testing.T) {
	tab, s := tableOf("0", []int{0, 0, 0})
	tab.drain(s[0], 0)
	tab.remove(s[0])
	tab.syncSecondHops()
	expect(t, tab, "---", "---")
	tab.fill(&server{id: "7", weight: 1}, 0)
	expect(t, tab, "777", "777")
}

// Which entries a server holds is kept beside the table: whatever drains, fills, ends and comes back, a drain
// empties all of a server's, in their order, and a fill takes the first of the one that holds most.
func TestEntriesAreKnownWithoutASearch(t *testing.T) {
	for seed := range uint64(20) {
		b, now := started(t, testSettings(), 12), time.Duration(0)
		draw := rand.New(rand.NewPCG(seed, 1))
		for version := range int64(60) {
			now += time.Duration(draw.Int64N(int64(time.Second)))
			states := []ServerState{Live, Draining, Removed}
			var rows []Server
			for _, s := range fleetOf(16) {
				if draw.IntN(4) == 0 {
					s.State = states[draw.IntN(3)]
					rows = append(rows, s)
				}
			}
			b.Handle(now, ListEvent{Kind: ListDelta, Revision: version + 2, Servers: rows})
			held := map[*server][]int{}
			for i, s := range b.table.first {
				held[s] = append(held[s], i)
			}
			for _, s := range b.table.holders {
				if !slices.Equal(s.ownEntries(b.table.first), held[s]) || s.entryCount != len(held[s]) {
					t.Fatalf("seed %d, version %d: %s holds %d entries, known are %d, counted %d", seed, version, s.id, len(held[s]),
						len(s.ownEntries(b.table.first)), s.entryCount)
				}
				if len(held[s]) > 0 && s.firstEntry(b.table.first) != held[s][0] {
					t.Fatalf("seed %d, version %d: the lowest of %s is %d, not %d", seed, version, s.id, s.firstEntry(b.table.first), held[s][0])
				}
			}
			for i, s := range b.table.second {
				if s != nil && s.state == inactive {
					t.Fatalf("seed %d, version %d: second hop %d is %s, which is out", seed, version, i, s.id)
				}
			}
		}
	}
}

func fleetOf(n int) (out []Server) {
	for i := range n {
		out = append(out, Server{ID: ServerID(fmt.Sprintf("s%02d", i)), Weight: 1 + float64(i%3)})
	}
	return out
}

func TestBaseLayoutFollowsWeights(t *testing.T) {
	b := started(t, testSettings(), 12)
	held := map[ServerID]float64{}
	for _, s := range b.table.first {
		held[s.id]++
	}
	total := 0.0
	for _, s := range fleetOf(12) {
		total += s.Weight
	}
	for _, s := range fleetOf(12) {
		want := s.Weight / total * float64(len(b.table.first))
		if got := held[s.ID]; got < 0.8*want || got > 1.2*want {
			t.Errorf("%s holds %.0f entries, its weight is worth %.0f", s.ID, got, want)
		}
	}
}

// Nodes that are told the same changes hold the same table, whatever else they saw, and a change
// moves only the entries of the servers it names.
func TestTablesStayAlikeAndRemapLittle(t *testing.T) {
	other := testSettings()
	other.Seed, other.NodeIndex = 99, 1
	a, b := started(t, testSettings(), 12), started(t, other, 12)
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
				t.Fatalf("change %d moved an entry of %s to %s", i, was.id, now.id)
			}
		}
	}
}

// A server that drains gets nothing more a hold-up before the end of its grace, whatever the grace is.
func TestDrainGrace_CoversAHoldUp(t *testing.T) {
	for _, grace := range []time.Duration{100 * ms, 400 * ms, 2 * time.Second} {
		s := testSettings()
		s.DrainGrace = grace
		b := started(t, s, 4)
		drained := fleetOf(4)[0]
		drained.State = Draining
		b.Handle(time.Second, ListEvent{Kind: ListDelta, Revision: 2, Servers: []Server{drained}})
		b.Handle(time.Second+max(grace-MaxSchedulingDelay, 0), Timer{Token: sweepToken})
		if got := b.servers[drained.ID]; got != nil && got.state != inactive {
			t.Errorf("a grace of %v: it is in state %d, %v before the end", grace, got.state, MaxSchedulingDelay)
		}
	}
}
