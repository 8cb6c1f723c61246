// Package proxy does the reading and writing: it accepts clients, dials hosts, relays between them
// and follows discovery. What the bytes mean is package wire's, what is done about it package node's.
package proxy

import (
	"container/list"
	"context"
	"errors"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/healthcheck"
	"onyxstream/internal/node"
	"onyxstream/internal/wire"
)

// Config is what the sockets need to know.
type Config struct {
	MaxDescriptors      int           // descriptors that the process may hold
	ConnectTimeout      time.Duration // a connection that is not up by then counts as none; 0 for no limit
	AnswerSlack         time.Duration // after a client's deadline, the backstop answers
	DefaultTimeout      time.Duration // a client that does not say how long it waits is taken to wait this long
	MaxRetryAfter       time.Duration // the longest advice that clients follow; 0 where none may be given
	Classes             []string      // that clients can name
	ReservedDescriptors int           // descriptors that others of the process need
}

// Descriptors of the budget: a client's connection takes two, its own and its host's, from when it has said what it
// wants. Before that, and once it has had its last word, it takes one and can be closed for one that comes. What the
// process itself, discovery and probes need is kept free, and so is room to hear clients and refuse them politely.
const (
	descriptorsPerClient = 2
	processDescriptors   = 40 // standard streams, poller, listener, one just accepted, watches, probes and the first pings
	minUnadmitted        = 16 // clients that can always be heard or refused at one time
	unadmittedDivisor    = 8  // the part of all descriptors, one in so many, that such clients may hold
)

const (
	openingTimeout = 2 * time.Second       // a connection that has said nothing whole by then is closed
	evictionGrace  = 20 * time.Millisecond // a client that says nothing for so long may be closed for another one
	maxRapidPings  = 4                     // of one connection that come at once or in haste, sooner than a turn apart
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 64 << 10              // bytes that are read of a client after its last word
	acceptBackoff  = 20 * time.Millisecond // after an accept that failed, as at the descriptor limit
)

// Proxy owns the sockets of a node.
type Proxy struct {
	cfg     Config
	log     *zap.Logger
	node    *node.Node
	metrics *metrics

	mu         sync.Mutex
	conns      map[*conn]struct{}
	admitted   int        // clients that hold two descriptors
	unadmitted *list.List // of *conn: those that hold one, the one that has had its turn for longest first
	closed     bool
	shutdown   chan struct{}       // closed once it ends: who is owed an answer gets it now
	pings      *healthcheck.Pinger // shares the descriptor budget, and mu
	clients    sync.WaitGroup
}

// New makes a driver. Attach must follow before Serve.
func New(cfg Config, log *zap.Logger) *Proxy {
	cfg.MaxDescriptors -= cfg.ReservedDescriptors
	d := &Proxy{cfg: cfg, log: log, metrics: newMetrics(cfg.Classes), unadmitted: list.New(), conns: map[*conn]struct{}{},
		shutdown: make(chan struct{})}
	d.pings = healthcheck.NewPinger(pingBudget{d}, log)
	return d
}

// Attach names the node that decides.
func (d *Proxy) Attach(n *node.Node) {
	d.node = n
	d.pings.Attach(n)
}

// Ping begins to ping a host, and reports false where it does not, for want of a descriptor or because the proxy is shut
// down. It does not block.
func (d *Proxy) Ping(id balancer.ServerID, addr string) bool { return d.pings.Ping(id, addr) }

// pingBudget is the descriptor budget as pings see it.
type pingBudget struct{ d *Proxy }

func (b pingBudget) Lock()                     { b.d.mu.Lock() }
func (b pingBudget) Unlock()                   { b.d.mu.Unlock() }
func (b pingBudget) Fits(descriptors int) bool { return b.d.fits(descriptors) }

// Listener is where clients come from.
type Listener interface{ AcceptTCP() (*net.TCPConn, error) }

// Serve accepts clients until the listener is closed, or a deadline that was set on it is over. A failing accept pauses it and never ends it.
func (d *Proxy) Serve(l Listener) error {
	for {
		client, err := l.AcceptTCP()
		switch {
		case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
			return nil
		case err != nil:
			d.log.Info("a client could not be accepted", zap.Error(err))
			time.Sleep(acceptBackoff)
			continue
		}
		_ = client.SetNoDelay(true)
		for !d.accept(client) {
			// All who are heard have come just now. Whoever comes waits in the listener's queue for their turn to end.
			time.Sleep(evictionGrace / 4)
		}
	}
}

// SetDescriptorLimit sets how many descriptors this process may hold now: while another process of the node is there, both together
// stay within the limit. What is open stays; it is only that less comes.
func (d *Proxy) SetDescriptorLimit(sockets int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cfg.MaxDescriptors = max(sockets, 0) - d.cfg.ReservedDescriptors
}

// baseDescriptors is what a process has open beside its clients, hosts and pings.
const baseDescriptors = 16

// DescriptorsHeld tells how many descriptors this process has.
func (d *Proxy) DescriptorsHeld() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.admitted*descriptorsPerClient + d.unadmitted.Len() + d.pings.Count() + baseDescriptors
}

// maxUnadmitted is how many clients may hold one descriptor; mu is held. A few can always be: beside another process of the node
// this one may be over its part, and who comes is still to be refused politely.
func (d *Proxy) maxUnadmitted() int {
	return max(min(max(d.cfg.MaxDescriptors/unadmittedDivisor, minUnadmitted), d.cfg.MaxDescriptors-processDescriptors-d.admitted*descriptorsPerClient), minUnadmitted)
}

// accept gives an accepted client its goroutine, and closes one that says nothing where there is no room else; false
// where there is none and all have come just now.
func (d *Proxy) accept(client *net.TCPConn) bool {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed { // accepted in the very moment: it may have asked for something already
		closeWithMessage(client, d.rejection())
		return true
	}
	if d.unadmitted.Len() >= d.maxUnadmitted() {
		first := d.evictable(now)
		if first == nil {
			return false
		}
		d.evict(first)
	}
	c := d.newConn(client, now)
	c.unadmitted = d.unadmitted.PushBack(c)
	d.start(c, c.serve)
	return true
}

func (d *Proxy) newConn(client *net.TCPConn, now time.Time) *conn {
	return &conn{proxy: d, client: client, commands: make(chan command, 8), authorization: make(chan bool, 1), lastActive: now,
		disconnected: make(chan struct{}), established: make(chan struct{}), finished: make(chan struct{})}
}

// start gives a connection the goroutine that is its life; mu is held.
func (d *Proxy) start(c *conn, life func()) {
	d.conns[c] = struct{}{}
	d.clients.Add(1)
	go func() {
		defer d.clients.Done()
		defer func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			delete(d.conns, c)
			d.release(c)
		}()
		defer d.caught("a connection failed badly") // serve and drive have answered their client by then
		life()
	}()
}

// evictable is who is closed for another one: the first of those that have had their last word, once it has had a turn to
// read it; where there is none, the first of all, whose first line may be on its way. nil while they have come just now.
// mu is held.
func (d *Proxy) evictable(now time.Time) *conn {
	var first *conn
	for e := d.unadmitted.Front(); e != nil; e = e.Next() {
		c := e.Value.(*conn)
		fresh := now.Sub(c.lastActive) < evictionGrace
		switch {
		case c.replied && fresh:
			return nil
		case c.replied:
			return c
		case first == nil && !fresh && c.openingRead.Load():
			first = c
		}
	}
	return first
}

// evict closes a client that holds one descriptor. One that has begun its line is refused: a close alone would lose what
// it asks for. mu is held, and the write waits for nobody: nothing was written before.
func (d *Proxy) evict(c *conn) {
	line := ""
	if !c.replied && c.stopReadingOpening() {
		line = d.rejection()
	}
	d.log.Info("a client is closed to make room for another one", zap.Bool("refused", line != ""), zap.Bool("answered", c.replied))
	d.release(c)
	closeWithMessage(c.client, line)
}

// rejection is the refusal of the driver's own, of what was never sent on.
func (d *Proxy) rejection() string { return wire.Rejection(min(time.Second, d.cfg.MaxRetryAfter)) }

// release takes a client out of the budget; mu is held.
func (d *Proxy) release(c *conn) {
	if c.unadmitted != nil {
		d.unadmitted.Remove(c.unadmitted)
		c.unadmitted = nil
	}
	if c.admitted {
		d.metrics.openClients.Add(-1)
		d.admitted--
		c.admitted = false
	}
}

// admit counts a client that has said what it wants with two descriptors. It is not within where they are used up:
// then it is to be refused. It is not there any more where it was closed for another one.
func (d *Proxy) admit(c *conn) (within, still bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.unadmitted == nil {
		return false, false
	}
	if d.closed {
		return false, true
	}
	d.pings.ReleaseUntil(func() bool { return d.fits(descriptorsPerClient) })
	if !d.fits(descriptorsPerClient) {
		c.lastActive = time.Now()
		d.unadmitted.MoveToBack(c.unadmitted)
		return false, true
	}
	d.release(c)
	d.admitted++
	d.metrics.openClients.Add(1)
	c.admitted = true
	for d.unadmitted.Len() > max(d.maxUnadmitted(), 0) {
		first := d.evictable(time.Now())
		if first == nil {
			first = d.unadmitted.Front().Value.(*conn)
		}
		d.evict(first)
	}
	return true, true
}

// fits reports whether so many more descriptors leave room to hear and refuse clients; mu is held.
func (d *Proxy) fits(more int) bool {
	return d.admitted*descriptorsPerClient+more+processDescriptors+d.pings.Unreserved()+minUnadmitted <= d.cfg.MaxDescriptors
}

// renew notes that a client has asked how the node is, and may ask again; false where it was closed for another one.
func (d *Proxy) renew(c *conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.unadmitted == nil {
		return false
	}
	c.lastActive = time.Now()
	d.unadmitted.MoveToBack(c.unadmitted)
	return true
}

// markAnswered notes that a client has had its last word, and no host is held for it any more.
func (d *Proxy) markAnswered(c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if was := c.unadmitted != nil; was || c.admitted {
		d.release(c)
		c.lastActive, c.replied = time.Now(), true
		c.unadmitted = d.unadmitted.PushBack(c)
	}
}

// shutdownGrace is how long the end waits for those who are not up to have their last word, and to leave by it.
const shutdownGrace = 100 * time.Millisecond

// Shutdown ends what the driver has open, and waits for it. No client may be accepted any more. Who is owed an answer still
// gets one, the same as from the backstop: a reset would leave it with none. Where packets pass through, connections that
// are up are left for the end of the process: a node that breaks them itself breaks them for good, and all their clients
// set up anew at once, while those of a process that ends are found again by way of other nodes.
func (d *Proxy) Shutdown(pass bool) {
	d.mu.Lock()
	d.beginShutdown(pass)
	d.mu.Unlock()
	d.pings.Wait()
	for by := time.Now().Add(shutdownGrace); len(d.unfinished(pass)) > 0 && time.Now().Before(by); {
		time.Sleep(time.Millisecond)
	}
	for _, c := range d.unfinished(pass) {
		closeWithMessage(c.client, "") // it has had its last word, and does not leave
	}
	if !pass {
		d.clients.Wait()
	}
}

// beginShutdown begins the end; mu is held.
func (d *Proxy) beginShutdown(pass bool) {
	if !d.closed {
		close(d.shutdown)
	}
	d.closed = true
	for c := range d.conns {
		c.shutDown(pass)
	}
	d.pings.Close()
}

// unfinished lists the clients whose connections have not ended, but for those that the end leaves.
func (d *Proxy) unfinished(pass bool) (all []*conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		if !pass || !c.isEstablished() {
			all = append(all, c)
		}
	}
	return all
}

// PendingRequests tells how many clients have said what they want and have had no answer.
func (d *Proxy) PendingRequests() (owing int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		if c.admitted && !c.isEstablished() {
			owing++
		}
	}
	return owing
}

// caught ends a panic where it arose: other connections go on.
func (d *Proxy) caught(what string) {
	if p := recover(); p != nil {
		d.log.Error(what, zap.Any("panic", p), zap.ByteString("stack", debug.Stack()))
	}
}

// reset ends a connection by a reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

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
