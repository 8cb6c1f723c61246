package node

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/wire"
)

// hostRecord is a host as the node knows it.
type hostRecord struct {
	id          balancer.ServerID
	addr        string
	startedAtMS int64         // its last start, as listed
	startedAt   time.Duration // the same by the node's clock, as reckoned when it was told; 0 for long ago
	state       balancer.ServerState
	notifiedAt  time.Time     // when it was told to drain or be gone
	endpoint    wire.Endpoint // as the list has it
	unlisted    bool          // the list does not have it any more
	// slowStartSends is when it was sent something within the last FallWindow, while it is cold; in order.
	slowStartSends []time.Time

	// How messages fare there, see pulse.
	latencySamples  []time.Duration
	representative  balancer.RequestID // one of the connections that stand there, "" for none
	pingSentAt      time.Time          // when the ping went out that has no answer yet
	reportedSlow    bool               // the last note was over the bound
	skipPing        bool               // no ping this second: one every other will do while it is well
	bestPing        time.Duration      // the shortest ping so far, 0 for none
	unconfirmedPing time.Duration      // a slow ping that another is to confirm, 0 for none
	backlog         time.Duration      // what is reckoned to be piled up there
}

const (
	// writeMargin is for the connection's own turn on a busy core, between the loop's word and the first byte.
	writeMargin = 20 * time.Millisecond
	// graceMargin is what must be left of a grace: the whole process may be held up in between as well.
	graceMargin = balancer.MaxSchedulingDelay + writeMargin
	// retryMargin is the same at the end of the time in which repeats are dropped, which allows for hold-ups.
	retryMargin = writeMargin
	// removedHostTTL is how long a member that is gone keeps its address, for attempts under way.
	removedHostTTL = time.Minute
)

var stateOfPhase = map[wire.Phase]balancer.ServerState{
	wire.Serving: balancer.Live, wire.Draining: balancer.Draining, wire.Removed: balancer.Removed,
}

// applyList takes in news of the hosts and tells the module; behind says that a later call to discovery was made.
func (n *Node) applyList(c *wire.EndpointList, kind balancer.ListKind, behind bool) {
	now := time.Now()
	n.observeClock(now)
	c = n.limitToMemory(c)
	ev := balancer.ListEvent{Kind: kind, Revision: c.Revision, Superseded: behind, Servers: make([]balancer.Server, 0, len(c.Endpoints))}
	named := make(map[balancer.ServerID]bool, len(c.Endpoints))
	for _, e := range c.Endpoints {
		id := balancer.ServerID(e.ID)
		named[id] = true
		m := n.hosts[id]
		if m == nil {
			m = &hostRecord{id: id}
			n.hosts[id] = m
		}
		if m.addr = e.Addr; m.startedAtMS != e.StartedAtMS { // a host that has restarted is not what it was
			m.startedAtMS, m.bestPing, m.unconfirmedPing, m.backlog = e.StartedAtMS, 0, 0, 0
			m.startedAt = n.wallClock.started(e.StartedAtMS, n.clockTime(now))
		}
		m.endpoint, m.unlisted = e, e.Phase == wire.Removed
		m.setState(n.effectiveState(id, stateOfPhase[e.Phase]), now)
		s := balancer.Server{ID: id, Zone: -1, Cell: e.Cell, State: m.state, Weight: e.Size,
			StartedAt: max(m.startedAt, n.reenabledAt[id], n.assumedStartAt), AssumedStart: n.assumedStartAt > 0, EjectFor: n.unreachableFor(id)}
		if z, ok := n.zoneIndex[e.Zone]; ok {
			s.Zone = z
		}
		ev.Servers = append(ev.Servers, s)
	}
	for id, m := range n.hosts {
		if (kind == balancer.ListSnapshot || kind == balancer.ListCached) && !named[id] {
			m.setState(balancer.Removed, now)
			m.unlisted = true
		}
		if m.state == balancer.Removed && now.Sub(m.notifiedAt) > removedHostTTL {
			delete(n.hosts, id)
		}
	}
	n.decide(ev)
	n.countHosts()
}

// setState notes a member's state; the grace runs from the first word that it leaves.
func (m *hostRecord) setState(state balancer.ServerState, now time.Time) {
	if m.state == balancer.Live && state != balancer.Live {
		m.notifiedAt = now
	}
	m.state = state
}

// hostAcceptsWrites reports whether the rules still let a line be sent to a member: the dial may have taken
// longer than the grace had left.
func (n *Node) hostAcceptsWrites(m *hostRecord) bool {
	return m.state == balancer.Live || time.Since(m.notifiedAt) < n.settings.DrainGrace-graceMargin
}

// retryAllowed reports whether an attempt may still be written where an earlier one may have run: the module chose it within
// the time in which repeats are dropped, and the dial may have taken longer than that had left.
func (n *Node) retryAllowed(r *request) bool {
	if r.mayHaveExecutedAt.IsZero() || r.class < 0 {
		return true
	}
	switch c := n.settings.Classes[r.class]; c.Effect {
	case balancer.Idempotent:
		return true
	case balancer.IdempotentByKey:
		return time.Since(r.mayHaveExecutedAt) < c.IdempotencyWindow-retryMargin
	}
	return false
}

const (
	tickInterval        = 250 * time.Millisecond
	ticksPerMeasurement = 4 // ticks: the simulator tells of slow messages once a second
	// maxHostsCountedEachTick is how many hosts are counted at each tick; more are once a second, as that is most of what a node with
	// thousands of hosts does.
	maxHostsCountedEachTick = 512
	// unresponsiveAfter is how long a message may wait for anything from its host, and still at the next tick: a node that
	// itself stood still has taken in by then what the host had said. Hosts answer lines at once, however much is
	// piled up there, so most of the protocol's seven seconds would be lost to the client, counted from a message
	// that may itself come two seconds after the host fell silent.
	unresponsiveAfter = 750 * time.Millisecond
)

// handleTick looks after what stands: hosts that have gone silent, clients that are to leave, and, once a
// second, the time that messages take at each host.
func (n *Node) handleTick(now time.Time) {
	n.tickCount++
	n.observeClock(now)
	measure := n.tickCount%ticksPerMeasurement == 0
	if measure || len(n.hosts) <= maxHostsCountedEachTick { // what the module avoids changes with time
		n.countHosts()
	}
	if n.scheduler != nil {
		n.callIfDue()
	} else if !n.settings.PollList && !n.watching && now.After(n.nextWatchAt) {
		n.watch()
	}
	n.migrateNextBatch(now)
	if measure {
		for _, m := range n.hosts {
			m.representative = ""
		}
	}
	for id, r := range n.requests {
		if !r.established || !r.attemptInFlight || r.migrating {
			continue
		}
		p := r.conn.MessageStats(now)
		if was := r.unresponsive; p.OldestWait <= unresponsiveAfter {
			r.unresponsive = false
		} else if r.unresponsive = true; was {
			n.log.Info("a host says nothing: its client is moved", zap.String("host", string(r.host.id)),
				zap.Duration("silent", p.OldestWait))
			n.migrate(r)
		}
		if !measure {
			continue
		}
		m := r.host
		if m.representative == "" || id < m.representative { // whichever way the map is walked, the same one speaks for all
			m.representative = id
		}
		if p.Answered != r.countedMessages {
			r.countedMessages = p.Answered
			m.latencySamples = append(m.latencySamples, p.LastLatency)
		}
		// One that waits longer than is well tells as much as an answer that took that long.
		if p.OldestWait > n.slowMessageThreshold {
			m.latencySamples = append(m.latencySamples, p.OldestWait)
		}
	}
	if measure && n.slowMessageThreshold > 0 {
		n.measureLatency(now)
	}
}

// measureLatency finds out, once a second, what a message takes at each host where clients stand. Where the settings
// promise that and allow probes, a ping tells: a host answers lines on open connections at once, however much
// is piled up. Elsewhere the middle one of the second's messages counts: one that met a hiccup of this
// machine is no news of the host.
func (n *Node) measureLatency(now time.Time) {
	var ids []balancer.ServerID // of hosts at which clients stand: of a large fleet they are few
	for id, m := range n.hosts {
		if m.representative != "" {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		m := n.hosts[id]
		all := m.latencySamples
		m.latencySamples = m.latencySamples[:0]
		switch {
		case n.pingsEnabled():
			if m.skipPing = !m.skipPing && !m.reportedSlow; m.skipPing {
				continue
			}
			if m.pingSentAt.IsZero() {
				n.sendPing(m, now)
			} else {
				n.reportLatency(m, now.Sub(m.pingSentAt))
			}
		case len(all) > 0:
			slices.Sort(all)
			n.reportLatency(m, all[(len(all)-1)/2])
		}
	}
}

// pingsEnabled reports whether pings time the messages.
func (n *Node) pingsEnabled() bool {
	return n.settings.ReportsLatency && n.settings.MayProbe && n.slowMessageThreshold > 0
}

func (n *Node) sendPing(m *hostRecord, now time.Time) {
	if n.transport.Ping(m.id, m.addr) { // one that was never sent must not pass for one without an answer
		m.pingSentAt = now
	}
}

// pingNewHost pings a host with its first connection. Its best is what all later pings are held against, and a host
// that was first pinged in a crowd passed for well as long as the crowd stayed.
func (n *Node) pingNewHost(m *hostRecord) {
	if n.pingsEnabled() && m.bestPing == 0 && m.pingSentAt.IsZero() {
		n.sendPing(m, time.Now())
	}
}

// healthyPingFraction is the part of the shortest aim that a message is taken to last at a host whose ping is at its
// best. A ping is a piece of work like a message, of a size that the node can't know; what both show is how
// much slower than its best a host is. So a host is told as slow from a third over its best on, and is at the
// half of the aim, from which on the module acts, at twice. From there on, were it half used at its best, it is
// asked more than it can do, and what is asked beyond that piles up, second by second, until it is asked less: a ping
// beside the queue does not show the pile, and the module cuts by how fast messages grow late. Without it a host at
// a ninth of its pace kept most of its clients until it broke them all, and one at 2.5 times its best shed one a
// second while more came.
const (
	healthyPingFraction = 1.0 / 4
	slowPingInterval    = time.Second     // between two pings of a slow host
	maxBacklog          = 4 * time.Second // more is not reckoned: it would be remembered long after the pile is gone
)

// handlePingResult takes in what a ping took. A slow one of a host that was well is confirmed by another at once: one
// that met a hiccup of this machine is no news of the host.
func (n *Node) handlePingResult(m *hostRecord, took time.Duration) {
	m.pingSentAt = time.Time{}
	if took < 0 {
		return
	}
	if m.bestPing == 0 || took < m.bestPing {
		m.bestPing = took
	}
	confirmed := m.unconfirmedPing > 0
	if confirmed {
		took, m.unconfirmedPing = min(took, m.unconfirmedPing), 0
	}
	message := took - m.bestPing // the way there and back is no part of it: zones may lie far apart
	slower := 1.0
	if message > n.slowMessageThreshold/16 { // less is jitter of the way there and back
		slower = float64(took) / float64(m.bestPing)
		message = max(message, time.Duration(slower*healthyPingFraction*float64(3*n.slowMessageThreshold)))
	}
	if message > n.slowMessageThreshold && !m.reportedSlow && !confirmed {
		m.unconfirmedPing = took
		n.sendPing(m, time.Now())
		return
	}
	if message <= n.slowMessageThreshold {
		m.backlog = 0
	} else {
		m.backlog = min(max(m.backlog+time.Duration((slower/2-1)*float64(slowPingInterval)), 0), maxBacklog)
	}
	n.reportLatency(m, message+m.backlog)
}

// reportLatency tells the module what a message takes at a host where that is slow, and once more when it is well.
func (n *Node) reportLatency(m *hostRecord, took time.Duration) {
	was := m.reportedSlow
	if m.reportedSlow = took > n.slowMessageThreshold; (m.reportedSlow || was) && m.representative != "" {
		n.decide(balancer.LatencyReport{ID: m.representative, Latency: took})
	}
}

// migrateNextBatch sends away the part of the clients whose turn has come, where the node is to be gone soon.
func (n *Node) migrateNextBatch(now time.Time) {
	if n.migrateAllBy.IsZero() {
		return
	}
	turns := max(int(n.migrateAllBy.Sub(now)/tickInterval), 1)
	most := (int(n.established.Load()) + turns - 1) / turns
	for _, r := range n.requests {
		if most == 0 {
			return
		}
		if r.established && r.attemptInFlight && !r.migrating {
			n.migrate(r)
			most--
		}
	}
}

// MaxRewatchDelay is the longest that a node waits before it watches again where the list need not be asked for.
const MaxRewatchDelay = 300*time.Millisecond + 7*50*time.Millisecond + tickInterval

// rewatchDelay is how long it does, but for the tick that comes then; nodes that lost it together come back apart.
func rewatchDelay(index int) time.Duration {
	return 300*time.Millisecond + time.Duration(index%8)*50*time.Millisecond
}
