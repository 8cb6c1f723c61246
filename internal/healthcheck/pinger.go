// Package healthcheck measures how long hosts take to answer a ping, on connections of its own that it keeps open.
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
	pingTimeout = 3 * time.Second  // for the dial and the answer; a connection that exceeds it is closed
	idleTimeout = 10 * time.Second // a host that was not to be pinged for so long loses its connection
)

// ReservedPings is how many hosts can always be pinged at the same time. Their descriptors are reserved; those of
// further pings are taken from what clients leave.
const ReservedPings = 16

// FailedPing is the duration that is reported of a ping that failed before its timeout.
const FailedPing time.Duration = -1

// Budget is the descriptor budget that pings share with clients. Its lock also guards the set of pinged hosts, so
// that a decision on the budget and its effect on that set are one step.
type Budget interface {
	sync.Locker
	// Fits reports whether so many more descriptors are within the budget. The lock is held.
	Fits(descriptors int) bool
}

// Receiver is notified of the results of pings.
type Receiver interface {
	// PingCompleted reports a ping's round-trip time: at least the timeout if no answer came in time, FailedPing if
	// the connection failed.
	PingCompleted(id balancer.ServerID, took time.Duration)
}

// Pinger pings hosts, each on a connection and a goroutine of its own.
type Pinger struct {
	budget   Budget
	log      *zap.Logger
	receiver Receiver
	done     sync.WaitGroup // of the hosts' goroutines

	// Guarded by the budget's lock.
	hosts  map[balancer.ServerID]*hostPinger
	closed bool
}

// hostPinger pings one host. A connection is kept because a new one would cost the host work.
type hostPinger struct {
	addr     string
	requests chan struct{} // closed when the host is to be pinged no more
}

// NewPinger returns a pinger within a budget. Attach must follow before Ping.
func NewPinger(budget Budget, log *zap.Logger) *Pinger {
	return &Pinger{
		budget: budget,
		log:    log,
		hosts:  map[balancer.ServerID]*hostPinger{},
	}
}

// Attach sets who is notified of results.
func (p *Pinger) Attach(receiver Receiver) { p.receiver = receiver }

// Ping begins to ping a host, and reports false if it does not, for want of a descriptor or because the pinger is
// closed. It does not block. While a ping of that host is in flight, its result stands for this one too.
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

// start starts the goroutine of a host. The budget's lock is held.
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

// Count returns how many hosts are pinged. The budget's lock is held.
func (p *Pinger) Count() int { return len(p.hosts) }

// Unreserved returns how many descriptors pings hold beyond those that are reserved. The budget's lock is held.
func (p *Pinger) Unreserved() int { return max(len(p.hosts)-ReservedPings, 0) }

// ReleaseUntil stops pinging hosts until enough reports true or only reserved descriptors are held. The budget's lock
// is held.
func (p *Pinger) ReleaseUntil(enough func() bool) {
	for id, host := range p.hosts {
		if enough() || len(p.hosts) <= ReservedPings {
			return
		}
		delete(p.hosts, id)
		close(host.requests)
	}
}

// Close stops pinging all hosts, for good. The budget's lock is held.
func (p *Pinger) Close() {
	p.closed = true
	for id, host := range p.hosts {
		delete(p.hosts, id)
		close(host.requests)
	}
}

// Wait waits until all goroutines have ended. The budget's lock is not held.
func (p *Pinger) Wait() { p.done.Wait() }

// connection is the connection to a pinged host, which may be closed and dialled again.
type connection struct {
	conn net.Conn // nil while there is none
	in   wire.LineBuffer
}

func (c *connection) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
	c.in.Release()
}

// run pings a host for each request until there are none for a while, or their channel is closed.
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

// retire removes a host and reports whether it did. Unless force is set, one with a pending request stays:
// without an answer the host would pass for one that does not respond.
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

// ping dials the host if there is no connection, sends a ping and waits for its answer.
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

// exchange sends a ping and waits for one line, whatever it says: a host that rejects answers too.
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
