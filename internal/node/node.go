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
	set     settings.Settings
	brain   *balancer.Balancer
	outside Transport
	log     *zap.Logger
	monitor *invariant.Monitor
	base    time.Time
	events  chan event
	done    chan struct{}

	queue   []balancer.Event // not yet handled by the module
	reqs    map[balancer.RequestID]*request
	members map[balancer.ServerID]*member
	classes map[string]int
	tenants map[string]int
	zones   map[string]int

	discovery string // where the list is asked for
	call      uint64 // the last question to it
	revision  int64  // as of its list there, NoRevision where that knows none of ours

	wall     wallClock     // by which starts of hosts are listed
	memoryMB int           // that the process may take, 0 for no bound on the list
	slowFrom time.Duration // the time of a message from which on the module is told, 0 for never
	timers   timers
	watching bool      // sites that need not be asked: a watch is on or under way
	watchAt  time.Time // when to watch again there
	tick     int
	moveBy   time.Time // all clients are to be gone by then; zero while the node stays
	orders
	starting
	ending

	owed, open atomic.Int64
	givenUp    map[balancer.Reason]int // requests that were refused or failed, by why; the loop's own
}

// New makes a node that knows its settings, the list as it was last held, and where to ask for it.
func New(set settings.Settings, known wire.EndpointList, discovery string, outside Transport, log *zap.Logger) *Node {
	n := &Node{set: set, brain: balancer.New(set.Settings), outside: outside, log: log, monitor: invariant.NewMonitor(log), base: time.Now(), discovery: discovery,
		events: make(chan event, 1024), done: make(chan struct{}),
		reqs: map[balancer.RequestID]*request{}, givenUp: map[balancer.Reason]int{}, members: map[balancer.ServerID]*member{},
		orders: orders{overrides: map[balancer.ServerID]bool{}, returning: map[balancer.ServerID]time.Duration{}}, starting: starting{empty: make(chan struct{}), dead: map[string]time.Time{}},
		classes: index(set.ClassNames), tenants: index(set.TenantNames), zones: index(set.ZoneNames)}
	// The simulator tells of messages that take over a third of the shortest aim, so the module expects that.
	for _, c := range set.Classes {
		if from := c.MessageLatencyObjective / 3; from > 0 && (n.slowFrom == 0 || from < n.slowFrom) {
			n.slowFrom = from
		}
	}
	n.list(&known, balancer.ListCached, false)
	n.revision = known.Revision
	return n
}

func index(names []string) map[string]int {
	out := make(map[string]int, len(names))
	for i, name := range names {
		out[name] = i
	}
	return out
}

// now is the node's clock: Unix time as of the start, moved on by the monotonic clock alone, so that
// a step of the machine's clock moves no timer.
func (n *Node) now() time.Duration { return n.at(time.Now()) }

func (n *Node) at(t time.Time) time.Duration {
	return time.Duration(n.base.UnixNano()) + t.Sub(n.base)
}

// observeClock looks whether the machine's clock was stepped. Nothing but the listed starts of hosts hangs on it.
func (n *Node) observeClock(now time.Time) {
	if n.wall.observe(time.Duration(now.UnixNano()), n.at(now)) {
		n.log.Warn("the machine's clock was stepped", zap.Duration("from the node's own clock", n.wall.offsets[0]))
	}
}

// Run is the loop. It ends with the context.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	ticks := time.NewTicker(tickEvery)
	defer ticks.Stop()
	if !n.set.PollList && n.start == nil {
		n.watch()
	}
	for {
		timer.Reset(min(n.timers.wait(n.now()), n.endsIn(time.Now()), n.callIn()))
		select {
		case <-ctx.Done():
			return nil
		case e := <-n.events:
			n.guard(func() { n.take(e) })
		case <-timer.C:
		case now := <-ticks.C:
			n.guard(func() { n.pulse(now) })
		}
		now := n.now() // one reading: timers set meanwhile wait for the next turn
		for token, due := n.timers.next(now); due; token, due = n.timers.next(now) {
			n.guard(func() { n.decide(balancer.Timer{Token: token}) })
		}
		if n.callIn() == 0 {
			n.guard(n.ask)
		}
		if n.endsIn(time.Now()) == 0 {
			n.guard(n.conclude)
		}
	}
}

// guard keeps a failure in the handling of one event from ending the node, which would cut off every
// client; the request at fault is answered by its connection's own backstop.
func (n *Node) guard(f func()) {
	defer func() {
		if p := recover(); p != nil {
			n.queue = n.queue[:0]
			n.log.Error("an event could not be handled", zap.Any("panic", p), zap.ByteString("stack", debug.Stack()))
		}
	}()
	f()
}

// take handles one event.
func (n *Node) take(e event) {
	r := n.reqs[e.id]
	if r != nil && e.port != nil && r.port != e.port && e.kind != evArrive && e.kind != evResume {
		r = nil // the request belongs to another connection, which must not feel it
	}
	switch e.kind {
	case evArrive, evResume, evInherit, evConnected, evWritten, evOpened, evSettled, evLoad, evGone:
		n.takeRequest(e, r)
	case evList, evFollow, evWatchFailed, evPinged:
		n.takeList(e)
	case evMoveAll:
		n.moveBy = e.until
	case evFacts:
		e.tell <- n.facts() // has room
	case evLearn:
		n.learn(e.facts)
	case evLeave, evWord, evView:
		n.order(e)
	case evBeat, evPassed, evHeard, evStart:
		n.starts(e)
	case evEnd:
		n.endsAt = e.until
	}
	n.closeUp(e.id, n.reqs[e.id])
}

// takeList handles what discovery and the pings tell.
func (n *Node) takeList(e event) {
	switch e.kind {
	case evList:
		kind := balancer.ListDelta
		if e.list.Complete {
			kind = balancer.ListSnapshot
		}
		n.list(e.list, kind, e.call != n.call)
		if e.call == n.call { // a version of the discovery that was left means nothing to the one that is followed
			n.revision = e.list.Revision
			n.told()
		}
	case evFollow:
		// The module hears of it by the list alone: neither the end of the old watch nor a list that is not
		// there yet is a failure, and what is known of the hosts holds until the new list is there.
		n.discovery, n.revision = e.text, NoRevision
		if n.start != nil {
			n.service.Store(&e.text)
			n.start.SetService(n.now(), e.text)
			n.ask()
			return
		}
		n.watch()
	case evWatchFailed:
		if e.call != n.call { // it was given up for another, which is to tell
			return
		}
		if n.start != nil {
			n.start.CallFailed(n.now(), e.took)
			return
		}
		if n.set.PollList {
			n.decide(balancer.ListEvent{Kind: balancer.ListFailed, Revision: n.revision})
			return
		}
		n.watching, n.watchAt = false, time.Now().Add(rewatch(n.set.NodeIndex))
	case evPinged:
		if m := n.members[balancer.ServerID(e.id)]; m != nil {
			n.pinged(m, e.took)
		}
	}
}

// decide hands an event to the module and carries out its actions, and those of what follows from them.
func (n *Node) decide(ev balancer.Event) {
	n.queue = append(n.queue, ev)
	for i := 0; i < len(n.queue); i++ {
		for _, a := range n.brain.Handle(n.now(), n.queue[i]) {
			n.act(a)
		}
	}
	clear(n.queue)
	n.queue = n.queue[:0]
}

func (n *Node) act(a balancer.Action) {
	switch a := a.(type) {
	case balancer.Send:
		n.send(a)
	case balancer.Reject:
		if r := n.reqs[a.ID]; r != nil && !r.answered {
			n.answer(r)
			n.gaveUp(a.ID, r, true, a.Reason)
			r.port.Reject(a.RetryAfter)
			n.drop(a.ID, r)
		}
	case balancer.Fail:
		if r := n.reqs[a.ID]; r != nil && !r.answered {
			n.answer(r)
			n.gaveUp(a.ID, r, false, a.Reason)
			r.port.Fail()
			n.drop(a.ID, r)
		}
	case balancer.Cancel:
		if r := n.reqs[a.ID]; r != nil && r.out && !r.up {
			r.port.Cancel(a.Attempt)
		}
	case balancer.Migrate:
		if r := n.reqs[a.ID]; r != nil {
			n.move(r)
		}
	case balancer.SetTimer:
		n.timers.add(a.At, a.Token)
	case balancer.WatchList:
		if n.start != nil { // it paces the calls; the module wishes for one
			n.ask()
			return
		}
		n.watch()
	case balancer.Log:
		n.log.Info(a.Text)
	}
}

func (n *Node) watch() {
	n.watching = true
	n.call++
	after := n.revision
	if n.doubt {
		after = NoRevision
	}
	n.outside.Watch(ListRequest{Sequence: n.call, Addr: n.discovery, AfterRevision: after})
}
