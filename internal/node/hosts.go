package node

import (
	"time"

	"onyxstream/balancer"
	"onyxstream/internal/wire"
)

// removedHostTTL is how long a removed host is kept, because attempts that are being started still need its address.
const removedHostTTL = time.Minute

var stateOfPhase = map[wire.Phase]balancer.ServerState{
	wire.Serving:  balancer.Live,
	wire.Draining: balancer.Draining,
	wire.Removed:  balancer.Removed,
}

// hostRecord is the state of a host in the event loop.
type hostRecord struct {
	// The host according to the endpoint list and to operators.
	id          balancer.ServerID
	addr        string
	startedAtMS int64         // last start as listed, Unix time in ms
	startedAt   time.Duration // startedAtMS by the node's clock, converted when it was listed; 0 for long ago
	state       balancer.ServerState
	notifiedAt  time.Time // when the node was first notified that the host drains or is removed
	endpoint    wire.Endpoint
	unlisted    bool // the endpoint list no longer contains the host
	// slowStartSends are the times of the sends to the host within the last CollapseWindow, in order. They are recorded
	// only while the host is warming up.
	slowStartSends []time.Time

	hostLatency
}

// setState sets a host's state. The drain grace starts when the host leaves the state Live.
func (host *hostRecord) setState(state balancer.ServerState, now time.Time) {
	if host.state == balancer.Live && state != balancer.Live {
		host.notifiedAt = now
	}
	host.state = state
}

// applyList updates the hosts from a list and passes the list to the balancer. superseded is set if a later list
// request has been sent since the request for this list.
func (n *Node) applyList(list *wire.EndpointList, kind balancer.ListKind, superseded bool) {
	now := time.Now()
	n.observeClock(now)
	list = n.limitToMemory(list)
	listEvent := balancer.ListEvent{
		Kind:       kind,
		Revision:   list.Revision,
		Superseded: superseded,
		Servers:    make([]balancer.Server, 0, len(list.Endpoints)),
	}
	listed := make(map[balancer.ServerID]bool, len(list.Endpoints))
	for _, endpoint := range list.Endpoints {
		host := n.updateHost(endpoint, now)
		listed[host.id] = true
		listEvent.Servers = append(listEvent.Servers, n.toServer(host))
	}
	isComplete := kind == balancer.ListSnapshot || kind == balancer.ListCached
	n.removeHosts(isComplete, listed, now)
	n.notifyBalancer(listEvent)
	n.countHosts()
}

// updateHost updates the host of an endpoint, or adds it if it is new.
func (n *Node) updateHost(endpoint wire.Endpoint, now time.Time) *hostRecord {
	id := balancer.ServerID(endpoint.ID)
	host := n.hosts[id]
	if host == nil {
		host = &hostRecord{id: id}
		n.hosts[id] = host
	}
	host.addr = endpoint.Addr
	if host.startedAtMS != endpoint.StartedAtMS {
		host.startedAtMS = endpoint.StartedAtMS
		host.startedAt = n.wallClock.startTime(endpoint.StartedAtMS, n.clockTime(now))
		host.resetBaseline()
	}
	host.endpoint = endpoint
	host.unlisted = endpoint.Phase == wire.Removed
	host.setState(n.effectiveState(id, stateOfPhase[endpoint.Phase]), now)
	return host
}

// toServer converts a host to the balancer's type.
func (n *Node) toServer(host *hostRecord) balancer.Server {
	server := balancer.Server{
		ID:           host.id,
		Zone:         noZone,
		Cell:         host.endpoint.Cell,
		State:        host.state,
		Weight:       host.endpoint.Size,
		StartedAt:    max(host.startedAt, n.reenabledAt[host.id], n.assumedStartAt),
		AssumedStart: n.assumedStartAt > 0,
		EjectFor:     n.remainingEjection(host.id),
	}
	if zone, ok := n.zoneIndex[host.endpoint.Zone]; ok {
		server.Zone = zone
	}
	return server
}

// removeHosts marks hosts that are missing from a complete list as removed, and deletes hosts that were removed more
// than removedHostTTL ago.
func (n *Node) removeHosts(isComplete bool, listed map[balancer.ServerID]bool, now time.Time) {
	for id, host := range n.hosts {
		if isComplete && !listed[id] {
			host.setState(balancer.Removed, now)
			host.unlisted = true
		}
		if host.state == balancer.Removed && now.Sub(host.notifiedAt) > removedHostTTL {
			delete(n.hosts, id)
		}
	}
}

// countHosts counts the listed hosts, and how many of them the node avoids now.
func (n *Node) countHosts() {
	listed, avoided := int64(0), int64(0)
	for id, host := range n.hosts {
		if host.unlisted {
			continue
		}
		listed++
		if host.state != balancer.Live || n.balancer.Avoids(id) {
			avoided++
		}
	}
	n.listedHosts.Store(listed)
	n.avoidedHosts.Store(avoided)
}
