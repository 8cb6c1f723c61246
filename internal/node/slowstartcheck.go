package node

import (
	"cmp"
	"slices"
	"time"

	"onyxstream/internal/invariant"
)

// maxSlowStartSends is the largest number of sends that are recorded for a host that is warming up.
const maxSlowStartSends = 4096

// checkSlowStart checks a send to a host that is warming up. It reports a rule violation if this node alone has sent
// more than the settings allow all nodes together.
func (n *Node) checkSlowStart(request string, host *hostRecord, at time.Time) {
	age := n.clockTime(at) - host.startedAt
	if host.startedAt <= 0 || age >= n.settings.SlowStartDuration || n.settings.CollapseWindow <= 0 {
		host.slowStartSends = nil
		return
	}
	budget := n.slowStartBudget(host, age)
	if budget <= 0 { // the settings have no quotas, so the host's capacity is unknown
		return
	}
	host.slowStartSends = slices.DeleteFunc(host.slowStartSends, func(sentAt time.Time) bool {
		return at.Sub(sentAt) >= n.settings.CollapseWindow
	})
	if len(host.slowStartSends) < maxSlowStartSends {
		host.slowStartSends = append(host.slowStartSends, at)
	}
	violation, found := invariant.CheckSlowStart(request, string(host.id), len(host.slowStartSends), budget)
	if found {
		n.monitor.Report(violation)
	}
}

// slowStartBudget returns how many requests all nodes together may send within CollapseWindow to a host that started
// the given age ago. The host's capacity is estimated as its share, by size among the listed hosts, of all tenants'
// connection quotas. The budget is CollapseMultiple times the rate that fills this capacity over SlowStartDuration, and
// it grows while the host is more than half warmed up.
func (n *Node) slowStartBudget(host *hostRecord, age time.Duration) float64 {
	totalQuota := 0.0
	for _, tenant := range n.settings.Tenants {
		totalQuota += tenant.ConnectionQuota
	}
	totalSize := 0.0
	for _, other := range n.hosts {
		if !other.unlisted {
			totalSize += sizeOf(other)
		}
	}
	fraction := n.settings.SlowStartFraction
	warmed := fraction + (1-fraction)*float64(age)/float64(n.settings.SlowStartDuration)
	quota := totalQuota * sizeOf(host) / max(totalSize, 1)
	return n.settings.CollapseMultiple * quota * max(1, 2*warmed) *
		n.settings.CollapseWindow.Seconds() / n.settings.SlowStartDuration.Seconds()
}

// sizeOf returns a host's listed size, or 1 if none is listed.
func sizeOf(host *hostRecord) float64 { return cmp.Or(max(host.endpoint.Size, 0), 1) }
