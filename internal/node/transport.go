package node

import (
	"time"

	"onyxstream/balancer"
)

// ClientConn is a client's connection as the event loop uses it. Its methods must not block.
type ClientConn interface {
	// Send starts an attempt.
	Send(Attempt)
	// Proceed follows each call of Node.AttemptConnected: ok reports whether the opening line may be written.
	Proceed(attempt int, ok bool)
	// Cancel cancels an attempt that has had no response.
	Cancel(attempt int)
	// Reject gives the final answer BUSY, without a Retry-After if retryAfter is 0.
	Reject(retryAfter time.Duration)
	// Fail gives the final answer ERR.
	Fail()
	// Migrate asks the client to reconnect, without interrupting a line that is being relayed.
	Migrate()
	// MessageStats returns the state of the connection's messages.
	MessageStats(now time.Time) MessageStats
}

// Attempt describes an attempt that a connection is to start.
type Attempt struct {
	Number  int
	Host    balancer.ServerID
	Addr    string
	Timeout time.Duration
}

// MessageStats describes the messages of an established connection.
type MessageStats struct {
	Answered    uint64        // messages that have been answered
	LastLatency time.Duration // latency of the last answered message
	OldestWait  time.Duration // how long the oldest unanswered message has waited; 0 if there is none
}

// Transport gives the event loop access to discovery and to health checks. Its methods must not block.
type Transport interface {
	// Watch sends a list request to discovery and watches the list.
	Watch(ListRequest)
	// Ping measures the latency of a host. It returns false if no ping could be sent.
	Ping(id balancer.ServerID, addr string) bool
}

// ListRequest is a request to discovery for the changes after a revision, or for a snapshot if AfterRevision is
// NoRevision, followed by all later changes. Sequence increases with each request and identifies its responses.
type ListRequest struct {
	Sequence      uint64
	Addr          string
	AfterRevision int64
}

// NoRevision requests a snapshot of the endpoint list.
const NoRevision = -1
