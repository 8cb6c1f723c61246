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

// serveRequest waits for the loop's word, makes the attempts and, once up, copies to the client.
func (c *conn) serveRequest(until time.Time) {
	final := false        // the client has had its answer, or has left
	said := false         // it has had its answer from here
	taken, out := 0, 0    // sends taken from the loop, and how many of them owe an outcome
	reply := wire.Failure // from here, where it has had no answer
	defer func() {
		p := recover()
		if p != nil {
			c.proxy.log.Error("a connection failed badly", zap.Any("panic", p), zap.String("request", c.opening.ID),
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
			c.proxy.node.ClientDisconnected(c.requestID, c, taken)
		}
		if out > 0 {
			c.proxy.node.AttemptEnded(c.requestID, c, taken-1, 0, balancer.ConnectionReset)
		}
		c.mu.Lock()
		spoke := c.violatedProtocol
		c.mu.Unlock()
		if spoke && !said {
			c.proxy.log.Info("a client's first line can't be served", zap.Error(errEarlyData))
		}
		switch {
		case !final || spoke && !said:
			c.countReplyLine(reply)
			c.reply(reply)
		case c.halfClosed.Load() && !said:
			// It has ended its side and may still read: its request is answered like any other.
			_ = c.client.SetWriteDeadline(time.Now().Add(lingerTimeout))
			_, _ = netio.WriteAll(c.client, []byte(wire.Failure))
		}
	}()
	if c.opening.CurrentHost != "" {
		final = c.resume(&taken, &out)
		return
	}
	backstop := time.NewTimer(max(time.Until(until), 0) + c.proxy.cfg.AnswerSlack)
	defer backstop.Stop()
	c.proxy.node.RequestArrived(&c.opening, until, c)
	for {
		select {
		case <-c.disconnected:
			final = true
			c.proxy.node.ClientDisconnected(c.requestID, c, taken)
			return
		case <-c.proxy.shutdown:
			// The loop has answered before that whatever it knew of.
			c.proxy.log.Info("a request was answered as the node ended", zap.String("request", c.opening.ID))
			if taken == 0 { // it was never sent on, and is sent nowhere any more: Gone says so to the loop
				reply = c.proxy.rejection()
			}
			return
		case <-backstop.C:
			// The module answers in time; this is for what it never heard of, or what failed on the way.
			c.proxy.log.Info("a request was answered by the backstop", zap.String("request", c.opening.ID))
			return
		case cmd := <-c.commands:
			if cmd.attempt == nil {
				final, said = true, true
				c.proxy.log.Debug("a request is answered", zap.String("request", c.opening.ID), zap.String("answer", strings.TrimSpace(cmd.reply)),
					zap.Int("attempts", taken), zap.Duration("left", time.Until(until)))
				c.countReplyLine(cmd.reply)
				c.reply(cmd.reply)
				return
			}
			taken, out = cmd.attempt.Number+1, 1
			a := *cmd.attempt
			a.Timeout = min(a.Timeout, time.Until(until)+c.proxy.cfg.AnswerSlack) // the backstop, while an attempt is out
			final = c.attemptHost(a)
			if out = 0; final {
				return
			}
		}
	}
}

// attemptHost makes one attempt and, where it comes up, is the rest of the connection's life. It reports whether the
// client has had its answer or has left.
func (c *conn) attemptHost(a node.Attempt) (final bool) {
	start := time.Now()
	var in wire.LineBuffer
	host, upLine, failed := c.tryHost(a, &in)
	took := time.Since(start)
	if failed == nil && !c.establish(host) {
		_ = host.Close()
		failed = &AttemptError{Answering, errCanceled}
	}
	if failed == nil {
		c.proxy.log.Debug("a connection is up", zap.String("request", c.opening.ID), zap.String("host", a.Addr),
			zap.Duration("took", took), zap.Bool("mid", c.opening.MidFlow), zap.Bool("again", c.opening.Reconnect),
			zap.String("key", c.opening.Key), zap.String("group", c.opening.Group), zap.Int("attempt", a.Number))
		c.countReply(succeeded)
		c.proxy.node.ConnectionEstablished(c.requestID, c, a.Number, took)
		c.relay(host, &in, upLine, a.Number, start)
		return true
	}
	in.Release()
	c.proxy.log.Debug("an attempt failed", zap.String("request", c.opening.ID), zap.String("host", a.Addr),
		zap.Duration("took", took), zap.Error(failed))
	if final = c.isDisconnected(); final { // first, so that the module tries no other host for a client that has left
		c.proxy.node.ClientDisconnected(c.requestID, c, a.Number+1)
	}
	c.proxy.node.AttemptEnded(c.requestID, c, a.Number, took, failed.Outcome())
	return final
}

// beginAttempt says that an attempt is under way, which the loop, or the client by leaving, can withdraw; over ends that. Where
// the client has left by now, or the node ends, it is withdrawn already: nothing is begun for one who is gone.
func (c *conn) beginAttempt(n int, host string) (ctx context.Context, over func()) {
	ctx, cancel := context.WithCancel(context.Background())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelAttempt, c.attemptNumber, c.hostID = cancel, n, host
	if c.aborted || c.shuttingDown || c.isDisconnected() {
		cancel()
	}
	return ctx, func() {
		cancel()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.cancelAttempt = nil
	}
}

// tryHost makes one attempt.
func (c *conn) tryHost(a node.Attempt, in *wire.LineBuffer) (*net.TCPConn, []byte, *AttemptError) {
	ctx, over := c.beginAttempt(a.Number, string(a.Host))
	defer over()
	select {
	case <-c.authorization: // an answer to an attempt that did not wait for it
	default:
	}
	late := time.NewTimer(a.Timeout) // a loop that does not answer must not hold the client past its time
	defer late.Stop()
	may := func() error {
		c.proxy.node.AttemptConnected(c.requestID, c, a.Number)
		select {
		case ok := <-c.authorization:
			if !ok {
				return errNotAuthorized
			}
			return nil
		case <-ctx.Done():
			return ctx.Err()
		case <-late.C:
			return errNotAuthorized
		}
	}
	wrote := func(began time.Time) {
		c.checkStart(string(a.Host), began)
		c.proxy.node.AttemptWritten(c.requestID, c, a.Number, began)
	}
	return attempt(ctx, a, &c.opening, attemptHooks{c.proxy.cfg.ConnectTimeout, may, wrote}, in)
}

// establish marks the connection as up; false where the client has left or the node ends.
func (c *conn) establish(host *net.TCPConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isDisconnected() || c.aborted || c.shuttingDown {
		return false
	}
	_ = host.SetDeadline(time.Time{})
	c.host = host
	close(c.established)
	if c.opening.MidFlow { // what it said early goes on: whoever reads it is to see that it is up
		_ = c.client.SetReadDeadline(netio.Expired)
	}
	return true
}
