// Package proxy accepts clients, connects each to a host that the node chooses, and relays between the two. The node
// decides; this package owns the sockets, the descriptor budget and the goroutines of connections.
package proxy

import (
	"container/list"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/healthcheck"
	"onyxstream/internal/logging"
	"onyxstream/internal/node"
	"onyxstream/internal/wire"
)

// Config is the configuration of a proxy.
type Config struct {
	MaxDescriptors      int           // that the process may hold
	ConnectTimeout      time.Duration // of a dial to a host, 0 for none
	AnswerSlack         time.Duration // after a client's deadline, before the proxy answers in place of the node
	DefaultTimeout      time.Duration // of a client that names none
	MaxRetryAfter       time.Duration // that clients follow; 0 if they follow none
	Classes             []string      // that clients can name
	ReservedDescriptors int           // of other parts of the process
}

// acceptBackoff is the pause after an accept that failed, as at the descriptor limit.
const acceptBackoff = 20 * time.Millisecond

// Proxy owns the connections of a node. Its methods may be called by any goroutine.
type Proxy struct {
	cfg     Config
	log     *zap.Logger
	node    *node.Node
	metrics *metrics
	pings   *healthcheck.Pinger // shares the descriptor budget and mu

	mu         sync.Mutex
	conns      map[*conn]struct{}
	admitted   int           // clients that hold two descriptors
	unadmitted *list.List    // of *conn: clients that hold one descriptor, by ascending lastActive
	closed     bool          // it is shut down
	shutdown   chan struct{} // closed with it: clients that wait get their final answer
	clients    sync.WaitGroup
}

// New returns a proxy. Attach must follow before Serve.
func New(cfg Config, log *zap.Logger) *Proxy {
	cfg.MaxDescriptors -= cfg.ReservedDescriptors
	p := &Proxy{
		cfg:        cfg,
		log:        log,
		metrics:    newMetrics(cfg.Classes),
		conns:      map[*conn]struct{}{},
		unadmitted: list.New(),
		shutdown:   make(chan struct{}),
	}
	p.pings = healthcheck.NewPinger(pingBudget{p}, log)
	return p
}

// Attach sets the node that decides.
func (p *Proxy) Attach(n *node.Node) {
	p.node = n
	p.pings.Attach(n)
}

// Ping begins to ping a host, and reports false if it does not, for want of a descriptor or because the proxy is shut
// down. It does not block.
func (p *Proxy) Ping(id balancer.ServerID, addr string) bool { return p.pings.Ping(id, addr) }

// Listener is where clients come from.
type Listener interface{ AcceptTCP() (*net.TCPConn, error) }

// Listen opens a TCP listener without multipath TCP, which neither the front nor the hosts speak, and without
// keep-alive.
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

// Serve accepts clients until the listener is closed or a deadline that was set on it passes. Other errors of an accept
// are logged and retried.
func (p *Proxy) Serve(l Listener) error {
	for {
		client, err := l.AcceptTCP()
		switch {
		case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
			return nil
		case err != nil:
			p.log.Info("accept failed", zap.Error(err))
			time.Sleep(acceptBackoff)
			continue
		}
		_ = client.SetNoDelay(true)
		for !p.accept(client) {
			// No client may be evicted yet: further ones wait in the listener's queue.
			time.Sleep(evictionGrace / 4)
		}
	}
}

// accept starts the goroutine of a client, and evicts another one if the descriptors of unadmitted clients are used up.
// It reports false if none may be evicted yet.
func (p *Proxy) accept(client *net.TCPConn) bool {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed { // it may have sent its opening line already
		closeWithLine(client, p.rejection())
		return true
	}
	if p.unadmitted.Len() >= p.maxUnadmitted() {
		victim := p.evictable(now)
		if victim == nil {
			return false
		}
		p.evict(victim)
	}
	c := p.newConn(client, now)
	c.unadmitted = p.unadmitted.PushBack(c)
	p.start(c, c.serve)
	return true
}

func (p *Proxy) newConn(client *net.TCPConn, now time.Time) *conn {
	return &conn{
		proxy:         p,
		client:        client,
		budgetSlot:    budgetSlot{lastActive: now},
		decisions:     make(chan decision, maxQueuedDecisions),
		authorization: make(chan bool, 1),
		disconnected:  make(chan struct{}),
		established:   make(chan struct{}),
		finished:      make(chan struct{}),
	}
}

// start runs a connection on a goroutine of its own, and forgets it as that ends. mu is held.
func (p *Proxy) start(c *conn, run func()) {
	p.conns[c] = struct{}{}
	p.clients.Add(1)
	go func() {
		defer p.clients.Done()
		defer p.forget(c)
		defer logging.RecoverPanic(p.log, "connection panicked") // the client has had its answer by then
		run()
	}()
}

func (p *Proxy) forget(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	p.release(c)
}

// defaultRetryAfter is the advice with a rejection that the node did not decide.
const defaultRetryAfter = time.Second

// rejection is the reply to a client whose request was forwarded to no host and unknown to the node.
func (p *Proxy) rejection() string {
	return wire.Rejection(min(defaultRetryAfter, p.cfg.MaxRetryAfter))
}

// PendingRequests returns how many clients were admitted and wait for their answer.
func (p *Proxy) PendingRequests() (pending int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if c.admitted && !c.isEstablished() {
			pending++
		}
	}
	return pending
}

// PendingOpenings returns how many clients have not sent a complete opening line, or have had their final answer and
// not closed. A front that was answered a health check and has sent nothing since is not counted.
func (p *Proxy) PendingOpenings() (pending int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for element := p.unadmitted.Front(); element != nil; element = element.Next() {
		if !element.Value.(*conn).idle.Load() {
			pending++
		}
	}
	return pending
}
