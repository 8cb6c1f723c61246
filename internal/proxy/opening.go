package proxy

import (
	"errors"
	"net"
	"syscall"
	"time"

	"go.uber.org/zap"

	"onyxstream/internal/netio"
	"onyxstream/internal/wire"
)

const (
	// openingTimeout is how long a client has for its opening line, from the accept or its last health check. Received
	// bytes do not extend it: otherwise a client that sends a byte now and then would hold its descriptor forever.
	openingTimeout = 2 * time.Second
	// maxRapidHealthChecks is how many health checks of one connection may arrive within evictionGrace after the
	// previous one, or together with further bytes.
	maxRapidHealthChecks = 4
)

var (
	errUnknownClass      = errors.New("class or tenant is not configured")
	errRapidHealthChecks = errors.New("too many health checks in a row")
	errIncompleteLine    = errors.New("line incomplete at the timeout")
	// errEarlyData is the protocol violation of a client that sends data before the connection is established. Only a
	// mid-flow client may do so.
	errEarlyData = errors.New("data before the connection was established")
)

// openingReader reads a client's opening line, and responds to the health checks that precede it.
type openingReader struct {
	*conn
	in           *wire.LineBuffer
	healthChecks healthCheckRate
}

// readOpening reads the opening line into c.opening. It reports false if the connection has ended instead: by a
// protocol violation, by the timeout, by a shutdown or by the client. A front may keep its connection and repeat its
// health checks.
func (c *conn) readOpening(in *wire.LineBuffer) bool {
	r := openingReader{conn: c, in: in}
	r.setOpeningDeadline(r.lastActive.Add(openingTimeout))
	for {
		line, ok, err := in.Next()
		if err == nil && !ok {
			if r.receive() {
				continue
			}
			return false
		}
		var kind wire.OpeningKind
		if err == nil {
			kind, err = r.parse(line)
		}
		if err != nil {
			r.rejectViolation(err)
			return false
		}
		if kind != wire.OpeningHealthCheck {
			break
		}
		if !r.answerHealthCheck() {
			return false
		}
	}
	if c.opening.Timeout <= 0 {
		c.opening.Timeout = c.proxy.cfg.DefaultTimeout
	}
	_ = c.client.SetReadDeadline(time.Time{})
	return true
}

// parse parses a line into r.opening, and checks it.
func (r *openingReader) parse(line []byte) (wire.OpeningKind, error) {
	kind, opening, err := wire.ParseOpening(line)
	r.opening = opening
	moreBytes := len(r.in.Buffered()) > 0
	switch {
	case err != nil:
		return kind, err
	case kind == wire.OpeningHealthCheck:
		return kind, r.healthChecks.count(time.Now(), moreBytes)
	case !r.proxy.node.HasClassAndTenant(&r.opening):
		return kind, errUnknownClass
	case moreBytes && !r.opening.MidFlow:
		return kind, errEarlyData
	}
	return kind, nil
}

// rejectViolation fails the request of a client whose opening line violates the protocol.
func (c *conn) rejectViolation(err error) {
	c.proxy.log.Info(protocolViolationMessage, zap.Error(err))
	c.countAnswer(errored)
	c.answer(wire.Failure)
}

// answerHealthCheck tells a front whether the node accepts clients, and restarts the timeout for its next line. It
// reports false if the connection has ended.
func (r *openingReader) answerHealthCheck() bool {
	response := wire.Pong
	if r.proxy.node.IsDraining() {
		response = wire.Rejection(0)
	}
	_, err := netio.WriteAll(r.client, []byte(response))
	if err != nil || !r.proxy.renew(r.conn) {
		return false
	}
	r.setOpeningDeadline(r.healthChecks.last.Add(openingTimeout))
	moreBytes := len(r.in.Buffered()) > 0
	r.idle.Store(!moreBytes)
	r.openingStarted.Store(moreBytes)
	return true
}

// receive reads more of the opening line. It reports false if the connection has ended. When the timeout or a shutdown
// ends the wait, receive reads what has been received by then, because a close would lose a request that has just
// arrived. If nothing has been received, the connection is closed. A client whose line is incomplete gets a final answer:
// it is rejected during a shutdown, and its request fails at the timeout.
func (r *openingReader) receive() bool {
	r.openingRead.Store(true)
	n, err := r.awaitBytes(r.in.Space())
	expired := n == 0 && netio.IsDeadlineExceeded(err)
	if expired {
		n = r.readOrEnd(r.in.Space())
	}
	r.in.Advance(n)
	incomplete := len(r.in.Buffered()) > 0
	switch {
	case n > 0:
		r.idle.Store(false)
		return true
	case expired && incomplete && r.isShuttingDown():
		r.countAnswer(rejected)
		r.answer(r.proxy.rejection())
	case expired && incomplete:
		r.rejectViolation(errIncompleteLine)
	}
	return false // serve closes the connection without reading it
}

// openingEnd tells how the node has ended the reading of an opening line.
type openingEnd uint8

const (
	openingNotEnded      openingEnd = iota
	openingEndedUnread              // no part of the line was received: the connection must be closed without reading it
	openingEndedAnswered            // a part of the line was received, and the client has been given its final answer
)

// readOrEnd reads what has been received of the opening line. If no part of the line has been received, it ends the
// reading, and the caller must close the connection. Nothing reads the client between the two, so a request that arrives
// after readOrEnd is unread when the connection is closed, and the kernel sends a reset for it.
func (c *conn) readOrEnd(into []byte) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n = c.readReceived(into)
	if !c.openingStarted.Load() {
		c.openingEnd = openingEndedUnread
	}
	return n
}

// readReceived reads what has been received of the opening line, unless the reading has ended. The caller holds mu.
func (c *conn) readReceived(into []byte) (n int) {
	if c.openingEnd != openingNotEnded {
		return 0
	}
	n, _ = netio.ReadAvailable(c.client, into)
	if n > 0 {
		c.openingStarted.Store(true)
	}
	return n
}

// endOpening ends the reading of the opening line from another goroutine, and tells how. If any part of the line has been
// received, it rejects the client, unless that has a final answer already. It holds mu until the rejection is written,
// because the client's goroutine closes the connection when it sees that the reading has ended. It does not close the
// connection itself: a close waits for readUnlessEnded, which may wait for mu.
func (c *conn) endOpening() openingEnd {
	buffer := wire.GetBuffer()
	defer buffer.Release()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readReceived(buffer[:])
	if !c.openingStarted.Load() {
		c.openingEnd = openingEndedUnread
		return c.openingEnd
	}
	c.openingEnd = openingEndedAnswered
	writeWithoutWaiting(c.client, c.writeAnswerLocked(c.proxy.rejection()))
	discardReceived(c.client)
	return c.openingEnd
}

// awaitBytes waits until bytes of the opening line arrive, and reads them.
func (c *conn) awaitBytes(into []byte) (n int, err error) {
	raw, err := c.client.SyscallConn()
	if err != nil {
		return 0, err
	}
	err = netio.RetryLowMemory(func() error {
		n, err = c.readUnlessEnded(raw, into)
		return err
	})
	return n, err
}

// readUnlessEnded waits until bytes arrive, and reads them. It holds mu while it reads bytes and records that they
// were received, so that endOpening either finds the bytes unread or sees the record.
func (c *conn) readUnlessEnded(raw syscall.RawConn, into []byte) (n int, err error) {
	waitErr := raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.openingEnd != openingNotEnded {
			n, err = 0, net.ErrClosed
			return true
		}
		n, err = netio.ReadAvailableFD(fd, into)
		if n > 0 {
			c.openingStarted.Store(true)
		}
		return n > 0 || err != nil
	})
	if waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

// setOpeningDeadline sets the deadline for the opening line. During a shutdown it sets one that has passed already, so
// that the wait ends at once.
func (c *conn) setOpeningDeadline(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shuttingDown {
		deadline = netio.Expired
	}
	_ = c.client.SetReadDeadline(deadline)
}

// healthCheckRate limits the health checks of one connection.
type healthCheckRate struct {
	rapid int
	last  time.Time
}

// count counts a health check, and returns an error if there were too many rapid ones. moreBytes tells whether further
// bytes arrived together with the health check.
func (r *healthCheckRate) count(now time.Time, moreBytes bool) error {
	if moreBytes || now.Sub(r.last) < evictionGrace {
		r.rapid++
	}
	r.last = now
	if r.rapid > maxRapidHealthChecks {
		return errRapidHealthChecks
	}
	return nil
}
