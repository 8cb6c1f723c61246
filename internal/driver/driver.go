// Package driver does the reading and writing: it accepts clients, dials hosts, relays between them
// and follows discovery. What the bytes mean is package wire's, what is done about it package node's.
package driver

import (
	"context"
	"errors"
	"net"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"onyxstream/brain"
	"onyxstream/internal/node"
	"onyxstream/internal/wire"
)

// Config is what the sockets need to know.
type Config struct {
	Sockets        int           // descriptors that the process may hold
	ConnectTimeout time.Duration // a connection that is not up by then counts as none; 0 for no limit
	AnswerSlack    time.Duration // after a client's deadline, the backstop answers
	Patience       time.Duration // a client that does not say how long it waits is taken to wait this long
	MaxRetryAfter  time.Duration // the longest advice that clients follow; 0 where none may be given
	Reports        bool          // hosts tell their load when probed
}

// Descriptors of the budget: a client's connection takes two, its own and its host's. What the
// process itself, discovery and probes need is kept free, and so is room to refuse clients politely.
const (
	perClient = 2
	ownNeed   = 40 // standard streams, poller, listener, watch, probes and pings
	refusals  = 16 // clients that are being refused at one time
)

const (
	firstLine   = 5 * time.Second // a connection that says nothing whole for so long is closed
	idlePing    = 5 * time.Minute // one that has said PING may stay longer
	lingerFor   = 500 * time.Millisecond
	acceptPause = 20 * time.Millisecond // after an accept that failed, as at the descriptor limit
)

// Driver owns the sockets of a node.
type Driver struct {
	cfg  Config
	log  *zap.Logger
	node *node.Node

	mu      sync.Mutex
	conns   map[*conn]struct{}
	used    int // clients within the budget
	refused int // clients being refused
	closed  bool
	pingers map[brain.ServerID]*pinger
	wg      sync.WaitGroup
}

// New makes a driver. Attach must follow before Serve.
func New(cfg Config, log *zap.Logger) *Driver {
	return &Driver{cfg: cfg, log: log, conns: map[*conn]struct{}{}, pingers: map[brain.ServerID]*pinger{}}
}

// Attach names the node that decides.
func (d *Driver) Attach(n *node.Node) { d.node = n }

// Serve accepts clients until the listener is closed. A failing accept pauses it and never ends it.
func (d *Driver) Serve(l *net.TCPListener) error {
	for {
		if d.packed() {
			// Whoever comes now waits in the listener's queue for the moment that a refusal takes: ending the
			// connection without an answer would lose a request.
			d.log.Info("no descriptor is left even to refuse clients: they wait")
			for d.packed() {
				time.Sleep(acceptPause)
			}
		}
		c, err := l.AcceptTCP()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			d.log.Info("a client could not be accepted", zap.Error(err))
			time.Sleep(acceptPause)
			continue
		}
		d.take(c)
	}
}

// room reports whether one more client is within the budget; mu is held.
func (d *Driver) room() bool { return (d.used+1)*perClient+ownNeed+refusals <= d.cfg.Sockets }

// packed reports whether a client could not even be refused.
func (d *Driver) packed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.closed && !d.room() && d.refused >= refusals
}

// begin counts a goroutine; false once the driver has ended.
func (d *Driver) begin() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.closed {
		d.wg.Add(1)
	}
	return !d.closed
}

// take gives an accepted client its goroutine, within the budget or to be refused.
func (d *Driver) take(client *net.TCPConn) {
	_ = client.SetNoDelay(true)
	c := &conn{d: d, client: client, cmds: make(chan command, 8), verdict: make(chan bool, 1),
		gone: make(chan struct{}), up: make(chan struct{}), ended: make(chan struct{})}
	d.mu.Lock()
	if d.closed {
		d.mu.Unlock()
		reset(client)
		return
	}
	if c.within = d.room(); c.within {
		d.used++
	} else {
		d.refused++
	}
	d.conns[c] = struct{}{}
	d.wg.Add(1)
	d.mu.Unlock()
	go func() {
		defer d.wg.Done()
		defer func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			delete(d.conns, c)
			if c.within {
				d.used--
			} else {
				d.refused--
			}
		}()
		c.serve()
	}()
}

// Abort resets all connections, as the end of the process would, and waits for their goroutines.
func (d *Driver) Abort() {
	d.mu.Lock()
	d.closed = true
	for c := range d.conns {
		c.abort()
	}
	for id, p := range d.pingers {
		delete(d.pingers, id)
		close(p.asks)
	}
	d.mu.Unlock()
	d.wg.Wait()
}

// Probe examines a host on a connection of its own.
func (d *Driver) Probe(id brain.ServerID, addr string) {
	if !d.begin() {
		return
	}
	go func() {
		defer d.wg.Done()
		defer d.caught("a probe failed badly")
		start := time.Now()
		outcome, excess := d.probe(addr)
		d.node.Probed(id, outcome, time.Since(start), excess)
	}()
}

const probeWait = 500 * time.Millisecond

func (d *Driver) probe(addr string) (brain.Outcome, float64) {
	dialer := net.Dialer{Timeout: probeWait, KeepAlive: -1}
	c, err := dialer.Dial("tcp", addr)
	if err != nil {
		return brain.NoConnect, -1
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(probeWait))
	ask := "PING\r\n"
	if d.cfg.Reports {
		ask = "STATS\r\n"
	}
	if _, err := c.Write([]byte(ask)); err != nil {
		return brain.Reset, -1
	}
	var in wire.Inbox
	defer in.Free()
	for {
		line, ok, err := in.Next()
		if err != nil {
			return brain.Errored, -1
		}
		if ok {
			if p := wire.ParsePinged(line); p.Well {
				return brain.Served, p.Excess
			}
			return brain.Errored, -1
		}
		n, err := c.Read(in.Space())
		in.Fed(n)
		if n == 0 && err != nil {
			if timedOut(err) {
				return brain.NoAnswer, -1
			}
			return brain.Reset, -1
		}
	}
}

// caught ends a panic where it arose: other connections go on.
func (d *Driver) caught(what string) {
	if p := recover(); p != nil {
		d.log.Error(what, zap.Any("panic", p), zap.ByteString("stack", debug.Stack()))
	}
}

// reset ends a connection by a reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func timedOut(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// isReset tells a connection that the other side broke from one that it ended.
func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

var past = time.Unix(1, 0)

// Listen opens the listener. Multipath TCP is off: neither the front nor the hosts speak it.
func Listen(ctx context.Context, addr string) (*net.TCPListener, error) {
	var cfg net.ListenConfig
	cfg.SetMultipathTCP(false)
	cfg.KeepAlive = -1
	l, err := cfg.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}
