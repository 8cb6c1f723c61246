package balancer

import (
	"fmt"
	"testing"
	"time"
)

// A group larger than one server's part of a node's traffic has as many replicas as its part is worth, the same at
// nodes that know as much.
func TestReplicas_LargeGroup_MatchItsShare(t *testing.T) {
	a, b := newFleetNode(t, 0, 2, 40), newFleetNode(t, 1, 2, 40)
	for _, n := range []*Balancer{a, b} {
		n.counts.connections, n.counts.byGroup["big"], n.counts.byGroup["small"] = 99, 30, 1
	}
	on := map[string]map[ServerID]bool{"big": {}, "small": {}}
	for i := range 400 {
		for g := range on {
			r := &request{Arrival: Arrival{Group: g, Key: fmt.Sprint("k", i)}, load: 1}
			x, y := a.selectServer(r), b.selectServer(r)
			if x == nil || y == nil || x.id != y.id {
				t.Fatalf("%s of %s: %v at one node, %v at the other", r.Key, g, x, y)
			}
			on[g][x.id] = true
		}
	}
	want := 1 + int(0.3*40/overloadFactor)
	if n := len(on["big"]); n > want || n < want*3/4 || len(on["small"]) != 1 { // two places may be one server's
		t.Errorf("the large group is on %d servers, want %d, the small one on %d", len(on["big"]), want, len(on["small"]))
	}
}

// Eighty nodes with a connection or two each cannot tell that a group is a quarter of the traffic. Each group has
// the same few replicas, so that no server becomes a hot spot.
func TestReplicas_LowSample_AvoidHotSpots(t *testing.T) {
	const nodes, quota = 80, 350.0
	var all []*Balancer
	for i := range nodes {
		s := testSettings()
		s.Seed, s.NodeIndex, s.NodeCount, s.Tenants = uint64(i)+1, i, nodes, []Tenant{{ConnectionQuota: quota}}
		all = append(all, newWarmNode(t, s, 10))
	}
	hotSpots, worst := 0, 0
	for trial := range 20 {
		on, key := map[ServerID]int{}, 0
		for g, size := range []int{42, 42, 32, 28, 16, 16, 11} {
			for range size {
				key++
				r := &request{Arrival: Arrival{Group: fmt.Sprint(trial, "-", g), Key: fmt.Sprint(trial, "k", key)}, load: 1}
				n := all[key%nodes]
				n.counts.connections, n.counts.byGroup[r.Group] = 1, 1
				on[n.selectServer(r).id]++
				if key%20 == 0 && firstEntryOf(all[0], r) != firstEntryOf(n, r) {
					t.Fatal("nodes with different traffic disagree on a client's entry")
				}
				clear(n.counts.byGroup)
			}
		}
		for _, n := range on {
			worst = max(worst, n)
			if n > 187/10*5/2 {
				hotSpots++
			}
		}
	}
	if hotSpots > 15 { // of 200; 27 with one place each
		t.Errorf("%d servers have over two and a half even parts, the worst %d connections", hotSpots, worst)
	}
}

// When a zone is lost, groups go to their other replicas, of which there are two while over half of the fleet is
// gone, as each replica costs load.
func TestReplicas_LostZone_Shrink(t *testing.T) {
	s := testSettings()
	s.NodeCount, s.Tenants = 80, []Tenant{{ConnectionQuota: 350}}
	n := newWarmNode(t, s, 12)
	gone := func(id ServerID) bool { return id >= "s06" }
	count := func(tried bool) (replicas int) {
		for g := range 20 {
			on := map[ServerID]bool{}
			for k := range 20 {
				r := &request{Arrival: Arrival{Group: fmt.Sprint("g", g), Key: fmt.Sprint("k", k)}, load: 1}
				to := n.selectServer(r)
				for tried && gone(to.id) && len(r.attempts) < 3 { // refused: nobody is there
					r.attempts = append(r.attempts, attempt{server: to, notExecuted: true})
					to = n.selectServer(r)
				}
				on[to.id] = true
			}
			replicas += len(on)
		}
		return replicas
	}
	if got := count(true); got > 50 {
		t.Errorf("20 groups use %d replicas before the list changes", got)
	}
	var lost []Server
	for _, s := range testFleet(12) {
		if gone(s.ID) {
			s.State = Removed
			lost = append(lost, s)
		}
	}
	n.Handle(time.Second, ListEvent{Kind: ListDelta, Revision: 2, Servers: lost})
	if got := count(false); got > 20*2 {
		t.Errorf("20 groups use %d replicas after the list changed", got)
	}
	for i := range 5 * 3600 { // an hour: it was made smaller for good
		n.Handle(time.Second+time.Duration(i)*sweepInterval, Timer{Token: sweepToken})
	}
	if got := count(false); got <= 20*2 {
		t.Errorf("20 groups use %d replicas an hour later", got)
	}
	n.Handle(2*time.Hour, ListEvent{Kind: ListDelta, Revision: 3, Servers: testFleet(12)})
	if got := count(false); got < 20*2 {
		t.Errorf("20 groups use %d replicas when all servers are back", got)
	}
}
