package balancer

import (
	"math"
	"slices"
)

// slowStartFactor returns the fraction of its capacity that a server has for certain, 1 when it has warmed up.
func (b *Balancer) slowStartFactor(srv *server) float64 {
	age := b.now - srv.startedAt
	if srv.startedAt <= 0 || age >= b.settings.SlowStartDuration {
		return 1
	}
	start := b.settings.SlowStartFraction
	return start + (1-start)*max(0, float64(age)/float64(b.settings.SlowStartDuration))
}

// hasSlowStartBudget reports whether this node's part of the budget of a server that warms up covers one more
// connection. The budget of a CollapseWindow is CollapseMultiple times what the server can take now.
func (b *Balancer) hasSlowStartBudget(srv *server) bool {
	factor := b.slowStartFactor(srv)
	if factor >= 1 || b.settings.CollapseWindow <= 0 { // without a window there is no budget to keep
		return true
	}
	if b.derived.connectionQuota <= 0 {
		b.refillByRate(srv, factor)
	} else if b.now >= srv.refilledAt+b.settings.CollapseWindow {
		b.refillByQuota(srv, factor)
	}
	return srv.tokens >= 1 && (srv.maxPerWindow == 0 || b.recentSends(srv) < srv.maxPerWindow)
}

// refillByRate refills the budget by what this node places or, where all servers warm up and nothing is placed, by
// what arrives. Tokens are saved up, as little may come to one node.
func (b *Balancer) refillByRate(srv *server, factor float64) {
	placed := b.settings.CollapseMultiple * b.rates.setups
	rate := factor * max(placed, b.rates.arrivalsLastSecond) * srv.weight / max(b.fleet.weight, srv.weight)
	burst := max(1, rate*b.settings.CollapseWindow.Seconds())
	srv.tokens = min(burst, srv.tokens+rate*(b.now-srv.refilledAt).Seconds())
	srv.refilledAt = b.now
}

// refillByQuota refills the budget for one window: no faster than fills the server over its warm-up, and more from
// half of that on. When it is full, the server has its part of the tenants' quotas, of the fleet at its largest. A
// budget under one connection is one in some windows, drawn by chance: saved up, those of many nodes would come
// together.
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

// recentSends counts the sends to a server within the last CollapseWindow. The budget binds in every window of that
// length, also in one that begins in the middle of two of this node's own.
func (b *Balancer) recentSends(srv *server) int {
	expired, _ := slices.BinarySearch(srv.recentSendTimes, b.now-b.settings.CollapseWindow+1)
	srv.recentSendTimes = slices.Delete(srv.recentSendTimes, 0, expired)
	return len(srv.recentSendTimes)
}

// recordSlowStartSend takes one connection out of a server's budget.
func (b *Balancer) recordSlowStartSend(srv *server) {
	srv.tokens--
	if srv.maxPerWindow > 0 {
		b.recentSends(srv) // drops the expired ones
		srv.recentSendTimes = append(srv.recentSendTimes, b.now)
	}
}
