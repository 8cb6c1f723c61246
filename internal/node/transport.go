package node

import (
	"time"

	"onyxstream/balancer"
)

// ClientConn is a client's connection as the event loop uses it. No method may block.
type ClientConn interface {
	// Send starts an attempt.
	Send(Attempt)
	// Proceed answers AttemptConnected: ok tells whether the opening line may be written.
	Proceed(attempt int, ok bool)
	// Cancel withdraws an attempt that has had no response.
	Cancel(attempt int)
	// Reject gives the final answer BUSY; retryAfter 0 gives no advice.
	Reject(retryAfter time.Duration)
	// Fail gives the final answer ERR.
	Fail()
	// Migrate asks the client to reconnect, between two lines.
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

// Transport gives the event loop access to discovery and to health checks. No method may block.
type Transport interface {
	// Watch requests the endpoint list from discovery and watches it.
	Watch(ListRequest)
	// Ping measures the latency of a host. It reports false if no ping could be sent.
	Ping(id balancer.ServerID, addr string) bool
}

// ListRequest asks discovery for the changes after a revision, or for a snapshot if AfterRevision is NoRevision, and
// for all later changes. Sequence grows with each request; the responses carry it.
type ListRequest struct {
	Sequence      uint64
	Addr          string
	AfterRevision int64
}

// NoRevision requests a snapshot of the endpoint list.
const NoRevision = -1
