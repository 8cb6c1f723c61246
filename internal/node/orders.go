package node

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"onyxstream/brain"
	"onyxstream/internal/wire"
)

// What operators order of a node while it runs. The module is told by events and decides who is turned away and moved;
// here is only what must hold whatever it decides: nothing new is written once the grace of a drain has run.

// orders is what holds.
type orders struct {
	leaving   atomic.Bool // the node drains: it is not ready
	leavingAt time.Time   // since when
	words     map[brain.ServerID]bool
}

// mostWords bounds the hosts of which an operator's word is held.
const mostWords = 1024

// Leave has the node take nothing new and send away what stands, all by a time; those turned away are told to come
// again after so long. Off ends that. It returns once the loop has taken it in, or has ended.
func (n *Node) Leave(on bool, by time.Time, after time.Duration) {
	n.leaving.Store(on)
	n.wait(event{kind: evLeave, until: by, took: after, attempt: flag(on)})
}

// Leaving reports whether the node drains.
func (n *Node) Leaving() bool { return n.leaving.Load() }

// Word is an operator's word that a host drains, whatever the list says, or the end of that. A host that is not known
// yet is held to it when it comes. It returns once the loop has taken it in, or has ended.
func (n *Node) Word(id brain.ServerID, drains bool) {
	n.wait(event{kind: evWord, id: brain.RequestID(id), attempt: flag(drains)})
}

func flag(on bool) int {
	if on {
		return 1
	}
	return 0
}

// wait posts an event and waits until the loop has handled it.
func (n *Node) wait(e event) {
	e.reply = make(chan place, 1)
	n.post(e)
	select {
	case <-e.reply:
	case <-n.done:
	}
}

// HostView is a host as the loop knows it.
type HostView struct {
	ID    brain.ServerID
	State brain.ServerState
	Word  bool
	Open  int // connections that stand there through this node
}

// View is how the node is.
type View struct {
	Revision int64
	Hosts    []HostView // by id
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
		on := e.attempt == 1
		if on && n.leavingAt.IsZero() {
			n.leavingAt = time.Now()
		} else if !on {
			n.leavingAt = time.Time{}
		}
		n.decide(brain.Leave{On: on, By: n.at(e.until), After: e.took})
	case evWord:
		n.word(brain.ServerID(e.id), e.attempt == 1)
	case evView:
		e.view <- n.view() // has room
		return
	}
	e.reply <- place{}
}

func (n *Node) word(id brain.ServerID, drains bool) {
	switch {
	case !drains:
		delete(n.words, id)
	case len(n.words) >= mostWords:
		n.log.Warn("words on too many hosts are held: this one is not", zap.String("host", string(id)))
		return
	default:
		n.words[id] = true
	}
	if m := n.members[id]; m != nil && m.state != brain.Gone {
		n.list(&wire.Catalog{Revision: n.revision, Members: []wire.Member{m.listed}}, brain.ListChange)
	}
}

// worded is the state that holds for a member: the list's, or what an operator says of it.
func (n *Node) worded(id brain.ServerID, listed brain.ServerState) brain.ServerState {
	if listed == brain.Live && n.words[id] {
		return brain.Draining
	}
	return listed
}

// late reports whether the node drains, and its own grace has run: nothing new may be written any more.
func (n *Node) late() bool {
	return !n.leavingAt.IsZero() && time.Since(n.leavingAt) >= n.set.DrainGrace-graceMargin
}

func (n *Node) view() View {
	v := View{Revision: n.revision}
	open := map[brain.ServerID]int{}
	for _, r := range n.reqs {
		if r.up && r.out {
			open[r.on.id]++
		}
	}
	for id, m := range n.members {
		v.Hosts = append(v.Hosts, HostView{ID: id, State: m.state, Word: n.words[id], Open: open[id]})
	}
	slices.SortFunc(v.Hosts, func(a, b HostView) int { return cmp.Compare(a.ID, b.ID) })
	return v
}
