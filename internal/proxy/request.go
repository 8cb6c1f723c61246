package proxy

import (
	"context"
	"net"
	"runtime/debug"
	"strings"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/netio"
	"onyxstream/internal/node"
	"onyxstream/internal/wire"
)

// drive waits for the loop's word, makes the attempts and, once up, copies to the client.
func (c *conn) drive(until time.Time) {
	final := false        // the client has had its answer, or has left
	said := false         // it has had its answer from here
	taken, out := 0, 0    // sends taken from the loop, and how many of them owe an outcome
	reply := wire.Failure // from here, where it has had no answer
	defer func() {
		p := recover()
		if p != nil {
			c.d.log.Error("a connection failed badly", zap.Any("panic", p), zap.String("request", c.open.ID),
				zap.ByteString("stack", debug.Stack()))
			c.mu.Lock()
			if c.host != nil {
				// It was up: an answer of this node's own would stand among the host's lines.
				final = true
				reset(c.host)
				reset(c.client)
			}
			c.mu.Unlock()
		}
		if !final || p != nil {
			c.d.node.ClientDisconnected(c.id, c, taken)
		}
		if out > 0 {
			c.d.node.AttemptEnded(c.id, c, taken-1, 0, balancer.ConnectionReset)
		}
		c.mu.Lock()
		spoke := c.spoke
		c.mu.Unlock()
		if spoke && !said {
			c.d.log.Info("a client's first line can't be served", zap.Error(errSpoke))
		}
		switch {
		case !final || spoke && !said:
			c.countAs(reply)
			c.finish(reply)
		case c.half.Load() && !said:
			// It has ended its side and may still read: its request is answered like any other.
			_ = c.client.SetWriteDeadline(time.Now().Add(lingerFor))
			_, _ = netio.WriteAll(c.client, []byte(wire.Failure))
		}
	}()
	if c.open.CurrentHost != "" {
		final = c.resume(&taken, &out)
		return
	}
	backstop := time.NewTimer(max(time.Until(until), 0) + c.d.cfg.AnswerSlack)
	defer backstop.Stop()
	c.d.node.RequestArrived(&c.open, until, c)
	for {
		select {
		case <-c.gone:
			final = true
			c.d.node.ClientDisconnected(c.id, c, taken)
			return
		case <-c.d.ending:
			// The loop has answered before that whatever it knew of.
			c.d.log.Info("a request was answered as the node ended", zap.String("request", c.open.ID))
			if taken == 0 { // it was never sent on, and is sent nowhere any more: Gone says so to the loop
				reply = c.d.comeAgain()
			}
			return
		case <-backstop.C:
			// The module answers in time; this is for what it never heard of, or what failed on the way.
			c.d.log.Info("a request was answered by the backstop", zap.String("request", c.open.ID))
			return
		case cmd := <-c.cmds:
			if cmd.send == nil {
				final, said = true, true
				c.d.log.Debug("a request is answered", zap.String("request", c.open.ID), zap.String("answer", strings.TrimSpace(cmd.reply)),
					zap.Int("attempts", taken), zap.Duration("left", time.Until(until)))
				c.countAs(cmd.reply)
				c.finish(cmd.reply)
				return
			}
			taken, out = cmd.send.Number+1, 1
			a := *cmd.send
			a.Timeout = min(a.Timeout, time.Until(until)+c.d.cfg.AnswerSlack) // the backstop, while an attempt is out
			final = c.send(a)
			if out = 0; final {
				return
			}
		}
	}
}

// send makes one attempt and, where it comes up, is the rest of the connection's life. It reports whether the
// client has had its answer or has left.
func (c *conn) send(a node.Attempt) (final bool) {
	start := time.Now()
	var in wire.LineBuffer
	host, upLine, failed := c.try(a, &in)
	took := time.Since(start)
	if failed == nil && !c.raise(host) {
		_ = host.Close()
		failed = &AttemptError{Answering, errWithdrawn}
	}
	if failed == nil {
		c.d.log.Debug("a connection is up", zap.String("request", c.open.ID), zap.String("host", a.Addr),
			zap.Duration("took", took), zap.Bool("mid", c.open.MidFlow), zap.Bool("again", c.open.Reconnect),
			zap.String("key", c.open.Key), zap.String("group", c.open.Group), zap.Int("attempt", a.Number))
		c.count(brought)
		c.d.node.ConnectionEstablished(c.id, c, a.Number, took)
		c.relay(host, &in, upLine, a.Number, start)
		return true
	}
	in.Release()
	c.d.log.Debug("an attempt failed", zap.String("request", c.open.ID), zap.String("host", a.Addr),
		zap.Duration("took", took), zap.Error(failed))
	if final = c.isGone(); final { // first, so that the module tries no other host for a client that has left
		c.d.node.ClientDisconnected(c.id, c, a.Number+1)
	}
	c.d.node.AttemptEnded(c.id, c, a.Number, took, failed.Outcome())
	return final
}

// begin says that an attempt is under way, which the loop, or the client by leaving, can withdraw; over ends that. Where
// the client has left by now, or the node ends, it is withdrawn already: nothing is begun for one who is gone.
func (c *conn) begin(n int, host string) (ctx context.Context, over func()) {
	ctx, cancel := context.WithCancel(context.Background())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withdraw, c.running, c.on = cancel, n, host
	if c.aborted || c.ending || c.isGone() {
		cancel()
	}
	return ctx, func() {
		cancel()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.withdraw = nil
	}
}

// try makes one attempt.
func (c *conn) try(a node.Attempt, in *wire.LineBuffer) (*net.TCPConn, []byte, *AttemptError) {
	ctx, over := c.begin(a.Number, string(a.Host))
	defer over()
	select {
	case <-c.verdict: // an answer to an attempt that did not wait for it
	default:
	}
	late := time.NewTimer(a.Timeout) // a loop that does not answer must not hold the client past its time
	defer late.Stop()
	may := func() error {
		c.d.node.AttemptConnected(c.id, c, a.Number)
		select {
		case ok := <-c.verdict:
			if !ok {
				return errTooLate
			}
			return nil
		case <-ctx.Done():
			return ctx.Err()
		case <-late.C:
			return errTooLate
		}
	}
	wrote := func(began time.Time) {
		c.checkStart(string(a.Host), began)
		c.d.node.AttemptWritten(c.id, c, a.Number, began)
	}
	return attempt(ctx, a, &c.open, permit{c.d.cfg.ConnectTimeout, may, wrote}, in)
}

// raise marks the connection as up; false where the client has left or the node ends.
func (c *conn) raise(host *net.TCPConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isGone() || c.aborted || c.ending {
		return false
	}
	_ = host.SetDeadline(time.Time{})
	c.host = host
	close(c.up)
	if c.open.MidFlow { // what it said early goes on: whoever reads it is to see that it is up
		_ = c.client.SetReadDeadline(netio.Expired)
	}
	return true
}
