package node

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/wire"
)

// What operators order of a node while it runs. The module is told by events and decides who is turned away and moved;
// here is only what must hold whatever it decides: nothing new is written once the grace of a drain has run.

// operatorState is what holds.
type operatorState struct {
	draining        atomic.Bool // the node drains: it is not ready
	admissionCutoff time.Time   // from when on it takes nothing new; zero while it does not drain
	overrides       map[balancer.ServerID]bool

	reenabledAt map[balancer.ServerID]time.Duration // when hosts were called back, by the node's clock

	// What holds now, for whoever asks without waiting for the loop.
	listedHosts, avoidedHosts atomic.Int64
}

// maxOverrides bounds the hosts of which an operator's word is held.
const maxOverrides = 1024

// commandTimeout bounds the wait for the loop: whoever gives an order has the answer within half a second.
const commandTimeout = 400 * time.Millisecond

// Why an order does not hold.
var (
	ErrLoopBusy      = errors.New("the node did not take it in in time, ask again")
	ErrStopped       = errors.New("the node ends")
	ErrUnknownHost   = errors.New("no host has this id")
	ErrOverrideLimit = fmt.Errorf("words on %d hosts are held, no more can be", maxOverrides)
)

// DrainPlan is how a node drains.
type DrainPlan struct {
	Deadline        time.Time     // what stands is sent away by then
	AdmissionCutoff time.Time     // from then on nothing new is taken; until then the front may not have noticed
	RetryAfter      time.Duration // those turned away are told to come again after so long
	KeepConnections bool          // what stands stays where packets pass through
}

// Drain has the node drain. It returns once the loop has taken it in.
func (n *Node) Drain(a DrainPlan) error {
	return n.postAndWait(event{kind: evLeave, away: &a})
}

// CancelDrain ends a drain, at any point of it.
func (n *Node) CancelDrain() error { return n.postAndWait(event{kind: evLeave}) }

// HostCounts tells how many hosts the list has, and how many of them the node avoids: by an operator's word, by the
// list's, or by the module's choice. It waits for nothing.
func (n *Node) HostCounts() (listed, avoided int64) {
	return n.listedHosts.Load(), n.avoidedHosts.Load()
}

// IsDraining reports whether the node drains.
func (n *Node) IsDraining() bool { return n.draining.Load() }

// SetHostOverride is an operator's word that a host drains, whatever the list says, or the end of that. A host that is not known
// yet is held to it when it comes; with known that is an error. A host is taken to have been restarted at the time at
// which it is called back, or zero for not: whoever takes one out does so for that, and the list tells of it only later.
// It returns once the loop has taken it in.
func (n *Node) SetHostOverride(id balancer.ServerID, drains, known bool, at time.Time) error {
	return n.postAndWait(event{kind: evWord, id: balancer.RequestID(id), attempt: flag(drains), must: known, until: at})
}

func flag(on bool) int {
	if on {
		return 1
	}
	return 0
}

// postAndWait posts an event and waits until the loop has handled it, and says whether it holds.
func (n *Node) postAndWait(e event) error {
	e.verdict = make(chan error, 1)
	late := time.NewTimer(commandTimeout)
	defer late.Stop()
	select {
	case n.events <- e:
	case <-late.C:
		return ErrLoopBusy
	case <-n.done:
		return ErrStopped
	}
	select {
	case err := <-e.verdict:
		return err
	case <-late.C:
		return ErrLoopBusy
	case <-n.done:
		return ErrStopped
	}
}

// HostView is a host as the loop knows it.
type HostView struct {
	ID          balancer.ServerID
	State       balancer.ServerState
	Overridden  bool
	Connections int // connections that stand there through this node
}

// View is how the node is.
type View struct {
	Revision int64
	Hosts    []HostView              // by id
	GivenUp  map[balancer.Reason]int // requests that were refused or failed, by why
}

// View asks the loop how things stand; empty once it has ended.
func (n *Node) View() (v View) {
	got := make(chan View, 1)
	n.post(event{kind: evView, view: got})
	select {
	case v = <-got:
	case <-n.done:
	}
	return v
}

// order takes in an order; the loop's own.
func (n *Node) order(e event) {
	switch e.kind {
	case evLeave:
		if n.shutDown { // no word of operators brings it back
			e.verdict <- ErrStopped
			return
		}
		n.draining.Store(e.away != nil)
		if n.admissionCutoff = (time.Time{}); e.away == nil {
			n.decide(balancer.Drain{})
		} else {
			n.admissionCutoff = e.away.AdmissionCutoff
			n.decide(balancer.Drain{Active: true, Deadline: n.clockTime(e.away.Deadline), AdmissionCutoff: n.clockTime(e.away.AdmissionCutoff), RetryAfter: e.away.RetryAfter,
				KeepConnections: e.away.KeepConnections && n.settings.PassThrough})
		}
		e.verdict <- nil
	case evWord:
		e.verdict <- n.overrideHost(balancer.ServerID(e.id), e.attempt == 1, e.must, e.until)
	case evView:
		e.view <- n.buildView() // has room
	}
}

func (n *Node) overrideHost(id balancer.ServerID, drains, known bool, at time.Time) error {
	m, was := n.hosts[id], n.overrides[id]
	switch {
	case known && m == nil && !was:
		return ErrUnknownHost
	case drains && !was && len(n.overrides) >= maxOverrides:
		n.log.Warn("words on too many hosts are held: this one is not", zap.String("host", string(id)))
		return ErrOverrideLimit
	case drains:
		n.overrides[id] = true
	default:
		delete(n.overrides, id)
		if !at.IsZero() && (was || !known) {
			n.recordReenabled(id, at)
		}
	}
	if m != nil && m.state != balancer.Removed {
		n.applyList(&wire.EndpointList{Revision: n.revision, Endpoints: []wire.Endpoint{m.endpoint}}, balancer.ListOverride, false)
	}
	return nil
}

// recordReenabled notes that a host was called back; what is long past is forgotten.
func (n *Node) recordReenabled(id balancer.ServerID, at time.Time) {
	now := time.Now()
	n.observeClock(now)
	for other, back := range n.reenabledAt {
		if n.clockTime(now)-back > n.settings.SlowStartDuration {
			delete(n.reenabledAt, other)
		}
	}
	if len(n.reenabledAt) < maxOverrides { // the word may be one that another process has written down
		n.reenabledAt[id] = max(n.reenabledAt[id], n.wallClock.started(at.UnixMilli(), n.clockTime(now)))
	}
}

// countHosts counts the hosts of the list, and those that the node avoids now.
func (n *Node) countHosts() {
	listed, avoided := int64(0), int64(0)
	for id, m := range n.hosts {
		if m.unlisted {
			continue
		}
		listed++
		if m.state != balancer.Live || n.balancer.Avoids(id) {
			avoided++
		}
	}
	n.listedHosts.Store(listed)
	n.avoidedHosts.Store(avoided)
}

// effectiveState is the state that holds for a member: the list's, or what an operator says of it.
func (n *Node) effectiveState(id balancer.ServerID, listed balancer.ServerState) balancer.ServerState {
	if listed == balancer.Live && n.overrides[id] {
		return balancer.Draining
	}
	return listed
}

// drainGraceExpired reports whether the node drains, and its own grace has run: nothing new may be written any more.
func (n *Node) drainGraceExpired() bool {
	return !n.admissionCutoff.IsZero() && time.Since(n.admissionCutoff) >= n.settings.DrainGrace-graceMargin
}

func (n *Node) buildView() View {
	v := View{Revision: n.revision, GivenUp: maps.Clone(n.givenUp)}
	open := map[balancer.ServerID]int{}
	for _, r := range n.requests {
		if r.established && r.attemptInFlight {
			open[r.host.id]++
		}
	}
	for id, m := range n.hosts {
		v.Hosts = append(v.Hosts, HostView{ID: id, State: m.state, Overridden: n.overrides[id], Connections: open[id]})
	}
	slices.SortFunc(v.Hosts, func(a, b HostView) int { return cmp.Compare(a.ID, b.ID) })
	return v
}
