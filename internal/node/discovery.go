package node

import (
	"time"

	"onyxstream/balancer"
)

// Delays before the node restarts a broken watch. They apply if discovery pushes changes. If the node polls discovery
// instead, the balancer decides when to repeat the list request.
const (
	minRewatchDelay  = 300 * time.Millisecond
	rewatchDelayStep = 50 * time.Millisecond // difference between nodes with consecutive indexes
	rewatchSlots     = 8                     // number of different delays
)

// MaxRewatchDelay is the longest time between the end of a watch and the next list request, without polling.
const MaxRewatchDelay = minRewatchDelay + (rewatchSlots-1)*rewatchDelayStep + tickInterval

// rewatchDelay returns the delay before a node restarts a broken watch. The wait for the next tick adds up to
// tickInterval. The delay depends on the node's index, so that nodes that lose their watches together do not all retry
// together.
func rewatchDelay(nodeIndex int) time.Duration {
	return minRewatchDelay + time.Duration(nodeIndex%rewatchSlots)*rewatchDelayStep
}

// watch sends a list request for the changes since the held revision, or for a snapshot.
func (n *Node) watch() {
	n.watching = true
	n.watchSequence++
	afterRevision := n.revision
	if n.needsSnapshot {
		afterRevision = NoRevision
	}
	n.transport.Watch(ListRequest{
		Sequence:      n.watchSequence,
		Addr:          n.discoveryAddr,
		AfterRevision: afterRevision,
	})
}

// requestList handles the balancer's action WatchList. If the cold start is enabled, its scheduler decides when to send
// the list request.
func (n *Node) requestList() {
	if n.scheduler != nil {
		n.requestListIfDue()
		return
	}
	n.watch()
}

// checkWatch sends a list request if one is due.
func (n *Node) checkWatch(now time.Time) {
	if n.scheduler != nil {
		n.requestListIfDue()
		return
	}
	if !n.settings.PollList && !n.watching && now.After(n.nextWatchAt) {
		n.watch()
	}
}

// handleList applies a watch event. If its list request is superseded, the hosts are still updated, but the revision is
// ignored: the discovery at the present address may not know it.
func (n *Node) handleList(e listReceived) {
	kind := balancer.ListDelta
	if e.list.Complete {
		kind = balancer.ListSnapshot
	}
	n.applyList(e.list, kind, e.sequence != n.watchSequence)
	if e.sequence == n.watchSequence { // compared again, because applyList may have sent another list request
		n.revision = e.list.Revision
		n.watching = true // even if the list request was overdue
		n.recordListReceived()
	}
}

// handleDiscoveryAddr switches to discovery at another address. The balancer is not notified: it keeps the present
// hosts until the list from the new address arrives.
func (n *Node) handleDiscoveryAddr(e discoveryAddrChanged) {
	n.discoveryAddr = e.addr
	n.revision = NoRevision
	if n.scheduler != nil {
		n.discoveryName.Store(&e.addr)
		n.scheduler.SetDiscoveryName(e.addr)
		n.requestListIfDue()
		return
	}
	n.watch()
}

// handleWatchFailed schedules the next list request. The failure of a superseded request is ignored.
func (n *Node) handleWatchFailed(e watchFailed) {
	if e.sequence != n.watchSequence {
		return
	}
	if n.scheduler != nil {
		n.scheduler.ListRequestFailed(n.now(), e.retryAfter)
		return
	}
	if n.settings.PollList {
		n.notifyBalancer(balancer.ListEvent{Kind: balancer.ListFailed, Revision: n.revision})
		return
	}
	n.watching = false
	n.nextWatchAt = time.Now().Add(rewatchDelay(n.settings.NodeIndex))
}
