package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// After any sequence of changes, the lists match the states of all servers, and every entry of the table is held by an
// active or filling server.
func TestStateLists_AnyChanges_MatchTheServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tab, all := &table{}, []*server{}
		for i := range rapid.IntRange(1, 40).Draw(t, "servers") {
			all = append(all, &server{id: ServerID(fmt.Sprintf("s%02d", i)), hash: uint64(i) * 7919, weight: 1})
		}
		tab.build(all[:rapid.IntRange(1, len(all)).Draw(t, "at first")])
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			s := all[rapid.IntRange(0, len(all)-1).Draw(t, "server")]
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "change") {
			case 0:
				tab.drain(s, now)
			case 1:
				tab.fill(s, now)
			case 2:
				if s.state != inactive {
					tab.drain(s, now)
					tab.remove(s)
					tab.syncSecondHops()
				}
			default:
				tab.finishTransitions(now, 200*time.Millisecond, 400*time.Millisecond, false)
			}
			checkStateLists(t, tab)
		}
	})
}

// checkStateLists compares the lists and the entry counts with a scan of all servers and entries.
func checkStateLists(t *rapid.T, tab *table) {
	l := tab.states
	if got := tab.inState(active); !slices.Equal(l.active, got) {
		t.Fatalf("active servers: list has %d, want %d", len(l.active), len(got))
	}
	if got := len(tab.inState(filling)); l.filling != got {
		t.Fatalf("filling servers: count is %d, want %d", l.filling, got)
	}
	drains := [2]int{}
	for _, s := range tab.inState(draining) {
		drains[s.parity]++
	}
	if l.draining != drains {
		t.Fatalf("draining servers by parity: counts are %v, want %v", l.draining, drains)
	}
	for parity, group := range l.byParity {
		want := slices.DeleteFunc(tab.inState(active), func(s *server) bool { return s.parity != parity })
		if !slices.Equal(group, want) {
			t.Fatalf("active servers of parity %d: list has %d, want %d", parity, len(group), len(want))
		}
	}
	held := map[*server]int{}
	for _, s := range tab.first {
		if s != nil && s.state != active && s.state != filling {
			t.Fatalf("server %s in state %d holds an entry", s.id, s.state)
		}
		held[s]++
	}
	for _, s := range tab.members {
		if s.state != draining && s.entryCount != held[s] {
			t.Fatalf("server %s: entryCount is %d, want %d", s.id, s.entryCount, held[s])
		}
	}
}
