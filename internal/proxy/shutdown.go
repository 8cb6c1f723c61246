package proxy

import (
	"time"

	"onyxstream/internal/wire"
)

// shutdownGrace is how long Shutdown waits for clients without an established connection to read their final answer and
// close.
const shutdownGrace = 100 * time.Millisecond

const shutdownPollInterval = time.Millisecond

// Shutdown closes all connections and waits until they have ended. The caller must have stopped accepting clients. A
// client without a final answer gets one before the close, because a reset would leave it without any. With
// passThrough, established connections stay open until the process ends: in pass-through mode another node takes them
// over then, while a reset would make all clients reconnect at once.
func (p *Proxy) Shutdown(passThrough bool) {
	p.mu.Lock()
	p.beginShutdown(passThrough)
	p.mu.Unlock()
	p.pings.Wait()
	deadline := time.Now().Add(shutdownGrace)
	for len(p.unfinished(passThrough)) > 0 && time.Now().Before(deadline) {
		time.Sleep(shutdownPollInterval)
	}
	for _, c := range p.unfinished(passThrough) {
		p.closeUnfinished(c)
	}
	if !passThrough {
		p.clients.Wait()
	}
}

// closeUnfinished closes a connection that has not ended by itself. Usually the client has had its final answer and does
// not close. A client that has none, because the connection's goroutine is held up, gets one: a failure, as a host may
// have executed the request. An established connection is left to its goroutine: it is reset already, or another process
// has it.
func (p *Proxy) closeUnfinished(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.unadmitted != nil {
		p.closeUnadmitted(c)
		return
	}
	if c.failUnestablished() {
		closeDiscarding(c.client)
	}
}

// failUnestablished writes a failure to a client without a final answer. It reports false if the connection is
// established. It does not wait for the client.
func (c *conn) failUnestablished() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.host != nil {
		return false
	}
	writeWithoutWaiting(c.client, c.writeAnswerLocked(wire.Failure))
	return true
}

// beginShutdown begins to close all connections and pings. The caller holds mu.
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

// unfinished returns the connections that have not ended, except those that Shutdown leaves open.
func (p *Proxy) unfinished(passThrough bool) (conns []*conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if !passThrough || !c.isEstablished() {
			conns = append(conns, c)
		}
	}
	return conns
}
