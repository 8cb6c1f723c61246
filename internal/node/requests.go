package node

import (
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/wire"
)

// Indexes of classes, tenants and zones that the settings don't contain. The class of an inherited connection is also
// noClass.
const (
	noClass  = -1
	noTenant = -1
	noZone   = -1
)

// request is a client's request, from its opening line to the end of its connection.
type request struct {
	// Connection and progress.
	conn          ClientConn
	host          *hostRecord // host of the last attempt
	attempts      int         // number of attempts so far
	attemptActive bool        // the last attempt has not ended
	established   bool
	answered      bool // the final answer has been given, or the client has disconnected
	migrating     bool // the client has been asked to reconnect
	midFlow       bool // the connection was established through another node, so it is no new work

	// Latency measurement.
	unresponsive    bool   // at the last tick a message had waited longer than unresponsiveAfter
	sampledMessages uint64 // MessageStats.Answered when latency was last sampled

	// Data for the check of writes.
	class             int       // index in the settings, or noClass
	lastSentAt        time.Time // start of the last attempt
	mayHaveExecutedAt time.Time // start of the first attempt that the host may have executed; zero if there is none
}

// isEstablished reports whether the request's connection is established and has not ended.
func (r *request) isEstablished() bool { return r.established && r.attemptActive }

// isLastAttempt reports whether attempt is the number of the last attempt.
func (r *request) isLastAttempt(attempt int) bool { return attempt == r.attempts-1 }

// handleRequestEvent handles an event of a connection.
func (n *Node) handleRequestEvent(e requestEvent) {
	ref := e.source()
	r := n.requests[ref.id]
	switch e := e.(type) {
	case requestArrived:
		n.handleArrival(e, r)
	case connectionResumed:
		n.handleResume(e, r)
	default:
		if ref.concerns(r) {
			n.handleConnEvent(e, r)
		}
	}
	if report, ok := e.(*loadReported); ok {
		report.release()
	}
	n.failIfWaiting(ref.id, n.requests[ref.id])
}

// handleConnEvent handles an event from the connection of request r.
func (n *Node) handleConnEvent(e requestEvent, r *request) {
	switch e := e.(type) {
	case connectionInherited:
		if !r.established {
			n.handleInherited(e, r)
		}
	case attemptConnected:
		n.handleConnected(e, r)
	case attemptWritten:
		n.handleWritten(e, r)
	case connectionEstablished:
		if r.attemptActive && !r.established && r.isLastAttempt(e.attempt) {
			n.handleEstablished(e, r)
		}
	case attemptEnded:
		if r.attemptActive && r.isLastAttempt(e.attempt) {
			n.endAttempt(e, r)
		}
	case *loadReported:
		if r.established {
			n.notifyBalancer(balancer.LoadReport{ID: e.id, Load: e.load})
		}
	case clientDisconnected:
		if !r.established {
			n.handleDisconnected(e, r)
		}
	}
}

func (n *Node) handleArrival(e requestArrived, r *request) {
	if r != nil {
		n.log.Info("request id already in use", zap.String("request", e.opening.ID))
		e.conn.Fail()
		return
	}
	// The packets of an established connection may come back to this node under the id of that connection.
	if !e.opening.MidFlow && n.executedIDs.contains(e.id) {
		n.log.Info("request id used before", zap.String("request", e.opening.ID))
		e.conn.Fail()
		return
	}
	arrival := n.toArrival(e.opening, n.timeLeft(e.deadline))
	if arrival.Class == noClass {
		n.log.Info("unknown class in opening line", zap.String("class", e.opening.Class))
		e.conn.Fail()
		return
	}
	n.requests[e.id] = &request{conn: e.conn, midFlow: e.opening.MidFlow, class: arrival.Class}
	n.inFlight.Add(1)
	n.notifyBalancer(arrival)
}

// toArrival converts an opening line to the balancer's arrival event. A class or tenant that the settings don't contain
// becomes noClass or noTenant.
func (n *Node) toArrival(opening *wire.Opening, timeLeft time.Duration) balancer.Arrival {
	arrival := balancer.Arrival{
		ID:        balancer.RequestID(opening.ID),
		Class:     noClass,
		Tenant:    noTenant,
		Key:       opening.Key,
		TimeLeft:  timeLeft,
		Load:      opening.Load,
		Retry:     opening.Retry,
		MidFlow:   opening.MidFlow,
		Reconnect: opening.Reconnect,
	}
	if i, ok := n.classIndex[opening.Class]; ok {
		arrival.Class = i
	}
	if i, ok := n.tenantIndex[opening.Tenant]; ok {
		arrival.Tenant = i
	}
	if n.settings.ConnectionGroups {
		arrival.Group = opening.Group
	}
	return arrival
}

// handleResume registers a connection of an earlier process and replies with the address of its host.
func (n *Node) handleResume(e connectionResumed, r *request) {
	if r == nil {
		r = &request{conn: e.conn, answered: true, class: noClass}
		n.requests[e.id] = r
	}
	point := resumePoint{available: r.conn == e.conn}
	if host := n.hosts[balancer.ServerID(e.opening.CurrentHost)]; host != nil {
		point.addr = host.addr
	}
	e.reply <- point
}

// handleInherited records that a connection of an earlier process is connected to its host again.
func (n *Node) handleInherited(e connectionInherited, r *request) {
	arrival := n.toArrival(e.opening, 0)
	id := balancer.ServerID(e.opening.CurrentHost)
	host := n.hosts[id]
	if host == nil { // a host that is no longer listed may still have connections
		host = &hostRecord{id: id, state: balancer.Removed}
	}
	r.host = host
	r.attempts = 1
	r.attemptActive = true
	r.established = true
	n.established.Add(1)
	n.notifyBalancer(balancer.Inherited{Arrival: arrival, Server: id})
	if n.isMigratingAll() {
		n.migrate(r)
	}
}

func (n *Node) handleEstablished(e connectionEstablished, r *request) {
	r.established = true
	n.established.Add(1)
	n.markAnswered(r)
	n.pingNewHost(r.host)
	n.notifyBalancer(balancer.Established{ID: e.id, Attempt: e.attempt, Server: r.host.id, Took: e.took})
	if n.isMigratingAll() {
		n.migrate(r)
	}
}

func (n *Node) handleDisconnected(e clientDisconnected, r *request) {
	n.markAnswered(r)
	n.notifyBalancer(balancer.ClientDisconnected{ID: e.id})
	if r.attemptActive && r.attempts > e.attemptsTaken {
		n.endAttempt(attemptEnded{
			requestRef: requestRef{id: e.id},
			attempt:    r.attempts - 1,
			outcome:    balancer.NotSent,
		}, r)
	}
	n.releaseRequest(e.id, r)
}

// rejectRequest rejects a request with the final answer BUSY.
func (n *Node) rejectRequest(action balancer.Reject) {
	n.abandonRequest(action.ID, true, action.Reason, func(conn ClientConn) { conn.Reject(action.RetryAfter) })
}

// failRequest fails a request with the final answer ERR.
func (n *Node) failRequest(action balancer.Fail) {
	n.abandonRequest(action.ID, false, action.Reason, ClientConn.Fail)
}

// abandonRequest gives the final answer to a request that the balancer rejects or fails, unless it already has one.
func (n *Node) abandonRequest(id balancer.RequestID, rejected bool, reason balancer.Reason, answer func(ClientConn)) {
	r := n.requests[id]
	if r == nil || r.answered {
		return
	}
	n.markAnswered(r)
	n.recordAbandoned(id, r, rejected, reason)
	answer(r.conn)
	n.releaseRequest(id, r)
}

// recordAbandoned counts a rejected or failed request by its reason.
func (n *Node) recordAbandoned(id balancer.RequestID, r *request, rejected bool, reason balancer.Reason) {
	n.abandonedCounts[reason]++
	n.log.Debug("request abandoned", zap.String("request", string(id)), zap.Bool("rejected", rejected),
		zap.String("reason", string(reason)), zap.Int("attempts", r.attempts))
}

// markAnswered records that a request has its final answer or no longer needs one.
func (n *Node) markAnswered(r *request) {
	if !r.answered {
		r.answered = true
		n.inFlight.Add(-1)
	}
}

// releaseRequest deletes a request that needs no final answer and has no active attempt. If a host may have executed it,
// in this process or in an earlier one, its id is remembered.
func (n *Node) releaseRequest(id balancer.RequestID, r *request) {
	if !r.answered || r.attemptActive || n.requests[id] != r {
		return
	}
	delete(n.requests, id)
	if r.established || !r.mayHaveExecutedAt.IsZero() {
		n.executedIDs.add(id)
	}
}
