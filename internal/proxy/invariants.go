package proxy

import (
	"time"

	"onyxstream/internal/invariant"
)

// This file checks the invariants of a client's connection against what was done for it, and reports violations to the
// node's monitor.

// answerRecord records the final answers that a client was given.
type answerRecord struct {
	count   int
	firstAt time.Time
}

func (c *conn) recordAnswer(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers.count++
	if c.answers.count == 1 {
		c.answers.firstAt = now
	}
}

// recordDispatch counts an opening line that was written to a host, and checks that the client had not disconnected
// when the write began.
func (c *conn) recordDispatch(hostID string, began time.Time) {
	c.proxy.metrics.dispatches.Add(1)
	c.mu.Lock()
	disconnectedAt := c.disconnectedAt
	c.mu.Unlock()
	violation, violated := invariant.CheckStart(c.opening.ID, hostID, began, disconnectedAt)
	if violated {
		c.proxy.node.Monitor().Report(violation)
	}
}

// checkCompletion checks that a request got exactly one final answer by its deadline. A request that names its current
// host, in order to resume its connection there, is exempt.
func (c *conn) checkCompletion(deadline time.Time) {
	if c.opening.CurrentHost != "" {
		return
	}
	c.mu.Lock()
	completion := invariant.Completion{
		Request:      c.opening.ID,
		Host:         c.hostID,
		Answers:      c.answers.count,
		AnsweredAt:   c.answers.firstAt,
		Deadline:     deadline,
		Disconnected: c.isDisconnected() && !c.aborted,
	}
	c.mu.Unlock()
	c.proxy.node.Monitor().Report(invariant.CheckCompletion(completion)...)
}
