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

// Here is how a connection learns that its client leaves. A client that is gone gets no further attempt: whoever begins
// one looks at gone under the mutex (begin), and once more before its first byte.

// errEarlyData says that a client said more than its first line, for which it is to wait for the answer. Where it is not
// one that packets pass through for, it does not speak the protocol: what it wants may be hundreds of things.
var errEarlyData = errors.New("it does not wait for the answer")

// checkClient takes in what the client has said or done since its first line, before anything is begun for it: one that has
// waited in the listener's queue may have left long ago. False where it has.
func (c *conn) checkClient(in *wire.LineBuffer) bool {
	n, err := netio.ReadAvailable(c.client, in.Space())
	in.Advance(n)
	if err == nil || syserr.LacksMemory(err) { // the latter tells nothing
		return true
	}
	c.clientEnded(err)
	return false
}

// forwardClient reads the client: before the connection is up to learn that it leaves, then to pass its lines on. What comes
// early of a connection that is mid-flow waits in the buffer, and the client is read on as long as that has room: one
// that has said something leaves like any other.
func (c *conn) forwardClient(in *wire.LineBuffer) {
	for {
		early := len(in.Buffered()) > 0
		select {
		case <-c.established:
			if !early {
				break
			}
			c.waitingSince.CompareAndSwap(0, monotonicNanos(time.Now()))
			if _, err := netio.WriteAll(c.host, in.Buffered()); err != nil {
				return // the other goroutine meets the broken host too, and ends the client like it
			}
			in.Discard(len(in.Buffered()))
		default:
			if early && !c.opening.MidFlow && c.protocolViolation() {
				return
			}
			if early && len(in.Space()) == 0 { // no room: it is read on once it is up
				if !c.awaitEstablished() {
					return
				}
				continue
			}
		}
		n, err := netio.Read(c.client, in.Space())
		in.Advance(n)
		if n == 0 && err != nil && netio.IsDeadlineExceeded(err) {
			if goOn, _ := c.awaitHandOff(c.client, false, func(*quiescence) {}); goOn {
				continue
			}
			return
		}
		if n == 0 && err != nil {
			c.clientEnded(err)
			return
		}
	}
}

// disconnectPollInterval is how often a client that is not read is looked at: no attempt may begin a tenth of a second after it left.
const disconnectPollInterval = 20 * time.Millisecond

// awaitEstablished waits until a connection is up whose client's early lines leave no room to read more. It is not read meanwhile,
// so the system is asked whether it has left; one that goes on to send far more than lines is given up. False where there
// is nothing more to read.
func (c *conn) awaitEstablished() bool {
	ticks := time.NewTicker(disconnectPollInterval)
	defer ticks.Stop()
	for {
		select {
		case <-c.established:
			return true
		case <-c.finished:
			return false
		case <-ticks.C:
			if err := sendingEnded(c.client); err != nil && c.disconnectUnestablished(err) {
				return false
			}
			if unreadBytes(c.client) > maxUnreadBytes && c.protocolViolation() {
				return false
			}
		}
	}
}

// disconnectUnestablished notes that a client has ended its side before its connection is up; false where that is up by now: whatever
// lies unread is read on then, and the end behind it.
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

// maxUnreadBytes bounds what may lie unread of a client that is not up, beside what is buffered. An end behind more than the
// system's own buffer holds could not be seen.
const maxUnreadBytes = 32 << 10

// sendingEnded tells how the other side has ended its sending, behind whatever lies unread: io.EOF, or a break. It is nil where
// it has not, or the system does not tell.
func sendingEnded(c *net.TCPConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil
	}
	var events int16
	_ = raw.Control(func(fd uintptr) {
		ask := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		if n, err := unix.Poll(ask, 0); err == nil && n > 0 {
			events = ask[0].Revents
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

// unreadBytes is how many bytes lie unread, 0 where the system does not tell.
func unreadBytes(c *net.TCPConn) (n int) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) {
		if n, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ); err != nil {
			n = 0
		}
	})
	return n
}

// protocolViolation gives up a client that does not wait for its answer; false where it has come up just now.
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

// disconnect closes gone once, and withdraws the attempt that is out; mu is held.
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

// isDisconnected reports whether the client has left before it was up.
func (c *conn) isDisconnected() bool {
	select {
	case <-c.disconnected:
		return true
	default:
		return false
	}
}

// clientEnded notes that the client has ended its side.
func (c *conn) clientEnded(err error) {
	if errors.Is(err, net.ErrClosed) { // this node's own doing
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
