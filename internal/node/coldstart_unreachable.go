package node

import (
	"slices"
	"strings"
	"time"

	"onyxstream/balancer"
	"onyxstream/internal/wire"
)

// While the list is unconfirmed, nodes exchange which hosts they could not connect to, so that each need not try all of
// them itself. A list that the service confirms says better which hosts exist.

// UnreachableHost is a host of an unconfirmed list that a node could not connect to.
type UnreachableHost struct {
	ID      string
	FoundAt time.Time
}

const (
	// maxUnreachable bounds the unreachable hosts that are kept and passed on.
	maxUnreachable = 4096
	// unreachableObjectives is for how many setup latency objectives an unreachable host gets nothing new: twice as
	// many as the balancer ejects one for by itself.
	unreachableObjectives = 8
	// unreachableSpread is the number of objectives over which nodes spread their retries, by their index in
	// unreachableSlots, so that few nodes retry first and inform the others.
	unreachableSpread = 4
	unreachableSlots  = 16
)

// unreachableDuration returns for how long an unreachable host gets nothing new.
func (n *Node) unreachableDuration() time.Duration {
	objective := time.Duration(0)
	for _, class := range n.settings.Classes {
		isShorter := objective == 0 || class.SetupLatencyObjective < objective
		if class.SetupLatencyObjective > 0 && isShorter {
			objective = class.SetupLatencyObjective
		}
	}
	slot := time.Duration(n.settings.NodeIndex % unreachableSlots)
	return unreachableObjectives*objective + unreachableSpread*objective*slot/unreachableSlots
}

// recordDialFailure records that this node could not connect to a host.
func (n *Node) recordDialFailure(host *hostRecord) {
	if n.assumedStartAt > 0 {
		n.mergeUnreachable([]UnreachableHost{{ID: string(host.id), FoundAt: time.Now()}})
	}
}

// mergeUnreachable adds hosts that this node or a peer could not connect to, ejects them, and publishes them.
func (n *Node) mergeUnreachable(found []UnreachableHost) {
	duration := n.unreachableDuration()
	changes := wire.EndpointList{Revision: n.revision}
	for _, unreachable := range found {
		host := n.hosts[balancer.ServerID(unreachable.ID)]
		if host == nil || host.unlisted || n.assumedStartAt == 0 {
			continue
		}
		knownSince, known := n.unreachable[unreachable.ID]
		isNewer := !known || unreachable.FoundAt.After(knownSince)
		isOver := time.Since(unreachable.FoundAt) >= duration
		if !isNewer || isOver || len(n.unreachable) >= maxUnreachable {
			continue
		}
		n.unreachable[unreachable.ID] = unreachable.FoundAt
		changes.Endpoints = append(changes.Endpoints, host.endpoint)
	}
	if len(changes.Endpoints) > 0 {
		n.applyList(&changes, balancer.ListDelta, false)
		n.publishList(nil)
	}
}

// unreachableFor returns for how long a host still gets nothing new, 0 if it is not known as unreachable.
func (n *Node) unreachableFor(id balancer.ServerID) time.Duration {
	foundAt, known := n.unreachable[string(id)]
	if !known {
		return 0
	}
	return max(n.unreachableDuration()-time.Since(foundAt), 0)
}

// unreachableHosts returns the unreachable hosts, by id, and forgets those whose time is over.
func (n *Node) unreachableHosts() (hosts []UnreachableHost) {
	duration := n.unreachableDuration()
	for id, foundAt := range n.unreachable {
		if time.Since(foundAt) >= duration {
			delete(n.unreachable, id)
			continue
		}
		hosts = append(hosts, UnreachableHost{ID: id, FoundAt: foundAt})
	}
	slices.SortFunc(hosts, func(a, b UnreachableHost) int { return strings.Compare(a.ID, b.ID) })
	return hosts
}
