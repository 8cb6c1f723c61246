package node

import (
	"time"

	"onyxstream/balancer"
	"onyxstream/internal/coldstart"
	"onyxstream/internal/wire"
)

// The events of connections and discovery, as one flat type: a report of load costs no memory.
type kind uint8

const (
	evArrive kind = iota
	evInherit
	evConnected
	evWritten
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
	id      balancer.RequestID
	attempt int
	took    time.Duration
	outcome balancer.Outcome
	load    float64
	port    ClientConn
	opening *wire.Opening
	until   time.Time
	at      time.Time
	list    *wire.EndpointList
	call    uint64
	reply   chan resumePoint
	view    chan View
	facts   []PingBaseline
	tell    chan []PingBaseline
	text    string
	away    *DrainPlan
	must    bool
	verdict chan error
	passed  *PeerList
	use     chan bool
	state   chan coldstart.State
}

// post hands an event to the loop. Once the loop has ended, events are dropped.
func (n *Node) post(e event) {
	select {
	case n.events <- e:
	case <-n.done:
	}
}

// RequestArrived tells of a client's first line; until is when the client stops waiting.
func (n *Node) RequestArrived(o *wire.Opening, until time.Time, p ClientConn) {
	n.post(event{kind: evArrive, id: balancer.RequestID(o.ID), opening: o, until: until, port: p})
}

// Whatever a connection tells of its request, it tells with its own port: the id is the client's to choose, and a
// second client with the id of an open request must not speak for the first.

// ConnectionInherited tells of a connection that stood at its host before the run and is up there again; Resume came before.
func (n *Node) ConnectionInherited(o *wire.Opening, p ClientConn) {
	n.post(event{kind: evInherit, id: balancer.RequestID(o.ID), opening: o, port: p})
}

// AttemptConnected asks whether an attempt whose connection has come up may still be written.
func (n *Node) AttemptConnected(id balancer.RequestID, p ClientConn, attempt int) {
	n.post(event{kind: evConnected, id: id, port: p, attempt: attempt})
}

// ConnectionEstablished tells that a host has taken the connection.
func (n *Node) ConnectionEstablished(id balancer.RequestID, p ClientConn, attempt int, took time.Duration) {
	n.post(event{kind: evOpened, id: id, port: p, attempt: attempt, took: took})
}

// AttemptEnded tells how an attempt ended; its connection must be closed by then.
func (n *Node) AttemptEnded(id balancer.RequestID, p ClientConn, attempt int, took time.Duration, outcome balancer.Outcome) {
	e := settledEvent(id, attempt, outcome)
	e.took, e.port = took, p
	n.post(e)
}

func settledEvent(id balancer.RequestID, attempt int, outcome balancer.Outcome) event {
	return event{kind: evSettled, id: id, attempt: attempt, outcome: outcome}
}

// ReportLoad tells a connection's load.
func (n *Node) ReportLoad(id balancer.RequestID, p ClientConn, load float64) {
	n.post(event{kind: evLoad, id: id, port: p, load: load})
}

// ClientDisconnected tells that nothing more is owed to a client, and how many sends its connection has taken: a later one
// is on its way to no one, and is settled here.
func (n *Node) ClientDisconnected(id balancer.RequestID, p ClientConn, taken int) {
	n.post(event{kind: evGone, id: id, port: p, attempt: taken})
}

// resumePoint is where a connection stands that stood before the run.
type resumePoint struct {
	addr string // "" where that is not known yet
	ok   bool   // it may be taken up
}

// ResumeConnection takes in a connection that stood at its host before the run and asks where that is, "" where that is not
// known yet; false where its id is held already, or the loop has ended. Inherit or Gone must follow.
func (n *Node) ResumeConnection(o *wire.Opening, p ClientConn) (addr string, ok bool) {
	reply := make(chan resumePoint, 1)
	n.post(event{kind: evResume, id: balancer.RequestID(o.ID), opening: o, port: p, reply: reply})
	select {
	case at := <-reply:
		return at.addr, at.ok
	case <-n.done:
		return "", false
	}
}

// HasClassAndTenant reports whether the settings have the class and the tenant that a client names. It may be asked from
// anywhere: the names never change.
func (n *Node) HasClassAndTenant(o *wire.Opening) bool {
	_, class := n.classIndex[o.Class]
	_, tenant := n.tenantIndex[o.Tenant]
	return class && (tenant || len(n.tenantIndex) == 0)
}

// ListReceived hands over news that a call to discovery brought.
func (n *Node) ListReceived(call uint64, c *wire.EndpointList) {
	n.post(event{kind: evList, call: call, list: c})
}

// WatchFailed tells that a call to discovery failed, or that its watch broke, and when discovery said to come again: 0
// where it did not say.
func (n *Node) WatchFailed(call uint64, after time.Duration) {
	n.post(event{kind: evWatchFailed, call: call, took: after})
}

// SetDiscoveryAddr has the list asked for at another address from now on.
func (n *Node) SetDiscoveryAddr(addr string) { n.post(event{kind: evFollow, text: addr}) }

// PingCompleted tells what a message took at a host, or that no answer came in that time; below 0 where the host could
// not be asked, which says nothing of its messages.
func (n *Node) PingCompleted(id balancer.ServerID, took time.Duration) {
	n.post(event{kind: evPinged, id: balancer.RequestID(id), took: took})
}

// MigrateAll sends all clients away, spread evenly over the time there is.
func (n *Node) MigrateAll(by time.Time) { n.post(event{kind: evMoveAll, until: by}) }

// InFlightRequests tells how many requests wait for their final answer; Open how many connections stand.
func (n *Node) InFlightRequests() int64 { return n.inFlight.Load() }

// EstablishedConnections tells how many connections stand.
func (n *Node) EstablishedConnections() int64 { return n.established.Load() }
