package proxy

import (
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/node"
	"onyxstream/internal/wire"
)

const (
	resumeFor   = 30 * time.Second // how long a connection that stood before the run is tried to be taken up
	resumePause = 250 * time.Millisecond
)

// resume takes up a connection that stood at its host before the run: its line goes there and nowhere
// else. The host may not be ready yet, so what never reached it is tried again. It reports whether the
// client has had its answer.
func (c *conn) resume(taken, out *int) bool {
	by := time.Now().Add(resumeFor)
	for time.Now().Before(by) {
		addr, ok := c.d.node.ResumeConnection(&c.open, c)
		if !ok {
			c.d.log.Info("a connection's id is held already")
			return false
		}
		if addr == "" && c.pause() {
			continue // the list may yet name it
		} else if addr == "" {
			c.d.node.ClientDisconnected(c.id, c, 0)
			return true
		}
		var in wire.LineBuffer
		start := time.Now()
		ctx, over := c.begin(0, c.open.CurrentHost)
		host, upLine, failed := attempt(ctx, node.Attempt{Addr: addr, Timeout: max(c.open.Timeout, c.d.cfg.DefaultTimeout)},
			&c.open, permit{c.d.cfg.ConnectTimeout, func() error { return nil }, func(began time.Time) { c.checkStart(c.open.CurrentHost, began) }}, &in)
		over()
		if failed == nil {
			if !c.raise(host) {
				_ = host.Close()
				c.d.node.ClientDisconnected(c.id, c, 0)
				return true
			}
			*taken, *out = 1, 1
			c.count(brought)
			c.d.node.ConnectionInherited(&c.open, c)
			c.relay(host, &in, upLine, 0, start)
			*out = 0
			return true
		}
		in.Release()
		c.d.log.Info("a connection could not be taken up", zap.String("host", c.open.CurrentHost), zap.Error(failed))
		switch failed.Outcome() {
		case balancer.ConnectFailed, balancer.NotSent: // pause tells whether the client has left
		default:
			return false
		}
		if !c.pause() {
			c.d.node.ClientDisconnected(c.id, c, 0)
			return true
		}
	}
	return false
}

// pause waits before the next try; false when the client has left.
func (c *conn) pause() bool {
	select {
	case <-c.gone:
		return false
	case <-time.After(resumePause):
		return true
	}
}
