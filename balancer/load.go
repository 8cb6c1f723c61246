package balancer

import "cmp"

const (
	// As in the design: a server is skipped from this part of the mean load and this many connections on.
	overloadFactor         = 1.5
	minOverloadConnections = 2

	overloadedFraction          = 0.5    // share of the known weight with new limits, from which the fleet is overloaded
	lowSampleOverloadedFraction = 1. / 3 // the same at a node with a low sample

	loadSmoothing = 0.05 // weight of one load report in the mean loads
)

// fleetTotals are sums over the servers that do not drain, as of the last sweep or list.
type fleetTotals struct {
	load            float64 // on servers that are not ejected
	usableCapacity  float64 // of servers that are not ejected
	weight          float64
	zoneWeight      float64 // in this node's zone
	maxWeight       float64 // the largest weight, which fades slowly
	overloaded      bool
	ignoreEjections bool // more are ejected than can be outliers
	maxProbes       int  // servers that a group may newly use in an overloaded fleet
}

// loadEstimates are mean loads of a connection.
type loadEstimates struct {
	mean      float64   // 0 until the first report
	byClass   []float64 // by class; 0 until the first report
	groupCost float64   // of a group at each server that has a connection of it
}

// connectionCounts count this node's open connections and attempts in flight.
type connectionCounts struct {
	connections int
	byGroup     map[string]int
	byTenant    []int // the last one is for requests of none
}

// adjustCounts adds a request to its server, or removes it with change = -1.
func (b *Balancer) adjustCounts(srv *server, req *request, change int) {
	srv.connections += change
	srv.load += float64(change) * req.load
	b.fleet.load += float64(change) * req.load
	b.counts.connections += change
	if srv.connections == 0 {
		srv.load = 0 // no drift from rounding
	}
	b.counts.byTenant[req.Tenant] += change
	adjustGroup(b.counts.byGroup, req.Group, change)
	adjustGroup(srv.groups, req.Group, change)
}

// adjustGroup changes a group's count and drops a group without connections.
func adjustGroup(counts map[string]int, group string, change int) {
	counts[group] += change
	if counts[group] <= 0 {
		delete(counts, group)
	}
}

// updateLoad takes in a connection's reported load. The first report sets the load of all that have none.
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
		b.loads.groupCost = b.loads.mean // the settings say that a group has a cost, not which
	}
}

// setInitialLoad gives all connections the load of the first report.
func (b *Balancer) setInitialLoad(load float64) {
	b.loads.mean = load
	for _, srv := range b.servers {
		srv.load = float64(srv.connections) * load
	}
	for _, req := range b.requests {
		req.load = load
	}
}

// updateTotals sums up the fleet.
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
	if b.lowSample() { // it knows few servers, and late
		totals.overloaded = limited > lowSampleOverloadedFraction*known
		totals.maxProbes = lowSampleGroupProbes
	}
	b.fleet = totals
}

// loadOf is the load of this node on a server, with the cost of the groups there.
func (b *Balancer) loadOf(srv *server) float64 {
	return srv.load + b.loads.groupCost*float64(len(srv.groups))
}

// capacityOf is the part of a server's weight that it has now.
func (b *Balancer) capacityOf(srv *server) float64 { return srv.weight * b.slowStartFactor(srv) }

// isOverloaded reports whether a server, with more load added, is over its part of the fleet's load.
func (b *Balancer) isOverloaded(srv *server, addedLoad float64) bool {
	if srv.connections < minOverloadConnections {
		return false
	}
	capacity := b.capacityOf(srv)
	bound := overloadFactor * (b.fleet.load + addedLoad) * capacity / max(b.fleet.usableCapacity, capacity)
	return b.loadOf(srv)+addedLoad > bound
}
