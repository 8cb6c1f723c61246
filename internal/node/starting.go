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

// coldStartState is the memory of it.
type coldStartState struct {
	scheduler   *coldstart.Scheduler
	service     atomic.Pointer[string] // the name that all nodes know the list service by
	loggedPhase coldstart.Phase
	// needsSnapshot says that a drain is kept which a list that was passed on has lifted: the service is asked for the whole list,
	// as what has changed since that list's number would not tell of it.
	needsSnapshot bool
	// assumedStartAt is when hosts pass for started, by the node's clock, while the list is one that nobody has confirmed
	// since this node's start: it can't tell which were started with it, and all are, after a power cut. 0 for not.
	assumedStartAt time.Duration
	// unreachable are hosts that could not be connected to while the list is such: a dial of one node spares the others theirs.
	unreachable   map[string]time.Time
	cachedList    atomic.Pointer[CachedList]
	listAvailable chan struct{} // closed with the first list that is held
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

// maxUnreachable bounds the hosts of which that is kept and passed on.
const maxUnreachable = 4096

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
	n.scheduler = s
	n.service.Store(&service)
	if n.scheduler.State(n.now()).Phase == coldstart.StaleList {
		n.assumedStartAt = n.clockTime(n.startedAt)
		n.applyList(n.snapshot(), balancer.ListCached, false)
	}
	n.publishList(n.snapshot())
	n.logPhaseChange()
}

// CachedList is the list that the node holds; nil while it has none, or where its cold start is off. It waits for nothing.
func (n *Node) CachedList() *CachedList { return n.cachedList.Load() }

// ListService is the name of the list service that the node asks now.
func (n *Node) ListService() string { return *n.service.Load() }

// ListAvailable is closed once there is a list.
func (n *Node) ListAvailable() <-chan struct{} { return n.listAvailable }

// Heartbeat tells that discovery said that a watch stands.
func (n *Node) Heartbeat(call uint64) {
	if n.scheduler != nil {
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
	if n.scheduler == nil {
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

// nextCallIn is the time until the next call to the service that is planned; an hour where none is. The calls of nodes that began
// in one instant are drawn apart, and would come together at the next turn of tickers that began together.
func (n *Node) nextCallIn() time.Duration {
	if n.scheduler == nil {
		return time.Hour
	}
	return n.scheduler.NextCallIn(n.now())
}

// callIfDue calls the service where its time has come.
func (n *Node) callIfDue() {
	if n.scheduler.CallDue(n.now()) {
		n.watch()
	}
	if h := n.cachedList.Load(); h != nil && len(n.unreachableHosts()) < len(h.Unreachable) {
		n.publishList(nil) // hosts found dead long ago are to be tried again, here and by those who are told
	}
	n.logPhaseChange()
}

// handleColdStartEvent takes in the events of a cold start; the loop's own.
func (n *Node) handleColdStartEvent(e event) {
	if n.scheduler == nil {
		return
	}
	switch e.kind {
	case evBeat:
		if e.call == n.watchSequence && n.scheduler.Heartbeat(n.now()) {
			n.publishList(nil)
		}
	case evHeard:
		n.scheduler.PeerContacted(n.now())
	case evStart:
		e.state <- n.scheduler.State(n.now()) // has room
	case evPassed:
		n.scheduler.PeerContacted(n.now())
		use := false
		defer func() { e.use <- use }() // has room; also where this fails, as who asks waits for it
		use = n.considerPeerList(*e.passed)
		n.mergeUnreachable(e.passed.Unreachable)
	}
	n.logPhaseChange()
}

// recordListReceived notes that the service told a list.
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

// considerPeerList judges what another node passed on, and takes it in. It reports whether it was of use.
func (n *Node) considerPeerList(p PeerList) bool {
	now := n.now()
	p.Offer.Age += time.Since(p.At)
	if p.List != nil {
		p.Offer.Hosts = len(p.List.Endpoints)
	} else if h := n.cachedList.Load(); h != nil && h.Service == n.ListService() && n.revision == p.Offer.Revision {
		p.Offer.Hosts = len(h.List.Endpoints) // it says that it has the same; after a change of services that means nothing
	}
	verdict, why := n.scheduler.ConsiderPeerList(now, p.Offer)
	switch verdict {
	case coldstart.Ignore:
		n.log.Debug("a list that was passed on is of no use", zap.String("from", p.Peer), zap.String("why", why))
		return false
	case coldstart.Adopt:
		told := *p.List // what is passed on is the service's word, not what this node makes of it
		held := n.keepDrainingHosts(p.List)
		n.log.Info("a list was passed on", zap.String("from", p.Peer), zap.Int64("revision", p.Offer.Revision),
			zap.Duration("age", p.Offer.Age), zap.Int("hosts", len(p.List.Endpoints)), zap.Int("drains kept", held))
		n.applyList(p.List, balancer.ListSnapshot, false)
		n.revision = p.Offer.Revision
		if held > 0 { // the service is to say whether they are over
			n.needsSnapshot = true
			n.scheduler.MarkStale(now)
		}
		n.publishList(&told)
	}
	if n.scheduler.State(now).Phase == coldstart.CurrentList {
		n.confirmList()
	}
	n.publishList(nil)
	return true
}

// unreachableDuration is for how long a host that this node or another found dead gets nothing new: twice as long as the module
// leaves one alone by itself, and up to half as long again by the node's index. So few try it again first, and tell the
// others anew.
func (n *Node) unreachableDuration() time.Duration {
	aim := time.Duration(0)
	for _, c := range n.settings.Classes {
		if c.SetupLatencyObjective > 0 && (aim == 0 || c.SetupLatencyObjective < aim) {
			aim = c.SetupLatencyObjective
		}
	}
	return 8*aim + 4*aim*time.Duration(n.settings.NodeIndex%16)/16
}

// recordDialFailure notes that a dial of this node came to nothing. What holds for it alone is passed on only while the list is
// old: a list that the service confirms is a better word on who is there.
func (n *Node) recordDialFailure(m *hostRecord) {
	if n.assumedStartAt > 0 {
		n.mergeUnreachable([]UnreachableHost{{string(m.id), time.Now()}})
	}
}

// mergeUnreachable shuns the hosts that were found dead, and passes that on.
func (n *Node) mergeUnreachable(all []UnreachableHost) {
	span, ev := n.unreachableDuration(), wire.EndpointList{Revision: n.revision}
	for _, d := range all {
		m, left := n.hosts[balancer.ServerID(d.ID)], span-time.Since(d.FoundAt)
		at, known := n.unreachable[d.ID]
		if known && !d.FoundAt.After(at) || m == nil || m.unlisted || left <= 0 || n.assumedStartAt == 0 || len(n.unreachable) >= maxUnreachable {
			continue
		}
		n.unreachable[d.ID] = d.FoundAt
		ev.Endpoints = append(ev.Endpoints, m.endpoint)
	}
	if len(ev.Endpoints) > 0 {
		n.applyList(&ev, balancer.ListDelta, false)
		n.publishList(nil)
	}
}

// unreachableFor is for how long a host is still to get nothing new because another node found it dead.
func (n *Node) unreachableFor(id balancer.ServerID) time.Duration {
	if at, ok := n.unreachable[string(id)]; ok {
		return max(n.unreachableDuration()-time.Since(at), 0)
	}
	return 0
}

// unreachableHosts are the hosts found dead of late; older ones are forgotten.
func (n *Node) unreachableHosts() (out []UnreachableHost) {
	span := n.unreachableDuration()
	for id, at := range n.unreachable {
		if time.Since(at) >= span {
			delete(n.unreachable, id)
			continue
		}
		out = append(out, UnreachableHost{id, at})
	}
	slices.SortFunc(out, func(a, b UnreachableHost) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// confirmList ends the guess at when hosts were started: what is held says so now.
func (n *Node) confirmList() {
	if n.assumedStartAt > 0 {
		n.assumedStartAt = 0
		clear(n.unreachable)
		n.applyList(n.snapshot(), balancer.ListSnapshot, false)
	}
}

// keepDrainingHosts has hosts drain in a list that was passed on which this node was told to drain: only the service itself, or
// a later start of the host, lifts that. It returns how many.
func (n *Node) keepDrainingHosts(list *wire.EndpointList) (held int) {
	list.Endpoints = slices.Clone(list.Endpoints)
	for i, e := range list.Endpoints {
		m := n.hosts[balancer.ServerID(e.ID)]
		if m != nil && !m.unlisted && m.endpoint.Phase == wire.Draining && e.Phase == wire.Serving && e.StartedAtMS <= m.startedAtMS {
			list.Endpoints[i].Phase = wire.Draining
			held++
		}
	}
	return held
}

// listedEndpoints are the hosts of the list, by id.
func (n *Node) listedEndpoints() (all []wire.Endpoint) {
	for _, m := range n.hosts {
		if !m.unlisted {
			all = append(all, m.endpoint)
		}
	}
	slices.SortFunc(all, func(a, b wire.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return all
}

// snapshot is the list as this node holds it.
func (n *Node) snapshot() *wire.EndpointList {
	return &wire.EndpointList{Revision: n.revision, Complete: true, Endpoints: n.listedEndpoints()}
}

// publishList shows what is held to those who pass it on and keep it: another list, or nil where the same was confirmed.
func (n *Node) publishList(list *wire.EndpointList) {
	now := n.now()
	s := n.scheduler.State(now)
	was := n.cachedList.Load()
	if s.Phase == coldstart.NoList {
		return
	}
	h := &CachedList{Service: n.ListService(), Source: s.Source, Confirmed: time.Now().Add(-s.Age), Replaced: make(chan struct{}), AssumedStart: n.assumedStartAt > 0, Unreachable: n.unreachableHosts()}
	switch {
	case list != nil:
		h.List = *list
	case was != nil:
		h.List = was.List
	default:
		h.List = *n.snapshot()
	}
	n.cachedList.Store(h)
	if was != nil {
		close(was.Replaced)
	} else {
		close(n.listAvailable)
	}
}

// logPhaseChange notes, once, that the start has come to another part.
func (n *Node) logPhaseChange() {
	s := n.scheduler.State(n.now())
	if s.Phase == n.loggedPhase {
		return
	}
	n.loggedPhase = s.Phase
	n.log.Info("the start came to another part", zap.Stringer("list", s.Phase), zap.String("source", string(s.Source)), zap.Int64("revision", s.Revision),
		zap.Duration("age", s.Age), zap.Int("calls", s.Calls), zap.Int("failed", s.Failed))
}
