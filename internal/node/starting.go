package node

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/coldstart"
	"onyxstream/internal/wire"
)

// A node's cold start, where its own configuration turns it on: package coldstart decides when the list service is called
// and what of others is believed; here is what carries that out. Without it n.start is nil and the module's own wishes
// are calls.

// starting is the memory of it.
type starting struct {
	start   *coldstart.Start
	service atomic.Pointer[string] // the name that all nodes know the list service by
	part    coldstart.Part
	// doubt says that a drain is kept which a list that was passed on has lifted: the service is asked for the whole list,
	// as what has changed since that list's number would not tell of it.
	doubt bool
	// guessed is when hosts pass for started, by the node's clock, while the list is one that nobody has confirmed
	// since this node's start: it can't tell which were started with it, and all are, after a power cut. 0 for not.
	guessed time.Duration
	// dead are hosts that could not be connected to while the list is such: a dial of one node spares the others theirs.
	dead    map[string]time.Time
	holding atomic.Pointer[Holding]
	empty   chan struct{} // closed with the first list that is held
}

// Holding is the list as the node holds it, for whoever passes it on or keeps it. It is never changed.
type Holding struct {
	Service   string
	Source    coldstart.Source
	List      wire.Catalog  // complete; as the service told it, without the words of this node's operators
	Confirmed time.Time     // when the service last told or confirmed it
	Fresh     chan struct{} // closed once another one is held
	Guessed   bool          // nobody has confirmed it since the node's start
	Dead      []Dead        // hosts to which this node, or one that told it, could not connect of late
}

// Dead is a host of an old list to which a node could not connect.
type Dead struct {
	ID string
	At time.Time // of the dial
}

// mostDead bounds the hosts of which that is kept and passed on.
const mostDead = 4096

// Passed is a list that another node passed on, or the word that it has the same one.
type Passed struct {
	Offer coldstart.Offer
	List  *wire.Catalog // nil for the word alone
	Dead  []Dead
	From  string    // who passed it on
	At    time.Time // when Offer.Age was true
}

// Cold turns the cold start on. It is called before Run.
func (n *Node) Cold(s *coldstart.Start, service string) {
	n.start = s
	n.service.Store(&service)
	if n.start.State(n.now()).Part == coldstart.Old {
		n.guessed = n.at(n.base)
		n.list(n.whole(), balancer.ListCached, false)
	}
	n.publish(n.whole())
	n.step()
}

// Holding is the list that the node holds; nil while it has none, or where its cold start is off. It waits for nothing.
func (n *Node) Holding() *Holding { return n.holding.Load() }

// Service is the name of the list service that the node asks now.
func (n *Node) Service() string { return *n.service.Load() }

// Empty is closed once there is a list.
func (n *Node) Empty() <-chan struct{} { return n.empty }

// Beat tells that discovery said that a watch stands.
func (n *Node) Beat(call uint64) {
	if n.start != nil {
		n.post(event{kind: evBeat, call: call})
	}
}

// PassedOn hands over what another node passed on, and reports whether it was of use: whoever goes on asking one whose list
// is passed over would do so without a pause, as that is newer than what is held each time.
func (n *Node) PassedOn(p Passed) bool {
	use := make(chan bool, 1)
	n.post(event{kind: evPassed, passed: &p, use: use})
	select {
	case ok := <-use:
		return ok
	case <-n.done:
		return false
	}
}

// Heard tells that another node answered though it had nothing to pass on.
func (n *Node) Heard() { n.post(event{kind: evHeard}) }

// Start tells how the cold start stands; ok is false where it is off, or the loop has ended.
func (n *Node) Start() (s coldstart.State, ok bool) {
	if n.start == nil {
		return s, false
	}
	got := make(chan coldstart.State, 1)
	n.post(event{kind: evStart, state: got})
	select {
	case s = <-got:
		return s, true
	case <-n.done:
		return s, false
	}
}

// callIn is the time until the next call to the service that is planned; an hour where none is. The calls of nodes that began
// in one instant are drawn apart, and would come together at the next turn of tickers that began together.
func (n *Node) callIn() time.Duration {
	if n.start == nil {
		return time.Hour
	}
	return n.start.Wait(n.now())
}

// ask calls the service where its time has come.
func (n *Node) ask() {
	if n.start.Due(n.now()) {
		n.watch()
	}
	if h := n.holding.Load(); h != nil && len(n.buried()) < len(h.Dead) {
		n.publish(nil) // hosts found dead long ago are to be tried again, here and by those who are told
	}
	n.step()
}

// starts takes in the events of a cold start; the loop's own.
func (n *Node) starts(e event) {
	if n.start == nil {
		return
	}
	switch e.kind {
	case evBeat:
		if e.call == n.call && n.start.Beat(n.now()) {
			n.publish(nil)
		}
	case evHeard:
		n.start.Heard(n.now())
	case evStart:
		e.state <- n.start.State(n.now()) // has room
	case evPassed:
		n.start.Heard(n.now())
		use := false
		defer func() { e.use <- use }() // has room; also where this fails, as who asks waits for it
		use = n.offered(*e.passed)
		n.heardDead(e.passed.Dead)
	}
	n.step()
}

// told notes that the service told a list.
func (n *Node) told() {
	if n.start == nil {
		return
	}
	n.doubt = false
	n.start.Told(n.now(), n.revision, len(n.listed()))
	n.sure()
	n.publish(n.whole())
	n.step()
}

// offered judges what another node passed on, and takes it in. It reports whether it was of use.
func (n *Node) offered(p Passed) bool {
	now := n.now()
	p.Offer.Age += time.Since(p.At)
	if p.List != nil {
		p.Offer.Hosts = len(p.List.Members)
	} else if h := n.holding.Load(); h != nil && h.Service == n.Service() && n.revision == p.Offer.Revision {
		p.Offer.Hosts = len(h.List.Members) // it says that it has the same; after a change of services that means nothing
	}
	verdict, why := n.start.Offered(now, p.Offer)
	switch verdict {
	case coldstart.Pass:
		n.log.Debug("a list that was passed on is of no use", zap.String("from", p.From), zap.String("why", why))
		return false
	case coldstart.Take:
		told := *p.List // what is passed on is the service's word, not what this node makes of it
		held := n.keepDrains(p.List)
		n.log.Info("a list was passed on", zap.String("from", p.From), zap.Int64("revision", p.Offer.Revision),
			zap.Duration("age", p.Offer.Age), zap.Int("hosts", len(p.List.Members)), zap.Int("drains kept", held))
		n.list(p.List, balancer.ListFull, false)
		n.revision = p.Offer.Revision
		if held > 0 { // the service is to say whether they are over
			n.doubt = true
			n.start.Doubt(now)
		}
		n.publish(&told)
	}
	if n.start.State(now).Part == coldstart.Current {
		n.sure()
	}
	n.publish(nil)
	return true
}

// shunFor is for how long a host that this node or another found dead gets nothing new: twice as long as the module
// leaves one alone by itself, and up to half as long again by the node's index. So few try it again first, and tell the
// others anew.
func (n *Node) shunFor() time.Duration {
	aim := time.Duration(0)
	for _, c := range n.set.Classes {
		if c.SetupAim > 0 && (aim == 0 || c.SetupAim < aim) {
			aim = c.SetupAim
		}
	}
	return 8*aim + 4*aim*time.Duration(n.set.Index%16)/16
}

// unreached notes that a dial of this node came to nothing. What holds for it alone is passed on only while the list is
// old: a list that the service confirms is a better word on who is there.
func (n *Node) unreached(m *member) {
	if n.guessed > 0 {
		n.heardDead([]Dead{{string(m.id), time.Now()}})
	}
}

// heardDead shuns the hosts that were found dead, and passes that on.
func (n *Node) heardDead(all []Dead) {
	span, ev := n.shunFor(), wire.Catalog{Revision: n.revision}
	for _, d := range all {
		m, left := n.members[balancer.ServerID(d.ID)], span-time.Since(d.At)
		at, known := n.dead[d.ID]
		if known && !d.At.After(at) || m == nil || m.out || left <= 0 || n.guessed == 0 || len(n.dead) >= mostDead {
			continue
		}
		n.dead[d.ID] = d.At
		ev.Members = append(ev.Members, m.listed)
	}
	if len(ev.Members) > 0 {
		n.list(&ev, balancer.ListChange, false)
		n.publish(nil)
	}
}

// unreachableFor is for how long a host is still to get nothing new because another node found it dead.
func (n *Node) unreachableFor(id balancer.ServerID) time.Duration {
	if at, ok := n.dead[string(id)]; ok {
		return max(n.shunFor()-time.Since(at), 0)
	}
	return 0
}

// buried are the hosts found dead of late; older ones are forgotten.
func (n *Node) buried() (out []Dead) {
	span := n.shunFor()
	for id, at := range n.dead {
		if time.Since(at) >= span {
			delete(n.dead, id)
			continue
		}
		out = append(out, Dead{id, at})
	}
	slices.SortFunc(out, func(a, b Dead) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// sure ends the guess at when hosts were started: what is held says so now.
func (n *Node) sure() {
	if n.guessed > 0 {
		n.guessed = 0
		clear(n.dead)
		n.list(n.whole(), balancer.ListFull, false)
	}
}

// keepDrains has hosts drain in a list that was passed on which this node was told to drain: only the service itself, or
// a later start of the host, lifts that. It returns how many.
func (n *Node) keepDrains(list *wire.Catalog) (held int) {
	list.Members = slices.Clone(list.Members)
	for i, e := range list.Members {
		m := n.members[balancer.ServerID(e.ID)]
		if m != nil && !m.out && m.listed.Phase == wire.Draining && e.Phase == wire.Serving && e.UpSince <= m.since {
			list.Members[i].Phase = wire.Draining
			held++
		}
	}
	return held
}

// listed are the hosts of the list, by id.
func (n *Node) listed() (all []wire.Member) {
	for _, m := range n.members {
		if !m.out {
			all = append(all, m.listed)
		}
	}
	slices.SortFunc(all, func(a, b wire.Member) int { return strings.Compare(a.ID, b.ID) })
	return all
}

// whole is the list as this node holds it.
func (n *Node) whole() *wire.Catalog {
	return &wire.Catalog{Revision: n.revision, Complete: true, Members: n.listed()}
}

// publish shows what is held to those who pass it on and keep it: another list, or nil where the same was confirmed.
func (n *Node) publish(list *wire.Catalog) {
	now := n.now()
	s := n.start.State(now)
	was := n.holding.Load()
	if s.Part == coldstart.Empty {
		return
	}
	h := &Holding{Service: n.Service(), Source: s.Source, Confirmed: time.Now().Add(-s.Age), Fresh: make(chan struct{}), Guessed: n.guessed > 0, Dead: n.buried()}
	switch {
	case list != nil:
		h.List = *list
	case was != nil:
		h.List = was.List
	default:
		h.List = *n.whole()
	}
	n.holding.Store(h)
	if was != nil {
		close(was.Fresh)
	} else {
		close(n.empty)
	}
}

// step notes, once, that the start has come to another part.
func (n *Node) step() {
	s := n.start.State(n.now())
	if s.Part == n.part {
		return
	}
	n.part = s.Part
	n.log.Info("the start came to another part", zap.Stringer("list", s.Part), zap.String("source", string(s.Source)), zap.Int64("revision", s.Revision),
		zap.Duration("age", s.Age), zap.Int("calls", s.Calls), zap.Int("failed", s.Failed))
}
