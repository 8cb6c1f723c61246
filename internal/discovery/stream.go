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
// discovery recovers times out after listRequestTimeout. The next list request follows within balancer.MaxRepollDelay,
// or within node.MaxRewatchDelay if polling is off. The rest of notifyWithin is left for its response.
//
// Both timeouts of a list request run from the start of the dial. snapshotTimeout covers a complete snapshot.
// listRequestTimeout covers a watch until its first list, or until its first event if the watch follows a snapshot.
const (
	notifyWithin       = 6 * time.Second
	listRequestTimeout = 3 * time.Second
	snapshotTimeout    = 1500 * time.Millisecond // after a snapshot that timed out, listRequestTimeout applies instead
	heartbeatTimeout   = 3 * time.Second         // discovery sends heartbeats every 2 s
)

var errStreamEnded = errors.New("discovery closed the watch")

// dial connects to discovery. The timeout covers the dial and all later I/O on the connection. When ctx ends, the dial
// and the I/O fail too. closeConn closes the connection.
func dial(ctx context.Context, addr string, timeout time.Duration) (c *net.TCPConn, closeConn func(), err error) {
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
	return c, closeConn, nil
}

// fetchSnapshot fetches the complete endpoint list.
func (w *Watcher) fetchSnapshot(ctx context.Context, addr string) (list wire.EndpointList, err error) {
	timeout := snapshotTimeout
	if w.slowDiscovery.Load() {
		timeout = listRequestTimeout
	}
	defer func() { w.slowDiscovery.Store(err != nil && netio.IsDeadlineExceeded(err)) }()
	c, closeConn, err := dial(ctx, addr, timeout)
	if err != nil {
		return list, err
	}
	defer closeConn()
	if _, err := c.Write(wire.ListRequest(addr)); err != nil {
		return list, err
	}
	var stream wire.WatchStream
	if err := readResponse(c, &stream); err != nil {
		return list, err
	}
	list, err = wire.ParseEndpointList(stream.Body())
	list.Complete = true
	return list, err
}

// readResponse feeds stream with bytes from c until the response ends.
func readResponse(c net.Conn, stream *wire.WatchStream) error {
	buffer := wire.GetBuffer()
	defer buffer.Release()
	for !stream.Ended() {
		n, err := c.Read(buffer[:])
		if err := stream.Feed(buffer[:n]); err != nil {
			return err
		}
		if err != nil && !stream.Closed() {
			return err
		}
	}
	return nil
}

// watch follows the changes after a revision until the watch ends or fails.
func (w *Watcher) watch(ctx context.Context, current *activeRequest, after int64) error {
	c, closeConn, err := dial(ctx, current.Addr, listRequestTimeout)
	if err != nil {
		return err
	}
	defer closeConn()
	if _, err := c.Write(wire.WatchRequest(current.Addr, after)); err != nil {
		return err
	}
	buffer := wire.GetBuffer()
	defer buffer.Release()
	var stream wire.WatchStream
	for {
		n, readErr := c.Read(buffer[:])
		if n == 0 && readErr != nil && netio.IsDeadlineExceeded(readErr) && ctx.Err() == nil {
			n, readErr = readLate(c, buffer[:], readErr)
		}
		if err := stream.Feed(buffer[:n]); err != nil {
			return err
		}
		received, err := w.receive(current, &stream)
		switch {
		case err != nil:
			return err
		case stream.Ended():
			return errStreamEnded
		case readErr != nil:
			return readErr
		case received && current.delivered.Load(): // parts of an unfinished event don't extend the deadline
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
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	return ctx.Err()
}

// receive passes the complete events of the stream on to the node, and reports whether there were any.
func (w *Watcher) receive(current *activeRequest, stream *wire.WatchStream) (received bool, err error) {
	for event, ok := stream.Next(); ok; event, ok = stream.Next() {
		received = true
		if len(event) == 0 {
			w.node.Heartbeat(current.Sequence)
			continue
		}
		list, err := wire.ParseEndpointList(event)
		if err != nil {
			return received, err
		}
		w.deliver(current, &list)
	}
	return received, nil
}

// readLate reads the bytes that a watch had received when it timed out, and returns timeout if there are none. If this
// process was suspended, the read may time out although discovery was not silent.
func readLate(c *net.TCPConn, into []byte, timeout error) (int, error) {
	n, err := netio.ReadAvailable(c, into)
	if n == 0 && err == nil {
		err = timeout
	}
	return n, err
}
