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
			if since := c.waiting.Swap(0); since != 0 {
				took := nanos(time.Now()) - since
				c.took.Store(took)
				c.longest = max(c.longest, time.Duration(took))
				c.answered.Add(1)
			}
		}
		if seen.Load > 0 {
			c.load = seen.Load
			c.d.node.ReportLoad(c.id, c, seen.Load)
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
			goOn, handed := c.rest(host, true, func(p *parking) {
				p.partial, p.torn, p.load = append([]byte(nil), r.Buffered()...), !r.AtLineBoundary() || r.Ending(), c.load
			})
			if handed {
				c.handOver(host, attempt, start)
				return
			}
			if goOn {
				err = nil
			}
		}
	}
	c.part(host, &r, err, stuck, attempt, start)
}

// part ends both sides after the relay has: err is what ended it.
func (c *conn) part(host *net.TCPConn, r *wire.Relay, err error, stuck bool, attempt int, start time.Time) {
	outcome := balancer.ConnectionReset
	left, moved := c.leftFIN.Load() || c.leftRST.Load(), c.moving.Load() // as it ended: a word that comes now is too late
	switch {
	case r.Last() == wire.ResponseClosed:
		outcome = balancer.Served
	case r.Last() == wire.ResponseMigrate || left || moved:
		outcome = balancer.Cancelled
	}
	if c.leftRST.Load() {
		reset(host)
	} else {
		_ = host.Close()
	}
	c.d.log.Debug("a connection ended", zap.String("request", c.open.ID), zap.Stringer("host", host.RemoteAddr()),
		zap.Bool("moved", moved), zap.Bool("client left", left), zap.Duration("after", time.Since(start)),
		zap.Duration("longest answer", c.longest),
		zap.Error(err))
	c.d.node.AttemptEnded(c.id, c, attempt, time.Since(start), outcome)
	switch {
	case moved && !left && !stuck && r.AtLineBoundary() && !errors.Is(err, io.EOF):
		c.stopReading()
		c.finish(wire.Migration)
	case errors.Is(err, io.EOF):
		_, _ = netio.WriteAll(c.client, r.Buffered()) // a last line without its end
		c.stopReading()
		c.linger()
	case left:
	default:
		reset(c.client)
	}
}
