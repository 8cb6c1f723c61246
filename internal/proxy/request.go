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

// serveRequest executes what the node decides for a request until the client has its answer or, if a host establishes
// the connection, until that has ended. A request that the node does not answer in time gets a reply of the proxy's
// own.
func (c *conn) serveRequest(deadline time.Time) {
	state := newRequestState()
	defer c.finishRequest(&state)
	if c.opening.CurrentHost != "" {
		c.resume(&state)
		return
	}
	backstop := time.NewTimer(max(time.Until(deadline), 0) + c.proxy.cfg.AnswerSlack)
	defer backstop.Stop()
	c.proxy.node.RequestArrived(&c.opening, deadline, c)
	for state.isOpen() {
		select {
		case <-c.disconnected:
			state.conclude()
			c.proxy.node.ClientDisconnected(c.requestID, c, state.attempts)
		case <-c.proxy.shutdown:
			// The node has replied to all requests that it knew of before.
			c.proxy.log.Info("shutting down, replying to in-flight request", zap.String("request", c.opening.ID))
			if state.attempts == 0 { // it was forwarded nowhere, and will not be
				state.fallback = c.proxy.rejection()
			}
			return
		case <-backstop.C:
			c.proxy.log.Info("request deadline exceeded without a reply from the node", zap.String("request", c.opening.ID))
			return
		case d := <-c.decisions:
			c.execute(d, &state, deadline)
		}
	}
}

// execute executes a command of the node.
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
	// The backstop does not fire while the attempt is in flight, so the attempt must end by its time.
	target.Timeout = min(target.Timeout, time.Until(deadline)+c.proxy.cfg.AnswerSlack)
	state.attemptReported(c.attemptHost(target))
}

// finishRequest ends a request in whatever state it is, a panic included: it notifies the node of what that still waits
// for, and replies to a client without an answer. It must be deferred directly.
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

// answerIfUnanswered replies to a client that the node has not answered, if it may read a reply.
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
	case c.halfClosed.Load() && unanswered: // it has closed its side and may still read
		c.writeAnswer(wire.Failure)
	}
}

// resetEstablished resets both sides of an established connection, where a reply would stand among the host's lines. It
// reports false if the connection is not established.
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

// Log messages that more than one place needs, tests included.
const (
	attemptFailedMessage     = "attempt failed"
	connectionClosedMessage  = "connection closed"
	duplicateIDMessage       = "request id already in use"
	protocolViolationMessage = "protocol violation in opening line"
)

// attemptHost makes one attempt and, if it establishes the connection, relays until that ends. It notifies the node,
// and reports whether the client needs no further attempt: a host has answered it, or it has disconnected.
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
	if isConcluded { // first, so that the node makes no further attempt for a client that has disconnected
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

// beginAttempt records that an attempt is in flight, which the node or the client's disconnect can cancel, until end is
// called. It is cancelled already if the client has disconnected or the proxy shuts down.
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

// tryHost makes one attempt, with the node's authorization between the dial and the first byte.
func (c *conn) tryHost(target node.Attempt, in *wire.LineBuffer) (*net.TCPConn, []byte, *AttemptError) {
	ctx, end := c.beginAttempt(target.Number, string(target.Host))
	defer end()
	select {
	case <-c.authorization: // of an attempt that did not wait for it
	default:
	}
	timeout := time.NewTimer(target.Timeout)
	defer timeout.Stop()
	return attempt(ctx, target, &c.opening, attemptHooks{
		connectTimeout: c.proxy.cfg.ConnectTimeout,
		authorize:      func() error { return c.awaitAuthorization(ctx, target.Number, timeout.C) },
		written: func(began time.Time) {
			c.recordDispatch(string(target.Host), began)
			c.proxy.node.AttemptWritten(c.requestID, c, target.Number, began)
		},
	}, in)
}

// awaitAuthorization asks the node whether an attempt that has connected may write. A node that does not answer must
// not hold the client beyond the attempt's timeout.
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
