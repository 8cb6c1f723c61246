package balancer

import "time"

const (
	targetUtilization      = 0.88 // fraction of a server's capacity at which a reduced limit aims
	priorityReserve        = 0.15 // fraction of a limit that is kept for requests of high relative value
	limitRecoveryDeadlines = 16   // longest deadlines in which a limit grows back
	maxLatencyAge          = 2 * time.Second
)

// relativeValue is a request's priority weight for the load it brings, in relation to the class where that is
// highest. A tenant over its quota, judged by this node's part of its connections, counts for less.
func (b *Balancer) relativeValue(req *request) float64 {
	best := 1e-12
	for i, class := range b.settings.Classes {
		best = max(best, class.PriorityWeight/b.expectedLoad(i))
	}
	value := b.settings.Classes[req.Class].PriorityWeight / b.expectedLoad(req.Class)
	quota := b.settings.Tenants[req.Tenant].ConnectionQuota / float64(max(b.settings.NodeCount, 1))
	if quota > 0 && float64(b.counts.byTenant[req.Tenant]) > quota {
		value *= b.settings.OverQuotaWeight
	}
	return value / best
}

// exceedsLimit reports whether a server, with more load added, is over its load limit as it has grown back since.
func (b *Balancer) exceedsLimit(srv *server, req *request, addedLoad float64) bool {
	usable := 1 - priorityReserve*(1-b.relativeValue(req))
	recovered := srv.peakLoad * float64(b.now-srv.limitedAt) / float64(b.derived.limitRecovery)
	limit := srv.loadLimit + recovered
	return limit > 0 && b.loadOf(srv)+addedLoad > limit*usable
}

// recentlyLimited reports whether a server's load limit is new.
func (b *Balancer) recentlyLimited(srv *server) bool {
	return srv.loadLimit > 0 && b.now < srv.limitedAt+b.derived.limitRecovery/4
}

// observeLatency takes in how long messages take at a server. That grows by the work asked beyond its capacity and
// falls by the spare capacity, so the slope says how far to reduce the limit.
func (b *Balancer) observeLatency(req *request, latency time.Duration) {
	if req == nil || req.establishedOn == nil {
		return
	}
	srv := req.establishedOn
	previous, span := srv.messageLatency, b.now-srv.latencyAt
	if span > maxLatencyAge || span <= 0 {
		previous, span = 0, time.Second
	}
	srv.messageLatency = latency
	srv.latencyAt = b.now
	slope := float64(latency-previous) / float64(span)
	fraction := targetUtilization / max(targetUtilization/2, 1+slope)
	objective := b.derived.minMessageObjective
	if latency > 3*objective/8 && fraction < 1 && objective > 0 {
		b.reduceLimit(srv, fraction)
	}
}

// reduceLimit limits a server to a fraction of its present load and sheds what is over that.
func (b *Balancer) reduceLimit(srv *server, fraction float64) {
	srv.peakLoad = max(b.loadOf(srv), srv.peakLoad*targetUtilization)
	srv.loadLimit = b.loadOf(srv) * fraction
	srv.limitedAt = b.now
	b.shedLoad(srv, b.loadOf(srv)-srv.loadLimit)
}

// recordReset notes that a server reset an open connection. One that resets most of what it has was overloaded before
// late messages could show it: half of its load is its limit, or all clients would come back at once.
func (b *Balancer) recordReset(srv *server) {
	if b.now > srv.lastResetAt+sweepInterval {
		srv.resets = 0
		srv.loadBeforeResets = b.loadOf(srv)
	}
	srv.resets++
	srv.lastResetAt = b.now
	if srv.resets >= srv.connections && (srv.resets >= minOverloadConnections || b.recentlyLimited(srv)) {
		srv.peakLoad = max(srv.loadBeforeResets, srv.peakLoad*targetUtilization)
		srv.loadLimit = srv.loadBeforeResets * targetUtilization / 2
		srv.limitedAt = b.now
		b.recordFailure(srv, 4*b.derived.minSetupObjective)
	}
}
