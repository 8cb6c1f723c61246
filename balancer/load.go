package balancer

import "cmp"

const (
	// A server is overloaded if it has at least minOverloadConnections connections and its load exceeds overloadFactor
	// times its share of the fleet's load. Both values are those of the design (docs/design.md).
	overloadFactor         = 1.5
	minOverloadConnections = 2

	overloadedFraction          = 0.5    // if more of the known weight was recently limited, the fleet is overloaded
	lowSampleOverloadedFraction = 1. / 3 // overloadedFraction at a node with a low sample

	loadSmoothing = 0.05 // weight of one load report in the mean loads
)

// fleetTotals holds sums over the servers that are not draining, as of the last sweep or list change.
type fleetTotals struct {
	load            float64 // load of the servers that are not ejected
	usableCapacity  float64 // present capacity of the servers that are not ejected
	weight          float64
	zoneWeight      float64 // weight of the servers in this node's zone
	maxWeight       float64 // largest value of weight so far; decays slowly
	overloaded      bool
	ignoreEjections bool // so many servers are ejected that they cannot all be outliers
	maxProbes       int  // number of servers on which a group may open its first connection in an overloaded fleet
}

// loadEstimates holds the mean load of a connection.
type loadEstimates struct {
	mean      float64   // 0 until the first load report
	byClass   []float64 // mean by class; 0 until the first load report
	groupCost float64   // load that a group adds to each server with connections of the group
}

// connectionCounts counts this node's established connections and attempts in flight.
type connectionCounts struct {
	connections int
	byGroup     map[string]int
	byTenant    []int // the last entry counts requests without a known tenant
}

// adjustCounts adds a request to the counts of its server and of the node if change is 1, or removes it if change is
// -1.
func (b *Balancer) adjustCounts(srv *server, req *request, change int) {
	srv.connections += change
	srv.load += float64(change) * req.load
	b.fleet.load += float64(change) * req.load
	b.counts.connections += change
	if srv.connections == 0 {
		srv.load = 0 // rounding errors must not accumulate
	}
	b.counts.byTenant[req.Tenant] += change
	adjustGroup(b.counts.byGroup, req.Group, change)
	adjustGroup(srv.groups, req.Group, change)
}

// adjustGroup changes a group's count and deletes a group without connections.
func adjustGroup(counts map[string]int, group string, change int) {
	counts[group] += change
	if counts[group] <= 0 {
		delete(counts, group)
	}
}

// updateLoad applies a load report. The first report sets the load of all connections.
func (b *Balancer) updateLoad(req *request, load float64) {
	if req == nil || req.establishedOn == nil || load <= 0 {
		return
	}
	if b.loads.mean == 0 {
		b.setInitialLoad(load)
	}
	req.establishedOn.load += load - req.load
	b.fleet.load += load - req.load
	req.load = load
	classMean := &b.loads.byClass[req.Class]
	*classMean = cmp.Or(*classMean, load)
	*classMean += loadSmoothing * (load - *classMean)
	b.loads.mean += loadSmoothing * (load - b.loads.mean)
	if req.Group != "" {
		b.loads.groupCost = b.loads.mean // an assumption, because the settings don't give the cost of a group
	}
}

// setInitialLoad sets the load of all connections to that of the first load report.
func (b *Balancer) setInitialLoad(load float64) {
	b.loads.mean = load
	for _, srv := range b.servers {
		srv.load = float64(srv.connections) * load
	}
	for _, req := range b.requests {
		req.load = load
	}
}

// updateTotals recomputes the totals of the fleet.
func (b *Balancer) updateTotals() {
	ejected, known, limited := 0.0, 0.0, 0.0
	totals := fleetTotals{maxProbes: maxGroupProbes}
	for _, srv := range b.table.members {
		if srv.state == draining {
			continue
		}
		totals.weight += srv.weight
		if srv.zone == b.settings.Zone {
			totals.zoneWeight += srv.weight
		}
		switch {
		case b.recentlyLimited(srv):
			limited += srv.weight
			known += srv.weight
		case srv.connections > 0:
			known += srv.weight
		}
		if b.isEjected(srv) {
			ejected += srv.weight
		} else {
			totals.load += b.loadOf(srv)
			totals.usableCapacity += b.capacityOf(srv)
		}
	}
	totals.maxWeight = max(b.fleet.maxWeight, totals.weight)
	totals.ignoreEjections = ejected > maxEjectedFraction*totals.weight
	totals.overloaded = limited > overloadedFraction*known
	if b.lowSample() { // this node has connections on few servers and detects an overload late
		totals.overloaded = limited > lowSampleOverloadedFraction*known
		totals.maxProbes = lowSampleGroupProbes
	}
	b.fleet = totals
}

// loadOf returns the load that this node's connections put on a server, including the cost of their groups.
func (b *Balancer) loadOf(srv *server) float64 {
	return srv.load + b.loads.groupCost*float64(len(srv.groups))
}

// capacityOf returns a server's present capacity: its weight, reduced during slow start.
func (b *Balancer) capacityOf(srv *server) float64 { return srv.weight * b.slowStartFactor(srv) }

// isOverloaded reports whether a server with addedLoad would exceed overloadFactor times its share of the fleet's load.
func (b *Balancer) isOverloaded(srv *server, addedLoad float64) bool {
	if srv.connections < minOverloadConnections {
		return false
	}
	capacity := b.capacityOf(srv)
	bound := overloadFactor * (b.fleet.load + addedLoad) * capacity / max(b.fleet.usableCapacity, capacity)
	return b.loadOf(srv)+addedLoad > bound
}
