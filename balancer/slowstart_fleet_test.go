package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// playSlowStart runs a fleet of nodes to which one starting server is added. worst is the highest number of sends
// to it in any window, beyond the budget of the settings and two calls, in roots of that budget; got is the part of
// its even share of the arrivals that it got. rate is what arrives at each node, a second, and is multiplied by
// burst after three seconds. quotaFactor multiplies the quotas in the nodes' settings, to check that the test sees
// too large a budget.
func playSlowStart(nodes, hosts int, seed uint64, rate, burst, quotaFactor float64) (worst, got float64) {
	quota := 60 * float64(hosts)
	s := testSettings()
	s.Seed, s.NodeCount, s.PollList = seed, nodes, false
	s.Classes = s.Classes[:1]
	s.Tenants = []Tenant{{ConnectionQuota: quota * quotaFactor}}
	rng := rand.New(rand.NewPCG(seed, 7))
	fleet := make([]*Balancer, nodes)
	servers := testFleet(hosts)
	for i := range fleet {
		s.NodeIndex = i
		fleet[i] = New(s)
		fleet[i].Handle(time.Hour, ListEvent{Kind: ListSnapshot, Revision: 1, Servers: servers[1:]})
	}
	at := time.Hour + 5*time.Second
	servers[0].StartedAt = at
	listed := false
	var calls []time.Duration
	budget := func(now time.Duration) float64 {
		factor := capacityFraction(s, now-at)
		perServer := quota / float64(hosts) * max(1, 2*factor)
		return s.CollapseMultiple * perServer * s.CollapseWindow.Seconds() / s.SlowStartDuration.Seconds()
	}
	n, arrivals := 0, 0
	for now := time.Hour; now < at+s.SlowStartDuration; now += 10 * ms {
		if !listed && now >= at {
			listed = true
			for _, b := range fleet {
				b.Handle(now, ListEvent{Kind: ListDelta, Revision: 2, Servers: servers[:1]})
			}
		}
		r := rate
		if now >= at+3*time.Second {
			r *= burst
		}
		for i, b := range fleet {
			if int(now/(10*ms))%20 == i%20 {
				b.Handle(now, Timer{Token: sweepToken})
			}
			for expected := r * 0.01; rng.Float64() < expected; expected-- {
				if n++; listed {
					arrivals++
				}
				id := RequestID(fmt.Sprint("r", n))
				for _, q := range sends(b.Handle(now, Arrival{ID: id, Key: string(id), Tenant: 0, TimeLeft: 2 * time.Second})) {
					if q.Server == servers[0].ID {
						calls = append(calls, now)
					}
					b.Handle(now, Established{ID: id, Server: q.Server, Took: ms})
					b.Handle(now, AttemptEnded{ID: id, Server: q.Server, Took: ms, Outcome: Served})
				}
			}
		}
		in := 0
		for j := len(calls) - 1; j >= 0 && calls[j] > now-s.CollapseWindow; j-- {
			in++
		}
		if listed {
			worst = max(worst, (float64(in)-2-budget(now))/math.Sqrt(budget(now)))
		}
	}
	return worst, float64(len(calls)) / (float64(arrivals) / float64(hosts))
}

// The budgets of all nodes add up to no more than a starting server bears, however many nodes there are and however
// little comes to each. Where less comes than that, the server gets most of its part.
func TestSlowStart_WholeFleet_KeepsBudget(t *testing.T) {
	for _, c := range []struct {
		nodes, hosts       int
		rate, burst, least float64 // least is the part of the arrivals that the server must get; 0 where the budget is less
	}{
		{5, 4, 2, 1, 0.5}, {5, 4, 40, 1, 0}, {20, 4, 0.5, 1, 0.5}, {20, 4, 1, 10, 0}, {30, 4, 0.5, 1, 0.5}, {30, 4, 1, 10, 0},
		{300, 60, 0.3, 1, 0.5}, {300, 4, 0.1, 1, 0}, {300, 4, 0.1, 20, 0}, {300, 60, 0.3, 20, 0},
	} {
		for seed := range uint64(4) {
			worst, got := playSlowStart(c.nodes, c.hosts, seed, c.rate, c.burst, 1)
			t.Logf("%d nodes, %d hosts, %g a second each, then %g times, seed %d: %.2f roots over the budget, %.2f of its part",
				c.nodes, c.hosts, c.rate, c.burst, seed, worst, got)
			if worst > 2 || got < c.least {
				t.Error("the run logged before is out of its bounds")
			}
		}
	}
	if worst, _ := playSlowStart(30, 4, 1, 10, 1, 4); worst <= 2 {
		t.Errorf("budgets four times too large are not detected: %.2f roots over", worst)
	}
}

// The budget binds in every window of its length, also in one that begins in the middle of two of a node's own
// windows.
func TestSlowStart_BurstsAroundAWindowsEnd_KeepTheBudget(t *testing.T) {
	for _, nodes := range []int{1, 2, 3, 8} {
		const hosts = 4
		s := testSettings()
		s.NodeCount, s.PollList = nodes, false
		s.Classes = s.Classes[:1]
		s.Tenants = []Tenant{{ConnectionQuota: 240 * hosts}}
		servers := testFleet(hosts)
		at := time.Hour + 5*time.Second
		fleet := make([]*Balancer, nodes)
		for i := range fleet {
			s.NodeIndex, s.Seed = i, uint64(i)
			fleet[i] = New(s)
			fleet[i].Handle(time.Hour, ListEvent{Kind: ListSnapshot, Revision: 1, Servers: servers[1:]})
			servers[0].StartedAt = at
			fleet[i].Handle(at, ListEvent{Kind: ListDelta, Revision: 2, Servers: servers[:1]})
		}
		n, sent := 0, 0
		arrive := func(now time.Duration, requests int) {
			for _, b := range fleet {
				for range requests / nodes {
					n++
					id := RequestID(fmt.Sprint("r", n))
					for _, q := range sends(b.Handle(now, Arrival{ID: id, Key: string(id), Tenant: 0, TimeLeft: 2 * time.Second})) {
						if q.Server == servers[0].ID {
							sent++
						}
						b.Handle(now, Established{ID: id, Server: q.Server, Took: ms})
						b.Handle(now, AttemptEnded{ID: id, Server: q.Server, Took: ms, Outcome: Served})
					}
				}
			}
		}
		arrive(at+ms, 16) // each node's window begins
		sent = 0
		end := at + ms + s.CollapseWindow
		arrive(end-20*ms, 1600)
		before := sent
		arrive(end+20*ms, 1600)
		factor := capacityFraction(s, end-at)
		weight := 0.0
		for _, server := range servers {
			weight += server.Weight
		}
		part := s.Tenants[0].ConnectionQuota * servers[0].Weight / weight
		budget := s.CollapseMultiple * part * max(1, 2*factor) * s.CollapseWindow.Seconds() / s.SlowStartDuration.Seconds()
		limit := budget + 2*math.Sqrt(budget) + 2
		if budget < 30 {
			limit = budget + 3*math.Sqrt(budget) + 3
		}
		t.Logf("%d nodes: %d and %d sent around the end of a window, %.0f allowed", nodes, before, sent-before, limit)
		if float64(sent) > limit || sent == 0 {
			t.Errorf("%d nodes send %d within 40 ms, %.0f are allowed in %v", nodes, sent, limit, s.CollapseWindow)
		}
	}
}

// The slow-start budget of a server is one for all nodes together.
func TestSlowStart_ManyNodes_KeepBudget(t *testing.T) {
	const nodes, servers = 160, 60
	var all []*Balancer
	for i := range nodes {
		n := newFleetNode(t, i, nodes, servers)
		n.rates.setups = 0.25 // as after a while of steady traffic
		all = append(all, n)
	}
	starting := Server{ID: "s99", Weight: 2, StartedAt: time.Minute}
	for _, n := range all {
		n.Handle(time.Minute, listDelta(starting))
	}
	set := testSettings()
	rate := 0.25 * nodes * starting.Weight / all[0].fleet.weight // what the fleet's traffic comes to for its weight
	var sent []time.Duration
	for step := range 1000 { // ten seconds, in which all clients reconnect again and again
		now := time.Minute + time.Duration(step)*10*ms
		for i, n := range all {
			if (step+i)%50 != 0 {
				continue
			}
			id := RequestID(fmt.Sprint(step, "-", i))
			for _, s := range sends(n.Handle(now, Arrival{ID: id, Key: string(id), TimeLeft: time.Second})) {
				if s.Server == starting.ID {
					sent = append(sent, now)
				}
				n.Handle(now, AttemptEnded{ID: id, Outcome: Served, Final: true})
			}
		}
	}
	for i, from := range sent {
		in := 0
		for _, at := range sent[i:] {
			if at < from+set.CollapseWindow {
				in++
			}
		}
		factor := capacityFraction(set, from-time.Minute)
		// Chance of 160 draws: three more than the mean would be.
		if limit := set.CollapseMultiple*factor*rate*set.CollapseWindow.Seconds() + 3; float64(in) > limit {
			t.Fatalf("%d connections in the window from %v on, want at most %.1f", in, from-time.Minute, limit)
		}
	}
}
