package proxy

import (
	"time"

	"onyxstream/internal/netio"
	"onyxstream/internal/node"
	"onyxstream/internal/wire"
)

// This file implements node.ClientConn. The node's event loop calls these methods, so none of them may block.

// maxQueuedDecisions bounds the decisions that a connection has not executed yet. The node sends one at a time, so a
// full queue means that the connection is broken.
const maxQueuedDecisions = 8

// decision is what the node has decided for a connection that is not established yet: an attempt or the final answer.
type decision struct {
	attempt *node.Attempt
	answer  string // the line of the final answer; used if attempt is nil
}

func (c *conn) enqueue(d decision) {
	select {
	case c.decisions <- d:
	default:
		c.abort()
	}
}

// Send starts an attempt.
func (c *conn) Send(a node.Attempt) { c.enqueue(decision{attempt: &a}) }

// Reject sends the final answer "rejected", with a Retry-After.
func (c *conn) Reject(after time.Duration) { c.enqueue(decision{answer: wire.Rejection(after)}) }

// Fail sends the final answer "failed".
func (c *conn) Fail() { c.enqueue(decision{answer: wire.Failure}) }

// Proceed answers AttemptConnected: ok tells whether the attempt may write to its host.
func (c *conn) Proceed(_ int, ok bool) {
	select {
	case c.authorization <- ok:
	default:
	}
}

// Cancel cancels an attempt that is still in flight.
func (c *conn) Cancel(attempt int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelAttempt != nil && c.attemptNumber == attempt {
		c.cancelAttempt()
	}
}

// Migrate wakes the relay to tell the client to migrate. Only the relay knows where a line ends.
func (c *conn) Migrate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.migrateLocked()
}

// migrateLocked is Migrate for a caller that holds mu.
func (c *conn) migrateLocked() {
	if c.host != nil && !c.migrating.Swap(true) {
		_ = c.client.SetWriteDeadline(time.Now().Add(lingerTimeout))
		_ = c.host.SetReadDeadline(netio.Expired)
	}
}

// MessageStats returns statistics of the host's responses to messages.
func (c *conn) MessageStats(now time.Time) node.MessageStats { return c.stats(now) }
