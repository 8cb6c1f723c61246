// Package healthcheck pings hosts and measures the round-trip times, on separate connections that it keeps open.
package healthcheck

import (
	"io"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/logging"
	"onyxstream/internal/netio"
	"onyxstream/internal/wire"
)

const (
	pingTimeout = 3 * time.Second  // for the dial and the response; the connection is closed when it expires
	idleTimeout = 10 * time.Second // after this time without a ping, the connection to the host is closed
)

// ReservedPings is the number of hosts that can always be pinged at the same time. Their file descriptors are reserved;
// pings of further hosts use descriptors that clients leave free.
const ReservedPings = 16

// FailedPing is reported in place of a round-trip time when a ping failed before its timeout.
const FailedPing time.Duration = -1

// Budget is the file descriptor budget that pings share with clients. Its lock also guards the set of pinged hosts, so
// that checking the budget and changing that set are atomic.
type Budget interface {
	sync.Locker
	// Fits reports whether this number of additional descriptors is within the budget. The caller holds the lock.
	Fits(descriptors int) bool
}

// Receiver is notified of the results of pings.
type Receiver interface {
	// PingCompleted receives a ping's round-trip time. The time is at least the timeout if no response came in time,
	// and FailedPing if the connection failed.
	PingCompleted(id balancer.ServerID, took time.Duration)
}

// Pinger pings hosts, with one connection and one goroutine per host.
type Pinger struct {
	budget   Budget
	log      *zap.Logger
	receiver Receiver
	done     sync.WaitGroup // counts the goroutines of the hosts

	// Guarded by the budget's lock.
	hosts  map[balancer.ServerID]*hostPinger
	closed bool
}

// hostPinger pings one host. It keeps its connection open, because each new connection costs the host work.
type hostPinger struct {
	addr     string
	requests chan struct{} // closed when the host is no longer to be pinged
}

// NewPinger returns a pinger that stays within a budget. Attach must be called before Ping.
func NewPinger(budget Budget, log *zap.Logger) *Pinger {
	return &Pinger{
		budget: budget,
		log:    log,
		hosts:  map[balancer.ServerID]*hostPinger{},
	}
}

// Attach sets the receiver of the results.
func (p *Pinger) Attach(receiver Receiver) { p.receiver = receiver }

// Ping starts a ping of a host. It returns false if no descriptor is available or the pinger is closed. It does not
// block. If a ping of the host is already waiting to be sent, its result counts for this call too.
func (p *Pinger) Ping(id balancer.ServerID, addr string) bool {
	p.budget.Lock()
	defer p.budget.Unlock()
	if p.closed {
		return false
	}
	host := p.hosts[id]
	if host != nil && host.addr != addr {
		close(host.requests)
		host = nil
	}
	if host == nil {
		if len(p.hosts) >= ReservedPings && !p.budget.Fits(1) {
			return false
		}
		host = p.start(id, addr)
	}
	select {
	case host.requests <- struct{}{}:
	default:
	}
	return true
}

// start starts the goroutine of a host. The caller holds the budget's lock.
func (p *Pinger) start(id balancer.ServerID, addr string) *hostPinger {
	host := &hostPinger{
		addr:     addr,
		requests: make(chan struct{}, 1),
	}
	p.hosts[id] = host
	p.done.Add(1)
	go func() {
		defer p.done.Done()
		defer logging.RecoverPanic(p.log, "host ping panicked")
		p.run(id, host)
	}()
	return host
}

// Count returns the number of pinged hosts. The caller holds the budget's lock.
func (p *Pinger) Count() int { return len(p.hosts) }

// Unreserved returns the number of descriptors that pings hold beyond the reserved ones. The caller holds the budget's
// lock.
func (p *Pinger) Unreserved() int { return max(len(p.hosts)-ReservedPings, 0) }

// ReleaseUntil stops pinging hosts, one after the other, until enough returns true or pings hold reserved descriptors
// only. The caller holds the budget's lock.
func (p *Pinger) ReleaseUntil(enough func() bool) {
	for id, host := range p.hosts {
		if enough() || len(p.hosts) <= ReservedPings {
			return
		}
		delete(p.hosts, id)
		close(host.requests)
	}
}

// Close permanently stops pinging all hosts. The caller holds the budget's lock.
func (p *Pinger) Close() {
	p.closed = true
	for id, host := range p.hosts {
		delete(p.hosts, id)
		close(host.requests)
	}
}

// Wait waits until all goroutines have ended. The caller must not hold the budget's lock.
func (p *Pinger) Wait() { p.done.Wait() }

// connection is the connection to a pinged host. It may be closed and dialled again.
type connection struct {
	conn net.Conn // nil if there is no connection
	in   wire.LineBuffer
}

func (c *connection) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
	c.in.Release()
}

// run pings a host once per request, until no request comes for idleTimeout or the channel of requests is closed.
func (p *Pinger) run(id balancer.ServerID, host *hostPinger) {
	var c connection
	defer c.close()
	defer p.retire(id, host, true)
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		idle.Reset(idleTimeout)
		select {
		case <-idle.C:
			if p.retire(id, host, false) {
				return
			}
		case _, open := <-host.requests:
			if !open {
				return
			}
			p.ping(id, host.addr, &c)
		}
	}
}

// ping pings a host once and notifies the receiver.
func (p *Pinger) ping(id balancer.ServerID, addr string, c *connection) {
	start := time.Now()
	err := c.ping(addr, start.Add(pingTimeout))
	took := time.Since(start)
	if err != nil {
		p.log.Debug("host ping failed", zap.String("host", string(id)), zap.Error(err))
		c.close()
		if !netio.IsDeadlineExceeded(err) {
			took = FailedPing
		}
	}
	p.log.Debug("host pinged", zap.String("addr", addr), zap.Duration("took", took))
	p.receiver.PingCompleted(id, took)
}

// retire removes a host from the set of pinged hosts, unless another hostPinger has replaced it there, and reports
// whether the host's goroutine may end. Unless force is set, it keeps a host with a pending request: without a result
// for that request, the host would seem not to respond.
func (p *Pinger) retire(id balancer.ServerID, host *hostPinger, force bool) bool {
	p.budget.Lock()
	defer p.budget.Unlock()
	if len(host.requests) > 0 && !force {
		return false
	}
	if p.hosts[id] == host {
		delete(p.hosts, id)
	}
	return true
}

// ping dials the host if there is no connection, sends a ping and waits for the response.
func (c *connection) ping(addr string, deadline time.Time) error {
	if c.conn == nil {
		dialer := net.Dialer{Timeout: pingTimeout, KeepAlive: -1}
		conn, err := dialer.Dial("tcp", addr)
		if err != nil {
			return err
		}
		c.conn = conn
	}
	return c.exchange(deadline)
}

// exchange sends a ping and waits for one line. Any line counts as a response, because even a host that rejects requests
// responds to pings.
func (c *connection) exchange(deadline time.Time) error {
	_ = c.conn.SetDeadline(deadline)
	if _, err := io.WriteString(c.conn, wire.Ping); err != nil {
		return err
	}
	for {
		_, ok, err := c.in.Next()
		if ok || err != nil {
			return err
		}
		n, err := c.conn.Read(c.in.Space())
		c.in.Advance(n)
		if n == 0 && err != nil {
			return err
		}
	}
}
