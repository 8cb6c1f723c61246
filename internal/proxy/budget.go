package proxy

import (
	"container/list"
	"time"

	"go.uber.org/zap"
)

// The descriptor budget. A client is unadmitted until its opening line is complete, and again after its final answer.
// An unadmitted client holds one descriptor, and may be evicted for a newer client. An admitted client holds two
// descriptors: its own and its host's. The budget also reserves descriptors for the process itself, and for further
// clients that are read and rejected.
const (
	descriptorsPerClient = 2  // held by an admitted client
	processDescriptors   = 40 // standard streams, poller, listener, an accepted connection, watches, reserved pings
	minUnadmitted        = 16 // number of unadmitted clients that always have a descriptor
	unadmittedDivisor    = 8  // unadmitted clients may hold 1/unadmittedDivisor of all descriptors
	baseDescriptors      = 16 // held by a process apart from those for clients, hosts and pings
)

// evictionGrace is how long an unadmitted client is not evicted after it connected, sent a health check or had its
// final answer.
const evictionGrace = 20 * time.Millisecond

// budgetSlot is a client's entry in the descriptor budget. The proxy's mutex guards it.
type budgetSlot struct {
	unadmitted *list.Element // entry in Proxy.unadmitted; nil if the client is not unadmitted
	admitted   bool          // the client holds two descriptors
	lastActive time.Time     // when the client connected, sent a health check or had its final answer
	answered   bool          // the client has had its final answer
}

// admission is the decision whether to admit a client that has sent a complete opening line.
type admission uint8

const (
	admissionGranted  admission = iota
	admissionRejected           // no descriptors are left, or the proxy is shut down
	admissionEvicted            // the client has just been evicted
)

// pingBudget gives pings access to the descriptor budget.
type pingBudget struct{ proxy *Proxy }

func (b pingBudget) Lock()                     { b.proxy.mu.Lock() }
func (b pingBudget) Unlock()                   { b.proxy.mu.Unlock() }
func (b pingBudget) Fits(descriptors int) bool { return b.proxy.fits(descriptors) }

// SetDescriptorLimit sets how many descriptors this process may hold from now on, so that two processes of one node
// together stay within the limit. Open connections stay open; the limit applies to new ones.
func (p *Proxy) SetDescriptorLimit(descriptors int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cfg.MaxDescriptors = max(descriptors, 0) - p.cfg.ReservedDescriptors
}

// DescriptorsHeld returns how many descriptors this process holds, baseDescriptors included.
func (p *Proxy) DescriptorsHeld() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.admitted*descriptorsPerClient + p.unadmitted.Len() + p.pings.Count() + baseDescriptors
}

// fits reports whether the budget has room for the given number of further descriptors, in addition to those that it
// reserves for the process and for minUnadmitted clients that are read and rejected. The caller holds mu.
func (p *Proxy) fits(descriptors int) bool {
	held := p.admitted*descriptorsPerClient + processDescriptors + p.pings.Unreserved() + minUnadmitted
	return held+descriptors <= p.cfg.MaxDescriptors
}

// maxUnadmitted returns how many unadmitted clients are allowed. It is at least minUnadmitted: during a hot restart
// this process may exceed its share of the node's limit, and new clients must still get their rejection. The caller
// holds mu.
func (p *Proxy) maxUnadmitted() int {
	share := max(p.cfg.MaxDescriptors/unadmittedDivisor, minUnadmitted)
	left := p.cfg.MaxDescriptors - processDescriptors - p.admitted*descriptorsPerClient
	return max(min(share, left), minUnadmitted)
}

// admit reserves two descriptors for a client whose opening line is complete. If necessary it releases descriptors of
// pings and evicts unadmitted clients.
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

// charge counts a client as admitted. The caller holds mu.
func (p *Proxy) charge(c *conn) {
	p.admitted++
	p.metrics.openClients.Add(1)
	c.admitted = true
}

// release removes a client from the budget. The caller holds mu.
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

// touch moves an unadmitted client to the end of the eviction order. The caller holds mu.
func (p *Proxy) touch(c *conn) {
	c.lastActive = time.Now()
	p.unadmitted.MoveToBack(c.unadmitted)
}

// renew calls touch for a client whose health check was answered. It reports false if the client was evicted.
func (p *Proxy) renew(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.unadmitted == nil {
		return false
	}
	p.touch(c)
	return true
}

// markAnswered makes a client unadmitted again, after its final answer and without a connection to a host. It does
// nothing if the client was evicted.
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

// evictable returns the client to evict next, or nil if none may be evicted. Clients that have had their final answer
// come first: the longest inactive of them is returned, or nil while it has evictionGrace to read the answer. If there
// is no such client, evictable returns the longest inactive client that is past evictionGrace and whose opening line is
// being read. The caller holds mu.
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

// evict closes an unadmitted client to make room for a newer one. The caller holds mu.
func (p *Proxy) evict(c *conn) {
	rejected := p.closeUnadmitted(c)
	p.log.Info("client evicted for a newer one", zap.Bool("rejected", rejected), zap.Bool("answered", c.answered))
}

// closeUnadmitted closes an unadmitted client, and reports whether it rejected the client. A client that has begun its
// opening line is rejected, because a close without an answer would lose its request. A client that has sent nothing is
// closed without reading what it sends meanwhile. The caller holds mu; nothing here waits for the client.
func (p *Proxy) closeUnadmitted(c *conn) (rejected bool) {
	end := openingEndedAnswered
	if !c.answered {
		end = c.endOpening()
	}
	p.release(c)
	if end == openingEndedUnread {
		_ = c.client.Close()
		return false
	}
	closeDiscarding(c.client)
	return !c.answered
}
