package proxy

import (
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/node"
	"onyxstream/internal/wire"
)

const (
	resumeTimeout = 30 * time.Second // how long a connection that stood before the run is tried to be taken up
	resumeBackoff = 250 * time.Millisecond
)

// resume takes up a connection that stood at its host before the run: its line goes there and nowhere
// else. The host may not be ready yet, so what never reached it is tried again. It reports whether the
// client has had its answer.
func (c *conn) resume(taken, out *int) bool {
	by := time.Now().Add(resumeTimeout)
	for time.Now().Before(by) {
		addr, ok := c.proxy.node.ResumeConnection(&c.opening, c)
		if !ok {
			c.proxy.log.Info("a connection's id is held already")
			return false
		}
		if addr == "" && c.awaitRetry() {
			continue // the list may yet name it
		} else if addr == "" {
			c.proxy.node.ClientDisconnected(c.requestID, c, 0)
			return true
		}
		var in wire.LineBuffer
		start := time.Now()
		ctx, over := c.beginAttempt(0, c.opening.CurrentHost)
		host, upLine, failed := attempt(ctx, node.Attempt{Addr: addr, Timeout: max(c.opening.Timeout, c.proxy.cfg.DefaultTimeout)},
			&c.opening, attemptHooks{c.proxy.cfg.ConnectTimeout, func() error { return nil }, func(began time.Time) { c.checkStart(c.opening.CurrentHost, began) }}, &in)
		over()
		if failed == nil {
			if !c.establish(host) {
				_ = host.Close()
				c.proxy.node.ClientDisconnected(c.requestID, c, 0)
				return true
			}
			*taken, *out = 1, 1
			c.countReply(succeeded)
			c.proxy.node.ConnectionInherited(&c.opening, c)
			c.relay(host, &in, upLine, 0, start)
			*out = 0
			return true
		}
		in.Release()
		c.proxy.log.Info("a connection could not be taken up", zap.String("host", c.opening.CurrentHost), zap.Error(failed))
		switch failed.Outcome() {
		case balancer.ConnectFailed, balancer.NotSent: // pause tells whether the client has left
		default:
			return false
		}
		if !c.awaitRetry() {
			c.proxy.node.ClientDisconnected(c.requestID, c, 0)
			return true
		}
	}
	return false
}

// awaitRetry waits before the next try; false when the client has left.
func (c *conn) awaitRetry() bool {
	select {
	case <-c.disconnected:
		return false
	case <-time.After(resumeBackoff):
		return true
	}
}
