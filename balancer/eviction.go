package balancer

import (
	"cmp"
	"slices"
	"time"
)

// drainGrace is how long a draining server still gets mid-flow arrivals. The rest of the DrainGrace setting covers a
// scheduling delay and the time until a packet has left the node.
func (b *Balancer) drainGrace() time.Duration {
	return max(min(b.settings.DrainGrace*9/10, b.settings.DrainGrace-MaxSchedulingDelay), 0)
}

// evictConnections migrates established connections during the graceful shutdown of this node. It spreads the
// migrations evenly over the time until the deadline and begins with the connections of least value.
func (b *Balancer) evictConnections() {
	open := b.connectionsByValue(nil)
	steps := int(max((b.drain.Deadline-b.now)/sweepInterval, 1))
	share := (len(open) + steps - 1) / steps
	for _, req := range open[:share] {
		b.emit(Migrate{req.ID})
		b.finish(req)
	}
}

// shedLoad migrates connections off a server, those of least value first, until its load has fallen by excess. Whether
// the last of them migrates is random, so that if many nodes have one connection each on the server, some of the nodes
// migrate theirs.
func (b *Balancer) shedLoad(srv *server, excess float64) {
	for _, req := range b.connectionsByValue(srv) {
		if excess < req.load*b.rng.Float64() {
			return
		}
		excess -= req.load
		b.emit(Migrate{req.ID})
		b.finish(req)
	}
}

// connectionsByValue returns the established connections of a server, or of all servers if srv is nil, in ascending
// order of their priority weight per load.
func (b *Balancer) connectionsByValue(srv *server) []*request {
	var open []*request
	for _, req := range b.requests {
		if req.establishedOn != nil && (srv == nil || req.establishedOn == srv) && !req.answered {
			open = append(open, req)
		}
	}
	cost := func(req *request) float64 {
		groupShare := b.loads.groupCost / float64(req.establishedOn.groups[req.Group])
		return (req.load + groupShare) / max(b.settings.Classes[req.Class].PriorityWeight, 1e-9)
	}
	slices.SortFunc(open, func(x, y *request) int {
		return cmp.Or(cmp.Compare(cost(y), cost(x)), cmp.Compare(x.ID, y.ID))
	})
	return open
}
