package node

import (
	"slices"
	"strings"
	"time"

	"onyxstream/internal/coldstart"
	"onyxstream/internal/wire"
)

// CachedList is the endpoint list that the node holds, for gossip and for the list file. It must not be changed.
type CachedList struct {
	Service      string
	Source       coldstart.Source
	List         wire.EndpointList // a snapshot as the service sent it, without the operators' overrides
	Confirmed    time.Time         // when the service last sent or confirmed it
	Replaced     chan struct{}     // closed once a newer CachedList is published
	AssumedStart bool              // not confirmed since the node's start
	Unreachable  []UnreachableHost // hosts that this node or a peer could not connect to lately
}

// CachedList returns the list that the node holds; nil if there is none or the cold start is off. It may be called from
// any goroutine.
func (n *Node) CachedList() *CachedList { return n.cachedList.Load() }

// ListAvailable returns a channel that is closed once there is a list. It may be called from any goroutine.
func (n *Node) ListAvailable() <-chan struct{} { return n.listAvailable }

// publishList publishes the cached list: a new one, or the same with its new state if list is nil.
func (n *Node) publishList(list *wire.EndpointList) {
	state := n.scheduler.State(n.now())
	if state.Phase == coldstart.NoList {
		return
	}
	previous := n.cachedList.Load()
	cached := &CachedList{
		Service:      n.DiscoveryName(),
		Source:       state.Source,
		Confirmed:    time.Now().Add(-state.Age),
		Replaced:     make(chan struct{}),
		AssumedStart: n.assumedStartAt > 0,
		Unreachable:  n.unreachableHosts(),
	}
	switch {
	case list != nil:
		cached.List = *list
	case previous != nil:
		cached.List = previous.List
	default:
		cached.List = *n.snapshot()
	}
	n.cachedList.Store(cached)
	if previous != nil {
		close(previous.Replaced)
	} else {
		close(n.listAvailable)
	}
}

// listedEndpoints returns the entries of the list, by id.
func (n *Node) listedEndpoints() (endpoints []wire.Endpoint) {
	for _, host := range n.hosts {
		if !host.unlisted {
			endpoints = append(endpoints, host.endpoint)
		}
	}
	slices.SortFunc(endpoints, func(a, b wire.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return endpoints
}

// snapshot returns the list as the node holds it.
func (n *Node) snapshot() *wire.EndpointList {
	return &wire.EndpointList{Revision: n.revision, Complete: true, Endpoints: n.listedEndpoints()}
}
