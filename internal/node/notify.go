package node

import (
	"time"

	"onyxstream/balancer"
	"onyxstream/internal/wire"
)

// The methods of this file post events to the event loop. They may be called from any goroutine.

// RequestArrived reports a client's opening line; deadline is when the client stops waiting.
func (n *Node) RequestArrived(opening *wire.Opening, deadline time.Time, conn ClientConn) {
	n.post(requestArrived{
		requestRef: requestRef{id: balancer.RequestID(opening.ID), conn: conn},
		opening:    opening,
		deadline:   deadline,
	})
}

// ConnectionInherited reports that a connection established before this process started is connected to its host
// again. ResumeConnection must have been called for it.
func (n *Node) ConnectionInherited(opening *wire.Opening, conn ClientConn) {
	n.post(connectionInherited{
		requestRef: requestRef{id: balancer.RequestID(opening.ID), conn: conn},
		opening:    opening,
	})
}

// AttemptConnected reports that an attempt has connected to its host. The loop then calls ClientConn.Proceed to allow
// or deny the write of the opening line.
func (n *Node) AttemptConnected(id balancer.RequestID, conn ClientConn, attempt int) {
	n.post(attemptConnected{requestRef: requestRef{id: id, conn: conn}, attempt: attempt})
}

// AttemptWritten reports that an opening line was written completely; at is the time just before its first byte.
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

// ReportLoad reports the load of an established connection, in units of work per second.
func (n *Node) ReportLoad(id balancer.RequestID, conn ClientConn, load float64) {
	n.post(newLoadReport(requestRef{id: id, conn: conn}, load))
}

// ClientDisconnected reports that the client has disconnected and needs no final answer. attemptsTaken is the number of
// attempts that its connection has received. The connection never handles a later attempt, so the loop ends such an
// attempt.
func (n *Node) ClientDisconnected(id balancer.RequestID, conn ClientConn, attemptsTaken int) {
	n.post(clientDisconnected{requestRef: requestRef{id: id, conn: conn}, attemptsTaken: attemptsTaken})
}

// resumePoint describes where to resume a connection of an earlier process.
type resumePoint struct {
	addr      string // address of the host; "" if it is not known yet
	available bool   // no other connection uses the request id
}

// ResumeConnection registers a connection that was established before this process started and returns the address of
// its host, "" if it is not known yet. ok is false if another connection uses the request id or the loop has ended.
// The caller must then call ConnectionInherited or ClientDisconnected.
func (n *Node) ResumeConnection(opening *wire.Opening, conn ClientConn) (addr string, ok bool) {
	reply := make(chan resumePoint, 1)
	point, _ := query(n, connectionResumed{
		requestRef: requestRef{id: balancer.RequestID(opening.ID), conn: conn},
		opening:    opening,
		reply:      reply,
	}, reply)
	return point.addr, point.available
}

// ListReceived reports a watch event for the list request with the given sequence number.
func (n *Node) ListReceived(sequence uint64, list *wire.EndpointList) {
	n.post(listReceived{sequence: sequence, list: list})
}

// WatchFailed reports that a list request failed or that its watch broke. retryAfter is the delay that discovery asked
// for, 0 if none.
func (n *Node) WatchFailed(sequence uint64, retryAfter time.Duration) {
	n.post(watchFailed{sequence: sequence, retryAfter: retryAfter})
}

// SetDiscoveryAddr changes the address from which the node requests the endpoint list.
func (n *Node) SetDiscoveryAddr(addr string) { n.post(discoveryAddrChanged{addr: addr}) }

// PingCompleted reports the latency of a ping, or how long the ping has waited without a response. A negative value
// means that the host could not be pinged, so its latency is unknown.
func (n *Node) PingCompleted(id balancer.ServerID, took time.Duration) {
	n.post(pingCompleted{host: id, took: took})
}

// MigrateAll asks all clients to reconnect, spread evenly until the deadline.
func (n *Node) MigrateAll(deadline time.Time) { n.post(migrateAllRequested{deadline: deadline}) }
