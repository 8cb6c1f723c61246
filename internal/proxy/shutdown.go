package proxy

import (
	"time"

	"go.uber.org/zap"

	"onyxstream/internal/wire"
)

// shutdownGrace is how long Shutdown waits until clients without an established connection have read their final answer
// and closed, and until established connections have been migrated.
const shutdownGrace = 100 * time.Millisecond

const shutdownPollInterval = time.Millisecond

// Shutdown closes all connections and waits until they have ended. The caller must have stopped accepting clients. A
// client without a final answer gets one before the close, because a reset would leave it without any. An established
// connection is migrated, also one that the node does not know yet. With passThrough, established connections stay open
// until the process ends: in pass-through mode another node takes them over then, while a reset would make all clients
// reconnect at once.
func (p *Proxy) Shutdown(passThrough bool) {
	p.mu.Lock()
	p.beginShutdown(passThrough)
	p.mu.Unlock()
	p.pings.Wait()
	deadline := time.Now().Add(shutdownGrace)
	for len(p.unfinished(passThrough)) > 0 && time.Now().Before(deadline) {
		time.Sleep(shutdownPollInterval)
	}
	p.closeAllUnfinished(passThrough)
	if !passThrough {
		p.clients.Wait()
	}
}

// closeAllUnfinished closes the connections that have not ended by themselves.
func (p *Proxy) closeAllUnfinished(passThrough bool) {
	cutOff := 0
	for _, c := range p.unfinished(passThrough) {
		if p.closeUnfinished(c) {
			cutOff++
		}
	}
	if cutOff > 0 {
		p.log.Warn("shutdown: established connections reset without migration", zap.Int("connections", cutOff))
	}
}

// closeUnfinished closes a connection that has not ended by itself. Usually the client has had its final answer, or has
// been asked to reconnect, and does not close. Either way it counts as unadmitted. A client that has no answer, because
// the connection's goroutine is held up, gets one: a failure, as a host may have executed the request. closeUnfinished
// reports whether it had to reset an established connection, whose client does not read or whose goroutine is held up.
func (p *Proxy) closeUnfinished(c *conn) (cutOff bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.unadmitted != nil {
		p.closeUnadmitted(c)
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.handedOff: // its goroutine only closes this process's descriptors
		return false
	case c.host != nil:
		c.abortLocked()
		return true
	}
	writeWithoutWaiting(c.client, c.writeAnswerLocked(wire.Failure))
	closeDiscarding(c.client)
	return false
}

// beginShutdown begins to end all connections and pings. The caller holds mu.
func (p *Proxy) beginShutdown(passThrough bool) {
	if !p.closed {
		close(p.shutdown)
	}
	p.closed = true
	for c := range p.conns {
		c.shutDown(passThrough)
	}
	p.pings.Close()
}

// unfinished returns the connections that have not ended, except those that Shutdown leaves open. With passThrough too, a
// client that is being migrated gets MOVE before the process ends.
func (p *Proxy) unfinished(passThrough bool) (conns []*conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if !passThrough || !c.isEstablished() || c.migrating.Load() {
			conns = append(conns, c)
		}
	}
	return conns
}
