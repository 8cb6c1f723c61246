package node

import (
	"slices"
	"strings"
	"time"

	"onyxstream/internal/coldstart"
	"onyxstream/internal/wire"
)

// CachedList is the endpoint list that the node holds. It is sent to peers and written to the list file. It must not be
// modified.
type CachedList struct {
	DiscoveryName string // name of the discovery service that sent the list
	Source        coldstart.Source
	List          wire.EndpointList // a snapshot as discovery sent it, without operators' overrides
	Confirmed     time.Time         // when discovery last sent or confirmed the list
	Replaced      chan struct{}     // closed when a newer CachedList is published
	AssumedStart  bool              // the list has not been confirmed since the node's start
	Unreachable   []UnreachableHost // hosts that this node or a peer recently failed to connect to
}

// CachedList returns the list that the node holds; nil if there is none or the cold start is disabled. It may be called
// from any goroutine.
func (n *Node) CachedList() *CachedList { return n.cachedList.Load() }

// ListAvailable returns a channel that is closed when the first list is published. It may be called from any goroutine.
func (n *Node) ListAvailable() <-chan struct{} { return n.listAvailable }

// publishList publishes list as the cached list. If list is nil, it publishes the previous list again with its present
// state, or a snapshot of the held list if none was published.
func (n *Node) publishList(list *wire.EndpointList) {
	state := n.scheduler.State(n.now())
	if state.Phase == coldstart.NoList {
		return
	}
	previous := n.cachedList.Load()
	cached := &CachedList{
		DiscoveryName: n.DiscoveryName(),
		Source:        state.Source,
		Confirmed:     time.Now().Add(-state.Age),
		Replaced:      make(chan struct{}),
		AssumedStart:  n.assumedStartAt > 0,
		Unreachable:   n.unreachableHosts(),
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

// listedEndpoints returns the endpoints of the list, sorted by id.
func (n *Node) listedEndpoints() (endpoints []wire.Endpoint) {
	for _, host := range n.hosts {
		if !host.unlisted {
			endpoints = append(endpoints, host.endpoint)
		}
	}
	slices.SortFunc(endpoints, func(a, b wire.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return endpoints
}

// snapshot returns a snapshot of the list that the node holds.
func (n *Node) snapshot() *wire.EndpointList {
	return &wire.EndpointList{Revision: n.revision, Complete: true, Endpoints: n.listedEndpoints()}
}
