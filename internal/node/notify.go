package node

import (
	"time"

	"onyxstream/balancer"
	"onyxstream/internal/wire"
)

// The methods of this file report events to the loop. They may be called from any goroutine.

// RequestArrived reports a client's opening line; deadline is when the client stops waiting.
func (n *Node) RequestArrived(opening *wire.Opening, deadline time.Time, conn ClientConn) {
	n.post(requestArrived{
		requestRef: requestRef{id: balancer.RequestID(opening.ID), conn: conn},
		opening:    opening,
		deadline:   deadline,
	})
}

// ConnectionInherited reports that a connection which was established before this process started is connected to its
// host again. ResumeConnection must have been called before.
func (n *Node) ConnectionInherited(opening *wire.Opening, conn ClientConn) {
	n.post(connectionInherited{
		requestRef: requestRef{id: balancer.RequestID(opening.ID), conn: conn},
		opening:    opening,
	})
}

// AttemptConnected asks whether an attempt that has connected to its host may still be written. The answer comes by
// ClientConn.Proceed.
func (n *Node) AttemptConnected(id balancer.RequestID, conn ClientConn, attempt int) {
	n.post(attemptConnected{requestRef: requestRef{id: id, conn: conn}, attempt: attempt})
}

// AttemptWritten reports an opening line that was written to its end; at is just before its first byte.
func (n *Node) AttemptWritten(id balancer.RequestID, conn ClientConn, attempt int, at time.Time) {
	n.post(attemptWritten{requestRef: requestRef{id: id, conn: conn}, attempt: attempt, at: at})
}

// ConnectionEstablished reports that a host has accepted the connection.
func (n *Node) ConnectionEstablished(id balancer.RequestID, conn ClientConn, attempt int, took time.Duration) {
	n.post(connectionEstablished{requestRef: requestRef{id: id, conn: conn}, attempt: attempt, took: took})
}

// AttemptEnded reports the outcome of an attempt. Its connection to the host must be closed by then.
func (n *Node) AttemptEnded(
	id balancer.RequestID, conn ClientConn, attempt int, took time.Duration, outcome balancer.Outcome,
) {
	n.post(attemptEnded{
		requestRef: requestRef{id: id, conn: conn},
		attempt:    attempt,
		took:       took,
		outcome:    outcome,
	})
}

// ReportLoad reports the load of an established connection, in work per second.
func (n *Node) ReportLoad(id balancer.RequestID, conn ClientConn, load float64) {
	n.post(newLoadReport(requestRef{id: id, conn: conn}, load))
}

// ClientDisconnected reports that the client needs no answer any more. attemptsTaken is how many attempts its
// connection has received: a later one reaches nobody, and the loop ends it itself.
func (n *Node) ClientDisconnected(id balancer.RequestID, conn ClientConn, attemptsTaken int) {
	n.post(clientDisconnected{requestRef: requestRef{id: id, conn: conn}, attemptsTaken: attemptsTaken})
}

// resumePoint tells where a connection of an earlier process is to be resumed.
type resumePoint struct {
	addr      string // "" if the host's address is not known yet
	available bool   // the request id is not in use by another connection
}

// ResumeConnection registers a connection that was established before this process started and returns the address of
// its host, "" if that is not known yet. ok is false if the request id is in use or the loop has ended.
// ConnectionInherited or ClientDisconnected must follow.
func (n *Node) ResumeConnection(opening *wire.Opening, conn ClientConn) (addr string, ok bool) {
	reply := make(chan resumePoint, 1)
	point, _ := query(n, connectionResumed{
		requestRef: requestRef{id: balancer.RequestID(opening.ID), conn: conn},
		opening:    opening,
		reply:      reply,
	}, reply)
	return point.addr, point.available
}

// ListReceived reports a watch event of the list request with the given sequence number.
func (n *Node) ListReceived(sequence uint64, list *wire.EndpointList) {
	n.post(listReceived{sequence: sequence, list: list})
}

// WatchFailed reports that a list request failed or that its watch broke. retryAfter is the delay that discovery asked
// for, 0 if it did not.
func (n *Node) WatchFailed(sequence uint64, retryAfter time.Duration) {
	n.post(watchFailed{sequence: sequence, retryAfter: retryAfter})
}

// SetDiscoveryAddr makes the node request the endpoint list at another address from now on.
func (n *Node) SetDiscoveryAddr(addr string) { n.post(discoveryAddrChanged{addr: addr}) }

// PingCompleted reports the latency of a ping, or how long it has waited without an answer. A negative value means that
// the host could not be pinged, which tells nothing of its latency.
func (n *Node) PingCompleted(id balancer.ServerID, took time.Duration) {
	n.post(pingCompleted{host: id, took: took})
}

// MigrateAll asks all clients to reconnect, spread evenly over the time until the deadline.
func (n *Node) MigrateAll(deadline time.Time) { n.post(migrateAllRequested{deadline: deadline}) }
