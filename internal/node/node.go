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

	"onyxstream/brain"
	"onyxstream/internal/coldstart"
	"onyxstream/internal/settings"
	"onyxstream/internal/wire"
)

// Port is a client's connection as the loop sees it. None of its methods may block.
type Port interface {
	Send(Attempt)               // start an attempt
	Go(attempt int, ok bool)    // answers Connected: the line may be written, or no more
	Cancel(attempt int)         // withdraw an attempt that has brought no answer
	Refuse(after time.Duration) // final answer BUSY
	Fail()                      // final answer ERR
	Move()                      // send the client away between two lines
	Pulse(now time.Time) Pulse  // how its messages fare
}

// Attempt is what a connection needs to know of a send.
type Attempt struct {
	N       int
	Host    brain.ServerID
	Addr    string
	Timeout time.Duration
}

// Pulse tells how a connection's messages fare.
type Pulse struct {
	Answered uint64        // how many messages have had their answer
	Took     time.Duration // by the last of them
	Waiting  time.Duration // how long the oldest one without an answer has waited; 0 for none
}

// Outside is what the loop needs of the sockets beside its ports. None of it may block.
type Outside interface {
	Watch(Call)                               // ask discovery for the list, and follow it
	Ping(id brain.ServerID, addr string) bool // time a message at a host; false where none is sent
}

// Call is a question to discovery that lasts: for what changed after a version, or for the whole list where
// After is Whole, and for all that follows. Calls count up, and what they bring comes with their number.
type Call struct {
	N     uint64
	Addr  string
	After int64
}

// Whole asks for the whole list: no version is known to the discovery that is asked.
const Whole = -1

// Node is the memory of one node.
type Node struct {
	set     settings.Settings
	brain   *brain.Brain
	outside Outside
	log     *zap.Logger
	base    time.Time
	events  chan event
	done    chan struct{}

	queue   []brain.Event // not yet handled by the module
	reqs    map[brain.RequestID]*request
	members map[brain.ServerID]*member
	classes map[string]int
	tenants map[string]int
	zones   map[string]int

	discovery string // where the list is asked for
	call      uint64 // the last question to it
	revision  int64  // as of its list there, Whole where that knows none of ours

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
}

// request is a client's connection, wanted or open.
type request struct {
	port     Port
	on       *member
	attempts int  // sends so far
	out      bool // the last of them has brought no outcome yet
	up       bool
	answered bool   // has had its final answer
	leaving  bool   // told to move
	mid      bool   // open elsewhere already when it came: no new work
	silent   bool   // a message of it waited too long when last looked at
	told     uint64 // messages of it that were counted

	class   int       // its index in the settings, or -1
	sentAt  time.Time // when the last attempt was sent
	mayHave time.Time // when the first attempt was sent that may have run; zero while none has
}

// The events of connections and discovery, as one flat type: a report of load costs no memory.
type kind uint8

const (
	evArrive kind = iota
	evInherit
	evConnected
	evOpened
	evSettled
	evLoad
	evGone
	evList
	evWatchFailed
	evFollow
	evPinged
	evMoveAll
	evResume
	evLeave
	evWord
	evView
	evFacts
	evLearn
	evBeat
	evPassed
	evHeard
	evStart
	evEnd
)

type event struct {
	kind    kind
	id      brain.RequestID
	attempt int
	took    time.Duration
	outcome brain.Outcome
	load    float64
	port    Port
	opening *wire.Opening
	until   time.Time
	list    *wire.Catalog
	call    uint64
	reply   chan place
	view    chan View
	facts   []Fact
	tell    chan []Fact
	text    string
	away    *Away
	must    bool
	verdict chan error
	passed  *Passed
	use     chan bool
	state   chan coldstart.State
}

// New makes a node that knows its settings, the list as it was last held, and where to ask for it.
func New(set settings.Settings, known wire.Catalog, discovery string, outside Outside, log *zap.Logger) *Node {
	n := &Node{set: set, brain: brain.New(set.Settings), outside: outside, log: log, base: time.Now(), discovery: discovery,
		events: make(chan event, 1024), done: make(chan struct{}),
		reqs: map[brain.RequestID]*request{}, members: map[brain.ServerID]*member{},
		orders: orders{words: map[brain.ServerID]bool{}, backs: map[brain.ServerID]int64{}}, starting: starting{empty: make(chan struct{}), dead: map[string]time.Time{}},
		classes: index(set.ClassNames), tenants: index(set.TenantNames), zones: index(set.ZoneNames)}
	// The simulator tells of messages that take over a third of the shortest aim, so the module expects that.
	for _, c := range set.Classes {
		if from := c.MessageAim / 3; from > 0 && (n.slowFrom == 0 || from < n.slowFrom) {
			n.slowFrom = from
		}
	}
	n.list(&known, brain.ListCached)
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

// post hands an event to the loop. Once the loop has ended, events are dropped.
func (n *Node) post(e event) {
	select {
	case n.events <- e:
	case <-n.done:
	}
}

// Arrive tells of a client's first line; until is when the client stops waiting.
func (n *Node) Arrive(o *wire.Opening, until time.Time, p Port) {
	n.post(event{kind: evArrive, id: brain.RequestID(o.ID), opening: o, until: until, port: p})
}

// Whatever a connection tells of its request, it tells with its own port: the id is the client's to choose, and a
// second client with the id of an open request must not speak for the first.

// Inherit tells of a connection that stood at its host before the run and is up there again; Resume came before.
func (n *Node) Inherit(o *wire.Opening, p Port) {
	n.post(event{kind: evInherit, id: brain.RequestID(o.ID), opening: o, port: p})
}

// Connected asks whether an attempt whose connection has come up may still be written.
func (n *Node) Connected(id brain.RequestID, p Port, attempt int) {
	n.post(event{kind: evConnected, id: id, port: p, attempt: attempt})
}

// Opened tells that a host has taken the connection.
func (n *Node) Opened(id brain.RequestID, p Port, attempt int, took time.Duration) {
	n.post(event{kind: evOpened, id: id, port: p, attempt: attempt, took: took})
}

// Settled tells how an attempt ended; its connection must be closed by then.
func (n *Node) Settled(id brain.RequestID, p Port, attempt int, took time.Duration, outcome brain.Outcome) {
	e := settledEvent(id, attempt, outcome)
	e.took, e.port = took, p
	n.post(e)
}

func settledEvent(id brain.RequestID, attempt int, outcome brain.Outcome) event {
	return event{kind: evSettled, id: id, attempt: attempt, outcome: outcome}
}

// Load tells a connection's load.
func (n *Node) Load(id brain.RequestID, p Port, load float64) {
	n.post(event{kind: evLoad, id: id, port: p, load: load})
}

// Gone tells that nothing more is owed to a client, and how many sends its connection has taken: a later one
// is on its way to no one, and is settled here.
func (n *Node) Gone(id brain.RequestID, p Port, taken int) {
	n.post(event{kind: evGone, id: id, port: p, attempt: taken})
}

// place is where a connection stands that stood before the run.
type place struct {
	addr string // "" where that is not known yet
	ok   bool   // it may be taken up
}

// Resume takes in a connection that stood at its host before the run and asks where that is, "" where that is not
// known yet; false where its id is held already, or the loop has ended. Inherit or Gone must follow.
func (n *Node) Resume(o *wire.Opening, p Port) (addr string, ok bool) {
	reply := make(chan place, 1)
	n.post(event{kind: evResume, id: brain.RequestID(o.ID), opening: o, port: p, reply: reply})
	select {
	case at := <-reply:
		return at.addr, at.ok
	case <-n.done:
		return "", false
	}
}

// Knows reports whether the settings have the class and the tenant that a client names. It may be asked from
// anywhere: the names never change.
func (n *Node) Knows(o *wire.Opening) bool {
	_, class := n.classes[o.Class]
	_, tenant := n.tenants[o.Tenant]
	return class && (tenant || len(n.tenants) == 0)
}

// Listed hands over news that a call to discovery brought.
func (n *Node) Listed(call uint64, c *wire.Catalog) {
	n.post(event{kind: evList, call: call, list: c})
}

// WatchFailed tells that a call to discovery failed, or that its watch broke, and when discovery said to come again: 0
// where it did not say.
func (n *Node) WatchFailed(call uint64, after time.Duration) {
	n.post(event{kind: evWatchFailed, call: call, took: after})
}

// Follow has the list asked for at another address from now on.
func (n *Node) Follow(addr string) { n.post(event{kind: evFollow, text: addr}) }

// Pinged tells what a message took at a host, or that no answer came in that time; below 0 where the host could
// not be asked, which says nothing of its messages.
func (n *Node) Pinged(id brain.ServerID, took time.Duration) {
	n.post(event{kind: evPinged, id: brain.RequestID(id), took: took})
}

// MoveAll sends all clients away, spread evenly over the time there is.
func (n *Node) MoveAll(by time.Time) { n.post(event{kind: evMoveAll, until: by}) }

// Owed tells how many requests wait for their final answer; Open how many connections stand.
func (n *Node) Owed() int64 { return n.owed.Load() }

// Open tells how many connections stand.
func (n *Node) Open() int64 { return n.open.Load() }

// Run is the loop. It ends with the context.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	ticks := time.NewTicker(tickEvery)
	defer ticks.Stop()
	if !n.set.AskList && n.start == nil {
		n.watch()
	}
	for {
		timer.Reset(min(n.timers.wait(n.now()), n.endsIn(time.Now())))
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
			n.guard(func() { n.decide(brain.Timer{Token: token}) })
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
	case evArrive:
		n.arrive(e, r)
	case evResume:
		if r == nil {
			r = &request{port: e.port, answered: true, class: -1}
			n.reqs[e.id] = r
		}
		at := place{ok: r.port == e.port}
		if m := n.members[brain.ServerID(e.opening.At)]; m != nil {
			at.addr = m.addr
		}
		e.reply <- at // has room
	case evInherit:
		if r != nil && !r.up {
			a := n.arrival(e.opening, 0)
			id := brain.ServerID(e.opening.At)
			m := n.members[id]
			if m == nil { // a host that the list has forgotten still has its clients
				m = &member{id: id, state: brain.Gone}
			}
			r.on, r.attempts, r.out, r.up = m, 1, true, true
			n.open.Add(1)
			n.decide(brain.Inherited{Arrival: a, Server: id})
		}
	case evConnected:
		if r != nil {
			r.port.Go(e.attempt, r.out && e.attempt == r.attempts-1 && !n.ended && n.sendable(r.on) && n.repeatable(r) && (r.mid || !n.late()))
		}
	case evOpened:
		if r != nil && r.out && !r.up && e.attempt == r.attempts-1 {
			r.up = true
			n.open.Add(1)
			n.answer(r)
			n.meet(r.on)
			n.decide(brain.Opened{ID: e.id, Attempt: e.attempt, Server: r.on.id, Took: e.took})
			if n.ended && !n.set.Pass { // it came up just before it was withdrawn
				n.move(r)
			}
		}
	case evSettled:
		if r != nil && r.out && e.attempt == r.attempts-1 {
			n.settle(e, r)
		}
	case evLoad:
		if r != nil && r.up {
			n.decide(brain.LoadNote{ID: e.id, Load: e.load})
		}
	case evGone:
		if r != nil && !r.up {
			n.answer(r)
			n.decide(brain.ClientGone{ID: e.id})
			if r.out && r.attempts > e.attempt {
				n.settle(settledEvent(e.id, r.attempts-1, brain.NeverPassed), r)
			}
			n.drop(e.id, r)
		}
	case evList:
		kind := brain.ListChange
		if e.list.Complete {
			kind = brain.ListFull
		}
		n.list(e.list, kind)
		if e.call == n.call { // a version of the discovery that was left means nothing to the one that is followed
			n.revision = e.list.Revision
			n.told()
		}
	case evFollow:
		// The module hears of it by the list alone: neither the end of the old watch nor a list that is not
		// there yet is a failure, and what is known of the hosts holds until the new list is there.
		n.discovery, n.revision = e.text, Whole
		if n.start != nil {
			n.service.Store(&e.text)
			n.start.Follow(n.now(), e.text)
			n.ask()
			return
		}
		n.watch()
	case evWatchFailed:
		if e.call != n.call { // it was given up for another, which is to tell
			return
		}
		if n.start != nil {
			n.start.Failed(n.now(), e.took)
			return
		}
		if n.set.AskList {
			n.decide(brain.ListEvent{Kind: brain.ListFailed, Version: n.revision})
			return
		}
		n.watching, n.watchAt = false, time.Now().Add(rewatch(n.set.Index))
	case evPinged:
		if m := n.members[brain.ServerID(e.id)]; m != nil {
			n.pinged(m, e.took)
		}
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

func (n *Node) arrive(e event, r *request) {
	if r != nil {
		n.log.Info("a connection's id is held already", zap.String("request", e.opening.ID))
		e.port.Fail()
		return
	}
	a := n.arrival(e.opening, n.left(e.until))
	if a.Class < 0 {
		n.log.Info("a client names a class that the settings lack", zap.String("class", e.opening.Class))
		e.port.Fail()
		return
	}
	n.reqs[e.id] = &request{port: e.port, mid: e.opening.Mid, class: a.Class}
	n.owed.Add(1)
	n.decide(a)
}

// arrival puts a client's line in the module's terms; the class is -1 where the settings lack it.
func (n *Node) arrival(o *wire.Opening, left time.Duration) brain.Arrival {
	a := brain.Arrival{ID: brain.RequestID(o.ID), Class: -1, Tenant: -1, Key: o.Key, Left: left, Load: o.Load,
		Retry: o.Retry, MidFlow: o.Mid, Again: o.Again}
	if i, ok := n.classes[o.Class]; ok {
		a.Class = i
	}
	if i, ok := n.tenants[o.Tenant]; ok {
		a.Tenant = i
	}
	if n.set.Groups {
		a.Group = o.Group
	}
	return a
}

func (n *Node) settle(e event, r *request) {
	r.out = false
	if r.mayHave.IsZero() && !e.outcome.ProvesUnrun() {
		r.mayHave = r.sentAt
	}
	if e.outcome == brain.NoConnect || e.outcome == brain.Reset && !r.up {
		n.unreached(r.on)
	}
	final := r.up || r.answered
	if r.up {
		n.open.Add(-1)
	}
	n.decide(brain.Settled{ID: e.id, Attempt: e.attempt, Server: r.on.id, Took: e.took, Outcome: e.outcome, Final: final})
	n.drop(e.id, r)
}

// answer notes that a request has had its final answer.
func (n *Node) answer(r *request) {
	if !r.answered {
		r.answered = true
		n.owed.Add(-1)
	}
}

// drop frees a request that has its answer and no attempt out.
func (n *Node) drop(id brain.RequestID, r *request) {
	if r.answered && !r.out && n.reqs[id] == r {
		delete(n.reqs, id)
	}
}

// decide hands an event to the module and carries out its actions, and those of what follows from them.
func (n *Node) decide(ev brain.Event) {
	n.queue = append(n.queue, ev)
	for i := 0; i < len(n.queue); i++ {
		for _, a := range n.brain.Handle(n.now(), n.queue[i]) {
			n.act(a)
		}
	}
	clear(n.queue)
	n.queue = n.queue[:0]
}

func (n *Node) act(a brain.Action) {
	switch a := a.(type) {
	case brain.Send:
		n.send(a)
	case brain.Refuse:
		if r := n.reqs[a.ID]; r != nil && !r.answered {
			n.answer(r)
			r.port.Refuse(a.RetryAfter)
			n.drop(a.ID, r)
		}
	case brain.Fail:
		if r := n.reqs[a.ID]; r != nil && !r.answered {
			n.answer(r)
			r.port.Fail()
			n.drop(a.ID, r)
		}
	case brain.Cancel:
		if r := n.reqs[a.ID]; r != nil && r.out && !r.up {
			r.port.Cancel(a.Attempt)
		}
	case brain.Move:
		if r := n.reqs[a.ID]; r != nil {
			n.move(r)
		}
	case brain.Wake:
		n.timers.add(a.At, a.Token)
	case brain.Watch:
		if n.start != nil { // it paces the calls; the module wishes for one
			n.ask()
			return
		}
		n.watch()
	case brain.Log:
		n.log.Info(a.Text)
	}
}

// send starts an attempt. One that can't be made is settled at once, as the module waits for exactly
// one outcome of each.
func (n *Node) send(a brain.Send) {
	r := n.reqs[a.ID]
	if r == nil || r.answered {
		n.queue = append(n.queue, brain.Settled{ID: a.ID, Attempt: attemptOf(r), Server: a.Server,
			Outcome: brain.NeverPassed, Final: true})
		return
	}
	m := n.members[a.Server]
	at := r.attempts
	r.attempts++
	if m == nil || m.addr == "" || n.ended {
		n.queue = append(n.queue, brain.Settled{ID: a.ID, Attempt: at, Server: a.Server, Outcome: brain.NeverPassed})
		return
	}
	r.on, r.out, r.sentAt = m, true, time.Now()
	r.port.Send(Attempt{N: at, Host: m.id, Addr: m.addr, Timeout: a.Timeout})
}

// move sends a client away whose connection stands; once is enough.
func (n *Node) move(r *request) {
	if r.up && r.out && !r.leaving {
		r.leaving = true
		r.port.Move()
	}
}

func attemptOf(r *request) int {
	if r == nil {
		return 0
	}
	return r.attempts
}

func (n *Node) watch() {
	n.watching = true
	n.call++
	after := n.revision
	if n.doubt {
		after = Whole
	}
	n.outside.Watch(Call{N: n.call, Addr: n.discovery, After: after})
}
