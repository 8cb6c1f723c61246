package discovery

import (
	"context"
	"net"
	"time"

	"onyxstream/internal/netio"
	"onyxstream/internal/wire"
)

// response reads the response to a list request. Until the first list is complete, the read deadline makes it overdue
// rather than failed: discovery may only now begin to work on the request.
type response struct {
	conn          *net.TCPConn
	stream        wire.WatchStream
	reportOverdue func() // called once, when the response is overdue
	overdue       bool
	listBegun     bool // part of the first list has been received, and the deadline for the rest is set
	started       bool // a list is complete: a timeout is now that of a silent watch
}

// readAll reads until the response ends.
func (r *response) readAll(ctx context.Context) error {
	buffer := wire.GetBuffer()
	defer buffer.Release()
	for !r.stream.Ended() {
		if err := r.read(ctx, buffer[:]); err != nil && !r.stream.Closed() {
			return err
		}
	}
	return nil
}

// read feeds the stream with the next bytes of the response.
func (r *response) read(ctx context.Context, into []byte) error {
	if r.overdue && !r.started {
		if err := r.checkListBegun(ctx); err != nil {
			return err
		}
	}
	n, readErr := r.conn.Read(into)
	if n == 0 && readErr != nil && netio.IsDeadlineExceeded(readErr) && ctx.Err() == nil {
		n, readErr = readLate(r.conn, into, readErr)
	}
	if err := r.stream.Feed(into[:n]); err != nil {
		return err
	}
	if readErr != nil && netio.IsDeadlineExceeded(readErr) && ctx.Err() == nil && !r.started && !r.overdue {
		r.overdue = true
		r.reportOverdue()
		r.listBegun = r.stream.Buffered() > 0
		return r.limitList(ctx)
	}
	return readErr
}

// checkListBegun sets the deadline for the rest of an overdue list after its first byte has been received.
func (r *response) checkListBegun(ctx context.Context) error {
	begun := r.stream.Buffered() > 0
	if begun == r.listBegun {
		return nil
	}
	r.listBegun = begun
	return r.limitList(ctx)
}

// limitList sets the read deadline of an overdue response: none before its list begins, so that the request keeps its
// place in the queue of discovery.
func (r *response) limitList(ctx context.Context) error {
	if !r.listBegun {
		return setReadDeadline(ctx, r.conn, time.Time{})
	}
	return extendDeadline(ctx, r.conn, listRequestTimeout)
}

// readLate reads the bytes that a connection had received when it timed out, and returns timeout if there are none. If
// this process was suspended, the read may time out although discovery was not silent.
func readLate(c *net.TCPConn, into []byte, timeout error) (int, error) {
	n, err := netio.ReadAvailable(c, into)
	if n == 0 && err == nil {
		err = timeout
	}
	return n, err
}
