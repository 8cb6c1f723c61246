package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// slowStartRun is a simulation of a fleet of nodes to which one starting server is added.
type slowStartRun struct {
	nodes, servers int
	seed           uint64
	rate           float64 // arrivals per second at each node
	burst          float64 // factor on the rate from 3 s after the server's start
	quotaFactor    float64 // factor on the nodes' quotas; above 1, budgets are too large, and the test must detect that
}

// slowStartResult is the result of a slowStartRun.
type slowStartResult struct {
	worstExcess   float64 // excess of the sends in the worst window over budget+2, in square roots of the budget
	shareReceived float64 // sends to the server, as a fraction of its even share of the arrivals
}

// simulate runs the fleet until the slow start of the server ends.
func (p slowStartRun) simulate() slowStartResult {
	const begin = time.Hour
	startedAt := begin + 5*time.Second
	quota := 60 * float64(p.servers)
	s := testSettings()
	s.Seed = p.seed
	s.NodeCount = p.nodes
	s.PollList = false
	s.Classes = s.Classes[:1]
	s.Tenants = []Tenant{{ConnectionQuota: quota * p.quotaFactor}}
	fleet := &slowStartFleet{
		rng:     rand.New(rand.NewPCG(p.seed, 7)),
		servers: testFleet(p.servers),
	}
	for i := range p.nodes {
		s.NodeIndex = i
		node := New(s)
		node.Handle(begin, ListEvent{Kind: ListSnapshot, Revision: 1, Servers: fleet.servers[1:]})
		fleet.nodes = append(fleet.nodes, node)
	}
	fleet.servers[0].StartedAt = startedAt
	worstExcess := 0.0
	for now := begin; now < startedAt+s.SlowStartDuration; now += 10 * ms {
		rate := p.rate
		if now >= startedAt+3*time.Second {
			rate *= p.burst
		}
		fleet.step(now, rate)
		if fleet.listed {
			perServer := quota / float64(p.servers) * max(1, 2*capacityFraction(s, now-startedAt))
			budget := s.CollapseMultiple * perServer * s.CollapseWindow.Seconds() / s.SlowStartDuration.Seconds()
			sent := float64(fleet.sentSince(now - s.CollapseWindow))
			worstExcess = max(worstExcess, (sent-2-budget)/math.Sqrt(budget))
		}
	}
	evenShare := float64(fleet.arrivals) / float64(p.servers)
	return slowStartResult{worstExcess: worstExcess, shareReceived: float64(len(fleet.sendTimes)) / evenShare}
}

// slowStartFleet is the fleet of a slowStartRun. The first of its servers starts during the run.
type slowStartFleet struct {
	rng       *rand.Rand
	nodes     []*Balancer
	servers   []Server
	listed    bool // the starting server is in the endpoint list
	requests  int
	arrivals  int             // number of arrivals since the starting server was listed
	sendTimes []time.Duration // times of the sends to the starting server
}

// step simulates 10 ms of arrivals at all nodes.
func (f *slowStartFleet) step(now time.Duration, rate float64) {
	if !f.listed && now >= f.servers[0].StartedAt {
		f.listed = true
		for _, b := range f.nodes {
			b.Handle(now, listDelta(f.servers[0]))
		}
	}
	for i, b := range f.nodes {
		if int(now/(10*ms))%20 == i%20 {
			b.Handle(now, Timer{Token: sweepToken})
		}
		for expected := rate * 0.01; f.rng.Float64() < expected; expected-- {
			f.arrive(now, b)
		}
	}
}

// arrive simulates a client that arrives at a node and whose connection ends at once.
func (f *slowStartFleet) arrive(now time.Duration, b *Balancer) {
	f.requests++
	if f.listed {
		f.arrivals++
	}
	id := RequestID(fmt.Sprint("r", f.requests))
	for _, send := range sends(b.Handle(now, Arrival{ID: id, Key: string(id), TimeLeft: 2 * time.Second})) {
		if send.Server == f.servers[0].ID {
			f.sendTimes = append(f.sendTimes, now)
		}
		b.Handle(now, Established{ID: id, Server: send.Server, Took: ms})
		b.Handle(now, AttemptEnded{ID: id, Server: send.Server, Took: ms, Outcome: Served})
	}
}

// sentSince counts the sends to the starting server after the given time.
func (f *slowStartFleet) sentSince(start time.Duration) int {
	n := 0
	for i := len(f.sendTimes) - 1; i >= 0 && f.sendTimes[i] > start; i-- {
		n++
	}
	return n
}

// The budgets of all nodes add up to no more than a starting server can accept, however many nodes there are and
// however few arrivals each gets. If there are fewer arrivals than the budget allows, the server gets most of its share
// of them.
func TestSlowStart_WholeFleet_KeepsBudget(t *testing.T) {
	for _, c := range []struct {
		nodes, servers     int
		rate, burst, least float64 // least is the required fraction of the even share; 0 if the budget is smaller
	}{
		{5, 4, 2, 1, 0.5}, {5, 4, 40, 1, 0},
		{20, 4, 0.5, 1, 0.5}, {20, 4, 1, 10, 0},
		{30, 4, 0.5, 1, 0.5}, {30, 4, 1, 10, 0},
		{300, 60, 0.3, 1, 0.5}, {300, 4, 0.1, 1, 0},
		{300, 4, 0.1, 20, 0}, {300, 60, 0.3, 20, 0},
	} {
		for seed := range uint64(4) {
			run := slowStartRun{c.nodes, c.servers, seed, c.rate, c.burst, 1}
			result := run.simulate()
			t.Logf("%+v: %.2f square roots over the budget, %.2f of the even share", run, result.worstExcess, result.shareReceived)
			if result.worstExcess > 2 || result.shareReceived < c.least {
				t.Error("the run logged above: want at most 2 square roots over the budget and at least the required fraction of the even share")
			}
		}
	}
	oversized := slowStartRun{nodes: 30, servers: 4, seed: 1, rate: 1, burst: 10, quotaFactor: 4}
	if worstExcess := oversized.simulate().worstExcess; worstExcess <= 2 {
		t.Errorf("budgets that are four times too large are not detected: %.2f square roots over the budget", worstExcess)
	}
}

// The budget applies to every window of its length, including those that overlap two refill windows of a node.
func TestSlowStart_BurstsAroundWindowEnd_KeepBudget(t *testing.T) {
	for _, nodes := range []int{1, 2, 3, 8} {
		const serverCount = 4
		s := testSettings()
		s.NodeCount, s.PollList = nodes, false
		s.Classes = s.Classes[:1]
		s.Tenants = []Tenant{{ConnectionQuota: 240 * serverCount}}
		servers := testFleet(serverCount)
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
		arrive(at+ms, 16) // starts the refill window of each node
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
		t.Logf("%d nodes: %d and %d sends before and after the end of a refill window, %.0f allowed", nodes, before, sent-before, limit)
		if float64(sent) > limit || sent == 0 {
			t.Errorf("%d nodes: %d sends within 40 ms, want at least 1 and at most %.0f in %v", nodes, sent, limit, s.CollapseWindow)
		}
	}
}

// All nodes together keep to the slow-start budget of a server.
func TestSlowStart_ManyNodes_KeepBudget(t *testing.T) {
	const nodes, servers = 160, 60
	var all []*Balancer
	for i := range nodes {
		n := newFleetNode(t, i, nodes, servers)
		n.rates.setups = 0.25 // as after a period of steady traffic
		all = append(all, n)
	}
	starting := Server{ID: "s99", Weight: 2, StartedAt: time.Minute}
	for _, n := range all {
		n.Handle(time.Minute, listDelta(starting))
	}
	settings := testSettings()
	rate := 0.25 * nodes * starting.Weight / all[0].fleet.weight // the server's share of the fleet's traffic by weight
	var sent []time.Duration
	for step := range 1000 { // 10 s in which all clients reconnect again and again
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
			if at < from+settings.CollapseWindow {
				in++
			}
		}
		factor := capacityFraction(settings, from-time.Minute)
		// The limit allows 3 connections above the mean, because 160 nodes round their budgets at random.
		if limit := settings.CollapseMultiple*factor*rate*settings.CollapseWindow.Seconds() + 3; float64(in) > limit {
			t.Fatalf("%d connections in the window that starts at %v, want at most %.1f", in, from-time.Minute, limit)
		}
	}
}
