package proxy

import (
	"time"

	"onyxstream/internal/invariant"
)

// The invariants of a client's connection are checked here, on what was done. Violations are reported to the node's
// monitor.

// answerRecord is the final answers that a client was given.
type answerRecord struct {
	count   int
	firstAt time.Time
}

// recordAnswer records a final answer.
func (c *conn) recordAnswer(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers.count++
	if c.answers.count == 1 {
		c.answers.firstAt = now
	}
}

// recordDispatch counts a dispatch to a host, and checks that its client had not disconnected.
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

// checkCompletion checks that a request had one final answer by its deadline. One that its client resumes at its
// current host is exempt.
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
