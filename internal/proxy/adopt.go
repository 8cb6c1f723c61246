package proxy

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/wire"
)

var (
	errNotEstablished = errors.New("invalid opening line or partial line of an established connection")
	errShutDown       = errors.New("proxy is shut down")
)

// Adopt resumes a connection that another process of the node has handed off. If the connection cannot be resumed, it
// tells the client to migrate and closes both sides, because no other process holds the connection any more. The client
// has received complete lines only, so a further line does not get mixed with the host's lines.
func (p *Proxy) Adopt(handedOff EstablishedConn) error {
	err := p.adopt(handedOff)
	if err != nil {
		handedOff.migrate()
	}
	return err
}

// migrate tells the client to migrate and closes both sides, without waiting for the client.
func (e EstablishedConn) migrate() {
	closeWithLine(e.Client, wire.Migration)
	_ = e.HostConn.Close()
}

func (p *Proxy) adopt(handedOff EstablishedConn) error {
	kind, opening, err := wire.ParseOpening([]byte(handedOff.Line))
	if err != nil || kind != wire.OpeningRequest || len(handedOff.Partial) > wire.BufferSize/2 {
		return errNotEstablished
	}
	opening.CurrentHost = handedOff.Host
	c := p.newConn(handedOff.Client, time.Now())
	c.opening = opening
	c.requestID = balancer.RequestID(opening.ID)
	c.hostID = handedOff.Host
	c.host = handedOff.HostConn
	c.answerCounted.Store(true) // the process that established the connection counted it
	close(c.established)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return errShutDown
	}
	p.charge(c)
	p.start(c, func() { c.serveAdopted(handedOff) })
	return nil
}

// serveAdopted handles an adopted connection to its end. If its request id is in use or the node's event loop has
// ended, the client is migrated.
func (c *conn) serveAdopted(handedOff EstablishedConn) {
	start := time.Now()
	inherited := false // the node knows of the connection and must be notified of its end
	defer c.client.Close()
	defer func() {
		if panicked := recover(); panicked != nil {
			c.proxy.log.Error("connection panicked", zap.Any("panic", panicked), zap.Stack("stack"))
			c.abort()
			if inherited {
				c.proxy.node.AttemptEnded(c.requestID, c, 0, 0, balancer.ConnectionReset)
			}
		}
	}()
	if _, ok := c.proxy.node.ResumeConnection(&c.opening, c); !ok {
		c.proxy.log.Info(duplicateIDMessage)
		handedOff.migrate()
		return
	}
	inherited = true
	c.proxy.node.ConnectionInherited(&c.opening, c)
	c.holdID()
	defer c.releaseID()
	if handedOff.Load > 0 {
		c.load = handedOff.Load
		c.proxy.node.ReportLoad(c.requestID, c, handedOff.Load)
	}
	var host, client wire.LineBuffer
	host.Advance(copy(host.Space(), handedOff.Partial))
	defer client.Release()
	c.whileReadingClient(&client, func() {
		c.relay(handedOff.HostConn, &host, nil, 0, start)
	})
}
