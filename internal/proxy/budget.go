package proxy

import (
	"container/list"
	"time"

	"go.uber.org/zap"
)

// The descriptor budget. A client holds one descriptor until its opening line is complete, and again once it has had
// its final answer; such a client is unadmitted and may be evicted for a newer one. In between it holds two, its own
// and its host's. Reserved beside them are the descriptors of the process itself and enough to read clients and
// reject them.
const (
	descriptorsPerClient = 2  // of an admitted client
	processDescriptors   = 40 // standard streams, poller, listener, one just accepted, watches, reserved pings
	minUnadmitted        = 16 // unadmitted clients that are always possible
	unadmittedDivisor    = 8  // unadmitted clients may hold one in so many of all descriptors
	baseDescriptors      = 16 // that a process holds beside clients, hosts and pings
)

// evictionGrace is how long an unadmitted client is safe from eviction after it connected, sent a health check or had
// its final answer.
const evictionGrace = 20 * time.Millisecond

// budgetSlot is a connection's place in the descriptor budget. The proxy's mutex guards it.
type budgetSlot struct {
	unadmitted *list.Element // among those that hold one descriptor, nil for none
	admitted   bool          // it holds two descriptors
	lastActive time.Time     // when it connected, sent a health check, or had its final answer
	answered   bool          // it has had its final answer
}

// admission is the answer to a client that has sent a complete opening line.
type admission uint8

const (
	admissionGranted  admission = iota
	admissionRejected           // no descriptors, or shutting down
	admissionEvicted            // it was evicted just before
)

// pingBudget is the descriptor budget as pings see it.
type pingBudget struct{ proxy *Proxy }

func (b pingBudget) Lock()                     { b.proxy.mu.Lock() }
func (b pingBudget) Unlock()                   { b.proxy.mu.Unlock() }
func (b pingBudget) Fits(descriptors int) bool { return b.proxy.fits(descriptors) }

// SetDescriptorLimit sets how many descriptors this process may hold now, so that two processes of one node stay within
// the limit together. Open connections stay; the limit binds new ones.
func (p *Proxy) SetDescriptorLimit(descriptors int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cfg.MaxDescriptors = max(descriptors, 0) - p.cfg.ReservedDescriptors
}

// DescriptorsHeld returns how many descriptors this process holds.
func (p *Proxy) DescriptorsHeld() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.admitted*descriptorsPerClient + p.unadmitted.Len() + p.pings.Count() + baseDescriptors
}

// fits reports whether so many more descriptors leave enough to read clients and reject them. mu is held.
func (p *Proxy) fits(descriptors int) bool {
	held := p.admitted*descriptorsPerClient + processDescriptors + p.pings.Unreserved() + minUnadmitted
	return held+descriptors <= p.cfg.MaxDescriptors
}

// maxUnadmitted returns how many clients may hold one descriptor. A few always may: beside another process of the node
// this one may exceed its limit, and new clients must still be rejected with a reply. mu is held.
func (p *Proxy) maxUnadmitted() int {
	share := max(p.cfg.MaxDescriptors/unadmittedDivisor, minUnadmitted)
	left := p.cfg.MaxDescriptors - processDescriptors - p.admitted*descriptorsPerClient
	return max(min(share, left), minUnadmitted)
}

// admit counts a client with two descriptors, for which pings and unadmitted clients give way.
func (p *Proxy) admit(c *conn) admission {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.unadmitted == nil {
		return admissionEvicted
	}
	if p.closed {
		return admissionRejected
	}
	p.pings.ReleaseUntil(func() bool { return p.fits(descriptorsPerClient) })
	if !p.fits(descriptorsPerClient) {
		p.touch(c)
		return admissionRejected
	}
	p.release(c)
	p.charge(c)
	for p.unadmitted.Len() > p.maxUnadmitted() {
		victim := p.evictable(time.Now())
		if victim == nil {
			victim = p.unadmitted.Front().Value.(*conn)
		}
		p.evict(victim)
	}
	return admissionGranted
}

// charge counts a client with two descriptors. mu is held.
func (p *Proxy) charge(c *conn) {
	p.admitted++
	p.metrics.openClients.Add(1)
	c.admitted = true
}

// release takes a client out of the budget. mu is held.
func (p *Proxy) release(c *conn) {
	if c.unadmitted != nil {
		p.unadmitted.Remove(c.unadmitted)
		c.unadmitted = nil
	}
	if c.admitted {
		p.metrics.openClients.Add(-1)
		p.admitted--
		c.admitted = false
	}
}

// touch makes an unadmitted client the last one to be evicted. mu is held.
func (p *Proxy) touch(c *conn) {
	c.lastActive = time.Now()
	p.unadmitted.MoveToBack(c.unadmitted)
}

// renew touches a client whose health check was answered, and reports false if it was evicted.
func (p *Proxy) renew(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.unadmitted == nil {
		return false
	}
	p.touch(c)
	return true
}

// markAnswered makes a client that has had its final answer, and holds no host any more, an unadmitted one.
func (p *Proxy) markAnswered(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.unadmitted == nil && !c.admitted {
		return
	}
	p.release(c)
	c.lastActive = time.Now()
	c.answered = true
	c.unadmitted = p.unadmitted.PushBack(c)
}

// evictable returns which client is evicted next: the first one that has had its final answer and a grace period to
// read it, else the first one that was read and is past its grace period. It returns nil if none is. mu is held.
func (p *Proxy) evictable(now time.Time) *conn {
	var first *conn
	for element := p.unadmitted.Front(); element != nil; element = element.Next() {
		c := element.Value.(*conn)
		inGrace := now.Sub(c.lastActive) < evictionGrace
		switch {
		case c.answered && inGrace:
			return nil
		case c.answered:
			return c
		case first == nil && !inGrace && c.openingRead.Load():
			first = c
		}
	}
	return first
}

// evict closes an unadmitted client. One that has begun its opening line is sent a rejection: a close alone would
// lose its request. mu is held; the write does not block, since nothing was written before.
func (p *Proxy) evict(c *conn) {
	message := ""
	if !c.answered && c.stopReadingOpening() {
		message = p.rejection()
	}
	p.log.Info("client evicted for a newer one", zap.Bool("rejected", message != ""), zap.Bool("answered", c.answered))
	p.release(c)
	closeWithLine(c.client, message)
}
