package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// playSlowStart plays a fleet of nodes to which one cold host is added. worst is the most that all of them sent it in any
// window beyond what the settings allow then and two calls, in roots of what they allow; got is what was sent there
// over the host's part of all that came. rate is what comes to each node, a second, and grows at once by burst
// after three seconds. The nodes' settings have plant times the quotas that the budget is reckoned from.
func playSlowStart(nodes, hosts int, seed uint64, rate, burst, plant float64) (worst, got float64) {
	quota := 60 * float64(hosts)
	s := testSettings()
	s.Seed, s.NodeCount, s.PollList = seed, nodes, false
	s.Classes = s.Classes[:1]
	s.Tenants = []Tenant{{ConnectionQuota: quota * plant}}
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
	told := false
	var calls []time.Duration
	budget := func(now time.Duration) float64 {
		share := s.SlowStartFraction + (1-s.SlowStartFraction)*float64(now-at)/float64(s.SlowStartDuration)
		return s.CollapseMultiple * quota / float64(hosts) * max(1, 2*share) * s.CollapseWindow.Seconds() / s.SlowStartDuration.Seconds()
	}
	n, came := 0, 0
	for now := time.Hour; now < at+s.SlowStartDuration; now += 10 * ms {
		if !told && now >= at {
			told = true
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
			for left := r * 0.01; rng.Float64() < left; left-- {
				if n++; told {
					came++
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
		if told {
			worst = max(worst, (float64(in)-2-budget(now))/math.Sqrt(budget(now)))
		}
	}
	return worst, float64(len(calls)) / (float64(came) / float64(hosts))
}

// The shares of all nodes add up to no more than a cold host bears, however many they are and however thin what
// comes to each; and where what comes to them is less than that, most of it is not kept from the host.
func TestSlowStart_WholeFleet_KeepsBudget(t *testing.T) {
	for _, c := range []struct {
		nodes, hosts       int
		rate, burst, least float64 // least is the part of what comes that the host must get; 0 where the budget is less
	}{
		{5, 4, 2, 1, 0.5}, {5, 4, 40, 1, 0}, {20, 4, 0.5, 1, 0.5}, {20, 4, 1, 10, 0}, {30, 4, 0.5, 1, 0.5}, {30, 4, 1, 10, 0},
		{300, 60, 0.3, 1, 0.5}, {300, 4, 0.1, 1, 0}, {300, 4, 0.1, 20, 0}, {300, 60, 0.3, 20, 0},
	} {
		for seed := range uint64(4) {
			worst, got := playSlowStart(c.nodes, c.hosts, seed, c.rate, c.burst, 1)
			t.Logf("%d nodes, %d hosts, %g a second each, then %g times, seed %d: %.2f roots over, %.2f of its part",
				c.nodes, c.hosts, c.rate, c.burst, seed, worst, got)
			if worst > 2 || got < c.least {
				t.Error("the one before is out of its bounds")
			}
		}
	}
	if worst, _ := playSlowStart(30, 4, 1, 10, 1, 4); worst <= 2 {
		t.Errorf("shares four times too large are not seen: %.2f roots over", worst)
	}
}

// A budget binds in every window of its length, wherever that begins: what a node has left at the end of one of its
// own windows and what it has anew at the start of the next come together, and on a fleet of few nodes nobody evens
// that out.
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
		come := func(now time.Duration, requests int) {
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
		come(at+ms, 16) // each node's window begins
		sent = 0
		end := at + ms + s.CollapseWindow
		come(end-20*ms, 1600)
		before := sent
		come(end+20*ms, 1600)
		share := s.SlowStartFraction + (1-s.SlowStartFraction)*float64(end-at)/float64(s.SlowStartDuration)
		weight := 0.0
		for _, server := range servers {
			weight += server.Weight
		}
		part := s.Tenants[0].ConnectionQuota * servers[0].Weight / weight
		budget := s.CollapseMultiple * part * max(1, 2*share) * s.CollapseWindow.Seconds() / s.SlowStartDuration.Seconds()
		most := budget + 2*math.Sqrt(budget) + 2
		if budget < 30 {
			most = budget + 3*math.Sqrt(budget) + 3
		}
		t.Logf("%d nodes: %d and %d sent around the end of a window, %.0f allowed", nodes, before, sent-before, most)
		if float64(sent) > most || sent == 0 {
			t.Errorf("%d nodes send %d within 40 ms, %.0f are allowed in %v", nodes, sent, most, s.CollapseWindow)
		}
	}
}

// The budget of a cold server is one for all nodes together: 160 nodes, each with a part of the traffic, must
// not send it more connections in a window than the multiple of what its present share is worth.
func TestSlowStart_ManyNodes_KeepBudget(t *testing.T) {
	const nodes, servers = 160, 60
	var all []*Balancer
	for i := range nodes {
		n := newFleetNode(t, i, nodes, servers)
		n.rates.setups = 0.25 // as when the day has settled
		all = append(all, n)
	}
	cold := Server{ID: "s99", Weight: 2, StartedAt: time.Minute}
	for _, n := range all {
		n.Handle(time.Minute, ListEvent{Kind: ListDelta, Revision: 2, Servers: []Server{cold}})
	}
	set := testSettings()
	rate := 0.25 * nodes * cold.Weight / all[0].fleet.weight // what the fleet's traffic comes to for its weight
	var sent []time.Duration
	for step := range 1000 { // ten seconds, in which all clients come back at once and again
		now := time.Minute + time.Duration(step)*10*ms
		for i, n := range all {
			if (step+i)%50 != 0 {
				continue
			}
			id := RequestID(fmt.Sprint(step, "-", i))
			for _, s := range sends(n.Handle(now, Arrival{ID: id, Key: string(id), TimeLeft: time.Second})) {
				if s.Server == cold.ID {
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
		share := min(1, set.SlowStartFraction+(1-set.SlowStartFraction)*float64(from-time.Minute)/float64(set.SlowStartDuration))
		// Chance of 160 draws: three more than the mean would be.
		if most := set.CollapseMultiple*share*rate*set.CollapseWindow.Seconds() + 3; float64(in) > most {
			t.Fatalf("%d connections in the window from %v on, at most %.1f would hold", in, from-time.Minute, most)
		}
	}
}
