package proxy

import (
	"errors"
	"io"
	"net"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/netio"
	"onyxstream/internal/wire"
)

// relay passes lines from the host to the client until one side ends, and ends the other alike.
func (c *conn) relay(host *net.TCPConn, first *wire.LineBuffer, upLine []byte, attempt int, start time.Time) {
	r := wire.Relay{LineBuffer: *first}
	defer r.Release()
	var err error
	if len(upLine) > 0 {
		_, err = netio.WriteAll(c.client, upLine)
	}
	stuck := err != nil // the client does not take what is for it
	for err == nil {
		chunk, seen := r.CompleteLines()
		if seen.Responses > 0 {
			if since := c.waitingSince.Swap(0); since != 0 {
				took := monotonicNanos(time.Now()) - since
				c.lastLatency.Store(took)
				c.maxLatency = max(c.maxLatency, time.Duration(took))
				c.answeredMessages.Add(1)
			}
		}
		if seen.Load > 0 {
			c.load = seen.Load
			c.proxy.node.ReportLoad(c.requestID, c, seen.Load)
		}
		if len(chunk) > 0 {
			_, err = netio.WriteAll(c.client, chunk)
			stuck = err != nil
			continue
		}
		var n int
		n, err = netio.Read(host, r.Space())
		r.Advance(n)
		if n > 0 {
			err = nil
		}
		if err != nil && netio.IsDeadlineExceeded(err) {
			goOn, handed := c.awaitHandOff(host, true, func(p *quiescence) {
				p.partial, p.midLine, p.load = append([]byte(nil), r.Buffered()...), !r.AtLineBoundary() || r.Ending(), c.load
			})
			if handed {
				c.releaseHandedOff(host, attempt, start)
				return
			}
			if goOn {
				err = nil
			}
		}
	}
	c.closePeer(host, &r, err, stuck, attempt, start)
}

// closePeer ends both sides after the relay has: err is what ended it.
func (c *conn) closePeer(host *net.TCPConn, r *wire.Relay, err error, stuck bool, attempt int, start time.Time) {
	outcome := balancer.ConnectionReset
	left, moved := c.clientClosed.Load() || c.clientReset.Load(), c.migrating.Load() // as it ended: a word that comes now is too late
	switch {
	case r.Last() == wire.ResponseClosed:
		outcome = balancer.Served
	case r.Last() == wire.ResponseMigrate || left || moved:
		outcome = balancer.Cancelled
	}
	if c.clientReset.Load() {
		reset(host)
	} else {
		_ = host.Close()
	}
	c.proxy.log.Debug("a connection ended", zap.String("request", c.opening.ID), zap.Stringer("host", host.RemoteAddr()),
		zap.Bool("moved", moved), zap.Bool("client left", left), zap.Duration("after", time.Since(start)),
		zap.Duration("longest answer", c.maxLatency),
		zap.Error(err))
	c.proxy.node.AttemptEnded(c.requestID, c, attempt, time.Since(start), outcome)
	switch {
	case moved && !left && !stuck && r.AtLineBoundary() && !errors.Is(err, io.EOF):
		c.stopReading()
		c.reply(wire.Migration)
	case errors.Is(err, io.EOF):
		_, _ = netio.WriteAll(c.client, r.Buffered()) // a last line without its end
		c.stopReading()
		c.lingerClose()
	case left:
	default:
		reset(c.client)
	}
}
