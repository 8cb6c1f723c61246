package proxy

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"onyxstream/internal/netio"
	"onyxstream/internal/syserr"
	"onyxstream/internal/wire"
)

// This file reads the client, and detects that it disconnects. No attempt is made for a client that has disconnected:
// beginAttempt checks this under the mutex, and the attempt checks it again before the first byte.

const (
	// disconnectPollInterval is how often a client that is not being read is checked for a disconnect. An attempt must
	// not begin more than 100 ms after its client has disconnected.
	disconnectPollInterval = 20 * time.Millisecond
	// maxUnreadBytes bounds what a client may have sent, beyond the bytes in the line buffer, before the connection is
	// established. If a client sent more than the kernel's receive buffer holds, its close could not be detected.
	maxUnreadBytes = 32 << 10
)

// checkClient reads what the client has sent since its opening line. It reports false if the client has disconnected,
// for example while it waited in the listener's accept queue.
func (c *conn) checkClient(in *wire.LineBuffer) bool {
	n, err := netio.ReadAvailable(c.client, in.Space())
	in.Advance(n)
	if err == nil || syserr.LacksMemory(err) { // lack of memory says nothing about the client
		return !c.hasLeft()
	}
	c.clientEnded(err)
	return false
}

// hasLeft reports whether the client has ended its side before the connection was established, also if more bytes
// precede the end than were read so far. A client that has sent more than maxUnreadBytes counts as one that has left,
// because its end may be behind bytes that this machine has not accepted yet. hasLeft records the end or the violation.
func (c *conn) hasLeft() bool {
	if err := sendingEnded(c.client); err != nil {
		return c.disconnectUnestablished(err)
	}
	return unreadBytes(c.client) > maxUnreadBytes && c.disconnectOnViolation()
}

// forwardClient reads the client: to detect a disconnect before the connection is established, and to forward messages
// to the host after that. Messages that a mid-flow client sends early are held back, and forwardClient continues to
// read while the buffer has space.
func (c *conn) forwardClient(in *wire.LineBuffer) {
	reader, err := netio.NewReader(c.client, in)
	if err != nil {
		c.clientEnded(err)
		return
	}
	for {
		var readOn bool
		select {
		case <-c.established:
			readOn = c.flushToHost(in)
		default:
			readOn = c.bufferEarlyData(in)
		}
		if !readOn || !c.readClient(reader) {
			return
		}
	}
}

// flushToHost forwards the buffered bytes. It reports false if the host's side is broken; the relay detects this too
// and ends the client's side accordingly.
func (c *conn) flushToHost(in *wire.LineBuffer) bool {
	if len(in.Buffered()) == 0 {
		return true
	}
	c.messageSent(time.Now())
	if _, err := netio.WriteAll(c.host, in.Buffered()); err != nil {
		return false
	}
	in.Discard(len(in.Buffered()))
	return true
}

// bufferEarlyData keeps in the buffer what a client sends before the connection is established. If the buffer is full, it
// waits until the connection is established and forwards the buffer. It reports false if the client must not be read
// further.
func (c *conn) bufferEarlyData(in *wire.LineBuffer) bool {
	if len(in.Buffered()) == 0 {
		return true
	}
	if !c.opening.MidFlow && c.disconnectOnViolation() {
		return false
	}
	if len(in.Space()) > 0 {
		return true
	}
	return c.awaitEstablished() && c.flushToHost(in)
}

// readClient reads more bytes from the client. It reports false if the client must not be read further.
func (c *conn) readClient(reader *netio.Reader) bool {
	n, err := reader.Read()
	if n > 0 || err == nil {
		return true
	}
	if netio.IsDeadlineExceeded(err) {
		return c.awaitHandOff(c.client, func(q *quiescence) { close(q.clientStopped) }) == keepReading
	}
	c.clientEnded(err)
	return false
}

// awaitEstablished waits until the connection is established, for a client that has filled the buffer. The client is
// not read meanwhile, so awaitEstablished polls the socket for its close. More than maxUnreadBytes is a protocol
// violation. It reports false if the client must not be read further.
func (c *conn) awaitEstablished() bool {
	poll := time.NewTicker(disconnectPollInterval)
	defer poll.Stop()
	for {
		select {
		case <-c.established:
			return true
		case <-c.finished:
			return false
		case <-poll.C:
			if c.hasLeft() {
				return false
			}
		}
	}
}

// disconnectOnViolation disconnects a client that has sent more than it may before the connection is established. It
// reports false if the connection has been established meanwhile.
func (c *conn) disconnectOnViolation() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.host != nil {
		return false
	}
	c.violatedProtocol = true
	c.disconnect()
	return true
}

// clientEnded records that reading the client failed with err: the client has closed its side, or the connection broke.
func (c *conn) clientEnded(err error) {
	if errors.Is(err, net.ErrClosed) { // closed by this node
		return
	}
	if c.disconnectUnestablished(err) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if netio.IsReset(err) {
		c.clientReset.Store(true)
		_ = c.host.SetReadDeadline(netio.Expired)
		return
	}
	c.clientClosed.Store(true)
	_ = c.host.CloseWrite()
	_ = c.host.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// disconnectUnestablished records that a client has ended its side before the connection was established. It reports
// false if the connection is established: then the unread bytes are read and forwarded before the end is handled.
func (c *conn) disconnectUnestablished(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.host != nil {
		return false
	}
	c.halfClosed.Store(errors.Is(err, io.EOF))
	c.disconnect()
	return true
}

// disconnect closes c.disconnected, unless it is closed already, and cancels the attempt in flight. The caller holds
// mu.
func (c *conn) disconnect() {
	if c.isDisconnected() {
		return
	}
	close(c.disconnected)
	c.disconnectedAt = time.Now()
	if c.cancelAttempt != nil {
		c.cancelAttempt()
	}
}

// isDisconnected reports whether the client disconnected before the connection was established, or this node aborted
// the connection.
func (c *conn) isDisconnected() bool {
	select {
	case <-c.disconnected:
		return true
	default:
		return false
	}
}

// sendingEnded reports whether the remote side has stopped sending, even if unread bytes precede the end: it returns
// io.EOF if the remote side was closed, ECONNRESET if the connection broke, and nil if neither happened or the state is
// unknown.
func sendingEnded(c *net.TCPConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil
	}
	var events int16
	_ = raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(poll, 0)
		if err == nil && n > 0 {
			events = poll[0].Revents
		}
	})
	switch {
	case events&(unix.POLLERR|unix.POLLHUP) != 0:
		return syscall.ECONNRESET
	case events&unix.POLLRDHUP != 0:
		return io.EOF
	}
	return nil
}

// unreadBytes returns how many received bytes are unread, or 0 if the number is unknown.
func unreadBytes(c *net.TCPConn) (n int) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) {
		n, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ)
		if err != nil {
			n = 0
		}
	})
	return n
}
