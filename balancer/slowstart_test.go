package balancer

import (
	"fmt"
	"testing"
	"time"
)

// A server that has just started must not get more than its slow-start budget from a reconnect surge, here of 200
// requests per second.
func TestSlowStart_ReconnectSurge_KeepsBudget(t *testing.T) {
	b := newWarmNode(t, testSettings(), 5)
	b.rates.setups = 2 // connections per second on the five servers that have warmed up
	b.Handle(0, listDelta(Server{ID: "cold", Weight: 2, StartedAt: time.Nanosecond}))
	n := 0
	for i := range 400 {
		id := RequestID(fmt.Sprint(i))
		for _, s := range sends(b.Handle(time.Duration(i)*5*ms, Arrival{ID: id, Key: keyOf(i), TimeLeft: time.Second})) {
			if s.Server == "cold" {
				n++
			}
		}
	}
	// The limit is CollapseMultiple times the server's share of the rate, for 2 s, plus its first token.
	if n > 2 {
		t.Errorf("a starting server got %d connections of a surge in 2 s, want at most 2", n)
	}
}

// A later start time in the endpoint list means that the server has restarted, so it must be in slow start again.
func TestSlowStart_RestartedServer_StartsAgain(t *testing.T) {
	b := newWarmNode(t, testSettings(), 4)
	b.Handle(30*time.Second, ListEvent{Kind: ListDelta, Servers: []Server{{ID: "s01", Weight: 1, StartedAt: 29 * time.Second}}})
	if got := b.slowStartFactor(b.servers["s01"]); got > 0.35 {
		t.Errorf("slow start factor %.2f one second after the restart, want at most 0.35", got)
	}
}

// Nodes without much traffic use the budget that follows from the quotas, and together keep to it.
func TestSlowStart_NodesWithoutTraffic_SpendBudget(t *testing.T) {
	const nodes, servers, quota = 80, 10, 300.0
	var all []*Balancer
	for i := range nodes {
		s := testSettings()
		s.Seed, s.NodeIndex, s.NodeCount, s.Tenants = uint64(i)+1, i, nodes, []Tenant{{ConnectionQuota: quota}}
		n := newWarmNode(t, s, servers)
		n.Handle(time.Minute, listDelta(Server{ID: "s99", Weight: 4, StartedAt: time.Minute}))
		all = append(all, n)
	}
	settings := testSettings()
	windows := make([]float64, 4)
	for w := range windows {
		for i, n := range all { // every node has 20 arrivals in every window
			now := time.Minute + time.Duration(w)*settings.CollapseWindow + time.Duration(i)*ms
			for c := range 20 {
				id := RequestID(fmt.Sprint(w, "-", i, "-", c))
				for _, s := range sends(n.Handle(now, Arrival{ID: id, Key: string(id), TimeLeft: time.Second})) {
					if s.Server == "s99" {
						windows[w]++
					}
					n.Handle(now, AttemptEnded{ID: id, Outcome: Served, Final: true})
				}
			}
		}
	}
	for w, sent := range windows {
		factor := capacityFraction(settings, time.Duration(w)*settings.CollapseWindow)
		budget := settings.CollapseMultiple * factor * quota * 4 / all[0].fleet.weight * settings.CollapseWindow.Seconds()
		if sent < budget/8 || sent > budget {
			t.Errorf("window %d: %.0f connections with a budget of %.1f, want at least an eighth of it and at most all", w, sent, budget)
		}
	}
}

// When a server has more than half of its capacity, its budget grows with the capacity, and all nodes together keep to
// the budget.
func TestSlowStart_Warming_BudgetGrows(t *testing.T) {
	const nodes, servers, quota = 80, 10, 300.0
	settings := testSettings()
	var all []*Balancer
	for i := range nodes {
		s := testSettings()
		s.Seed, s.NodeIndex, s.NodeCount, s.Tenants = uint64(i)+1, i, nodes, []Tenant{{ConnectionQuota: quota}}
		all = append(all, newWarmNode(t, s, servers))
	}
	spent := func(since, from time.Duration) (n float64) {
		for w := range 3 {
			now := from + time.Duration(w)*settings.CollapseWindow
			for i, b := range all {
				for c := range 12 {
					id := RequestID(fmt.Sprint(now, "-", i, "-", c))
					for _, a := range sends(b.Handle(now, Arrival{ID: id, Key: string(id), TimeLeft: time.Second})) {
						if a.Server == "s99" {
							n++
						}
						b.Handle(now, AttemptEnded{ID: id, Outcome: Served, Final: true})
					}
				}
			}
		}
		return n
	}
	for _, b := range all {
		b.Handle(time.Minute, listDelta(Server{ID: "s99", Weight: 4, StartedAt: time.Minute}))
	}
	early := spent(time.Minute, time.Minute)
	late := spent(time.Minute, time.Minute+settings.SlowStartDuration-3*settings.CollapseWindow)
	// The limit is based on the connections per window that fill the server during its slow start.
	fills := quota * 4 / all[0].fleet.weight / settings.SlowStartDuration.Seconds() * settings.CollapseWindow.Seconds()
	if limit := 3 * settings.CollapseMultiple * fills * 2; late < early*3/2 || late > limit {
		t.Errorf("%.0f connections in three windows at the start, %.0f near the end of slow start; want 1.5 times as many, and at most %.0f", early, late, limit)
	}
}

// When all servers start at once and the settings have no quotas, all nodes together serve the fraction of the arrivals
// that the servers have capacity for, and no server gets more than its budget.
func TestSlowStart_AllServersWarmUp_ServeWithinCapacity(t *testing.T) {
	const nodes, servers, perSecond = 40, 10, 5
	settings := testSettings()
	var all []*Balancer
	for i := range nodes {
		s := testSettings()
		s.Seed, s.NodeIndex, s.NodeCount, s.Tenants = uint64(i)+1, i, nodes, nil
		b := New(s)
		list := testFleet(servers)
		for k := range list {
			list[k].StartedAt = time.Hour
		}
		b.Handle(time.Hour, ListEvent{Kind: ListSnapshot, Revision: 1, Servers: list})
		all = append(all, b)
	}
	sent, on := make([]float64, 12), map[ServerID][]time.Duration{}
	for step := range 12 * perSecond * 2 {
		now := time.Hour + time.Duration(step)*time.Second/perSecond/2
		for i, b := range all {
			if step%2 == 0 {
				b.Handle(now, Timer{Token: sweepToken})
				continue
			}
			id := RequestID(fmt.Sprint(step, "-", i))
			for _, a := range sends(b.Handle(now, Arrival{ID: id, Key: string(id), TimeLeft: time.Second})) {
				sent[(now-time.Hour)/time.Second]++
				on[a.Server] = append(on[a.Server], now)
				b.Handle(now, Established{ID: id, Server: a.Server, Took: ms})
			}
		}
	}
	for w := 2; w < 10; w++ {
		factor := capacityFraction(settings, time.Duration(w)*time.Second)
		if arrived := float64(nodes * perSecond); sent[w] < arrived*factor/2 || sent[w] > arrived*factor*1.7 {
			t.Errorf("second %d: %.0f of %.0f requests sent, want half to 1.7 times the slow start factor of %.2f",
				w, sent[w], arrived, factor)
		}
	}
	for id, times := range on { // the budget follows from the even share of the arrivals
		for k, from := range times {
			n := 0
			for _, at := range times[k:] {
				if at < from+settings.CollapseWindow {
					n++
				}
			}
			factor := capacityFraction(settings, from-time.Hour)
			limit := settings.CollapseMultiple*factor*nodes*perSecond/servers*settings.CollapseWindow.Seconds() + 4
			if float64(n) > limit {
				t.Fatalf("server %s: %d connections in the window that starts at %v, want at most %.0f", id, n, from-time.Hour, limit)
			}
		}
	}
}

// A cached list cannot show which servers have restarted since. All of them are in slow start until another list
// confirms their start times.
func TestSlowStart_CachedList_AssumesStartUntilConfirmed(t *testing.T) {
	s := testSettings()
	s.Tenants = []Tenant{{ConnectionQuota: 60}}
	b := New(s)
	old, confirmed := testFleet(4), testFleet(4)
	for i := range old {
		old[i].StartedAt, old[i].AssumedStart = time.Hour, true
	}
	b.Handle(time.Hour, ListEvent{Kind: ListCached, Revision: 1, Servers: old})
	place := func(from time.Duration, prefix string) (n int) {
		for i := range 60 {
			id := RequestID(fmt.Sprint(prefix, i))
			n += len(sends(b.Handle(from+time.Duration(i)*ms, Arrival{ID: id, Key: string(id), TimeLeft: time.Second})))
		}
		return n
	}
	if n := place(time.Hour, "a"); n == 0 || n > 30 {
		t.Errorf("%d of 60 requests sent to servers that may be in slow start, want 1 to 30", n)
	}
	b.Handle(time.Hour+time.Second, ListEvent{Kind: ListSnapshot, Revision: 1, Servers: confirmed})
	if n := place(time.Hour+time.Second, "b"); n < 55 {
		t.Errorf("%d of 60 requests sent to servers that a list confirmed, want at least 55", n)
	}
}

// Without a collapse window there is no budget, and starting servers get requests like any others.
func TestSlowStart_NoCollapseWindow_Serves(t *testing.T) {
	s := testSettings()
	s.CollapseWindow = 0
	n := newWarmNode(t, s, 1)
	n.Handle(time.Minute, ListEvent{Kind: ListSnapshot, Revision: 2, Servers: []Server{{ID: "s99", Weight: 1, StartedAt: time.Minute}}})
	if sent := sends(n.Handle(time.Minute, Arrival{ID: "a", Key: "k", TimeLeft: time.Second})); len(sent) != 1 {
		t.Errorf("sends to a starting server without a budget: %v, want 1", sent)
	}
}

// The budget of a starting server follows from its share of the quotas in the largest fleet so far, even if the fleet
// has shrunk since.
func TestSlowStart_ShrunkFleet_KeepsBudget(t *testing.T) {
	const nodes, quota = 16, 417.0
	settings, sent, part := testSettings(), 0, 0.0
	settings.SlowStartDuration, settings.CollapseWindow = 20*time.Second, 2*time.Second
	for i := range nodes {
		s := settings
		s.Seed, s.NodeIndex, s.NodeCount, s.Tenants = uint64(i)+1, i, nodes, []Tenant{{ConnectionQuota: quota}}
		n := newWarmNode(t, s, 10)
		part = quota * testFleet(1)[0].Weight / n.fleet.weight
		entries := testFleet(3)
		entries[0].StartedAt = time.Minute
		n.Handle(time.Minute, ListEvent{Kind: ListSnapshot, Revision: 2, Servers: entries})
		for c := range 60 {
			id := RequestID(fmt.Sprint(c))
			for _, to := range sends(n.Handle(time.Minute+time.Duration(c)*ms, Arrival{ID: id, Key: fmt.Sprint(i, id), TimeLeft: time.Second})) {
				if to.Server == entries[0].ID {
					sent++
				}
			}
		}
	}
	// Each node rounds its budget at random: the limit allows four standard deviations of the sum of 16 such roundings.
	limit := settings.CollapseMultiple*part*settings.CollapseWindow.Seconds()/settings.SlowStartDuration.Seconds() + 8
	if float64(sent) > limit || sent < 4 {
		t.Errorf("%d connections to a starting server in one window, want 4 to %.1f", sent, limit)
	}
}
