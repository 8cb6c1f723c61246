package proxy

import (
	"context"
	"net"
	"strings"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/node"
	"onyxstream/internal/wire"
)

// serveRequest executes the node's decisions for a request until the client has its final answer or, if a host
// establishes the connection, until the connection has ended. If the node does not answer the request in time, the
// proxy does.
func (c *conn) serveRequest(deadline time.Time) {
	state := newRequestState()
	defer c.releaseID()
	defer c.finishRequest(&state)
	if !c.claimID() {
		c.proxy.log.Info(duplicateIDMessage, zap.String("request", c.opening.ID))
		return
	}
	if c.opening.CurrentHost != "" {
		c.resume(&state)
		return
	}
	fallbackTimer := time.NewTimer(max(time.Until(deadline), 0) + c.proxy.cfg.AnswerSlack)
	defer fallbackTimer.Stop()
	c.proxy.node.RequestArrived(&c.opening, deadline, c)
	for state.isOpen() {
		select {
		case <-c.disconnected:
			state.conclude()
			c.proxy.node.ClientDisconnected(c.requestID, c, state.attempts)
		case <-c.proxy.shutdown:
			// The node has already answered every request that it knew of.
			c.proxy.log.Info("shutting down, answering in-flight request", zap.String("request", c.opening.ID))
			if state.attempts == 0 { // the request was not forwarded, and will not be
				state.fallback = c.proxy.rejection()
			}
			return
		case <-fallbackTimer.C:
			c.proxy.log.Info("request deadline exceeded without an answer from the node", zap.String("request", c.opening.ID))
			return
		case d := <-c.decisions:
			c.execute(d, &state, deadline)
		}
	}
}

// claimID claims the request id for this process. It reports false if another process of the node has claimed it. An
// established connection may come here under the id that another process has claimed: its packets, or its client that
// resumes it. Its id is claimed so that no request gets it.
func (c *conn) claimID() bool {
	if c.proxy.claims == nil {
		return true
	}
	return c.proxy.claims.ClaimID(c.opening.ID) || c.opening.MidFlow || c.opening.CurrentHost != ""
}

// holdID claims the id of a connection that was handed off to this process.
func (c *conn) holdID() {
	if c.proxy.claims != nil {
		c.proxy.claims.HoldID(c.opening.ID)
	}
}

// releaseID ends the use of an id that this connection has claimed or held.
func (c *conn) releaseID() {
	if c.proxy.claims != nil {
		c.proxy.claims.ReleaseID(c.opening.ID)
	}
}

// execute executes a decision of the node.
func (c *conn) execute(d decision, state *requestState, deadline time.Time) {
	if d.attempt == nil {
		state.answerStarted()
		c.proxy.log.Debug("request answered by the node",
			zap.String("request", c.opening.ID),
			zap.String("reply", strings.TrimSpace(d.answer)),
			zap.Int("attempts", state.attempts),
			zap.Duration("remaining", time.Until(deadline)))
		c.countAnswerLine(d.answer)
		c.answer(d.answer)
		return
	}
	target := *d.attempt
	state.attemptStarted(target.Number)
	// serveRequest does not watch fallbackTimer while the attempt is in flight, so the attempt must end by then.
	target.Timeout = min(target.Timeout, time.Until(deadline)+c.proxy.cfg.AnswerSlack)
	state.attemptReported(c.attemptHost(target))
}

// finishRequest ends a request in any state, also after a panic: it notifies the node of the events that the node still
// waits for, and answers a client that has no final answer. It must be deferred directly.
func (c *conn) finishRequest(state *requestState) {
	panicked := recover()
	unreportedAttempt := state.phase == attempting
	if panicked != nil {
		c.proxy.log.Error("connection panicked", zap.Any("panic", panicked), zap.String("request", c.opening.ID),
			zap.Stack("stack"))
		if c.resetEstablished() {
			state.conclude()
		}
	}
	if state.isOpen() || panicked != nil {
		c.proxy.node.ClientDisconnected(c.requestID, c, state.attempts)
	}
	if unreportedAttempt {
		c.proxy.node.AttemptEnded(c.requestID, c, state.attempts-1, 0, balancer.ConnectionReset)
	}
	c.answerIfUnanswered(state)
}

// answerIfUnanswered sends a final answer to a client that has none, unless the client has disconnected. A client that
// violated the protocol or closed only its own side may still read one.
func (c *conn) answerIfUnanswered(state *requestState) {
	unanswered := state.phase != answered
	violated := c.hasViolatedProtocol() && unanswered
	if violated {
		c.proxy.log.Info(protocolViolationMessage, zap.Error(errEarlyData))
	}
	switch {
	case state.isOpen() || violated:
		c.countAnswerLine(state.fallback)
		c.answer(state.fallback)
	case c.halfClosed.Load() && unanswered: // the client may still read
		c.writeAnswer(wire.Failure)
	}
}

// resetEstablished resets both sides of an established connection, because a final answer of this node would be mixed
// with the host's lines. It reports false if the connection is not established.
func (c *conn) resetEstablished() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.host == nil {
		return false
	}
	reset(c.host)
	reset(c.client)
	return true
}

func (c *conn) hasViolatedProtocol() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.violatedProtocol
}

// Log messages that are used in more than one place, or in tests.
const (
	attemptFailedMessage     = "attempt failed"
	connectionClosedMessage  = "connection closed"
	duplicateIDMessage       = "request id already in use"
	protocolViolationMessage = "protocol violation in opening line"
)

// attemptHost makes one attempt and, if it establishes the connection, relays until the connection ends. It notifies
// the node, and reports whether the client needs no further attempt because a host has established its connection or
// the client has disconnected.
func (c *conn) attemptHost(target node.Attempt) (isConcluded bool) {
	start := time.Now()
	var in wire.LineBuffer
	host, line, failure := c.tryHost(target, &in)
	took := time.Since(start)
	if failure == nil && !c.establish(host) {
		_ = host.Close()
		failure = &AttemptError{Answering, errCancelled}
	}
	if failure == nil {
		c.logEstablished(target, took)
		c.countAnswer(succeeded)
		c.proxy.node.ConnectionEstablished(c.requestID, c, target.Number, took)
		c.relay(host, &in, line, target.Number, start)
		return true
	}
	in.Release()
	c.proxy.log.Debug(attemptFailedMessage,
		zap.String("request", c.opening.ID),
		zap.String("addr", target.Addr),
		zap.Duration("took", took),
		zap.Error(failure))
	isConcluded = c.isDisconnected()
	if isConcluded { // before AttemptEnded, so that the node makes no further attempt for this client
		c.proxy.node.ClientDisconnected(c.requestID, c, target.Number+1)
	}
	c.proxy.node.AttemptEnded(c.requestID, c, target.Number, took, failure.Outcome())
	return isConcluded
}

func (c *conn) logEstablished(target node.Attempt, took time.Duration) {
	c.proxy.log.Debug("connection established",
		zap.String("request", c.opening.ID),
		zap.String("addr", target.Addr),
		zap.Duration("took", took),
		zap.Bool("mid_flow", c.opening.MidFlow),
		zap.Bool("reconnect", c.opening.Reconnect),
		zap.String("key", c.opening.Key),
		zap.String("group", c.opening.Group),
		zap.Int("attempt", target.Number))
}

// beginAttempt records that an attempt is in flight until end is called. The node or a disconnect of the client can
// cancel the attempt. ctx is already canceled if the client has disconnected, the connection was aborted or the proxy
// is shutting down.
func (c *conn) beginAttempt(number int, hostID string) (ctx context.Context, end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelAttempt = cancel
	c.attemptNumber = number
	c.hostID = hostID
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

// tryHost makes one attempt. The node authorizes it between the dial and the first byte.
func (c *conn) tryHost(target node.Attempt, in *wire.LineBuffer) (*net.TCPConn, []byte, *AttemptError) {
	ctx, end := c.beginAttempt(target.Number, string(target.Host))
	defer end()
	select {
	case <-c.authorization: // a late answer for an earlier attempt, which stopped waiting for it
	default:
	}
	timeout := time.NewTimer(target.Timeout)
	defer timeout.Stop()
	return attempt(ctx, target, &c.opening, attemptHooks{
		connectTimeout: c.proxy.cfg.ConnectTimeout,
		authorize:      func() error { return c.authorizeWrite(ctx, target.Number, timeout.C) },
		written: func(began time.Time) {
			c.recordDispatch(string(target.Host), began)
			c.proxy.node.AttemptWritten(c.requestID, c, target.Number, began)
		},
	}, in)
}

// authorizeWrite returns nil if an attempt that has connected may write the opening line. It looks at the client last:
// the goroutine that reads the client may not have seen its end yet.
func (c *conn) authorizeWrite(ctx context.Context, number int, timeout <-chan time.Time) error {
	if err := c.awaitAuthorization(ctx, number, timeout); err != nil {
		return err
	}
	if c.hasLeft() {
		return errCancelled
	}
	return nil
}

// awaitAuthorization asks the node whether an attempt that has connected may write the opening line. It waits no longer
// than the attempt's timeout, so that a node that does not answer cannot block the client.
func (c *conn) awaitAuthorization(ctx context.Context, number int, timeout <-chan time.Time) error {
	c.proxy.node.AttemptConnected(c.requestID, c, number)
	select {
	case ok := <-c.authorization:
		if !ok {
			return errNotAuthorized
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-timeout:
		return errNotAuthorized
	}
}
