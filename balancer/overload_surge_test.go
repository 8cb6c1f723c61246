package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// reconnectSurge is a run in which a part of all clients reconnects at once, faster than the backend of all set-ups
// can serve them.
type reconnectSurge struct {
	nodes           int
	rate            float64 // new clients a second, over all nodes
	backendCapacity float64 // of set-ups, as a multiple of that rate
	resetFraction   float64 // of the connections
	restart         bool    // seven in ten nodes restart at that moment
	early           bool    // 6 s after the start; in the first 3 s all clients reconnect at no cost
}

// simulate returns the part of the wanted client time that is served in the half minute from the surge on.
func (p reconnectSurge) simulate(seed uint64) float64 {
	sim := newOverloadSim(seed, []time.Duration{700 * ms, 900 * ms, time.Second, 1200 * ms})
	sim.setupCost = time.Duration(float64(time.Second) / (p.rate * p.backendCapacity))
	open := p.rate * sim.meanLifetime.Seconds()
	for i := range p.nodes {
		sim.fleet = append(sim.fleet, sim.startNode(seed, i, p.nodes, 1.5*open))
	}
	at := time.Minute
	sim.scheduleArrivals(p.rate)
	if p.early {
		at = 6 * time.Second
		for range int(open) {
			sim.schedule(sim.drawDuration(0, 3*time.Second), sim.addClient)
		}
	}
	sim.run(at)
	sim.accountedFrom = at
	for i := range sim.fleet {
		if p.restart && i%10 < 7 {
			sim.fleet[i] = sim.startNode(seed, i, p.nodes, 1.5*open)
		}
	}
	sim.resetConnections(p.resetFraction)
	sim.run(at + 30*time.Second)
	return sim.total().served()
}

// A reconnect surge overloads the backend of all set-ups, of which each node sees a few a second at most. The
// overload ends soon, whatever the size of the fleet, how long it has run and what the backend bears.
func TestOverload_ReconnectSurge_EndsSoon(t *testing.T) {
	for _, c := range []struct {
		reconnectSurge
		least float64
	}{
		{reconnectSurge{nodes: 300, rate: 85, backendCapacity: 6, resetFraction: 0.4}, 0.92},
		{reconnectSurge{nodes: 300, rate: 85, backendCapacity: 4, resetFraction: 0.2}, 0.92},
		{reconnectSurge{nodes: 300, rate: 85, backendCapacity: 6, resetFraction: 0.4, restart: true}, 0.92},
		{reconnectSurge{nodes: 300, rate: 85, backendCapacity: 8, resetFraction: 0.4, early: true}, 0.85},
		{reconnectSurge{nodes: 300, rate: 85, backendCapacity: 6, resetFraction: 0.7, early: true}, 0.62},
		{reconnectSurge{nodes: 300, rate: 300, backendCapacity: 4, resetFraction: 0.7}, 0.88},
		{reconnectSurge{nodes: 40, rate: 85, backendCapacity: 4, resetFraction: 0.4}, 0.94},
		{reconnectSurge{nodes: 5, rate: 85, backendCapacity: 6, resetFraction: 0.4, early: true}, 0.89},
	} {
		t.Run(fmt.Sprintf("%+v", c.reconnectSurge), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				if got := c.simulate(seed + 1); got < c.least {
					t.Errorf("seed %d: %.3f of the time is served, %g is wanted", seed+1, got, c.least)
				} else {
					t.Logf("seed %d: %.3f", seed+1, got)
				}
			}
		})
	}
}

// rollingRestart is a run in which a release of the servers resets a part of the connections every 1.3 s, while all
// nodes are restarted, a tenth at a time.
type rollingRestart struct {
	nodes           int
	rate            float64 // new clients a second, over all nodes
	backendCapacity float64 // of set-ups, as a multiple of that rate
	firstFraction   float64 // of the connections, reset as the release begins
	stepFraction    float64 // the same at each later step
	deadlines       []time.Duration
}

// simulate returns the part of the wanted client time that is served in the half minute from the release on, and by
// class the part of the clients that were established while it lasted.
func (p rollingRestart) simulate(seed uint64) (served float64, established []float64) {
	const (
		begin, length  = 10 * time.Second, 12 * time.Second
		steps, batches = 9, 10
	)
	sim := newOverloadSim(seed, p.deadlines)
	sim.setupCost = time.Duration(float64(time.Second) / (p.rate * p.backendCapacity))
	open := p.rate * sim.meanLifetime.Seconds()
	for i := range p.nodes {
		sim.fleet = append(sim.fleet, sim.startNode(seed, i, p.nodes, 1.5*open))
	}
	sim.scheduleArrivals(p.rate)
	for range int(open) {
		sim.schedule(sim.drawDuration(0, 3*time.Second), sim.addClient)
	}
	sim.schedule(begin, func() { sim.resetConnections(p.firstFraction) })
	for i := range steps {
		sim.schedule(begin+time.Duration(i+1)*length/steps, func() { sim.resetConnections(p.stepFraction) })
	}
	for batch := range batches {
		sim.schedule(begin+time.Duration(batch)*length/batches, func() { sim.restart(seed, batch, batches) })
	}
	sim.run(begin)
	sim.accountedFrom = begin
	for i := range sim.times {
		sim.times[i].attempted, sim.times[i].succeeded = 0, 0
	}
	sim.run(begin + length)
	for _, c := range sim.times {
		established = append(established, float64(c.succeeded)/float64(c.attempted))
	}
	sim.run(begin + 30*time.Second)
	return sim.total().served(), established
}

// restart replaces every n-th node, after it has answered its queued requests.
func (sim *overloadSim) restart(seed uint64, first, n int) {
	for i := first; i < len(sim.fleet); i += n {
		old := sim.fleet[i]
		quota := old.settings.Tenants[0].ConnectionQuota
		sim.handle(i, old, Drain{Active: true, Deadline: sim.now, AdmissionCutoff: sim.now, KeepConnections: true})
		sim.fleet[i] = sim.startNode(seed+1, i, len(sim.fleet), quota)
	}
}

// While the backend of all set-ups is overloaded, no class is left without service: neither nodes that have just
// started nor paced ones together send so much that only classes of long deadlines succeed.
func TestPacing_RollingRestart_ServesEveryClass(t *testing.T) {
	for _, c := range []struct {
		rollingRestart
		least float64 // of the wanted time, all classes together
	}{
		{rollingRestart{nodes: 300, rate: 40, backendCapacity: 6, firstFraction: 0.35, stepFraction: 0.05,
			deadlines: []time.Duration{700 * ms, 3 * time.Second, 4800 * ms}}, 0.85},
		{rollingRestart{nodes: 300, rate: 40, backendCapacity: 6, firstFraction: 0.3, stepFraction: 0.05,
			deadlines: []time.Duration{700 * ms, 6 * time.Second, 6 * time.Second}}, 0.9},
		{rollingRestart{nodes: 300, rate: 40, backendCapacity: 6, firstFraction: 0.1, stepFraction: 0.2,
			deadlines: []time.Duration{700 * ms, 3 * time.Second}}, 0.75},
		{rollingRestart{nodes: 300, rate: 40, backendCapacity: 5, firstFraction: 0.4, stepFraction: 0.08,
			deadlines: []time.Duration{700 * ms, 900 * ms, 1200 * ms}}, 0.65},
	} {
		t.Run(fmt.Sprintf("%+v", c.rollingRestart), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				served, established := c.simulate(seed + 1)
				t.Logf("seed %d: %.3f of the time is served, of the classes' clients %.3f succeeded", seed+1, served, established)
				if slices.Min(established) < slices.Max(established)/2 {
					t.Errorf("seed %d: of the classes' clients %.3f succeeded, one class less than half of the best", seed+1, established)
				}
				if served < c.least {
					t.Errorf("seed %d: %.3f of the time is served, %g is wanted", seed+1, served, c.least)
				}
			}
		})
	}
}
