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

// How a connection notices that its client disconnects. A client that has disconnected gets no further attempt:
// beginAttempt checks for it under the mutex, and the attempt once more before its first byte.

const (
	// disconnectPollInterval is how often a client that is not read is polled: no attempt may begin later than a tenth of
	// a second after its client has disconnected.
	disconnectPollInterval = 20 * time.Millisecond
	// maxUnreadBytes bounds what a client that is not established may have sent beyond what is buffered. Its close could
	// not be seen behind more than the system's own buffer holds.
	maxUnreadBytes = 32 << 10
)

// checkClient reads what the client has sent since its opening line, and reports false if it has disconnected, as it
// may have while it waited in the listener's queue.
func (c *conn) checkClient(in *wire.LineBuffer) bool {
	n, err := netio.ReadAvailable(c.client, in.Space())
	in.Advance(n)
	if err == nil || syserr.LacksMemory(err) { // the latter says nothing of the client
		return true
	}
	c.clientEnded(err)
	return false
}

// forwardClient reads the client: before the connection is established to notice that the client disconnects, then to
// forward its messages. A mid-flow client may send messages early; they are held back, and the client is read on
// while the buffer has space.
func (c *conn) forwardClient(in *wire.LineBuffer) {
	for {
		var readOn bool
		select {
		case <-c.established:
			readOn = c.flushToHost(in)
		default:
			readOn = c.holdBack(in)
		}
		if !readOn || !c.readClient(in) {
			return
		}
	}
}

// flushToHost forwards what is buffered, and reports false if the host's side is broken: the relay notices it too, and
// ends the client likewise.
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

// holdBack keeps what a client sends before the connection is established. It reports false if the client is read no
// more, and waits for the connection to be established if the buffer is full.
func (c *conn) holdBack(in *wire.LineBuffer) bool {
	if len(in.Buffered()) == 0 {
		return true
	}
	if !c.opening.MidFlow && c.protocolViolation() {
		return false
	}
	if len(in.Space()) > 0 {
		return true
	}
	return c.awaitEstablished() && c.flushToHost(in)
}

// readClient reads more of the client, and reports false if there is no more to read.
func (c *conn) readClient(in *wire.LineBuffer) bool {
	n, err := netio.Read(c.client, in.Space())
	in.Advance(n)
	if n > 0 || err == nil {
		return true
	}
	if netio.IsDeadlineExceeded(err) {
		return c.awaitHandOff(c.client, func(q *quiescence) { close(q.clientStopped) }) == keepReading
	}
	c.clientEnded(err)
	return false
}

// awaitEstablished waits until a connection is established whose client has filled the buffer. The client is not read
// meanwhile, so the system is polled for its close; one that sends far more is a protocol violation. It reports false
// if there is no more to read.
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
			if err := sendingEnded(c.client); err != nil && c.disconnectUnestablished(err) {
				return false
			}
			if unreadBytes(c.client) > maxUnreadBytes && c.protocolViolation() {
				return false
			}
		}
	}
}

// protocolViolation disconnects a client that does not wait for its answer. It reports false if the connection has
// been established meanwhile.
func (c *conn) protocolViolation() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.host != nil {
		return false
	}
	c.violatedProtocol = true
	c.disconnect()
	return true
}

// clientEnded records that the client has closed its side or broken, as err says.
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

// disconnectUnestablished records that a client has ended its side before the connection is established. It reports
// false if that has been established: what lies unread is then read first, and the end behind it.
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

// disconnect closes disconnected, once, and cancels the attempt in flight. mu is held.
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

// isDisconnected reports whether the client has disconnected before the connection was established.
func (c *conn) isDisconnected() bool {
	select {
	case <-c.disconnected:
		return true
	default:
		return false
	}
}

// sendingEnded reports how the peer has ended its sending, behind whatever lies unread: io.EOF if it closed its side,
// ECONNRESET if it broke, nil if it has not or the system does not say.
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

// unreadBytes returns how many bytes lie unread, 0 if the system does not say.
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
