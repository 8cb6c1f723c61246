package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// reconnectSurge is a simulation in which a fraction of all clients reconnects at once, faster than the backend of all
// connection setups can serve them.
type reconnectSurge struct {
	nodes           int
	rate            float64 // new clients per second, over all nodes
	backendCapacity float64 // setups per second of the backend, as a multiple of rate
	resetFraction   float64 // fraction of the connections that is reset
	restart         bool    // seven in ten nodes restart at the same moment
	early           bool    // the surge is 6 s after the start; in the first 3 s all clients connect at no cost
}

// simulate returns the served fraction of the client time (see clientTime) from the start of the simulation until 30 s
// after the surge.
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

// A reconnect surge overloads the backend of all connection setups, of which each node observes a few per second at
// most. The overload must end soon, whatever the size of the fleet, its uptime and the capacity of the backend.
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
					t.Errorf("seed %d: %.3f of the client time is served, want at least %g", seed+1, got, c.least)
				} else {
					t.Logf("seed %d: %.3f of the client time is served", seed+1, got)
				}
			}
		})
	}
}

// rollingRestart is a simulation in which a rollout on the servers resets a fraction of the connections every 1.3 s,
// while all nodes restart, one tenth at a time.
type rollingRestart struct {
	nodes           int
	rate            float64 // new clients per second, over all nodes
	backendCapacity float64 // setups per second of the backend, as a multiple of rate
	firstFraction   float64 // fraction of the connections that is reset when the rollout begins
	stepFraction    float64 // fraction that is reset at each later step
	deadlines       []time.Duration
}

// simulate returns the served fraction of the client time from the start of the simulation until 30 s after the rollout
// begins and, by class, the fraction of the clients that got a connection during the rollout.
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

// restart replaces every n-th node, after the node has answered its queued requests.
func (sim *overloadSim) restart(seed uint64, first, n int) {
	for i := first; i < len(sim.fleet); i += n {
		old := sim.fleet[i]
		quota := old.settings.Tenants[0].ConnectionQuota
		sim.handle(i, old, Drain{Active: true, Deadline: sim.now, AdmissionCutoff: sim.now, KeepConnections: true})
		sim.fleet[i] = sim.startNode(seed+1, i, len(sim.fleet), quota)
	}
}

// While the backend of all connection setups is overloaded, every class must be served. If nodes that have just
// started, or nodes that pace, sent too many setups together, only classes with long deadlines would succeed.
func TestPacing_RollingRestart_ServesEveryClass(t *testing.T) {
	for _, c := range []struct {
		rollingRestart
		least float64 // served fraction of the client time of all classes
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
				t.Logf("seed %d: %.3f of the client time is served; clients that succeeded, by class: %.3f", seed+1, served, established)
				if slices.Min(established) < slices.Max(established)/2 {
					t.Errorf("seed %d: clients that succeeded, by class: %.3f; the lowest is below half of the highest", seed+1, established)
				}
				if served < c.least {
					t.Errorf("seed %d: %.3f of the client time is served, want at least %g", seed+1, served, c.least)
				}
			}
		})
	}
}
