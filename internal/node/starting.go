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
	start   *coldstart.Scheduler
	service atomic.Pointer[string] // the name that all nodes know the list service by
	part    coldstart.Phase
	// doubt says that a drain is kept which a list that was passed on has lifted: the service is asked for the whole list,
	// as what has changed since that list's number would not tell of it.
	doubt bool
	// guessed is when hosts pass for started, by the node's clock, while the list is one that nobody has confirmed
	// since this node's start: it can't tell which were started with it, and all are, after a power cut. 0 for not.
	guessed time.Duration
	// dead are hosts that could not be connected to while the list is such: a dial of one node spares the others theirs.
	dead    map[string]time.Time
	holding atomic.Pointer[CachedList]
	empty   chan struct{} // closed with the first list that is held
}

// CachedList is the list as the node holds it, for whoever passes it on or keeps it. It is never changed.
type CachedList struct {
	Service      string
	Source       coldstart.Source
	List         wire.EndpointList // complete; as the service told it, without the words of this node's operators
	Confirmed    time.Time         // when the service last told or confirmed it
	Replaced     chan struct{}     // closed once another one is held
	AssumedStart bool              // nobody has confirmed it since the node's start
	Unreachable  []UnreachableHost // hosts to which this node, or one that told it, could not connect of late
}

// UnreachableHost is a host of an old list to which a node could not connect.
type UnreachableHost struct {
	ID      string
	FoundAt time.Time // of the dial
}

// mostDead bounds the hosts of which that is kept and passed on.
const mostDead = 4096

// PeerList is a list that another node passed on, or the word that it has the same one.
type PeerList struct {
	Offer       coldstart.Offer
	List        *wire.EndpointList // nil for the word alone
	Unreachable []UnreachableHost
	Peer        string    // who passed it on
	At          time.Time // when Offer.Age was true
}

// EnableColdStart turns the cold start on. It is called before Run.
func (n *Node) EnableColdStart(s *coldstart.Scheduler, service string) {
	n.start = s
	n.service.Store(&service)
	if n.start.State(n.now()).Phase == coldstart.StaleList {
		n.guessed = n.at(n.base)
		n.list(n.whole(), balancer.ListCached, false)
	}
	n.publish(n.whole())
	n.step()
}

// CachedList is the list that the node holds; nil while it has none, or where its cold start is off. It waits for nothing.
func (n *Node) CachedList() *CachedList { return n.holding.Load() }

// ListService is the name of the list service that the node asks now.
func (n *Node) ListService() string { return *n.service.Load() }

// ListAvailable is closed once there is a list.
func (n *Node) ListAvailable() <-chan struct{} { return n.empty }

// Heartbeat tells that discovery said that a watch stands.
func (n *Node) Heartbeat(call uint64) {
	if n.start != nil {
		n.post(event{kind: evBeat, call: call})
	}
}

// ReceivePeerList hands over what another node passed on, and reports whether it was of use: whoever goes on asking one whose list
// is passed over would do so without a pause, as that is newer than what is held each time.
func (n *Node) ReceivePeerList(p PeerList) bool {
	use := make(chan bool, 1)
	n.post(event{kind: evPassed, passed: &p, use: use})
	select {
	case ok := <-use:
		return ok
	case <-n.done:
		return false
	}
}

// PeerContacted tells that another node answered though it had nothing to pass on.
func (n *Node) PeerContacted() { n.post(event{kind: evHeard}) }

// ColdStartState tells how the cold start stands; ok is false where it is off, or the loop has ended.
func (n *Node) ColdStartState() (s coldstart.State, ok bool) {
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
	return n.start.NextCallIn(n.now())
}

// ask calls the service where its time has come.
func (n *Node) ask() {
	if n.start.CallDue(n.now()) {
		n.watch()
	}
	if h := n.holding.Load(); h != nil && len(n.buried()) < len(h.Unreachable) {
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
		if e.call == n.call && n.start.Heartbeat(n.now()) {
			n.publish(nil)
		}
	case evHeard:
		n.start.PeerContacted(n.now())
	case evStart:
		e.state <- n.start.State(n.now()) // has room
	case evPassed:
		n.start.PeerContacted(n.now())
		use := false
		defer func() { e.use <- use }() // has room; also where this fails, as who asks waits for it
		use = n.offered(*e.passed)
		n.heardDead(e.passed.Unreachable)
	}
	n.step()
}

// told notes that the service told a list.
func (n *Node) told() {
	if n.start == nil {
		return
	}
	n.doubt = false
	n.start.ListReceived(n.now(), n.revision, len(n.listed()))
	n.sure()
	n.publish(n.whole())
	n.step()
}

// offered judges what another node passed on, and takes it in. It reports whether it was of use.
func (n *Node) offered(p PeerList) bool {
	now := n.now()
	p.Offer.Age += time.Since(p.At)
	if p.List != nil {
		p.Offer.Hosts = len(p.List.Endpoints)
	} else if h := n.holding.Load(); h != nil && h.Service == n.ListService() && n.revision == p.Offer.Revision {
		p.Offer.Hosts = len(h.List.Endpoints) // it says that it has the same; after a change of services that means nothing
	}
	verdict, why := n.start.ConsiderPeerList(now, p.Offer)
	switch verdict {
	case coldstart.Ignore:
		n.log.Debug("a list that was passed on is of no use", zap.String("from", p.Peer), zap.String("why", why))
		return false
	case coldstart.Adopt:
		told := *p.List // what is passed on is the service's word, not what this node makes of it
		held := n.keepDrains(p.List)
		n.log.Info("a list was passed on", zap.String("from", p.Peer), zap.Int64("revision", p.Offer.Revision),
			zap.Duration("age", p.Offer.Age), zap.Int("hosts", len(p.List.Endpoints)), zap.Int("drains kept", held))
		n.list(p.List, balancer.ListSnapshot, false)
		n.revision = p.Offer.Revision
		if held > 0 { // the service is to say whether they are over
			n.doubt = true
			n.start.MarkStale(now)
		}
		n.publish(&told)
	}
	if n.start.State(now).Phase == coldstart.CurrentList {
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
		if c.SetupLatencyObjective > 0 && (aim == 0 || c.SetupLatencyObjective < aim) {
			aim = c.SetupLatencyObjective
		}
	}
	return 8*aim + 4*aim*time.Duration(n.set.NodeIndex%16)/16
}

// unreached notes that a dial of this node came to nothing. What holds for it alone is passed on only while the list is
// old: a list that the service confirms is a better word on who is there.
func (n *Node) unreached(m *member) {
	if n.guessed > 0 {
		n.heardDead([]UnreachableHost{{string(m.id), time.Now()}})
	}
}

// heardDead shuns the hosts that were found dead, and passes that on.
func (n *Node) heardDead(all []UnreachableHost) {
	span, ev := n.shunFor(), wire.EndpointList{Revision: n.revision}
	for _, d := range all {
		m, left := n.members[balancer.ServerID(d.ID)], span-time.Since(d.FoundAt)
		at, known := n.dead[d.ID]
		if known && !d.FoundAt.After(at) || m == nil || m.out || left <= 0 || n.guessed == 0 || len(n.dead) >= mostDead {
			continue
		}
		n.dead[d.ID] = d.FoundAt
		ev.Endpoints = append(ev.Endpoints, m.listed)
	}
	if len(ev.Endpoints) > 0 {
		n.list(&ev, balancer.ListDelta, false)
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
func (n *Node) buried() (out []UnreachableHost) {
	span := n.shunFor()
	for id, at := range n.dead {
		if time.Since(at) >= span {
			delete(n.dead, id)
			continue
		}
		out = append(out, UnreachableHost{id, at})
	}
	slices.SortFunc(out, func(a, b UnreachableHost) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// sure ends the guess at when hosts were started: what is held says so now.
func (n *Node) sure() {
	if n.guessed > 0 {
		n.guessed = 0
		clear(n.dead)
		n.list(n.whole(), balancer.ListSnapshot, false)
	}
}

// keepDrains has hosts drain in a list that was passed on which this node was told to drain: only the service itself, or
// a later start of the host, lifts that. It returns how many.
func (n *Node) keepDrains(list *wire.EndpointList) (held int) {
	list.Endpoints = slices.Clone(list.Endpoints)
	for i, e := range list.Endpoints {
		m := n.members[balancer.ServerID(e.ID)]
		if m != nil && !m.out && m.listed.Phase == wire.Draining && e.Phase == wire.Serving && e.StartedAtMS <= m.since {
			list.Endpoints[i].Phase = wire.Draining
			held++
		}
	}
	return held
}

// listed are the hosts of the list, by id.
func (n *Node) listed() (all []wire.Endpoint) {
	for _, m := range n.members {
		if !m.out {
			all = append(all, m.listed)
		}
	}
	slices.SortFunc(all, func(a, b wire.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return all
}

// whole is the list as this node holds it.
func (n *Node) whole() *wire.EndpointList {
	return &wire.EndpointList{Revision: n.revision, Complete: true, Endpoints: n.listed()}
}

// publish shows what is held to those who pass it on and keep it: another list, or nil where the same was confirmed.
func (n *Node) publish(list *wire.EndpointList) {
	now := n.now()
	s := n.start.State(now)
	was := n.holding.Load()
	if s.Phase == coldstart.NoList {
		return
	}
	h := &CachedList{Service: n.ListService(), Source: s.Source, Confirmed: time.Now().Add(-s.Age), Replaced: make(chan struct{}), AssumedStart: n.guessed > 0, Unreachable: n.buried()}
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
		close(was.Replaced)
	} else {
		close(n.empty)
	}
}

// step notes, once, that the start has come to another part.
func (n *Node) step() {
	s := n.start.State(n.now())
	if s.Phase == n.part {
		return
	}
	n.part = s.Phase
	n.log.Info("the start came to another part", zap.Stringer("list", s.Phase), zap.String("source", string(s.Source)), zap.Int64("revision", s.Revision),
		zap.Duration("age", s.Age), zap.Int("calls", s.Calls), zap.Int("failed", s.Failed))
}
