// Package proxy accepts clients, connects each one to a host, and relays between the two. Package node decides which
// host gets a request and how a request is answered; this package owns the sockets, the descriptor budget and the
// goroutines of the connections.
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
	MaxDescriptors      int           // limit on the descriptors of the process
	ConnectTimeout      time.Duration // timeout of a dial to a host; 0 means no timeout
	AnswerSlack         time.Duration // time from a request's deadline until the proxy answers in place of the node
	DefaultTimeout      time.Duration // timeout of a request whose opening line names none
	MaxRetryAfter       time.Duration // longest Retry-After that clients honor; 0 if they honor none
	Classes             []string      // classes that an opening line may name
	ReservedDescriptors int           // descriptors set aside for other parts of the process
}

// acceptBackoff is the pause after a failed accept, for example at the descriptor limit.
const acceptBackoff = 20 * time.Millisecond

// Proxy owns the connections of a node. Its methods are safe for concurrent use.
type Proxy struct {
	cfg     Config
	log     *zap.Logger
	node    *node.Node
	metrics *metrics
	pings   *healthcheck.Pinger // counts its descriptors in the budget, and locks mu for that
	claims  IDClaims            // nil if there is only one process of the node

	// mu guards the descriptor budget and the set of connections: the fields below, and cfg.MaxDescriptors. The
	// shutdown channel and the wait group may be used without it.
	mu         sync.Mutex
	conns      map[*conn]struct{} // all connections that have not ended
	admitted   int                // number of clients that hold two descriptors
	unadmitted *list.List         // clients that hold one descriptor, as *conn in ascending order of lastActive
	closed     bool               // set when the shutdown begins
	shutdown   chan struct{}      // closed when the shutdown begins: waiting clients then get their final answer
	clients    sync.WaitGroup     // the goroutines of the connections
}

// New returns a proxy. The caller must call Attach before Serve.
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

// Attach sets the node that decides on the proxy's requests.
func (p *Proxy) Attach(n *node.Node) {
	p.node = n
	p.pings.Attach(n)
}

// IDClaims keeps the processes of a node from serving the same request id.
type IDClaims interface {
	// ClaimID claims an id for this process, and reports false if another process has claimed it.
	ClaimID(id string) bool
	// HoldID claims the id of a connection that was taken over from another process.
	HoldID(id string)
	// ReleaseID ends the use of an id, after ClaimID with any result or after HoldID.
	ReleaseID(id string)
}

// SetIDClaims sets where request ids are claimed. It must be called before Serve.
func (p *Proxy) SetIDClaims(claims IDClaims) { p.claims = claims }

// Ping starts a ping of a host and does not block. It reports false if no descriptor is free or the proxy is shut down.
func (p *Proxy) Ping(id balancer.ServerID, addr string) bool { return p.pings.Ping(id, addr) }

// Listener accepts clients.
type Listener interface{ AcceptTCP() (*net.TCPConn, error) }

// Listen opens a TCP listener with keep-alive disabled, and with multipath TCP disabled because neither the front nor
// the hosts support it.
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

// Serve accepts clients until the listener is closed or its deadline passes. It logs any other accept error and
// retries.
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
			// No client may be evicted yet. Meanwhile new clients wait in the listener's accept queue.
			time.Sleep(evictionGrace / 4)
		}
	}
}

// accept starts the goroutine of a client. If the descriptors for unadmitted clients are used up, it first evicts one
// of them, and reports false if none may be evicted yet.
func (p *Proxy) accept(client *net.TCPConn) bool {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed { // the client may have sent its opening line already
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

// start runs a connection on its own goroutine, and removes the connection when run returns. The caller holds mu.
func (p *Proxy) start(c *conn, run func()) {
	p.conns[c] = struct{}{}
	p.clients.Add(1)
	go func() {
		defer p.clients.Done()
		defer p.remove(c)
		defer logging.RecoverPanic(p.log, "connection panicked") // run has answered the client by then
		run()
	}()
}

func (p *Proxy) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	p.release(c)
}

// defaultRetryAfter is the Retry-After of a rejection that the proxy sends without a decision of the node.
const defaultRetryAfter = time.Second

// rejection returns the final answer for a request that no host received and that the node does not know.
func (p *Proxy) rejection() string {
	return wire.Rejection(min(defaultRetryAfter, p.cfg.MaxRetryAfter))
}

// PendingRequests returns how many admitted clients wait for their final answer.
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

// PendingOpenings returns how many clients have not sent a complete opening line, or have had their final answer but
// not closed the connection. A front that has sent nothing since the response to its last health check is not counted.
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
