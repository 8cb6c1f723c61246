package node

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/coldstart"
)

// The node's configuration enables the cold start. Package coldstart decides when the node sends list requests and
// which peer lists it uses; this file and coldstart_*.go carry out these decisions. If the cold start is disabled,
// scheduler is nil and the node sends a list request whenever the balancer returns the action WatchList.

// coldStartState is the state of the cold start.
type coldStartState struct {
	scheduler     *coldstart.Scheduler
	discoveryName atomic.Pointer[string] // name of discovery, the same at all nodes
	loggedPhase   coldstart.Phase
	// needsSnapshot is set while a host is kept draining although the adopted peer list says that it serves: the
	// changes since that list's revision would not show whether the drain is over.
	needsSnapshot bool
	// assumedStartAt is the assumed start time of all hosts, by the node's clock, while neither discovery nor a peer
	// has confirmed the cached list, because all hosts may have restarted after a power failure. It is 0 if the list is
	// confirmed.
	assumedStartAt time.Duration
	unreachable    map[string]time.Time // when each unreachable host was found; empty if the list is confirmed
	cachedList     atomic.Pointer[CachedList]
	listAvailable  chan struct{} // closed when the first list is published
}

// EnableColdStart enables the cold start. It must be called before Run.
func (n *Node) EnableColdStart(scheduler *coldstart.Scheduler, discoveryName string) {
	n.scheduler = scheduler
	n.discoveryName.Store(&discoveryName)
	if n.scheduler.State(n.now()).Phase == coldstart.StaleList {
		n.assumedStartAt = n.clockTime(n.startedAt)
		n.applyList(n.snapshot(), balancer.ListCached, false)
	}
	n.publishList(n.snapshot())
	n.logPhaseChange()
}

// DiscoveryName returns the name of discovery. The cold start must be enabled. It may be called from any goroutine.
func (n *Node) DiscoveryName() string { return *n.discoveryName.Load() }

// Heartbeat reports that discovery has confirmed an idle watch, given by the sequence number of its list request. It
// may be called from any goroutine.
func (n *Node) Heartbeat(sequence uint64) {
	if n.scheduler != nil {
		n.post(heartbeatReceived{sequence: sequence})
	}
}

// PeerContacted reports that a peer has responded but has no list. It may be called from any goroutine.
func (n *Node) PeerContacted() { n.post(peerContacted{}) }

// ColdStartState returns the state of the cold start; ok is false if the cold start is disabled or the loop has ended.
// It may be called from any goroutine.
func (n *Node) ColdStartState() (state coldstart.State, ok bool) {
	if n.scheduler == nil {
		return state, false
	}
	reply := make(chan coldstart.State, 1)
	return query(n, coldStartStateRequested{reply: reply}, reply)
}

// timeToListRequest returns the time until the next planned list request, or idleWait if the cold start is disabled.
// List requests don't wait for the next tick: nodes that were started together tick at the same time, which would undo
// the spread of their list requests.
func (n *Node) timeToListRequest() time.Duration {
	if n.scheduler == nil {
		return idleWait
	}
	return n.scheduler.NextListRequestIn(n.now())
}

// requestListIfDue sends a list request if one is due. It also publishes the cached list again if the ejection of an
// unreachable host has ended.
func (n *Node) requestListIfDue() {
	if n.scheduler.ListRequestDue(n.now()) {
		n.watch()
	}
	cached := n.cachedList.Load()
	if cached != nil && len(n.unreachableHosts()) < len(cached.Unreachable) {
		n.publishList(nil)
	}
	n.logPhaseChange()
}

// handleColdStartEvent handles the events of the cold start.
func (n *Node) handleColdStartEvent(e event) {
	if n.scheduler == nil {
		return
	}
	switch e := e.(type) {
	case heartbeatReceived:
		if e.sequence == n.watchSequence && n.scheduler.Heartbeat(n.now()) {
			n.publishList(nil)
		}
	case peerContacted:
		n.scheduler.PeerContacted(n.now())
	case coldStartStateRequested:
		e.reply <- n.scheduler.State(n.now())
	case peerListReceived:
		n.handlePeerList(e)
		return
	}
	n.logPhaseChange()
}

// recordListReceived records that discovery has sent a list.
func (n *Node) recordListReceived() {
	if n.scheduler == nil {
		return
	}
	n.needsSnapshot = false
	n.scheduler.ListReceived(n.now(), n.revision, len(n.listedEndpoints()))
	n.confirmList()
	n.publishList(n.snapshot())
	n.logPhaseChange()
}

// confirmList ends the assumption that all hosts have just started, and clears the unreachable hosts.
func (n *Node) confirmList() {
	if n.assumedStartAt > 0 {
		n.assumedStartAt = 0
		clear(n.unreachable)
		n.applyList(n.snapshot(), balancer.ListSnapshot, false)
	}
}

// logPhaseChange logs the state of the cold start if its phase has changed.
func (n *Node) logPhaseChange() {
	state := n.scheduler.State(n.now())
	if state.Phase == n.loggedPhase {
		return
	}
	n.loggedPhase = state.Phase
	n.log.Info("cold start phase changed", zap.Stringer("phase", state.Phase), zap.String("source", string(state.Source)),
		zap.Int64("revision", state.Revision), zap.Duration("age", state.Age), zap.Int("calls", state.ListRequests),
		zap.Int("failed", state.Failed))
}
