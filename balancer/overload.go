package balancer

import "time"

const (
	targetUtilization      = 0.88            // fraction of the estimated capacity to which a load limit is reduced
	priorityReserve        = 0.15            // fraction of a load limit reserved for requests of high relative value
	limitRecoveryDeadlines = 16              // time in which a load limit recovers, as a multiple of the longest deadline
	maxLatencyAge          = 2 * time.Second // age above which the previous latency report is ignored
)

// relativeValue returns a request's priority weight per load, relative to the class with the highest such ratio. The
// value is reduced for a tenant whose connections through this node exceed the node's share of the tenant's quota.
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

// exceedsLimit reports whether a server with addedLoad would exceed its load limit, as far as the limit has recovered.
func (b *Balancer) exceedsLimit(srv *server, req *request, addedLoad float64) bool {
	usable := 1 - priorityReserve*(1-b.relativeValue(req))
	recovered := srv.peakLoad * float64(b.now-srv.limitedAt) / float64(b.derived.limitRecovery)
	limit := srv.loadLimit + recovered
	return limit > 0 && b.loadOf(srv)+addedLoad > limit*usable
}

// recentlyLimited reports whether a server's load limit was reduced within the first quarter of its recovery time.
func (b *Balancer) recentlyLimited(srv *server) bool {
	return srv.loadLimit > 0 && b.now < srv.limitedAt+b.derived.limitRecovery/4
}

// observeLatency applies a latency report. The message latency of an overloaded server rises at a rate in proportion to
// the excess load and falls in proportion to the spare capacity, so its slope shows how far to reduce the limit.
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

// reduceLimit limits a server's load to a fraction of its present load and sheds the excess.
func (b *Balancer) reduceLimit(srv *server, fraction float64) {
	srv.peakLoad = max(b.loadOf(srv), srv.peakLoad*targetUtilization)
	srv.loadLimit = b.loadOf(srv) * fraction
	srv.limitedAt = b.now
	b.shedLoad(srv, b.loadOf(srv)-srv.loadLimit)
}

// recordReset counts an established connection that a server reset. A server that resets most of its connections was
// overloaded before late messages could show the overload. Its limit becomes about half of its load before the resets;
// otherwise all clients would reconnect to it at once.
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
