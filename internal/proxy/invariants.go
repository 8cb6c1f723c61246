package proxy

import (
	"time"

	"go.uber.org/zap"

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

// checkDiscarded checks that the bytes of a client which were read and dropped as its connection ended came from a client
// that has its final answer. They may have been a request. unread is how many of them had arrived before the FIN.
func (c *conn) checkDiscarded(discarded, unread int) {
	if discarded == 0 || c.hasFinalAnswer() {
		return
	}
	c.proxy.log.Info("bytes of an unanswered client discarded",
		zap.Stringer("client", c.client.RemoteAddr()),
		zap.Int("bytes", discarded),
		zap.Int("unread_before_fin", unread))
	c.proxy.node.Monitor().Report(invariant.Violation{Rule: invariant.Unanswered, Request: c.opening.ID})
}

// hasFinalAnswer reports whether the client has had its final answer. An established connection has had one, in another
// process of the node if it was handed off.
func (c *conn) hasFinalAnswer() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers.count > 0 || c.host != nil
}
