package proxy

import (
	"time"
)

// shutdownGrace is how long Shutdown waits for clients that are not established to read their final answer and close.
const shutdownGrace = 100 * time.Millisecond

const shutdownPollInterval = time.Millisecond

// Shutdown closes all connections and waits for them. No client may be accepted any more. Clients without an answer get
// one first: a reset would leave them with none. With passThrough, established connections stay until the process ends:
// where packets pass through, another node takes them up then, while a reset would make all clients reconnect at once.
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
		closeWithLine(c.client, "") // it has had its final answer and does not close
	}
	if !passThrough {
		p.clients.Wait()
	}
}

// beginShutdown begins to close all connections and pings. mu is held.
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

// unfinished lists the connections that have not ended, except those that Shutdown leaves open.
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
