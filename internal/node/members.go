package node

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/wire"
)

// member is a host as the node knows it.
type member struct {
	id     balancer.ServerID
	addr   string
	since  int64         // its last start, as listed
	start  time.Duration // the same by the node's clock, as reckoned when it was told; 0 for long ago
	state  balancer.ServerState
	toldAt time.Time     // when it was told to drain or be gone
	listed wire.Endpoint // as the list has it
	out    bool          // the list does not have it any more
	// sentCold is when it was sent something within the last FallWindow, while it is cold; in order.
	sentCold []time.Time

	// How messages fare there, see pulse.
	took   []time.Duration
	some   balancer.RequestID // one of the connections that stand there, "" for none
	pinged time.Time          // when the ping went out that has no answer yet
	slow   bool               // the last note was over the bound
	rest   bool               // no ping this second: one every other will do while it is well
	best   time.Duration      // the shortest ping so far, 0 for none
	doubt  time.Duration      // a slow ping that another is to confirm, 0 for none
	pile   time.Duration      // what is reckoned to be piled up there
}

const (
	// turnMargin is for the connection's own turn on a busy core, between the loop's word and the first byte.
	turnMargin = 20 * time.Millisecond
	// graceMargin is what must be left of a grace: the whole process may be held up in between as well.
	graceMargin = balancer.MaxSchedulingDelay + turnMargin
	// repeatMargin is the same at the end of the time in which repeats are dropped, which allows for hold-ups.
	repeatMargin = turnMargin
	// forgetAfter is how long a member that is gone keeps its address, for attempts under way.
	forgetAfter = time.Minute
)

var states = map[wire.Phase]balancer.ServerState{
	wire.Serving: balancer.Live, wire.Draining: balancer.Draining, wire.Removed: balancer.Removed,
}

// list takes in news of the hosts and tells the module; behind says that a later call to discovery was made.
func (n *Node) list(c *wire.EndpointList, kind balancer.ListKind, behind bool) {
	now := time.Now()
	n.observeClock(now)
	c = n.bounded(c)
	ev := balancer.ListEvent{Kind: kind, Revision: c.Revision, Superseded: behind, Servers: make([]balancer.Server, 0, len(c.Endpoints))}
	named := make(map[balancer.ServerID]bool, len(c.Endpoints))
	for _, e := range c.Endpoints {
		id := balancer.ServerID(e.ID)
		named[id] = true
		m := n.members[id]
		if m == nil {
			m = &member{id: id}
			n.members[id] = m
		}
		if m.addr = e.Addr; m.since != e.StartedAtMS { // a host that has restarted is not what it was
			m.since, m.best, m.doubt, m.pile = e.StartedAtMS, 0, 0, 0
			m.start = n.wall.started(e.StartedAtMS, n.at(now))
		}
		m.listed, m.out = e, e.Phase == wire.Removed
		m.tell(n.worded(id, states[e.Phase]), now)
		s := balancer.Server{ID: id, Zone: -1, Cell: e.Cell, State: m.state, Weight: e.Size,
			StartedAt: max(m.start, n.returning[id], n.guessed), AssumedStart: n.guessed > 0, EjectFor: n.unreachableFor(id)}
		if z, ok := n.zones[e.Zone]; ok {
			s.Zone = z
		}
		ev.Servers = append(ev.Servers, s)
	}
	for id, m := range n.members {
		if (kind == balancer.ListSnapshot || kind == balancer.ListCached) && !named[id] {
			m.tell(balancer.Removed, now)
			m.out = true
		}
		if m.state == balancer.Removed && now.Sub(m.toldAt) > forgetAfter {
			delete(n.members, id)
		}
	}
	n.decide(ev)
	n.tally()
}

// tell notes a member's state; the grace runs from the first word that it leaves.
func (m *member) tell(state balancer.ServerState, now time.Time) {
	if m.state == balancer.Live && state != balancer.Live {
		m.toldAt = now
	}
	m.state = state
}

// sendable reports whether the rules still let a line be sent to a member: the dial may have taken
// longer than the grace had left.
func (n *Node) sendable(m *member) bool {
	return m.state == balancer.Live || time.Since(m.toldAt) < n.set.DrainGrace-graceMargin
}

// repeatable reports whether an attempt may still be written where an earlier one may have run: the module chose it within
// the time in which repeats are dropped, and the dial may have taken longer than that had left.
func (n *Node) repeatable(r *request) bool {
	if r.mayHave.IsZero() || r.class < 0 {
		return true
	}
	switch c := n.set.Classes[r.class]; c.Effect {
	case balancer.Idempotent:
		return true
	case balancer.IdempotentByKey:
		return time.Since(r.mayHave) < c.IdempotencyWindow-repeatMargin
	}
	return false
}

const (
	tickEvery = 250 * time.Millisecond
	noteEvery = 4 // ticks: the simulator tells of slow messages once a second
	// talliedOften is how many hosts are counted at each tick; more are once a second, as that is most of what a node with
	// thousands of hosts does.
	talliedOften = 512
	// silence is how long a message may wait for anything from its host, and still at the next tick: a node that
	// itself stood still has taken in by then what the host had said. Hosts answer lines at once, however much is
	// piled up there, so most of the protocol's seven seconds would be lost to the client, counted from a message
	// that may itself come two seconds after the host fell silent.
	silence = 750 * time.Millisecond
)

// pulse looks after what stands: hosts that have gone silent, clients that are to leave, and, once a
// second, the time that messages take at each host.
func (n *Node) pulse(now time.Time) {
	n.tick++
	n.observeClock(now)
	measure := n.tick%noteEvery == 0
	if measure || len(n.members) <= talliedOften { // what the module avoids changes with time
		n.tally()
	}
	if n.start != nil {
		n.ask()
	} else if !n.set.PollList && !n.watching && now.After(n.watchAt) {
		n.watch()
	}
	n.moveSome(now)
	if measure {
		for _, m := range n.members {
			m.some = ""
		}
	}
	for id, r := range n.reqs {
		if !r.up || !r.out || r.leaving {
			continue
		}
		p := r.port.MessageStats(now)
		if was := r.silent; p.OldestWait <= silence {
			r.silent = false
		} else if r.silent = true; was {
			n.log.Info("a host says nothing: its client is moved", zap.String("host", string(r.on.id)),
				zap.Duration("silent", p.OldestWait))
			n.move(r)
		}
		if !measure {
			continue
		}
		m := r.on
		if m.some == "" || id < m.some { // whichever way the map is walked, the same one speaks for all
			m.some = id
		}
		if p.Answered != r.told {
			r.told = p.Answered
			m.took = append(m.took, p.LastLatency)
		}
		// One that waits longer than is well tells as much as an answer that took that long.
		if p.OldestWait > n.slowFrom {
			m.took = append(m.took, p.OldestWait)
		}
	}
	if measure && n.slowFrom > 0 {
		n.measure(now)
	}
}

// measure finds out, once a second, what a message takes at each host where clients stand. Where the settings
// promise that and allow probes, a ping tells: a host answers lines on open connections at once, however much
// is piled up. Elsewhere the middle one of the second's messages counts: one that met a hiccup of this
// machine is no news of the host.
func (n *Node) measure(now time.Time) {
	var ids []balancer.ServerID // of hosts at which clients stand: of a large fleet they are few
	for id, m := range n.members {
		if m.some != "" {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		m := n.members[id]
		all := m.took
		m.took = m.took[:0]
		switch {
		case n.pings():
			if m.rest = !m.rest && !m.slow; m.rest {
				continue
			}
			if m.pinged.IsZero() {
				n.ping(m, now)
			} else {
				n.note(m, now.Sub(m.pinged))
			}
		case len(all) > 0:
			slices.Sort(all)
			n.note(m, all[(len(all)-1)/2])
		}
	}
}

// pings reports whether pings time the messages.
func (n *Node) pings() bool { return n.set.ReportsLatency && n.set.MayProbe && n.slowFrom > 0 }

func (n *Node) ping(m *member, now time.Time) {
	if n.outside.Ping(m.id, m.addr) { // one that was never sent must not pass for one without an answer
		m.pinged = now
	}
}

// meet pings a host with its first connection. Its best is what all later pings are held against, and a host
// that was first pinged in a crowd passed for well as long as the crowd stayed.
func (n *Node) meet(m *member) {
	if n.pings() && m.best == 0 && m.pinged.IsZero() {
		n.ping(m, time.Now())
	}
}

// pingIsWell is the part of the shortest aim that a message is taken to last at a host whose ping is at its
// best. A ping is a piece of work like a message, of a size that the node can't know; what both show is how
// much slower than its best a host is. So a host is told as slow from a third over its best on, and is at the
// half of the aim, from which on the module acts, at twice. From there on, were it half used at its best, it is
// asked more than it can do, and what is asked beyond that piles up, second by second, until it is asked less: a ping
// beside the queue does not show the pile, and the module cuts by how fast messages grow late. Without it a host at
// a ninth of its pace kept most of its clients until it broke them all, and one at 2.5 times its best shed one a
// second while more came.
const (
	pingIsWell = 1.0 / 4
	pingSlow   = time.Second     // between two pings of a slow host
	mostPile   = 4 * time.Second // more is not reckoned: it would be remembered long after the pile is gone
)

// pinged takes in what a ping took. A slow one of a host that was well is confirmed by another at once: one
// that met a hiccup of this machine is no news of the host.
func (n *Node) pinged(m *member, took time.Duration) {
	m.pinged = time.Time{}
	if took < 0 {
		return
	}
	if m.best == 0 || took < m.best {
		m.best = took
	}
	confirmed := m.doubt > 0
	if confirmed {
		took, m.doubt = min(took, m.doubt), 0
	}
	message := took - m.best // the way there and back is no part of it: zones may lie far apart
	slower := 1.0
	if message > n.slowFrom/16 { // less is jitter of the way there and back
		slower = float64(took) / float64(m.best)
		message = max(message, time.Duration(slower*pingIsWell*float64(3*n.slowFrom)))
	}
	if message > n.slowFrom && !m.slow && !confirmed {
		m.doubt = took
		n.ping(m, time.Now())
		return
	}
	if message <= n.slowFrom {
		m.pile = 0
	} else {
		m.pile = min(max(m.pile+time.Duration((slower/2-1)*float64(pingSlow)), 0), mostPile)
	}
	n.note(m, message+m.pile)
}

// note tells the module what a message takes at a host where that is slow, and once more when it is well.
func (n *Node) note(m *member, took time.Duration) {
	was := m.slow
	if m.slow = took > n.slowFrom; (m.slow || was) && m.some != "" {
		n.decide(balancer.LatencyReport{ID: m.some, Latency: took})
	}
}

// moveSome sends away the part of the clients whose turn has come, where the node is to be gone soon.
func (n *Node) moveSome(now time.Time) {
	if n.moveBy.IsZero() {
		return
	}
	turns := max(int(n.moveBy.Sub(now)/tickEvery), 1)
	most := (int(n.open.Load()) + turns - 1) / turns
	for _, r := range n.reqs {
		if most == 0 {
			return
		}
		if r.up && r.out && !r.leaving {
			n.move(r)
			most--
		}
	}
}

// MaxRewatchDelay is the longest that a node waits before it watches again where the list need not be asked for.
const MaxRewatchDelay = 300*time.Millisecond + 7*50*time.Millisecond + tickEvery

// rewatch is how long it does, but for the tick that comes then; nodes that lost it together come back apart.
func rewatch(index int) time.Duration {
	return 300*time.Millisecond + time.Duration(index%8)*50*time.Millisecond
}
