package proxy

import (
	"errors"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/netio"
	"onyxstream/internal/wire"
)

// Connections that stand can go from one process of the node to the next without a break: here they are brought to rest
// between two lines, and here a process takes up what another one has brought to rest. How the sockets get from one to
// the other is package sharedstate's.

// EstablishedConn is a connection that stands, at rest: what a process needs to go on with it.
type EstablishedConn struct {
	Line         string // the client's first line
	Host         string // the host's id
	Client, Peer *net.TCPConn
	Partial      []byte  // of a line from the host that has not come whole yet
	Load         float64 // by its last report, 0 for none
}

// quiescence is a connection's way to rest. Both goroutines of it wait there until it is decided what becomes of it.
type quiescence struct {
	hostStopped, clientStopped chan struct{}
	decided                    chan struct{}
	handedOff                  bool   // another process has it
	partial                    []byte // by the relay, before hostAt is closed
	midLine                    bool   // likewise: a line is passed on in pieces
	load                       float64
	conn                       *conn
	host                       *net.TCPConn
}

// quiesceTimeout is how long a connection is given to come to rest: one whose client or host does not take what is for it
// stays where it is.
const quiesceTimeout = 50 * time.Millisecond

// maxFailedHandOffs is how often a connection that could not be handed over is asked again: each time holds its lines back.
const maxFailedHandOffs = 8

// Quiesce brings up to n connections that stand to rest, and returns with them what becomes of each: with true it is
// another process's, with false it goes on here. None may be forgotten: their clients wait.
func (d *Proxy) Quiesce(n int) (out []EstablishedConn, done []func(handed bool)) {
	var parked []*quiescence
	d.mu.Lock()
	for c := range d.conns {
		if len(parked) == n {
			break
		}
		if p := c.beginQuiesce(); p != nil {
			parked = append(parked, p)
		}
	}
	d.mu.Unlock()
	late := time.NewTimer(quiesceTimeout)
	defer late.Stop()
	over := false
	for _, p := range parked {
		for _, at := range []chan struct{}{p.hostStopped, p.clientStopped} {
			if over {
				break
			}
			select {
			case <-at:
			case <-late.C:
				over = true
			}
		}
		if !p.complete() {
			p.decide(false)
			continue
		}
		out = append(out, EstablishedConn{Line: p.conn.opening.Line(), Host: p.conn.hostID, Client: p.conn.client, Peer: p.host,
			Partial: p.partial, Load: p.load})
		done = append(done, p.decide)
	}
	return out, done
}

// beginQuiesce begins to bring a connection to rest; nil where it does not stand, or ends.
func (c *conn) beginQuiesce() *quiescence {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.host == nil || c.quiescing != nil || c.isEnding() || c.failedHandOffs >= maxFailedHandOffs {
		return nil
	}
	c.quiescing = &quiescence{conn: c, host: c.host, hostStopped: make(chan struct{}), clientStopped: make(chan struct{}), decided: make(chan struct{})}
	_ = c.host.SetReadDeadline(netio.Expired)
	_ = c.client.SetReadDeadline(netio.Expired)
	return c.quiescing
}

// isEnding reports whether the connection is on its way to its end; mu is held.
func (c *conn) isEnding() bool {
	return c.aborted || c.readingStopped || c.migrating.Load() || c.clientClosed.Load() || c.clientReset.Load()
}

// complete reports whether both goroutines wait, between two lines.
func (p *quiescence) complete() bool {
	for _, at := range []chan struct{}{p.hostStopped, p.clientStopped} {
		select {
		case <-at:
		default:
			return false
		}
	}
	return !p.midLine
}

// decide ends the rest.
func (p *quiescence) decide(handed bool) {
	p.conn.mu.Lock()
	p.handedOff = handed
	p.conn.quiescing = nil
	if p.conn.readingStopped = p.conn.readingStopped || handed; !handed { // one that went over is not brought to rest again while it ends here
		p.conn.failedHandOffs++
	}
	p.conn.mu.Unlock()
	close(p.decided)
}

// awaitHandOff is where the goroutines of a connection wait, each after a read that has run out of time; host tells which, and
// says what the parking is to know of its side. goOn is true where it is to read on, handed where another process has
// the connection now.
func (c *conn) awaitHandOff(side *net.TCPConn, host bool, say func(*quiescence)) (goOn, handed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		p := c.quiescing
		switch {
		case c.isEnding():
			return false, false
		case p == nil:
			_ = side.SetReadDeadline(time.Time{})
			return true, false
		}
		if say(p); host {
			close(p.hostStopped)
		} else {
			close(p.clientStopped)
		}
		c.mu.Unlock()
		<-p.decided
		c.mu.Lock()
		if p.handedOff {
			return false, true
		} // it may be brought to rest again already
	}
}

// releaseHandedOff ends this process's part of a connection that another one has. Its sockets are closed here and stay open
// there: nothing may be said on them, nor set.
func (c *conn) releaseHandedOff(host *net.TCPConn, attempt int, start time.Time) {
	_ = host.Close()
	c.proxy.node.AttemptEnded(c.requestID, c, attempt, time.Since(start), balancer.Cancelled)
}

var errShutDown = errors.New("the driver ends")

// Adopt goes on with a connection that another process had. One with which it can't is sent away: it rests between two
// lines, and its client has nobody else any more.
func (d *Proxy) Adopt(s EstablishedConn) error {
	err := d.adopt(s)
	if err != nil {
		closeWithMessage(s.Client, wire.Migration)
		_ = s.Peer.Close()
	}
	return err
}

func (d *Proxy) adopt(s EstablishedConn) error {
	kind, open, err := wire.ParseOpening([]byte(s.Line))
	if err != nil || kind != wire.OpeningRequest || len(s.Partial) > wire.BufferSize/2 {
		return errors.New("it is no connection's")
	}
	open.CurrentHost = s.Host
	c := d.newConn(s.Client, time.Now())
	c.opening, c.requestID, c.hostID, c.host = open, balancer.RequestID(open.ID), s.Host, s.Peer
	c.replyCounted.Store(true) // by the process that brought it up
	close(c.established)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return errShutDown
	}
	d.admitted++
	d.metrics.openClients.Add(1)
	c.admitted = true
	d.start(c, func() { c.serveAdopted(s) })
	return nil
}

// serveAdopted is the life of a connection that was adopted.
func (c *conn) serveAdopted(s EstablishedConn) {
	start, told := time.Now(), false
	defer c.client.Close()
	defer func() {
		if p := recover(); p != nil {
			c.proxy.log.Error("a connection failed badly", zap.Any("panic", p), zap.Stack("stack"))
			c.abort()
			if told {
				c.proxy.node.AttemptEnded(c.requestID, c, 0, 0, balancer.ConnectionReset)
			}
		}
	}()
	if _, ok := c.proxy.node.ResumeConnection(&c.opening, c); !ok {
		c.proxy.log.Info("a connection's id is held already")
		c.abort()
		return
	}
	told = true
	c.proxy.node.ConnectionInherited(&c.opening, c)
	if s.Load > 0 {
		c.load = s.Load
		c.proxy.node.ReportLoad(c.requestID, c, s.Load)
	}
	var host, client wire.LineBuffer
	host.Advance(copy(host.Space(), s.Partial))
	defer client.Release()
	var reader sync.WaitGroup
	reader.Add(1)
	go func() {
		defer reader.Done()
		defer c.proxy.caught("reading a client failed badly")
		c.forwardClient(&client)
	}()
	defer reader.Wait()
	defer c.releaseClient()
	c.relay(s.Peer, &host, nil, 0, start)
}

// PendingOpenings tells how many clients hold a connection here that is neither up nor wanted: they have said nothing whole yet,
// or have had their last word and not left. A front that has asked how the node is, and says nothing now, is none.
func (d *Proxy) PendingOpenings() (unheard int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for e := d.unadmitted.Front(); e != nil; e = e.Next() {
		if !e.Value.(*conn).idle.Load() {
			unheard++
		}
	}
	return unheard
}
