package proxy

import (
	"net"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/node"
	"onyxstream/internal/wire"
)

const (
	resumeTimeout = 30 * time.Second       // limit of the retries
	resumeBackoff = 250 * time.Millisecond // pause between two attempts
)

// resume re-establishes a connection whose client names its current host: only that host gets the opening line. The
// host may not be ready, or not in the endpoint list yet, so attempts that did not reach it are retried.
func (c *conn) resume(state *requestState) {
	deadline := time.Now().Add(resumeTimeout)
	for time.Now().Before(deadline) {
		addr, ok := c.proxy.node.ResumeConnection(&c.opening, c)
		if !ok {
			c.proxy.log.Info(duplicateIDMessage)
			return
		}
		if addr != "" && !c.resumeAt(addr, state) {
			return
		}
		if !c.awaitRetry() {
			c.proxy.node.ClientDisconnected(c.requestID, c, 0)
			state.conclude()
			return
		}
	}
}

// resumeAt makes one attempt to resume the connection at a host. If that establishes the connection, it relays until
// the connection ends. It reports whether to retry.
func (c *conn) resumeAt(addr string, state *requestState) (retry bool) {
	var in wire.LineBuffer
	start := time.Now()
	host, line, failure := c.tryResume(addr, &in)
	if failure == nil {
		c.runResumed(host, &in, line, start, state)
		return false
	}
	in.Release()
	c.proxy.log.Info("connection resume failed", zap.String("host", c.opening.CurrentHost), zap.Error(failure))
	outcome := failure.Outcome()
	return outcome == balancer.ConnectFailed || outcome == balancer.NotSent // awaitRetry detects a disconnected client
}

// tryResume makes one attempt to resume the connection at a host. It needs no authorization from the node, because that
// host already has the request.
func (c *conn) tryResume(addr string, in *wire.LineBuffer) (*net.TCPConn, []byte, *AttemptError) {
	ctx, end := c.beginAttempt(0, c.opening.CurrentHost)
	defer end()
	target := node.Attempt{
		Addr:    addr,
		Timeout: max(c.opening.Timeout, c.proxy.cfg.DefaultTimeout),
	}
	return attempt(ctx, target, &c.opening, attemptHooks{
		connectTimeout: c.proxy.cfg.ConnectTimeout,
		authorize:      func() error { return nil },
		written:        func(began time.Time) { c.recordDispatch(c.opening.CurrentHost, began) },
	}, in)
}

// runResumed relays a resumed connection until it ends, unless its client has disconnected meanwhile.
func (c *conn) runResumed(host *net.TCPConn, in *wire.LineBuffer, line []byte, start time.Time, state *requestState) {
	if !c.establish(host) {
		_ = host.Close()
		c.proxy.node.ClientDisconnected(c.requestID, c, 0)
		state.conclude()
		return
	}
	state.attemptStarted(0)
	c.countAnswer(succeeded)
	c.proxy.node.ConnectionInherited(&c.opening, c)
	c.relay(host, in, line, 0, start)
	state.attemptReported(true)
}

// awaitRetry waits for resumeBackoff, and reports false if the client has disconnected.
func (c *conn) awaitRetry() bool {
	select {
	case <-c.disconnected:
		return false
	case <-time.After(resumeBackoff):
		return true
	}
}
