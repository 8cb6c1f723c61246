package discovery

import (
	"context"
	"errors"
	"net"
	"time"

	"onyxstream/internal/netio"
	"onyxstream/internal/wire"
)

// A change of the endpoint list must reach the node within notifyWithin after discovery has the change and is
// reachable, whatever failed before. A silent watch times out after heartbeatTimeout. A list request in flight when
// discovery recovers is overdue after listRequestTimeout. The next list request follows within
// balancer.MaxRepollDelay, or within node.MaxRewatchDelay if polling is off. The rest of notifyWithin is left for its
// response.
//
// Both timeouts of a list request run from the start of the dial. snapshotTimeout covers a complete snapshot.
// listRequestTimeout covers a watch until its first list, or until its first event if the watch follows a snapshot. A
// request that is sent but overdue keeps its connection, because discovery may be working through a queue: see
// listRequest. A dial fails at the timeout, and so does a response that is not complete listRequestTimeout after its
// first byte.
const (
	notifyWithin       = 6 * time.Second
	listRequestTimeout = 3 * time.Second
	snapshotTimeout    = 1500 * time.Millisecond // after an overdue snapshot, listRequestTimeout applies instead
	heartbeatTimeout   = 3 * time.Second         // discovery sends heartbeats every 2 s
)

var errStreamEnded = errors.New("discovery closed the watch")

// send connects to discovery and sends a request. The timeout covers both. If ctx ends, the dial and all later I/O on
// the connection fail. closeConn closes the connection.
func send(ctx context.Context, addr string, request []byte, timeout time.Duration) (
	c *net.TCPConn, closeConn func(), err error,
) {
	deadline := time.Now().Add(timeout)
	dialer := net.Dialer{Deadline: deadline, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, nil, err
	}
	c = conn.(*net.TCPConn)
	_ = c.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(netio.Expired) })
	closeConn = func() {
		stop()
		_ = c.Close()
	}
	if _, err := c.Write(request); err != nil {
		closeConn()
		return nil, nil, err
	}
	return c, closeConn, nil
}

// fetchSnapshot fetches the complete endpoint list.
func (w *Watcher) fetchSnapshot(ctx context.Context, current *attempt) (list wire.EndpointList, err error) {
	timeout := snapshotTimeout
	if w.slowDiscovery.Load() {
		timeout = listRequestTimeout
	}
	isSlow := false
	defer func() { w.slowDiscovery.Store(isSlow || err != nil && netio.IsDeadlineExceeded(err)) }()
	addr := current.request.Addr
	c, closeConn, err := send(ctx, addr, wire.ListRequest(addr), timeout)
	if err != nil {
		return list, err
	}
	defer closeConn()
	response := response{conn: c, reportOverdue: func() {
		isSlow = true
		w.slowDiscovery.Store(true) // the next snapshot may begin while this one still waits
		w.reportOverdue(current)
	}}
	if err := response.readAll(ctx); err != nil {
		return list, err
	}
	list, err = wire.ParseEndpointList(response.stream.Body())
	list.Complete = true
	return list, err
}

// watch follows the changes after a revision until the watch ends or fails.
func (w *Watcher) watch(ctx context.Context, current *attempt, after int64) error {
	addr := current.request.Addr
	c, closeConn, err := send(ctx, addr, wire.WatchRequest(addr, after), listRequestTimeout)
	if err != nil {
		return err
	}
	defer closeConn()
	buffer := wire.GetBuffer()
	defer buffer.Release()
	response := response{conn: c, reportOverdue: func() { w.reportOverdue(current) }}
	for {
		readErr := response.read(ctx, buffer[:])
		received, err := w.receive(current, &response.stream)
		switch {
		case err != nil:
			return err
		case response.stream.Ended():
			return errStreamEnded
		case readErr != nil:
			return readErr
		case received && current.hasDelivered(): // parts of an unfinished event don't extend the deadline
			response.started = true
			err = extendDeadline(ctx, c, heartbeatTimeout)
		default:
			err = ctx.Err()
		}
		if err != nil {
			return err
		}
	}
}

// extendDeadline sets a new read deadline for a watch and returns the error of ctx. The end of ctx sets an expired
// deadline, which this call may overwrite; for that reason the context is checked last.
func extendDeadline(ctx context.Context, c net.Conn, timeout time.Duration) error {
	return setReadDeadline(ctx, c, time.Now().Add(timeout))
}

// setReadDeadline is extendDeadline for a point in time; the zero time means no deadline.
func setReadDeadline(ctx context.Context, c net.Conn, deadline time.Time) error {
	_ = c.SetReadDeadline(deadline)
	return ctx.Err()
}

// receive passes the complete events of the stream on to the node, and reports whether there were any.
func (w *Watcher) receive(current *attempt, stream *wire.WatchStream) (received bool, err error) {
	for event, ok := stream.Next(); ok; event, ok = stream.Next() {
		received = true
		if len(event) == 0 {
			w.node.Heartbeat(current.request.latestSequence())
			continue
		}
		list, err := wire.ParseEndpointList(event)
		if err != nil {
			return received, err
		}
		if err := w.deliver(current, &list); err != nil {
			return received, err
		}
	}
	return received, nil
}
