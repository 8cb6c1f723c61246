// Package node keeps what a node holds in memory: one goroutine, Run, owns the decision module, the
// requests, the members and the timers. Connections and discovery post events and are told what to do
// through a Port; neither side ever waits for the other in a cycle, since Run never blocks on them.
// It decides nothing.
package node

import (
	"context"
	"runtime/debug"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/invariant"
	"onyxstream/internal/settings"
	"onyxstream/internal/wire"
)

// ClientConn is a client's connection as the loop sees it. None of its methods may block.
type ClientConn interface {
	Send(Attempt)                            // start an attempt
	Proceed(attempt int, ok bool)            // answers Connected: the line may be written, or no more
	Cancel(attempt int)                      // withdraw an attempt that has brought no answer
	Reject(after time.Duration)              // final answer BUSY
	Fail()                                   // final answer ERR
	Migrate()                                // send the client away between two lines
	MessageStats(now time.Time) MessageStats // how its messages fare
}

// Attempt is what a connection needs to know of a send.
type Attempt struct {
	Number  int
	Host    balancer.ServerID
	Addr    string
	Timeout time.Duration
}

// MessageStats tells how a connection's messages fare.
type MessageStats struct {
	Answered    uint64        // how many messages have had their answer
	LastLatency time.Duration // by the last of them
	OldestWait  time.Duration // how long the oldest one without an answer has waited; 0 for none
}

// Transport is what the loop needs of the sockets beside its ports. None of it may block.
type Transport interface {
	Watch(ListRequest)                           // ask discovery for the list, and follow it
	Ping(id balancer.ServerID, addr string) bool // time a message at a host; false where none is sent
}

// ListRequest is a question to discovery that lasts: for what changed after a version, or for the whole list where
// AfterRevision is NoRevision, and for all that follows. Calls count up, and what they bring comes with their number.
type ListRequest struct {
	Sequence      uint64
	Addr          string
	AfterRevision int64
}

// NoRevision asks for the whole list: no version is known to the discovery that is asked.
const NoRevision = -1

// Node is the memory of one node.
type Node struct {
	settings  settings.Settings
	balancer  *balancer.Balancer
	transport Transport
	log       *zap.Logger
	monitor   *invariant.Monitor
	startedAt time.Time
	events    chan event
	done      chan struct{}

	pendingEvents []balancer.Event // not yet handled by the module
	requests      map[balancer.RequestID]*request
	hosts         map[balancer.ServerID]*hostRecord
	classIndex    map[string]int
	tenantIndex   map[string]int
	zoneIndex     map[string]int

	discoveryAddr string // where the list is asked for
	watchSequence uint64 // the last question to it
	revision      int64  // as of its list there, NoRevision where that knows none of ours

	wallClock            wallClock     // by which starts of hosts are listed
	memoryLimitMB        int           // that the process may take, 0 for no bound on the list
	slowMessageThreshold time.Duration // the time of a message from which on the module is told, 0 for never
	timers               timers
	watching             bool      // sites that need not be asked: a watch is on or under way
	nextWatchAt          time.Time // when to watch again there
	tickCount            int
	migrateAllBy         time.Time // all clients are to be gone by then; zero while the node stays
	operatorState
	coldStartState
	shutdownState

	inFlight, established atomic.Int64
	givenUp               map[balancer.Reason]int // requests that were refused or failed, by why; the loop's own
}

// New makes a node that knows its settings, the list as it was last held, and where to ask for it.
func New(set settings.Settings, known wire.EndpointList, discovery string, outside Transport, log *zap.Logger) *Node {
	n := &Node{settings: set, balancer: balancer.New(set.Settings), transport: outside, log: log, monitor: invariant.NewMonitor(log), startedAt: time.Now(), discoveryAddr: discovery,
		events: make(chan event, 1024), done: make(chan struct{}),
		requests: map[balancer.RequestID]*request{}, givenUp: map[balancer.Reason]int{}, hosts: map[balancer.ServerID]*hostRecord{},
		operatorState: operatorState{overrides: map[balancer.ServerID]bool{}, reenabledAt: map[balancer.ServerID]time.Duration{}}, coldStartState: coldStartState{listAvailable: make(chan struct{}), unreachable: map[string]time.Time{}},
		classIndex: indexByName(set.ClassNames), tenantIndex: indexByName(set.TenantNames), zoneIndex: indexByName(set.ZoneNames)}
	// The simulator tells of messages that take over a third of the shortest aim, so the module expects that.
	for _, c := range set.Classes {
		if from := c.MessageLatencyObjective / 3; from > 0 && (n.slowMessageThreshold == 0 || from < n.slowMessageThreshold) {
			n.slowMessageThreshold = from
		}
	}
	n.applyList(&known, balancer.ListCached, false)
	n.revision = known.Revision
	return n
}

func indexByName(names []string) map[string]int {
	out := make(map[string]int, len(names))
	for i, name := range names {
		out[name] = i
	}
	return out
}

// now is the node's clock: Unix time as of the start, moved on by the monotonic clock alone, so that
// a step of the machine's clock moves no timer.
func (n *Node) now() time.Duration { return n.clockTime(time.Now()) }

func (n *Node) clockTime(t time.Time) time.Duration {
	return time.Duration(n.startedAt.UnixNano()) + t.Sub(n.startedAt)
}

// observeClock looks whether the machine's clock was stepped. Nothing but the listed starts of hosts hangs on it.
func (n *Node) observeClock(now time.Time) {
	if n.wallClock.observe(time.Duration(now.UnixNano()), n.clockTime(now)) {
		n.log.Warn("the machine's clock was stepped", zap.Duration("from the node's own clock", n.wallClock.offsets[0]))
	}
}

// Run is the loop. It ends with the context.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	ticks := time.NewTicker(tickInterval)
	defer ticks.Stop()
	if !n.settings.PollList && n.scheduler == nil {
		n.watch()
	}
	for {
		timer.Reset(min(n.timers.wait(n.now()), n.timeToShutdown(time.Now()), n.nextCallIn()))
		select {
		case <-ctx.Done():
			return nil
		case e := <-n.events:
			n.recoverPanics(func() { n.handle(e) })
		case <-timer.C:
		case now := <-ticks.C:
			n.recoverPanics(func() { n.handleTick(now) })
		}
		now := n.now() // one reading: timers set meanwhile wait for the next turn
		for token, due := n.timers.next(now); due; token, due = n.timers.next(now) {
			n.recoverPanics(func() { n.decide(balancer.Timer{Token: token}) })
		}
		if n.nextCallIn() == 0 {
			n.recoverPanics(n.callIfDue)
		}
		if n.timeToShutdown(time.Now()) == 0 {
			n.recoverPanics(n.answerInFlight)
		}
	}
}

// recoverPanics keeps a failure in the handling of one event from ending the node, which would cut off every
// client; the request at fault is answered by its connection's own backstop.
func (n *Node) recoverPanics(f func()) {
	defer func() {
		if p := recover(); p != nil {
			n.pendingEvents = n.pendingEvents[:0]
			n.log.Error("an event could not be handled", zap.Any("panic", p), zap.ByteString("stack", debug.Stack()))
		}
	}()
	f()
}

// handle handles one event.
func (n *Node) handle(e event) {
	r := n.requests[e.id]
	if r != nil && e.port != nil && r.conn != e.port && e.kind != evArrive && e.kind != evResume {
		r = nil // the request belongs to another connection, which must not feel it
	}
	switch e.kind {
	case evArrive, evResume, evInherit, evConnected, evWritten, evOpened, evSettled, evLoad, evGone:
		n.handleRequestEvent(e, r)
	case evList, evFollow, evWatchFailed, evPinged:
		n.takeList(e)
	case evMoveAll:
		n.migrateAllBy = e.until
	case evFacts:
		e.tell <- n.pingBaselines() // has room
	case evLearn:
		n.mergePingBaselines(e.facts)
	case evLeave, evWord, evView:
		n.order(e)
	case evBeat, evPassed, evHeard, evStart:
		n.handleColdStartEvent(e)
	case evEnd:
		n.shutdownAt = e.until
	}
	n.failIfHeldBack(e.id, n.requests[e.id])
}

// takeList handles what discovery and the pings tell.
func (n *Node) takeList(e event) {
	switch e.kind {
	case evList:
		kind := balancer.ListDelta
		if e.list.Complete {
			kind = balancer.ListSnapshot
		}
		n.applyList(e.list, kind, e.call != n.watchSequence)
		if e.call == n.watchSequence { // a version of the discovery that was left means nothing to the one that is followed
			n.revision = e.list.Revision
			n.recordListReceived()
		}
	case evFollow:
		// The module hears of it by the list alone: neither the end of the old watch nor a list that is not
		// there yet is a failure, and what is known of the hosts holds until the new list is there.
		n.discoveryAddr, n.revision = e.text, NoRevision
		if n.scheduler != nil {
			n.service.Store(&e.text)
			n.scheduler.SetService(n.now(), e.text)
			n.callIfDue()
			return
		}
		n.watch()
	case evWatchFailed:
		if e.call != n.watchSequence { // it was given up for another, which is to tell
			return
		}
		if n.scheduler != nil {
			n.scheduler.CallFailed(n.now(), e.took)
			return
		}
		if n.settings.PollList {
			n.decide(balancer.ListEvent{Kind: balancer.ListFailed, Revision: n.revision})
			return
		}
		n.watching, n.nextWatchAt = false, time.Now().Add(rewatchDelay(n.settings.NodeIndex))
	case evPinged:
		if m := n.hosts[balancer.ServerID(e.id)]; m != nil {
			n.handlePingResult(m, e.took)
		}
	}
}

// decide hands an event to the module and carries out its actions, and those of what follows from them.
func (n *Node) decide(ev balancer.Event) {
	n.pendingEvents = append(n.pendingEvents, ev)
	for i := 0; i < len(n.pendingEvents); i++ {
		for _, a := range n.balancer.Handle(n.now(), n.pendingEvents[i]) {
			n.perform(a)
		}
	}
	clear(n.pendingEvents)
	n.pendingEvents = n.pendingEvents[:0]
}

func (n *Node) perform(a balancer.Action) {
	switch a := a.(type) {
	case balancer.Send:
		n.startAttempt(a)
	case balancer.Reject:
		if r := n.requests[a.ID]; r != nil && !r.answered {
			n.markAnswered(r)
			n.recordGivenUp(a.ID, r, true, a.Reason)
			r.conn.Reject(a.RetryAfter)
			n.releaseRequest(a.ID, r)
		}
	case balancer.Fail:
		if r := n.requests[a.ID]; r != nil && !r.answered {
			n.markAnswered(r)
			n.recordGivenUp(a.ID, r, false, a.Reason)
			r.conn.Fail()
			n.releaseRequest(a.ID, r)
		}
	case balancer.Cancel:
		if r := n.requests[a.ID]; r != nil && r.attemptInFlight && !r.established {
			r.conn.Cancel(a.Attempt)
		}
	case balancer.Migrate:
		if r := n.requests[a.ID]; r != nil {
			n.migrate(r)
		}
	case balancer.SetTimer:
		n.timers.add(a.At, a.Token)
	case balancer.WatchList:
		if n.scheduler != nil { // it paces the calls; the module wishes for one
			n.callIfDue()
			return
		}
		n.watch()
	case balancer.Log:
		n.log.Info(a.Text)
	}
}

func (n *Node) watch() {
	n.watching = true
	n.watchSequence++
	after := n.revision
	if n.needsSnapshot {
		after = NoRevision
	}
	n.transport.Watch(ListRequest{Sequence: n.watchSequence, Addr: n.discoveryAddr, AfterRevision: after})
}
