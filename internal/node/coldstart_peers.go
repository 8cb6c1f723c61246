package node

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/coldstart"
	"onyxstream/internal/wire"
)

// PeerList is a list that a peer has passed on, or its statement that it holds the same one as this node.
type PeerList struct {
	Offer       coldstart.Offer
	List        *wire.EndpointList // nil for the statement alone
	Unreachable []UnreachableHost
	Peer        string
	At          time.Time // when Offer.Age was determined
}

// ReceivePeerList passes on a peer's list and reports whether it was used. A caller must not ask a peer again without a
// pause whose list was not used. It may be called from any goroutine.
func (n *Node) ReceivePeerList(list PeerList) bool {
	reply := make(chan bool, 1)
	used, _ := query(n, peerListReceived{list: list, reply: reply}, reply)
	return used
}

// handlePeerList considers a peer's list and its unreachable hosts. The reply is sent even on a panic, as the caller
// waits for it.
func (n *Node) handlePeerList(e peerListReceived) {
	n.scheduler.PeerContacted(n.now())
	used := false
	defer func() { e.reply <- used }()
	used = n.considerPeerList(e.list)
	n.mergeUnreachable(e.list.Unreachable)
	n.logPhaseChange()
}

// considerPeerList adopts a peer's list, takes it as a confirmation of the held one, or ignores it. It reports
// whether the list was used.
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

// completeOffer adds to an offer its present age and its number of hosts. A peer that states to hold the same list
// has as many hosts as this node, unless the service has changed since.
func (n *Node) completeOffer(peerList PeerList) coldstart.Offer {
	offer := peerList.Offer
	offer.Age += time.Since(peerList.At)
	if peerList.List != nil {
		offer.Hosts = len(peerList.List.Endpoints)
		return offer
	}
	cached := n.cachedList.Load()
	if cached != nil && cached.Service == n.DiscoveryName() && n.revision == offer.Revision {
		offer.Hosts = len(cached.List.Endpoints)
	}
	return offer
}

// adoptPeerList replaces the held list. Published is the list as the peer sent it: drains that are kept are this node's
// own decision, and the service is asked whether they are over.
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

// keepDrainingHosts marks hosts of a peer's list as draining that drain at this node, and returns how many. Only the
// list service or a later start of the host ends a drain.
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
