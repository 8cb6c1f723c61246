package node

import (
	"cmp"
	"slices"
	"time"

	"onyxstream/internal/invariant"
)

// maxSlowStartSends bounds the sends to one warming host that are remembered.
const maxSlowStartSends = 4096

// checkSlowStart checks what this node alone has sent to a warming host against what the settings allow all nodes.
func (n *Node) checkSlowStart(request string, host *hostRecord, at time.Time) {
	age := n.clockTime(at) - host.startedAt
	if host.startedAt <= 0 || age >= n.settings.SlowStartDuration || n.settings.CollapseWindow <= 0 {
		host.slowStartSends = nil
		return
	}
	budget := n.slowStartBudget(host, age)
	if budget <= 0 { // the settings have no quotas, so that the host's capacity is not known
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

// slowStartBudget returns how many requests a host of an age may get within CollapseWindow from all nodes. Its capacity
// is estimated by its size among the listed hosts: its part of all tenants' quotas, filled over SlowStartDuration and
// multiplied by CollapseMultiple; more from half of the duration on.
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

// sizeOf returns a host's listed size, 1 if there is none.
func sizeOf(host *hostRecord) float64 { return cmp.Or(max(host.endpoint.Size, 0), 1) }
