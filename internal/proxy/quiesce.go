package proxy

import (
	"net"
	"time"

	"onyxstream/balancer"
	"onyxstream/internal/netio"
)

// This file quiesces established connections so that a hot restart can hand them off to the node's next process. Both
// goroutines of a connection stop at a point where the client has received complete lines only. Then the connection is
// either handed off or resumed here. Package hotrestart passes the sockets.

// EstablishedConn is a quiesced connection, with all that another process needs to resume it.
type EstablishedConn struct {
	Line             string       // the client's opening line
	Host             string       // the host's id
	Client, HostConn *net.TCPConn // the connections to the client and to the host
	Partial          []byte       // the incomplete line that the host has sent
	Load             float64      // load in the host's last load report; 0 if there was none
}

const (
	// quiesceTimeout bounds the wait for connections to stop. A connection whose client or host does not read is not
	// handed off.
	quiesceTimeout = 50 * time.Millisecond
	// maxFailedHandOffs bounds how often a connection is quiesced without being handed off, because quiescing delays
	// its messages.
	maxFailedHandOffs = 8
)

// quiescence is the state of a connection that is being quiesced. Both goroutines of the connection wait until decided
// is closed.
type quiescence struct {
	conn          *conn
	host          *net.TCPConn
	hostStopped   chan struct{} // closed by the relay
	clientStopped chan struct{} // closed by forwardClient
	decided       chan struct{}
	handedOff     bool // set before decided is closed

	// The relay sets these before it closes hostStopped.
	partial []byte  // the incomplete line that the host has sent
	midLine bool    // the client has received part of a line, or the connection is about to end
	load    float64 // load in the host's last load report
}

// Quiesce quiesces up to n established connections. It returns those that stopped in time, and for each of them a
// function that ends its wait. The caller passes true if another process has the connection, and false if the
// connection is to be resumed here. The caller must call every function, because the clients wait.
func (p *Proxy) Quiesce(n int) (conns []EstablishedConn, decide []func(handedOff bool)) {
	pending := p.beginQuiesce(n)
	timeout := time.NewTimer(quiesceTimeout)
	defer timeout.Stop()
	expired := false
	for _, q := range pending {
		expired = expired || !q.await(timeout.C)
		if !q.complete() {
			q.decide(false)
			continue
		}
		conns = append(conns, q.establishedConn())
		decide = append(decide, q.decide)
	}
	return conns, decide
}

// beginQuiesce begins to quiesce up to n established connections.
func (p *Proxy) beginQuiesce(n int) (pending []*quiescence) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if len(pending) == n {
			break
		}
		if q := c.beginQuiesce(); q != nil {
			pending = append(pending, q)
		}
	}
	return pending
}

// beginQuiesce begins to quiesce a connection. It returns nil if the connection is not established, is quiesced
// already, is closing, or has reached maxFailedHandOffs.
func (c *conn) beginQuiesce() *quiescence {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.host == nil || c.quiescing != nil || c.isClosing() || c.failedHandOffs >= maxFailedHandOffs {
		return nil
	}
	c.quiescing = &quiescence{
		conn:          c,
		host:          c.host,
		hostStopped:   make(chan struct{}),
		clientStopped: make(chan struct{}),
		decided:       make(chan struct{}),
	}
	_ = c.host.SetReadDeadline(netio.Expired)
	_ = c.client.SetReadDeadline(netio.Expired)
	return c.quiescing
}

// isClosing reports whether the connection is about to end. The caller holds mu.
func (c *conn) isClosing() bool {
	return c.aborted || c.readingStopped || c.migrating.Load() || c.clientClosed.Load() || c.clientReset.Load()
}

// await waits until both goroutines have stopped, and reports false if timeout fires first.
func (q *quiescence) await(timeout <-chan time.Time) bool {
	for _, stopped := range []chan struct{}{q.hostStopped, q.clientStopped} {
		select {
		case <-stopped:
		case <-timeout:
			return false
		}
	}
	return true
}

// complete reports whether both goroutines have stopped, and the client has received complete lines only.
func (q *quiescence) complete() bool {
	for _, stopped := range []chan struct{}{q.hostStopped, q.clientStopped} {
		select {
		case <-stopped:
		default:
			return false
		}
	}
	return !q.midLine
}

func (q *quiescence) establishedConn() EstablishedConn {
	return EstablishedConn{
		Line:     q.conn.opening.Line(),
		Host:     q.conn.hostID,
		Client:   q.conn.client,
		HostConn: q.host,
		Partial:  q.partial,
		Load:     q.load,
	}
}

// decide ends the wait of both goroutines. The connection was handed off, or is resumed here.
func (q *quiescence) decide(handedOff bool) {
	q.conn.mu.Lock()
	q.handedOff = handedOff
	q.conn.quiescing = nil
	if handedOff {
		q.conn.handedOff = true
		q.conn.readingStopped = true // prevents another quiesce while the connection ends here
	} else {
		q.conn.failedHandOffs++
	}
	q.conn.mu.Unlock()
	close(q.decided)
}

// readerAction tells a goroutine what to do after its read timed out.
type readerAction uint8

const (
	keepReading   readerAction = iota // the connection was not handed off
	stopClosing                       // the connection is closing
	stopHandedOff                     // another process has the connection
)

// awaitHandOff waits until the hand-off of a quiescing connection is decided. Each goroutine of the connection calls it
// after a read from its side timed out. stopped records in the quiescence that the goroutine has stopped.
func (c *conn) awaitHandOff(side *net.TCPConn, stopped func(*quiescence)) readerAction {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		q := c.quiescing
		switch {
		case c.isClosing():
			return stopClosing
		case q == nil:
			_ = side.SetReadDeadline(time.Time{})
			return keepReading
		}
		stopped(q)
		c.mu.Unlock()
		<-q.decided
		c.mu.Lock()
		if q.handedOff {
			return stopHandedOff
		}
		// The connection may be quiescing again already.
	}
}

// releaseHandedOff ends a handed-off connection in this process. The sockets are closed here but stay open in the other
// process, so this process must neither write to them nor set their options.
func (c *conn) releaseHandedOff(host *net.TCPConn, attempt int, start time.Time) {
	_ = host.Close()
	c.proxy.node.AttemptEnded(c.requestID, c, attempt, time.Since(start), balancer.Cancelled)
}
