package node

import (
	"slices"
	"strings"
	"time"

	"onyxstream/balancer"
	"onyxstream/internal/wire"
)

// While the list is unconfirmed, nodes tell each other which hosts they could not connect to, so that a node need not
// try each of these hosts itself. A confirmed list is a better source, so the node then clears its unreachable hosts.

// UnreachableHost is a host of an unconfirmed list that a node could not connect to.
type UnreachableHost struct {
	ID      string
	FoundAt time.Time
}

const (
	// maxUnreachable is the largest number of unreachable hosts that are kept and sent to peers.
	maxUnreachable = 4096
	// ejectionObjectives is the duration, in setup latency objectives, for which an unreachable host is ejected: twice
	// the duration for which the balancer ejects a host by itself.
	ejectionObjectives = 8
	// retrySpreadObjectives is the interval, in setup latency objectives, over which nodes spread their next attempts
	// to an unreachable host. A node's index selects one of retrySlots points of this interval, so that a few nodes try
	// the host first and inform the others.
	retrySpreadObjectives = 4
	retrySlots            = 16
)

// ejectionDuration returns how long this node ejects an unreachable host, based on the shortest setup latency
// objective.
func (n *Node) ejectionDuration() time.Duration {
	objective := time.Duration(0)
	for _, class := range n.settings.Classes {
		isShorter := objective == 0 || class.SetupLatencyObjective < objective
		if class.SetupLatencyObjective > 0 && isShorter {
			objective = class.SetupLatencyObjective
		}
	}
	slot := time.Duration(n.settings.NodeIndex % retrySlots)
	return ejectionObjectives*objective + retrySpreadObjectives*objective*slot/retrySlots
}

// recordDialFailure records that this node could not connect to a host, if the list is unconfirmed.
func (n *Node) recordDialFailure(host *hostRecord) {
	if n.assumedStartAt > 0 {
		n.mergeUnreachable([]UnreachableHost{{ID: string(host.id), FoundAt: time.Now()}})
	}
}

// mergeUnreachable adds hosts that this node or a peer could not connect to, ejects them, and publishes them with the
// cached list.
func (n *Node) mergeUnreachable(found []UnreachableHost) {
	duration := n.ejectionDuration()
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

// remainingEjection returns how long a host remains ejected as unreachable; 0 if it is not.
func (n *Node) remainingEjection(id balancer.ServerID) time.Duration {
	foundAt, known := n.unreachable[string(id)]
	if !known {
		return 0
	}
	return max(n.ejectionDuration()-time.Since(foundAt), 0)
}

// unreachableHosts returns the unreachable hosts, sorted by id, and deletes those whose ejection has ended.
func (n *Node) unreachableHosts() (hosts []UnreachableHost) {
	duration := n.ejectionDuration()
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
