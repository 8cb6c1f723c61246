package discovery

import (
	"context"
	"errors"
	"net"
	"time"

	"onyxstream/internal/netio"
	"onyxstream/internal/wire"
)

// A change must reach the node within notifyWithin of the moment at which discovery had it and could be reached,
// whatever failed before. A watch that falls silent is given up after heartbeatTimeout, a call in flight as discovery
// recovers after callTimeout. The next call follows within balancer.MaxRepollDelay, or node.MaxRewatchDelay where
// polling is off; the rest of notifyWithin is for its answer.
const (
	notifyWithin     = 6 * time.Second
	callTimeout      = 3 * time.Second         // from the start of the dial to the first answer
	snapshotTimeout  = 1500 * time.Millisecond // the same of a snapshot, unless the last one timed out
	heartbeatTimeout = 3 * time.Second         // heartbeats come every 2 s
)

var errStreamEnded = errors.New("discovery ended the watch")

// dial connects to discovery. The dial and all that follows on the connection time out after timeout, and end with ctx.
// closeConn closes the connection.
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

// fetchSnapshot fetches the complete list.
func (w *Watcher) fetchSnapshot(ctx context.Context, addr string) (list wire.EndpointList, err error) {
	timeout := snapshotTimeout
	if w.slowService.Load() {
		timeout = callTimeout
	}
	defer func() { w.slowService.Store(err != nil && netio.IsDeadlineExceeded(err)) }()
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

// readResponse reads until the response has ended.
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

// watch follows the changes after a revision until the call ends or fails.
func (w *Watcher) watch(ctx context.Context, current *call, after int64) error {
	c, closeConn, err := dial(ctx, current.Addr, callTimeout)
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
		case received && current.delivered.Load(): // parts of an endless event are no sign of life
			err = extendDeadline(ctx, c, heartbeatTimeout)
		default:
			err = ctx.Err()
		}
		if err != nil {
			return err
		}
	}
}

// extendDeadline gives a watch more time and returns ctx's error. The context is checked last: if it ended just before,
// its expired deadline has been overwritten here.
func extendDeadline(ctx context.Context, c net.Conn, timeout time.Duration) error {
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	return ctx.Err()
}

// receive passes on the events that the stream has complete, and reports whether there were any.
func (w *Watcher) receive(current *call, stream *wire.WatchStream) (received bool, err error) {
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

// readLate reads what a watch that timed out has received, and returns timeout if that is nothing: if this process was
// suspended, the watch was not silent.
func readLate(c *net.TCPConn, into []byte, timeout error) (int, error) {
	n, err := netio.ReadAvailable(c, into)
	if n == 0 && err == nil {
		err = timeout
	}
	return n, err
}
