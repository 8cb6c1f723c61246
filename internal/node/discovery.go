package node

import (
	"time"

	"onyxstream/balancer"
)

// Delays before a broken watch is started again, where discovery pushes changes and need not be polled.
const (
	minRewatchDelay  = 300 * time.Millisecond
	rewatchDelayStep = 50 * time.Millisecond // between nodes, by their index
	rewatchSlots     = 8
)

// MaxRewatchDelay is the longest time between the end of a watch and the next one, where discovery need not be polled.
const MaxRewatchDelay = minRewatchDelay + (rewatchSlots-1)*rewatchDelayStep + tickInterval

// rewatchDelay returns a node's delay, to which up to one tick is added. Nodes that lose a watch together retry apart.
func rewatchDelay(nodeIndex int) time.Duration {
	return minRewatchDelay + time.Duration(nodeIndex%rewatchSlots)*rewatchDelayStep
}

// watch requests the changes of the list since the held revision, or a snapshot.
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

// requestList carries out the balancer's wish for the list. During a cold start the scheduler decides when.
func (n *Node) requestList() {
	if n.scheduler != nil {
		n.callIfDue()
		return
	}
	n.watch()
}

// checkWatch makes a list request that has fallen due.
func (n *Node) checkWatch(now time.Time) {
	if n.scheduler != nil {
		n.callIfDue()
		return
	}
	if !n.settings.PollList && !n.watching && now.After(n.nextWatchAt) {
		n.watch()
	}
}

// handleList applies a watch event. The revision of a superseded request means nothing to the discovery that is asked
// now, but what it says of the hosts holds.
func (n *Node) handleList(e listReceived) {
	kind := balancer.ListDelta
	if e.list.Complete {
		kind = balancer.ListSnapshot
	}
	n.applyList(e.list, kind, e.sequence != n.watchSequence)
	if e.sequence == n.watchSequence { // compared again: applying the list may request another one
		n.revision = e.list.Revision
		n.recordListReceived()
	}
}

// handleDiscoveryAddr follows discovery to another address. The balancer is not notified: the hosts stay as they are
// until the new list is there.
func (n *Node) handleDiscoveryAddr(e discoveryAddrChanged) {
	n.discoveryAddr = e.addr
	n.revision = NoRevision
	if n.scheduler != nil {
		n.service.Store(&e.addr)
		n.scheduler.SetService(e.addr)
		n.callIfDue()
		return
	}
	n.watch()
}

// handleWatchFailed plans the next list request. The failure of a superseded request is ignored.
func (n *Node) handleWatchFailed(e watchFailed) {
	if e.sequence != n.watchSequence {
		return
	}
	if n.scheduler != nil {
		n.scheduler.ListRequestFailed(n.now(), e.retryAfter)
		return
	}
	if n.settings.PollList {
		n.decide(balancer.ListEvent{Kind: balancer.ListFailed, Revision: n.revision})
		return
	}
	n.watching = false
	n.nextWatchAt = time.Now().Add(rewatchDelay(n.settings.NodeIndex))
}
