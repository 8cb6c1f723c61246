package proxy

import (
	"time"

	"onyxstream/internal/invariant"
)

// The rules that hold for a client's connection are checked here, on what was done; what keeps them stands before.

// replyRecord are the final answers that a client was given.
type replyRecord struct {
	count   int
	firstAt time.Time
}

// noteReply notes a final answer.
func (c *conn) noteReply(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.replies.count++; c.replies.count == 1 {
		c.replies.firstAt = now
	}
}

// checkStart counts a line to a host and checks that its client had not left.
func (c *conn) checkStart(host string, began time.Time) {
	c.proxy.metrics.dispatches.Add(1)
	c.mu.Lock()
	left := c.disconnectedAt
	c.mu.Unlock()
	if v, broken := invariant.CheckStart(c.opening.ID, host, began, left); broken {
		c.proxy.node.Monitor().Report(v)
	}
}

// checkCompletion checks that a request that was read had one final answer. One whose connection stood before the run is the
// host's; it is owed none.
func (c *conn) checkCompletion(until time.Time) {
	if c.opening.CurrentHost != "" {
		return
	}
	c.mu.Lock()
	e := invariant.Completion{Request: c.opening.ID, Host: c.hostID, Answers: c.replies.count, AnsweredAt: c.replies.firstAt, Until: until,
		Disconnected: c.isDisconnected() && !c.aborted}
	c.mu.Unlock()
	c.proxy.node.Monitor().Report(invariant.CheckCompletion(e)...)
}
