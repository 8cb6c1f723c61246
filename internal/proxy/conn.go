package proxy

import (
	"container/list"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/netio"
	"onyxstream/internal/node"
	"onyxstream/internal/wire"
)

// command is what the loop tells a connection that is not up yet.
type command struct {
	attempt *node.Attempt
	reply   string // a final answer, "" for none
}

// processStart is what pulses are timed from: the monotonic clock has no figure of its own.
var processStart = time.Now()

// monotonicNanos is a time as a figure that is never 0.
func monotonicNanos(t time.Time) int64 { return int64(t.Sub(processStart)) + 1 }

// conn is a client's connection. One goroutine, serve, drives it until it is up and then copies from
// the host to the client; another, upward, reads the client.
type conn struct {
	proxy     *Proxy
	client    *net.TCPConn
	opening   wire.Opening
	requestID balancer.RequestID

	commands      chan command
	authorization chan bool     // the loop's answer to Connected
	disconnected  chan struct{} // closed when the client has left before it was up
	established   chan struct{} // closed when the connection is up
	finished      chan struct{} // closed when serve has no more use for the client

	mu               sync.Mutex
	cancelAttempt    context.CancelFunc // of the attempt under way
	attemptNumber    int                // its number
	host             *net.TCPConn       // set when up
	aborted          bool
	shuttingDown     bool        // the driver ends: no attempt comes up any more
	evicted          bool        // it is closed for another one: its first line is read no more
	readingStopped   bool        // nothing more is read of the client for its host
	quiescing        *quiescence // it is brought to rest, nil while it is not
	failedHandOffs   int         // how often it could not be handed to another process
	violatedProtocol bool        // the client said more than its first line before it was up

	unadmitted     *list.Element // its place among those that hold one descriptor; the driver's mu guards it
	lastActive     time.Time     // when it came, or had its answer; likewise
	admitted       bool          // it holds the descriptor of a host too; likewise
	openingRead    atomic.Bool   // it was read from: what it had said by then is known
	idle           atomic.Bool   // it has had its PONG and says nothing more for now
	openingStarted atomic.Bool   // it has said a part of its first line
	replied        bool          // it has had its last word; the driver's mu guards it

	maxLatency     time.Duration // that a message waited for its answer; the relay's own
	hostID         string        // the host of the attempt, or where it stands
	load           float64       // by its last report; the relay's own
	replyCounted   atomic.Bool   // its final answer is among the figures
	replies        replyRecord   // that the client was given; mu guards it
	disconnectedAt time.Time     // when it was seen to have left before it was up; mu guards it

	migrating        atomic.Bool
	halfClosed       atomic.Bool // the client ended its side before it was up
	clientClosed     atomic.Bool // the client ended its side
	clientReset      atomic.Bool // the client broke
	waitingSince     atomic.Int64
	lastLatency      atomic.Int64
	answeredMessages atomic.Uint64
}

// The loop's side. None of it blocks: a connection that does not take its commands is broken.

func (c *conn) enqueue(cmd command) {
	select {
	case c.commands <- cmd:
	default:
		c.abort()
	}
}

func (c *conn) Send(a node.Attempt)        { c.enqueue(command{attempt: &a}) }
func (c *conn) Reject(after time.Duration) { c.enqueue(command{reply: wire.Rejection(after)}) }
func (c *conn) Fail()                      { c.enqueue(command{reply: wire.Failure}) }

func (c *conn) Proceed(_ int, ok bool) {
	select {
	case c.authorization <- ok:
	default:
	}
}

func (c *conn) Cancel(attempt int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelAttempt != nil && c.attemptNumber == attempt {
		c.cancelAttempt()
	}
}

// Migrate wakes the copying goroutine, which alone knows where a line ends.
func (c *conn) Migrate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.host != nil && !c.migrating.Swap(true) {
		_ = c.client.SetWriteDeadline(time.Now().Add(lingerTimeout))
		_ = c.host.SetReadDeadline(netio.Expired)
	}
}

func (c *conn) MessageStats(now time.Time) node.MessageStats {
	p := node.MessageStats{Answered: c.answeredMessages.Load(), LastLatency: time.Duration(c.lastLatency.Load())}
	if since := c.waitingSince.Load(); since != 0 {
		p.OldestWait = time.Duration(monotonicNanos(now) - since)
	}
	return p
}

// abort resets both sides; serve and upward end on it.
func (c *conn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aborted = true
	c.disconnect()
	if c.cancelAttempt != nil {
		c.cancelAttempt()
	}
	if c.host != nil {
		reset(c.host)
	}
	reset(c.client)
}

// shutDown ends a connection with the driver, whose mutex is held: one that is up is reset, or left where packets pass
// through. Any other ends by its own goroutine, which alone knows what was read: one that is owed its answer is given it
// by drive; one that has not said whole what it wants may have by now, and is heard out by hello.
func (c *conn) shutDown(pass bool) {
	switch up := c.isEstablished(); {
	case up && pass:
	case up || c.admitted && c.opening.CurrentHost != "":
		c.abort()
	default:
		c.mu.Lock()
		defer c.mu.Unlock()
		c.shuttingDown = true
		if c.cancelAttempt != nil {
			c.cancelAttempt()
		}
		if !c.admitted && !c.readingStopped {
			_ = c.client.SetReadDeadline(netio.Expired)
		}
	}
}

// isShuttingDown reports whether the driver ends, and the connection with it.
func (c *conn) isShuttingDown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shuttingDown
}

// isEstablished reports whether a host holds the connection.
func (c *conn) isEstablished() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.host != nil
}

// serve is the life of the connection.
func (c *conn) serve() {
	defer c.client.Close()
	defer c.answerPanic()
	var in wire.LineBuffer
	defer in.Release()
	if !c.readOpening(&in) {
		return
	}
	until := time.Now().Add(c.opening.Timeout - sinceReceived(c.client))
	c.requestID = balancer.RequestID(c.opening.ID)
	defer c.checkCompletion(until)
	switch within, still := c.proxy.admit(c); {
	case !still:
		c.countReply(errored)
		return
	case !within:
		c.countReply(rejected)
		c.proxy.log.Info("a client is refused: the sockets are used up, or the node ends")
		c.reply(c.proxy.rejection())
		return
	}
	if !c.checkClient(&in) {
		c.countReply(errored)
		if c.halfClosed.Load() { // it may still read
			c.reply(wire.Failure)
		}
		return
	}
	var reader sync.WaitGroup
	reader.Add(1)
	go func() {
		defer reader.Done()
		defer c.proxy.caught("reading a client failed badly")
		c.forwardClient(&in)
	}()
	defer reader.Wait()
	defer c.releaseClient()
	c.serveRequest(until)
}

// answerPanic answers a client whose goroutine fails before drive has it, which does the same: its line may have been read.
func (c *conn) answerPanic() {
	if p := recover(); p != nil {
		c.proxy.log.Error("a connection failed badly", zap.Any("panic", p), zap.Stack("stack"))
		c.reply(wire.Failure)
	}
}

// releaseClient ends the client's side once serve has nothing more for it.
func (c *conn) releaseClient() {
	close(c.finished)
	c.stopReading()
}

// readOpening reads the first line; false when there is nothing more to do. A half line or one that is no
// OPEN ends with an answer or the end of the connection, never with a client that waits for ever. The time for it
// runs from the start, or the last PING, whatever comes meanwhile: one that trickles would hold its descriptor as long
// as it likes. A front may keep its connection and ask on it for as long as it does so at a pace.
func (c *conn) readOpening(in *wire.LineBuffer) bool {
	c.setOpeningDeadline(c.lastActive.Add(openingTimeout))
	var asks pingRate
	for late := false; ; {
		line, ok, err := in.Next()
		if err == nil && !ok {
			if c.receiveOpening(in, &late) {
				continue
			}
			return false
		}
		var kind wire.OpeningKind
		if err == nil {
			kind, c.opening, err = wire.ParseOpening(line)
		}
		switch {
		case err != nil:
		case kind == wire.OpeningHealthCheck:
			err = asks.count(time.Now(), len(in.Buffered()) > 0)
		case !c.proxy.node.HasClassAndTenant(&c.opening):
			err = errors.New("a class or a tenant that the settings lack")
		case len(in.Buffered()) > 0 && !c.opening.MidFlow:
			err = errEarlyData
		}
		switch {
		case err != nil:
			c.proxy.log.Info("a client's first line can't be served", zap.Error(err))
			c.countReply(errored)
			c.reply(wire.Failure)
			return false
		case kind == wire.OpeningHealthCheck:
			pong := wire.Pong
			if c.proxy.node.IsDraining() { // not ready: the front is to deal it no one
				pong = wire.Rejection(0)
			}
			if _, err := netio.WriteAll(c.client, []byte(pong)); err != nil || !c.proxy.renew(c) {
				return false
			}
			late = false
			c.setOpeningDeadline(asks.last.Add(openingTimeout))
			c.idle.Store(len(in.Buffered()) == 0)
			c.openingStarted.Store(len(in.Buffered()) > 0)
		default:
			if c.opening.Timeout <= 0 {
				c.opening.Timeout = c.proxy.cfg.DefaultTimeout
			}
			_ = c.client.SetReadDeadline(time.Time{})
			return true
		}
	}
}

// receiveOpening reads more of the first line. Once the time for it is over, or the node ends, what has come by then is still read,
// once (late says that it was): its last byte may have come in that very moment, and a close over it would lose a request
// with no answer. Who has asked for nothing then is left by FIN, and one in the middle of its line is told to come again
// where the node ends. False when there is nothing more to do.
func (c *conn) receiveOpening(in *wire.LineBuffer, late *bool) bool {
	c.openingRead.Store(true)
	n, err := c.awaitBytes(in.Space())
	over := n == 0 && netio.IsDeadlineExceeded(err)
	if over && !*late {
		*late = true
		n, _ = netio.ReadAvailable(c.client, in.Space())
	}
	switch in.Advance(n); {
	case n > 0:
		c.idle.Store(false)
		c.openingStarted.Store(true) // where it was read late
		return true
	case over && c.isShuttingDown() && len(in.Buffered()) > 0:
		c.reply(c.proxy.rejection())
	case over:
		c.lingerClose()
	}
	return false
}

// awaitBytes waits for more of the first line.
func (c *conn) awaitBytes(into []byte) (n int, err error) {
	raw, err := c.client.SyscallConn()
	if err != nil {
		return 0, err
	}
	err = netio.RetryLowMemory(func() error {
		n, err = c.readUnlessEvicted(raw, into)
		return err
	})
	return n, err
}

// readUnlessEvicted waits for bytes. A read and the word that something was read are one step under mu: whoever closes the
// connection meanwhile, see stopHearing, either finds the bytes itself or knows of them.
func (c *conn) readUnlessEvicted(raw syscall.RawConn, into []byte) (n int, err error) {
	waited := raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.evicted {
			n, err = 0, net.ErrClosed
			return true
		}
		n, err = netio.ReadNow(fd, into)
		if n > 0 {
			c.openingStarted.Store(true)
		}
		return n > 0 || err != nil
	})
	if waited != nil {
		return 0, waited
	}
	return n, err
}

// stopReadingOpening ends the reading of the first line, and reports whether any of it has come by now.
func (c *conn) stopReadingOpening() (begun bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted = true
	buf := wire.GetBuffer()
	defer buf.Release()
	n, _ := netio.ReadAvailable(c.client, buf[:])
	return n > 0 || c.openingStarted.Load()
}

// setOpeningDeadline sets until when the first line may come; it is over at once where the node ends.
func (c *conn) setOpeningDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shuttingDown {
		t = netio.Expired
	}
	_ = c.client.SetReadDeadline(t)
}

// pingRate is how a connection asks how the node is.
type pingRate struct {
	rapid int
	last  time.Time
}

// count counts a PING, and finds that there are too many. Others are those that come with it.
func (a *pingRate) count(now time.Time, others bool) error {
	if others || now.Sub(a.last) < evictionGrace {
		a.rapid++
	}
	if a.last = now; a.rapid > maxRapidPings {
		return errors.New("too many PINGs")
	}
	return nil
}
