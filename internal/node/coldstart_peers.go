package node

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/coldstart"
	"onyxstream/internal/wire"
)

// PeerList is a peer's response: its endpoint list, or a confirmation that it holds the same list as this node.
type PeerList struct {
	Offer       coldstart.Offer
	List        *wire.EndpointList // nil if the peer holds the same list
	Unreachable []UnreachableHost
	Peer        string
	At          time.Time // when Offer.Age was determined
}

// ReceivePeerList passes a peer list to the event loop and reports whether it was used. If it was not, the caller must
// pause before its next request to the same peer. ReceivePeerList may be called from any goroutine.
func (n *Node) ReceivePeerList(list PeerList) bool {
	reply := make(chan bool, 1)
	used, _ := query(n, peerListReceived{list: list, reply: reply}, reply)
	return used
}

// handlePeerList handles a peer list and the peer's unreachable hosts. The reply is sent even after a panic, because
// the caller waits for it.
func (n *Node) handlePeerList(e peerListReceived) {
	n.scheduler.PeerContacted(n.now())
	used := false
	defer func() { e.reply <- used }()
	used = n.considerPeerList(e.list)
	n.mergeUnreachable(e.list.Unreachable)
	n.logPhaseChange()
}

// considerPeerList adopts a peer list, accepts it as a confirmation of the held list, or ignores it. It reports whether
// the peer list was used.
func (n *Node) considerPeerList(peerList PeerList) bool {
	now := n.now()
	offer := n.completeOffer(peerList)
	verdict, reason := n.scheduler.ConsiderPeerList(now, offer)
	switch verdict {
	case coldstart.Ignore:
		n.log.Debug("peer list ignored", zap.String("peer", peerList.Peer), zap.String("reason", reason))
		return false
	case coldstart.Adopt:
		n.adoptPeerList(peerList, offer, now)
	}
	if n.scheduler.State(now).Phase == coldstart.CurrentList {
		n.confirmList()
	}
	n.publishList(nil)
	return true
}

// completeOffer returns a peer's offer with its present age and its number of hosts. A peer that holds the same list
// has as many hosts as this node, unless this node has switched to another discovery service or revision since its
// request.
func (n *Node) completeOffer(peerList PeerList) coldstart.Offer {
	offer := peerList.Offer
	offer.Age += time.Since(peerList.At)
	if peerList.List != nil {
		offer.Hosts = len(peerList.List.Endpoints)
		return offer
	}
	cached := n.cachedList.Load()
	if cached != nil && cached.DiscoveryName == n.DiscoveryName() && n.revision == offer.Revision {
		offer.Hosts = len(cached.List.Endpoints)
	}
	return offer
}

// adoptPeerList replaces the held list with a peer list, but keeps drains that the peer list would lift. Such a drain
// is this node's own decision, so the node publishes the list as the peer sent it. It then requests a snapshot from
// discovery to learn whether the drain is over.
func (n *Node) adoptPeerList(peerList PeerList, offer coldstart.Offer, now time.Duration) {
	published := *peerList.List
	drainsKept := n.keepDrainingHosts(peerList.List)
	n.log.Info("peer list adopted", zap.String("peer", peerList.Peer), zap.Int64("revision", offer.Revision),
		zap.Duration("age", offer.Age), zap.Int("endpoints", len(peerList.List.Endpoints)),
		zap.Int("drains_kept", drainsKept))
	n.applyList(peerList.List, balancer.ListSnapshot, false)
	n.revision = offer.Revision
	if drainsKept > 0 {
		n.needsSnapshot = true
		n.scheduler.MarkStale(now)
	}
	n.publishList(&published)
}

// keepDrainingHosts marks each host of a peer list as draining if it serves according to the peer but drains at this
// node, and returns how many it has marked. Only discovery or a later start of the host ends a drain.
func (n *Node) keepDrainingHosts(list *wire.EndpointList) (kept int) {
	list.Endpoints = slices.Clone(list.Endpoints)
	for i, endpoint := range list.Endpoints {
		host := n.hosts[balancer.ServerID(endpoint.ID)]
		if host == nil || host.unlisted || endpoint.StartedAtMS > host.startedAtMS {
			continue
		}
		if host.endpoint.Phase == wire.Draining && endpoint.Phase == wire.Serving {
			list.Endpoints[i].Phase = wire.Draining
			kept++
		}
	}
	return kept
}
