package proxy

import (
	"io"
	"net"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/wire"
)

const (
	pingWait = 3 * time.Second  // a ping without an answer for so long is given up, with its connection
	pingIdle = 10 * time.Second // a host that is not asked about for so long is left
	// firstPings is how many hosts can always be pinged at one time, within the descriptors of ownNeed. More are as long
	// as the limit has room beside the clients.
	firstPings = 16
)

// pinger times messages at one host, on a connection that it keeps: a new one would cost the host work.
type pinger struct {
	addr string
	asks chan struct{}
}

// Ping times a message at a host, and tells the node; false where it does not, as there is no descriptor for it. It does
// not block: while one is under way there, that one tells.
func (d *Proxy) Ping(id balancer.ServerID, addr string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return false
	}
	p := d.pingers[id]
	if p != nil && p.addr != addr {
		close(p.asks)
		p = nil
	}
	if p == nil {
		if len(d.pingers) >= firstPings && !d.fits(1) {
			return false
		}
		p = &pinger{addr: addr, asks: make(chan struct{}, 1)}
		d.pingers[id] = p
		d.wg.Add(1)
		go func() {
			defer d.wg.Done()
			defer d.caught("a ping failed badly")
			d.ping(id, p)
		}()
	}
	select {
	case p.asks <- struct{}{}:
	default:
	}
	return true
}

// ping is the life of a pinger.
func (d *Proxy) ping(id balancer.ServerID, p *pinger) {
	var c net.Conn
	var in wire.LineBuffer
	leave := func() {
		if c != nil {
			_ = c.Close()
			c = nil
		}
		in.Release()
	}
	defer leave()
	defer d.retire(id, p, true)
	idle := time.NewTimer(pingIdle)
	defer idle.Stop()
	for {
		idle.Reset(pingIdle)
		select {
		case <-idle.C:
			if d.retire(id, p, false) {
				return
			}
			continue
		case _, on := <-p.asks:
			if !on {
				return
			}
		}
		start := time.Now()
		err := error(nil)
		if c == nil {
			dialer := net.Dialer{Timeout: pingWait, KeepAlive: -1}
			if c, err = dialer.Dial("tcp", p.addr); err != nil {
				c = nil
			}
		}
		if err == nil {
			err = pingOnce(c, &in, start.Add(pingWait))
		}
		took := time.Since(start)
		if err != nil {
			d.log.Debug("a host does not answer a ping", zap.String("host", string(id)), zap.Error(err))
			if leave(); !timedOut(err) {
				took = -1
			}
		}
		d.log.Debug("a ping", zap.String("host", p.addr), zap.Duration("took", took))
		d.node.PingCompleted(id, took)
	}
}

// retire takes a pinger out; one that was asked just now goes on, unless it must not: a question that nobody answers would
// pass for a host that does not.
func (d *Proxy) retire(id balancer.ServerID, p *pinger, must bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(p.asks) > 0 && !must {
		return false
	}
	if d.pingers[id] == p {
		delete(d.pingers, id)
	}
	return true
}

// pingOnce sends a ping and waits for its answer, whatever that is: NO comes from a host too.
func pingOnce(c net.Conn, in *wire.LineBuffer, by time.Time) error {
	_ = c.SetDeadline(by)
	if _, err := io.WriteString(c, "PING\r\n"); err != nil {
		return err
	}
	for {
		_, ok, err := in.Next()
		if ok || err != nil {
			return err
		}
		n, err := c.Read(in.Space())
		if in.Advance(n); n == 0 && err != nil {
			return err
		}
	}
}
