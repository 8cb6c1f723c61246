package balancer

import (
	"fmt"
	"testing"
	"time"
)

// All nodes must send requests with the same client key to the same server, whatever their seeds: to the first hop of
// the key's entry, unless that server is overloaded.
func TestPlacement_SameKey_GetsSameServer(t *testing.T) {
	b := newWarmNode(t, testSettings(), 12)
	other := testSettings()
	other.Seed, other.NodeIndex = 7, 2
	c := newWarmNode(t, other, 12)
	for i := range 50 {
		a := Arrival{ID: RequestID(fmt.Sprint(i)), Key: fmt.Sprint("key", i), TimeLeft: time.Second}
		x, y := sends(b.Handle(0, a)), sends(c.Handle(0, a))
		if len(x) != 1 || len(y) != 1 {
			t.Fatal("the request was not sent")
		}
		first := b.table.hops(firstEntryOf(b, &request{Arrival: a}))[1]
		overloaded := b.isOverloaded(first, 1) || first.connections >= minOverloadConnections
		if !overloaded && x[0].Server != first.id {
			t.Errorf("key %d: first hop is %s, sent to %s", i, first.id, x[0].Server)
		}
		b.Handle(0, AttemptEnded{ID: a.ID, Outcome: Served, Final: true})
		c.Handle(0, AttemptEnded{ID: a.ID, Outcome: Served, Final: true})
		if x[0].Server != y[0].Server {
			t.Errorf("key %d: %s at one node, %s at another", i, x[0].Server, y[0].Server)
		}
	}
}

// A group costs load on every server that has connections of it. If the group's server is overloaded, a new connection
// goes to a server that already has connections of the group.
func TestPlacement_OverloadedServer_PrefersHolderOfGroup(t *testing.T) {
	b := newWarmNode(t, testSettings(), 8)
	home := b.table.first[firstEntryOf(b, &request{Arrival: Arrival{Group: "g"}})]
	var holder *server
	for _, s := range b.table.members {
		if s != home {
			holder = s
		}
	}
	for i := range 6 {
		b.handleInherited(Arrival{ID: RequestID(fmt.Sprint("h", i)), TimeLeft: time.Second}, home)
	}
	b.handleInherited(Arrival{ID: "held", Group: "g", TimeLeft: time.Second}, holder)
	for i, s := range b.table.members {
		if s != home && s != holder {
			b.handleInherited(Arrival{ID: RequestID(fmt.Sprint("x", i)), TimeLeft: time.Second}, s)
		}
	}
	b.updateTotals()
	if !b.isOverloaded(home, 1) {
		t.Fatal("the group's first hop is not overloaded")
	}
	out := sends(b.Handle(0, Arrival{ID: "r", Group: "g", Key: "k", TimeLeft: time.Second}))
	if len(out) != 1 || out[0].Server != holder.id {
		t.Errorf("sent to %v, want %s, which has a connection of the group", out, holder.id)
	}
}

// In an overloaded fleet, a group may use only the first maxGroupProbes servers from its entry, besides those that have
// connections of it. If these are at their limits, requests of the group are rejected.
func TestPlacement_OverloadedFleet_BoundsGroupProbes(t *testing.T) {
	b := newWarmNode(t, testSettings(), 8)
	b.now = time.Minute
	r := &request{Arrival: Arrival{Group: "g", Key: "k"}, load: 1}
	var near []*server
	for i := firstEntryOf(b, r); len(near) < maxGroupProbes+1; i++ {
		if s := b.table.first[i%len(b.table.first)]; len(near) == 0 || near[len(near)-1] != s && near[0] != s {
			near = append(near, s)
		}
	}
	for _, s := range b.table.members {
		s.loadLimit, s.limitedAt = 100, b.now
	}
	b.updateTotals()
	for i, s := range near[:maxGroupProbes] {
		if got := b.selectServer(r); got != s {
			t.Fatalf("selected server %d is %v, want %s", i, got, s.id)
		}
		s.load = 100 // at its limit
	}
	if got := b.selectServer(r); got != nil {
		t.Errorf("selected server %s, want none after maxGroupProbes servers", got.id)
	}
	near[maxGroupProbes].groups["g"] = 1
	if got := b.selectServer(r); got != near[maxGroupProbes] {
		t.Error("the server with a connection of the group was not selected")
	}
}

// At a node with a low sample, a group may use only lowSampleGroupProbes servers in an overloaded fleet.
func TestPlacement_LowSample_BoundsGroupProbesFurther(t *testing.T) {
	s := testSettings()
	s.NodeCount, s.Tenants = 80, []Tenant{{ConnectionQuota: 350}}
	b := newWarmNode(t, s, 10)
	b.now = time.Minute
	for i, s := range b.table.members {
		if s.connections, s.load = 1, 1; i < 4 {
			s.loadLimit, s.limitedAt = 0.1, b.now
		}
	}
	b.updateTotals()
	r := &request{Arrival: Arrival{Group: "g", Key: "k"}, load: 1}
	used := map[*server]bool{}
	for s := b.selectServer(r); s != nil && len(used) < 10; s = b.selectServer(r) {
		used[s] = true
		s.loadLimit, s.limitedAt, s.load = 0.1, b.now, 100
	}
	if len(used) > lowSampleGroupProbes || len(used) == 0 {
		t.Errorf("a group in an overloaded fleet uses %d servers, want 1 to %d", len(used), lowSampleGroupProbes)
	}
}

// A server that operators reinstated soon gets a request, even if no client hashes to it. It gets only one such
// request, and none if it drains again before that.
func TestOverride_ReinstatedServer_IsUsedSoon(t *testing.T) {
	s := testSettings()
	b, _ := nodeWithConnections(t, s, 4)
	override := func(now time.Duration, state ServerState) {
		b.Handle(now, ListEvent{Kind: ListOverride, Servers: []Server{{ID: "b", Weight: 1, State: state}}})
	}
	at := time.Minute
	on := map[ServerID]int{}
	key := func() string { // a key that hashes to server a
		for i := 0; ; i++ {
			r := &request{Arrival: Arrival{Key: fmt.Sprint("key", i)}}
			if b.table.first[firstEntryOf(b, r)] == b.servers["a"] {
				return r.Key
			}
		}
	}
	arrive := func(now time.Duration, id string) {
		t.Helper()
		for _, a := range sends(b.Handle(now, Arrival{ID: RequestID(id), Key: key(), TimeLeft: time.Second})) {
			on[a.Server]++
			b.Handle(now, AttemptEnded{ID: RequestID(id), Server: a.Server, Outcome: Errored, Final: true})
			b.servers[a.Server].ejectedUntil = 0
		}
	}
	override(at, Draining)
	override(at+time.Second, Live)
	if arrive(at+time.Second, "early"); on["a"] != 1 {
		t.Errorf("requests by server right after the reinstatement: %v, want a:1", on)
	}
	arrive(at+4*time.Second, "due")
	if arrive(at+5*time.Second, "after"); on["b"] != 1 || on["a"] != 2 {
		t.Errorf("requests by server after reinstateDelay: %v, want a:2 b:1", on)
	}
	override(at+6*time.Second, Live)
	override(at+7*time.Second, Draining)
	if arrive(at+10*time.Second, "drained again"); on["b"] != 1 || len(b.reinstated) > 0 {
		t.Errorf("requests by server after b drained again: %v, want b:1", on)
	}
}

// A client that was migrated off an overloaded server must get another server when it reconnects through another node.
// A node with a low sample cannot detect the overload, so it uses the Reconnect flag of the request.
func TestReconnect_LowSample_GetsAnotherServer(t *testing.T) {
	s := testSettings()
	s.NodeCount, s.Tenants = 80, []Tenant{{ConnectionQuota: 350}}
	n := newWarmNode(t, s, 40)
	on, same := map[*server]int{}, n.selectServer(&request{Arrival: Arrival{Group: "g", Key: "k", ID: "first"}, load: 1})
	for i := range 40 {
		r := &request{Arrival: Arrival{Group: "g", Key: "k", ID: RequestID(fmt.Sprint(i)), Reconnect: true}, load: 1}
		on[n.selectServer(r)]++
		r.Reconnect, r.MidFlow = false, true // a mid-flow arrival is placed by its key alone
		if n.selectServer(r) != same {
			t.Fatal("a mid-flow arrival is not sent to the server of its key")
		}
	}
	if len(on) < 3 || on[same] > 0 {
		t.Errorf("40 reconnects use %d servers, want at least 3; %d went to the old server, want none", len(on), on[same])
	}
}

// If crossing zones is costly, clients stay in their node's zone as far as its servers have capacity. Groups stay
// together, and all nodes of the zone make the same choice. Mid-flow arrivals reach the servers of their connections,
// even while these drain.
func TestPlacement_CrossZoneCost_KeepsClientsInZone(t *testing.T) {
	node := func(index int, crossZoneCost float64, inZone int) *Balancer { // a node in zone 0 with inZone of 20 servers there
		s := testSettings()
		s.Seed, s.NodeIndex, s.NodeCount, s.Zones, s.CrossZoneCost = uint64(index), index, 80, 2, crossZoneCost
		s.Tenants = []Tenant{{ConnectionQuota: 350}}
		entries := testFleet(20)
		for i := range entries {
			entries[i].Zone, entries[i].Weight = min(1, i/inZone), 1
		}
		b := New(s)
		b.Handle(0, ListEvent{Kind: ListCached, Revision: 1, Servers: entries})
		return b
	}
	for _, c := range []struct {
		crossZoneCost float64
		own           int     // number of servers in zone 0
		least, most   float64 // bounds of the fraction of the groups that stay in zone 0
	}{{0.1, 10, 1, 1}, {0.1, 16, 1, 1}, {0.1, 5, 0.5, 0.75}, {0.01, 10, 0.4, 0.6}} {
		x, y := node(1, c.crossZoneCost, c.own), node(2, c.crossZoneCost, c.own)
		in, r, s := 0, &request{load: 1}, (*server)(nil)
		for g := range 200 {
			r.Arrival = Arrival{Group: fmt.Sprint(g), Key: "k"}
			if s = x.selectServer(r); s.zone == 0 {
				in++
			}
			if other := y.selectServer(r); other.id != s.id {
				t.Fatalf("group %d is placed on %s by one node and on %s by another", g, s.id, other.id)
			}
		}
		y.Handle(time.Second, listDelta(Server{ID: s.id, State: Draining, Weight: 1}))
		r.MidFlow = true
		if to := y.selectServer(r); to == nil || to.id != s.id {
			t.Errorf("cost %g: a mid-flow arrival is not sent to its draining server", c.crossZoneCost)
		}
		if part := float64(in) / 200; part < c.least || part > c.most {
			t.Errorf("cost %g, %d of 20 servers in the zone: %.2f of the groups stay in the zone, want %g to %g", c.crossZoneCost, c.own, part, c.least, c.most)
		}
	}
}

// Requests without a key are spread over the fleet by their own ids.
func TestPlacement_NoKey_Spreads(t *testing.T) {
	b := newWarmNode(t, testSettings(), 8)
	requestsByServer := map[ServerID]int{}
	for i := range 200 {
		id := RequestID(fmt.Sprint("r", i))
		for _, s := range sends(b.Handle(0, Arrival{ID: id, TimeLeft: time.Second})) {
			requestsByServer[s.Server]++
		}
		b.Handle(0, Established{ID: id})
		b.Handle(0, AttemptEnded{ID: id, Outcome: Served, Final: true})
	}
	if len(requestsByServer) != 8 {
		t.Errorf("200 requests were spread over %d of 8 servers, want all", len(requestsByServer))
	}
}
