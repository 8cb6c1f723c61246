package proxy

import (
	"time"

	"onyxstream/internal/netio"
	"onyxstream/internal/node"
	"onyxstream/internal/wire"
)

// The node's side of a connection, node.ClientConn. The node's event loop calls it, so nothing here may block.

// maxQueuedDecisions bounds the commands that a connection has not taken up. The node sends one at a time; a connection
// whose queue is full is broken.
const maxQueuedDecisions = 8

// decision is what the node asks of a connection that is not established yet: an attempt, or the final answer.
type decision struct {
	attempt     *node.Attempt
	finalAnswer string // if attempt is nil
}

func (c *conn) enqueue(d decision) {
	select {
	case c.decisions <- d:
	default:
		c.abort()
	}
}

// Send makes an attempt.
func (c *conn) Send(a node.Attempt) { c.enqueue(decision{attempt: &a}) }

// Reject replies with a rejection, and with the advice to retry after a time.
func (c *conn) Reject(after time.Duration) { c.enqueue(decision{finalAnswer: wire.Rejection(after)}) }

// Fail replies with a failure.
func (c *conn) Fail() { c.enqueue(decision{finalAnswer: wire.Failure}) }

// Proceed answers AttemptConnected: whether the attempt may write to its host.
func (c *conn) Proceed(_ int, ok bool) {
	select {
	case c.authorization <- ok:
	default:
	}
}

// Cancel cancels an attempt if it is still in flight.
func (c *conn) Cancel(attempt int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelAttempt != nil && c.attemptNumber == attempt {
		c.cancelAttempt()
	}
}

// Migrate wakes the relay, which alone knows where a line ends, to send the client to another node.
func (c *conn) Migrate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.host != nil && !c.migrating.Swap(true) {
		_ = c.client.SetWriteDeadline(time.Now().Add(lingerTimeout))
		_ = c.host.SetReadDeadline(netio.Expired)
	}
}

// MessageStats returns how fast the host responds to messages.
func (c *conn) MessageStats(now time.Time) node.MessageStats { return c.stats(now) }
