package proxy

import (
	"time"
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
		closeDiscarding(c.client) // the client has had its final answer but does not close
	}
	if !passThrough {
		p.clients.Wait()
	}
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
