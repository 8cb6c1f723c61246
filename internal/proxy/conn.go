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
	send  *node.Attempt
	reply string // a final answer, "" for none
}

// started is what pulses are timed from: the monotonic clock has no figure of its own.
var started = time.Now()

// nanos is a time as a figure that is never 0.
func nanos(t time.Time) int64 { return int64(t.Sub(started)) + 1 }

// conn is a client's connection. One goroutine, serve, drives it until it is up and then copies from
// the host to the client; another, upward, reads the client.
type conn struct {
	d      *Proxy
	client *net.TCPConn
	open   wire.Opening
	id     balancer.RequestID

	cmds    chan command
	verdict chan bool     // the loop's answer to Connected
	gone    chan struct{} // closed when the client has left before it was up
	up      chan struct{} // closed when the connection is up
	ended   chan struct{} // closed when serve has no more use for the client

	mu       sync.Mutex
	withdraw context.CancelFunc // of the attempt under way
	running  int                // its number
	host     *net.TCPConn       // set when up
	aborted  bool
	ending   bool     // the driver ends: no attempt comes up any more
	unheard  bool     // it is closed for another one: its first line is read no more
	over     bool     // nothing more is read of the client for its host
	parking  *parking // it is brought to rest, nil while it is not
	unrest   int      // how often it could not be handed to another process
	spoke    bool     // the client said more than its first line before it was up

	early        *list.Element // its place among those that hold one descriptor; the driver's mu guards it
	since        time.Time     // when it came, or had its answer; likewise
	charged      bool          // it holds the descriptor of a host too; likewise
	met          atomic.Bool   // it was read from: what it had said by then is known
	rests        atomic.Bool   // it has had its PONG and says nothing more for now
	begun        atomic.Bool   // it has said a part of its first line
	answeredLast bool          // it has had its last word; the driver's mu guards it

	longest time.Duration // that a message waited for its answer; the relay's own
	on      string        // the host of the attempt, or where it stands
	load    float64       // by its last report; the relay's own
	counted atomic.Bool   // its final answer is among the figures
	answers answers       // that the client was given; mu guards it
	leftAt  time.Time     // when it was seen to have left before it was up; mu guards it

	moving   atomic.Bool
	half     atomic.Bool // the client ended its side before it was up
	leftFIN  atomic.Bool // the client ended its side
	leftRST  atomic.Bool // the client broke
	waiting  atomic.Int64
	took     atomic.Int64
	answered atomic.Uint64
}

// The loop's side. None of it blocks: a connection that does not take its commands is broken.

func (c *conn) tell(cmd command) {
	select {
	case c.cmds <- cmd:
	default:
		c.abort()
	}
}

func (c *conn) Send(a node.Attempt)        { c.tell(command{send: &a}) }
func (c *conn) Reject(after time.Duration) { c.tell(command{reply: wire.Rejection(after)}) }
func (c *conn) Fail()                      { c.tell(command{reply: wire.Failure}) }

func (c *conn) Proceed(_ int, ok bool) {
	select {
	case c.verdict <- ok:
	default:
	}
}

func (c *conn) Cancel(attempt int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.withdraw != nil && c.running == attempt {
		c.withdraw()
	}
}

// Migrate wakes the copying goroutine, which alone knows where a line ends.
func (c *conn) Migrate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.host != nil && !c.moving.Swap(true) {
		_ = c.client.SetWriteDeadline(time.Now().Add(lingerFor))
		_ = c.host.SetReadDeadline(netio.Expired)
	}
}

func (c *conn) MessageStats(now time.Time) node.MessageStats {
	p := node.MessageStats{Answered: c.answered.Load(), LastLatency: time.Duration(c.took.Load())}
	if since := c.waiting.Load(); since != 0 {
		p.OldestWait = time.Duration(nanos(now) - since)
	}
	return p
}

// abort resets both sides; serve and upward end on it.
func (c *conn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aborted = true
	c.leave()
	if c.withdraw != nil {
		c.withdraw()
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
	switch up := c.isUp(); {
	case up && pass:
	case up || c.charged && c.open.CurrentHost != "":
		c.abort()
	default:
		c.mu.Lock()
		defer c.mu.Unlock()
		c.ending = true
		if c.withdraw != nil {
			c.withdraw()
		}
		if !c.charged && !c.over {
			_ = c.client.SetReadDeadline(netio.Expired)
		}
	}
}

// shuttingDown reports whether the driver ends, and the connection with it.
func (c *conn) shuttingDown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending
}

// isUp reports whether a host holds the connection.
func (c *conn) isUp() bool {
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
	if !c.hello(&in) {
		return
	}
	until := time.Now().Add(c.open.Timeout - waited(c.client))
	c.id = balancer.RequestID(c.open.ID)
	defer c.checkEnd(until)
	switch within, still := c.d.admit(c); {
	case !still:
		c.count(failed)
		return
	case !within:
		c.count(refused)
		c.d.log.Info("a client is refused: the sockets are used up, or the node ends")
		c.finish(c.d.comeAgain())
		return
	}
	if !c.look(&in) {
		c.count(failed)
		if c.half.Load() { // it may still read
			c.finish(wire.Failure)
		}
		return
	}
	var reader sync.WaitGroup
	reader.Add(1)
	go func() {
		defer reader.Done()
		defer c.d.caught("reading a client failed badly")
		c.upward(&in)
	}()
	defer reader.Wait()
	defer c.endClient()
	c.drive(until)
}

// answerPanic answers a client whose goroutine fails before drive has it, which does the same: its line may have been read.
func (c *conn) answerPanic() {
	if p := recover(); p != nil {
		c.d.log.Error("a connection failed badly", zap.Any("panic", p), zap.Stack("stack"))
		c.finish(wire.Failure)
	}
}

// endClient ends the client's side once serve has nothing more for it.
func (c *conn) endClient() {
	close(c.ended)
	c.stopReading()
}

// hello reads the first line; false when there is nothing more to do. A half line or one that is no
// OPEN ends with an answer or the end of the connection, never with a client that waits for ever. The time for it
// runs from the start, or the last PING, whatever comes meanwhile: one that trickles would hold its descriptor as long
// as it likes. A front may keep its connection and ask on it for as long as it does so at a pace.
func (c *conn) hello(in *wire.LineBuffer) bool {
	c.hearUntil(c.since.Add(firstLine))
	var asks asking
	for late := false; ; {
		line, ok, err := in.Next()
		if err == nil && !ok {
			if c.hear(in, &late) {
				continue
			}
			return false
		}
		var kind wire.OpeningKind
		if err == nil {
			kind, c.open, err = wire.ParseOpening(line)
		}
		switch {
		case err != nil:
		case kind == wire.OpeningHealthCheck:
			err = asks.again(time.Now(), len(in.Buffered()) > 0)
		case !c.d.node.HasClassAndTenant(&c.open):
			err = errors.New("a class or a tenant that the settings lack")
		case len(in.Buffered()) > 0 && !c.open.MidFlow:
			err = errSpoke
		}
		switch {
		case err != nil:
			c.d.log.Info("a client's first line can't be served", zap.Error(err))
			c.count(failed)
			c.finish(wire.Failure)
			return false
		case kind == wire.OpeningHealthCheck:
			pong := wire.Pong
			if c.d.node.IsDraining() { // not ready: the front is to deal it no one
				pong = wire.Rejection(0)
			}
			if _, err := netio.WriteAll(c.client, []byte(pong)); err != nil || !c.d.asked(c) {
				return false
			}
			late = false
			c.hearUntil(asks.last.Add(firstLine))
			c.rests.Store(len(in.Buffered()) == 0)
			c.begun.Store(len(in.Buffered()) > 0)
		default:
			if c.open.Timeout <= 0 {
				c.open.Timeout = c.d.cfg.DefaultTimeout
			}
			_ = c.client.SetReadDeadline(time.Time{})
			return true
		}
	}
}

// hear reads more of the first line. Once the time for it is over, or the node ends, what has come by then is still read,
// once (late says that it was): its last byte may have come in that very moment, and a close over it would lose a request
// with no answer. Who has asked for nothing then is left by FIN, and one in the middle of its line is told to come again
// where the node ends. False when there is nothing more to do.
func (c *conn) hear(in *wire.LineBuffer, late *bool) bool {
	c.met.Store(true)
	n, err := c.readFirst(in.Space())
	over := n == 0 && netio.IsDeadlineExceeded(err)
	if over && !*late {
		*late = true
		n, _ = netio.ReadAvailable(c.client, in.Space())
	}
	switch in.Advance(n); {
	case n > 0:
		c.rests.Store(false)
		c.begun.Store(true) // where it was read late
		return true
	case over && c.shuttingDown() && len(in.Buffered()) > 0:
		c.finish(c.d.comeAgain())
	case over:
		c.linger()
	}
	return false
}

// readFirst waits for more of the first line.
func (c *conn) readFirst(into []byte) (n int, err error) {
	raw, err := c.client.SyscallConn()
	if err != nil {
		return 0, err
	}
	err = netio.RetryLowMemory(func() error {
		n, err = c.readNoted(raw, into)
		return err
	})
	return n, err
}

// readNoted waits for bytes. A read and the word that something was read are one step under mu: whoever closes the
// connection meanwhile, see stopHearing, either finds the bytes itself or knows of them.
func (c *conn) readNoted(raw syscall.RawConn, into []byte) (n int, err error) {
	waited := raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.unheard {
			n, err = 0, net.ErrClosed
			return true
		}
		n, err = netio.ReadNow(fd, into)
		if n > 0 {
			c.begun.Store(true)
		}
		return n > 0 || err != nil
	})
	if waited != nil {
		return 0, waited
	}
	return n, err
}

// stopHearing ends the reading of the first line, and reports whether any of it has come by now.
func (c *conn) stopHearing() (begun bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unheard = true
	buf := wire.GetBuffer()
	defer buf.Release()
	n, _ := netio.ReadAvailable(c.client, buf[:])
	return n > 0 || c.begun.Load()
}

// hearUntil sets until when the first line may come; it is over at once where the node ends.
func (c *conn) hearUntil(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending {
		t = netio.Expired
	}
	_ = c.client.SetReadDeadline(t)
}

// asking is how a connection asks how the node is.
type asking struct {
	hasty int
	last  time.Time
}

// again counts a PING, and finds that there are too many. Others are those that come with it.
func (a *asking) again(now time.Time, others bool) error {
	if others || now.Sub(a.last) < turn {
		a.hasty++
	}
	if a.last = now; a.hasty > mostPings {
		return errors.New("too many PINGs")
	}
	return nil
}
