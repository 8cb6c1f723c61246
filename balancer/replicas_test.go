package balancer

import (
	"fmt"
	"testing"
	"time"
)

// A group that is larger than one server's share of a node's traffic has replicas in proportion to its share. Nodes
// with the same traffic use the same replicas.
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
				t.Fatalf("key %s of group %s: server %v at one node, %v at the other", r.Key, g, x, y)
			}
			on[g][x.id] = true
		}
	}
	want := 1 + int(0.3*40/overloadFactor)
	if n := len(on["big"]); n > want || n < want*3/4 || len(on["small"]) != 1 { // two replicas may be on one server
		t.Errorf("the large group is on %d servers, want %d; the small one is on %d, want 1", len(on["big"]), want, len(on["small"]))
	}
}

// Eighty nodes with one or two connections each cannot detect that a group makes up a quarter of the traffic. Each
// group has the same small number of replicas, so that no server becomes a hot spot.
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
	if hotSpots > 15 { // of 200; with one replica per group there are 27
		t.Errorf("%d servers have over 2.5 times their even share, want at most 15; the highest has %d connections", hotSpots, worst)
	}
}

// When half of the fleet fails, groups move to their other replicas. As long as these servers are missing, a group has
// only two replicas, because each replica costs load.
func TestReplicas_LostZone_Shrink(t *testing.T) {
	s := testSettings()
	s.NodeCount, s.Tenants = 80, []Tenant{{ConnectionQuota: 350}}
	n := newWarmNode(t, s, 12)
	lost := func(id ServerID) bool { return id >= "s06" }
	count := func(withRetries bool) (replicas int) {
		for g := range 20 {
			on := map[ServerID]bool{}
			for k := range 20 {
				r := &request{Arrival: Arrival{Group: fmt.Sprint("g", g), Key: fmt.Sprint("k", k)}, load: 1}
				to := n.selectServer(r)
				for withRetries && lost(to.id) && len(r.attempts) < 3 { // connection refused: the server is down
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
		t.Errorf("20 groups use %d replicas before the list changes, want at most 50", got)
	}
	var removals []Server
	for _, s := range testFleet(12) {
		if lost(s.ID) {
			s.State = Removed
			removals = append(removals, s)
		}
	}
	n.Handle(time.Second, ListEvent{Kind: ListDelta, Revision: 2, Servers: removals})
	if got := count(false); got > 20*2 {
		t.Errorf("20 groups use %d replicas after the list changed, want at most 40", got)
	}
	for i := range 5 * 3600 { // after an hour, the smaller fleet counts as permanent
		n.Handle(time.Second+time.Duration(i)*sweepInterval, Timer{Token: sweepToken})
	}
	if got := count(false); got <= 20*2 {
		t.Errorf("20 groups use %d replicas an hour later, want more than 40", got)
	}
	n.Handle(2*time.Hour, ListEvent{Kind: ListDelta, Revision: 3, Servers: testFleet(12)})
	if got := count(false); got < 20*2 {
		t.Errorf("20 groups use %d replicas after all servers came back, want at least 40", got)
	}
}
