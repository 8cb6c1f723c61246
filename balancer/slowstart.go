package balancer

import (
	"math"
	"slices"
)

// slowStartFactor returns the fraction of its capacity that a server is certain to have at the moment. The fraction
// rises linearly from SlowStartFraction to 1 during slow start.
func (b *Balancer) slowStartFactor(srv *server) float64 {
	age := b.now - srv.startedAt
	if srv.startedAt <= 0 || age >= b.settings.SlowStartDuration {
		return 1
	}
	start := b.settings.SlowStartFraction
	return start + (1-start)*max(0, float64(age)/float64(b.settings.SlowStartDuration))
}

// hasSlowStartBudget reports whether this node's share of a server's slow-start budget covers another connection. The
// budget for a CollapseWindow is CollapseMultiple times what the server can accept at the moment. A server that has
// warmed up needs no budget.
func (b *Balancer) hasSlowStartBudget(srv *server) bool {
	factor := b.slowStartFactor(srv)
	if factor >= 1 || b.settings.CollapseWindow <= 0 { // without a collapse window there is no budget
		return true
	}
	if b.derived.connectionQuota <= 0 {
		b.refillByRate(srv, factor)
	} else if b.now >= srv.refilledAt+b.settings.CollapseWindow {
		b.refillByQuota(srv, factor)
	}
	return srv.tokens >= 1 && (srv.maxPerWindow == 0 || b.recentSends(srv) < srv.maxPerWindow)
}

// refillByRate refills the budget according to this node's rate of setups or, if all servers are warming up and few
// requests can be sent, to its rate of arrivals. Unused tokens accumulate, because a node may get few arrivals.
func (b *Balancer) refillByRate(srv *server, factor float64) {
	placed := b.settings.CollapseMultiple * b.rates.setups
	rate := factor * max(placed, b.rates.arrivalsLastSecond) * srv.weight / max(b.fleet.weight, srv.weight)
	burst := max(1, rate*b.settings.CollapseWindow.Seconds())
	srv.tokens = min(burst, srv.tokens+rate*(b.now-srv.refilledAt).Seconds())
	srv.refilledAt = b.now
}

// refillByQuota refills the budget for one window. The budget is CollapseMultiple times the connections that, at an
// even rate over the slow start, fill the server to its share of the tenants' quotas in the largest fleet so far. When
// the server has more than half of its capacity, the budget grows with that capacity. A budget below one connection
// becomes one connection in randomly chosen windows; if it accumulated instead, many nodes would send at the same time.
func (b *Balancer) refillByQuota(srv *server, factor float64) {
	window := b.settings.CollapseWindow.Seconds()
	quotaShare := b.derived.connectionQuota * srv.weight / max(b.fleet.maxWeight, srv.weight) * max(1, 2*factor)
	budget := b.settings.CollapseMultiple * quotaShare * window / b.settings.SlowStartDuration.Seconds()
	arrivalRate := max(b.rates.setups, b.rates.arrivalsLastSecond, b.rates.arrivalsThisSecond)
	expected := arrivalRate * window * srv.weight / max(b.fleet.usableCapacity, srv.weight)
	rounding := b.rng.Float64()
	srv.tokens = math.Floor(budget/max(min(expected, 1), min(budget, 1)) + rounding)
	srv.refilledAt = b.now
	srv.maxPerWindow = 0
	if budget >= 1 {
		srv.maxPerWindow = int(budget + rounding)
	}
}

// recentSends counts the sends to a server within the last CollapseWindow. The budget applies to every window of that
// length, including those that overlap two of this node's refill windows.
func (b *Balancer) recentSends(srv *server) int {
	expired, _ := slices.BinarySearch(srv.recentSendTimes, b.now-b.settings.CollapseWindow+1)
	srv.recentSendTimes = slices.Delete(srv.recentSendTimes, 0, expired)
	return len(srv.recentSendTimes)
}

// recordSlowStartSend subtracts one connection from a server's slow-start budget.
func (b *Balancer) recordSlowStartSend(srv *server) {
	srv.tokens--
	if srv.maxPerWindow > 0 {
		b.recentSends(srv) // removes expired send times
		srv.recentSendTimes = append(srv.recentSendTimes, b.now)
	}
}
