package driver

import (
	"errors"
	"io"
	"net"
	"time"

	"onyxstream/internal/wire"
)

// Here is how a connection learns that its client leaves. A client that is gone gets no further attempt: whoever begins
// one looks at gone under the mutex (begin), and once more before its first byte.

// errSpoke says that a client said more than its first line, for which it is to wait for the answer. Where it is not
// one that packets pass through for, it does not speak the protocol: what it wants may be hundreds of things.
var errSpoke = errors.New("it does not wait for the answer")

// look takes in what the client has said or done since its first line, before anything is begun for it: one that has
// waited in the listener's queue may have left long ago. False where it has.
func (c *conn) look(in *wire.Inbox) bool {
	n, err := arrived(c.client, in.Space())
	in.Fed(n)
	if err != nil {
		c.left(err)
	}
	return err == nil
}

// upward reads the client: before the connection is up to learn that it leaves, then to pass its lines on. What comes
// early of a connection that is mid-flow waits in the buffer, and the client is read on as long as that has room: one
// that has said something leaves like any other.
func (c *conn) upward(in *wire.Inbox) {
	for {
		early := len(in.Rest()) > 0
		select {
		case <-c.up:
			if !early {
				break
			}
			c.waiting.CompareAndSwap(0, nanos(time.Now()))
			if _, err := c.host.Write(in.Rest()); err != nil {
				return // the other goroutine meets the broken host too, and ends the client like it
			}
			in.Drop(len(in.Rest()))
		default:
			if early && !c.open.Mid && c.misspoke() {
				return
			}
			if early && len(in.Space()) == 0 { // no room: it is read on once it is up
				select {
				case <-c.up:
				case <-c.ended:
					return
				}
				continue
			}
		}
		n, err := c.client.Read(in.Space())
		in.Fed(n)
		if n == 0 && err != nil && timedOut(err) {
			if goOn, _ := c.rest(c.client, false, func(*parking) {}); goOn {
				continue
			}
			return
		}
		if n == 0 && err != nil {
			c.left(err)
			return
		}
	}
}

// misspoke gives up a client that does not wait for its answer; false where it has come up just now.
func (c *conn) misspoke() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.host != nil {
		return false
	}
	c.spoke = true
	c.leave()
	return true
}

// leave closes gone once, and withdraws the attempt that is out; mu is held.
func (c *conn) leave() {
	if c.isGone() {
		return
	}
	close(c.gone)
	if c.withdraw != nil {
		c.withdraw()
	}
}

// isGone reports whether the client has left before it was up.
func (c *conn) isGone() bool {
	select {
	case <-c.gone:
		return true
	default:
		return false
	}
}

// left notes that the client has ended its side.
func (c *conn) left(err error) {
	if errors.Is(err, net.ErrClosed) { // this node's own doing
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.host == nil {
		c.half.Store(errors.Is(err, io.EOF))
		c.leave()
		return
	}
	if isReset(err) {
		c.leftRST.Store(true)
		_ = c.host.SetReadDeadline(past)
		return
	}
	c.leftFIN.Store(true)
	_ = c.host.CloseWrite()
	_ = c.host.SetReadDeadline(time.Now().Add(lingerFor))
}
