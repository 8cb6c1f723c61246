package node

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/coldstart"
)

// The cold start is enabled by the node's configuration. Package coldstart decides when the list service is called and
// which peers' lists are used; this file and coldstart_*.go carry that out. While it is off scheduler is nil, and the
// balancer's wishes for the list are carried out at once.

// coldStartState is the state of the cold start.
type coldStartState struct {
	scheduler   *coldstart.Scheduler
	service     atomic.Pointer[string] // the name by which all nodes know the list service
	loggedPhase coldstart.Phase
	// needsSnapshot is set while a drain is kept that a peer's list has lifted: changes since that list's revision
	// would not show the drain.
	needsSnapshot bool
	// assumedStartAt is when all hosts count as started, by the node's clock, while no service or peer has confirmed
	// the cached list: after a power failure all of them may have been. 0 once the list is confirmed.
	assumedStartAt time.Duration
	unreachable    map[string]time.Time // hosts that could not be connected to while the list is unconfirmed
	cachedList     atomic.Pointer[CachedList]
	listAvailable  chan struct{} // closed with the first cached list
}

// EnableColdStart enables the cold start. service is the name of the list service. It must be called before Run.
func (n *Node) EnableColdStart(scheduler *coldstart.Scheduler, service string) {
	n.scheduler = scheduler
	n.service.Store(&service)
	if n.scheduler.State(n.now()).Phase == coldstart.StaleList {
		n.assumedStartAt = n.clockTime(n.startedAt)
		n.applyList(n.snapshot(), balancer.ListCached, false)
	}
	n.publishList(n.snapshot())
	n.logPhaseChange()
}

// ListService returns the name of the list service. The cold start must be enabled. It may be called from any
// goroutine.
func (n *Node) ListService() string { return *n.service.Load() }

// Heartbeat reports that discovery has confirmed an idle watch. It may be called from any goroutine.
func (n *Node) Heartbeat(sequence uint64) {
	if n.scheduler != nil {
		n.post(heartbeatReceived{sequence: sequence})
	}
}

// PeerContacted reports that a peer has answered without a list. It may be called from any goroutine.
func (n *Node) PeerContacted() { n.post(peerContacted{}) }

// ColdStartState returns the state of the cold start; ok is false if it is off or the loop has ended. It may be called
// from any goroutine.
func (n *Node) ColdStartState() (state coldstart.State, ok bool) {
	if n.scheduler == nil {
		return state, false
	}
	reply := make(chan coldstart.State, 1)
	return query(n, coldStartStateRequested{reply: reply}, reply)
}

// nextCallIn returns the time until the next planned call to the list service, idleWait if there is none. Calls are not
// left to the tick: the ticks of nodes that were started together coincide, and would undo the spread of the calls.
func (n *Node) nextCallIn() time.Duration {
	if n.scheduler == nil {
		return idleWait
	}
	return n.scheduler.NextListRequestIn(n.now())
}

// callIfDue calls the list service if a call is due, and publishes the list if an unreachable host is to be retried.
func (n *Node) callIfDue() {
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

// recordListReceived records that the list service has sent a list.
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

// confirmList ends the assumption that all hosts have just started.
func (n *Node) confirmList() {
	if n.assumedStartAt > 0 {
		n.assumedStartAt = 0
		clear(n.unreachable)
		n.applyList(n.snapshot(), balancer.ListSnapshot, false)
	}
}

// logPhaseChange logs the cold start's state when its phase has changed.
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
