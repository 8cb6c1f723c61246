package proxy

import (
	"time"

	"onyxstream/internal/invariant"
)

// The rules that hold for a client's connection are checked here, on what was done; what keeps them stands before.

// answers are the final answers that a client was given.
type answers struct {
	given int
	first time.Time
}

// noteAnswer notes a final answer.
func (c *conn) noteAnswer(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answers.given++; c.answers.given == 1 {
		c.answers.first = now
	}
}

// checkStart counts a line to a host and checks that its client had not left.
func (c *conn) checkStart(host string, began time.Time) {
	c.d.figures.dispatches.Add(1)
	c.mu.Lock()
	left := c.leftAt
	c.mu.Unlock()
	if v, broken := invariant.CheckStart(c.open.ID, host, began, left); broken {
		c.d.node.Monitor().Report(v)
	}
}

// checkEnd checks that a request that was read had one final answer. One whose connection stood before the run is the
// host's; it is owed none.
func (c *conn) checkEnd(until time.Time) {
	if c.open.CurrentHost != "" {
		return
	}
	c.mu.Lock()
	e := invariant.Completion{Request: c.open.ID, Host: c.on, Answers: c.answers.given, AnsweredAt: c.answers.first, Deadline: until,
		Disconnected: c.isGone() && !c.aborted}
	c.mu.Unlock()
	c.d.node.Monitor().Report(invariant.CheckCompletion(e)...)
}
