package proxy

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/logging"
	"onyxstream/internal/netio"
	"onyxstream/internal/node"
	"onyxstream/internal/wire"
)

// conn is a client's connection. It has two goroutines: serve reads the opening line, makes the attempts and then
// copies from the host to the client; forwardClient reads everything that the client sends after its opening line. conn
// implements node.ClientConn, whose methods the node calls.
type conn struct {
	// Embedded parts. The comments of their types say how they are synchronized.
	budgetSlot
	messageLatency

	// The client and its request. They are set before forwardClient starts, and not modified after that.
	proxy     *Proxy
	client    *net.TCPConn
	opening   wire.Opening
	requestID balancer.RequestID

	// Messages of the node to the goroutine of serve.
	decisions     chan decision
	authorization chan bool // the node's answer to AttemptConnected

	// Events in the life of the connection. Each channel is closed when its event happens.
	disconnected chan struct{} // the client disconnects before the connection is established, or this node aborts it
	established  chan struct{} // a host establishes the connection
	finished     chan struct{} // serve is done with the client

	// mu guards the fields from here to disconnectedAt, and hostID while attempts are made.
	mu sync.Mutex

	// The attempt in flight, and its result.
	cancelAttempt context.CancelFunc // cancels the attempt in flight; nil if there is none
	attemptNumber int                // number of the attempt in flight
	host          *net.TCPConn       // nil until a host establishes the connection; not modified after that

	// What this node has decided about the end of the connection.
	aborted        bool       // this node has reset both sides
	shuttingDown   bool       // no attempt may establish the connection any more
	openingEnd     openingEnd // how this node has ended the reading of the opening line, before the line was complete
	readingStopped bool       // the client must not be read any further for its host

	// The hand-off to another process of the node.
	quiescing      *quiescence // set while the connection is quiesced for a hand-off, otherwise nil
	handedOff      bool        // another process has the connection, so its sockets must not be reset here
	failedHandOffs int         // how often the connection was quiesced without being handed off

	// Records for the final answer and for the invariant checks.
	violatedProtocol bool         // the client sent more than its opening line before the connection was established
	answers          answerRecord // the final answers that the client was given
	answerWritten    bool         // a final answer of this node was written
	disconnectedAt   time.Time    // when disconnected was closed

	// Progress of the opening line, which evictions and the shutdown read.
	openingRead    atomic.Bool // the reading of the opening line has begun; evictable skips the client before that
	openingStarted atomic.Bool // part of the opening line has been received
	idle           atomic.Bool // a health check was answered, and nothing has been received since

	// Progress of the request and of the migration.
	answerCounted atomic.Bool // the metrics include the final answer
	migrating     atomic.Bool // the node is migrating the client

	// How the client's side ended.
	halfClosed   atomic.Bool // the client closed its side before the connection was established
	clientClosed atomic.Bool // the client closed its side after the connection was established
	clientReset  atomic.Bool // the client's side broke after the connection was established

	// The host, as the node knows it.
	hostID string  // host of the attempt in flight, or the host that established the connection
	load   float64 // load in the host's last load report; owned by the relay's goroutine
}

// serve handles the connection from its opening line to its end.
func (c *conn) serve() {
	defer c.client.Close()
	defer c.answerOnPanic()
	var in wire.LineBuffer
	defer in.Release()
	if !c.readOpening(&in) {
		return
	}
	deadline := time.Now().Add(c.opening.Timeout - sinceReceived(c.client))
	c.requestID = balancer.RequestID(c.opening.ID)
	defer c.checkCompletion(deadline)
	switch c.proxy.admit(c) {
	case admissionEvicted:
		c.countAnswer(errored)
		return
	case admissionRejected:
		c.countAnswer(rejected)
		c.proxy.log.Info("client rejected: descriptor limit reached or shutting down")
		c.answer(c.proxy.rejection())
		return
	}
	if !c.checkClient(&in) {
		c.countAnswer(errored)
		if c.halfClosed.Load() || c.hasViolatedProtocol() { // the client may still read
			c.answer(wire.Failure)
		}
		return
	}
	c.whileReadingClient(&in, func() { c.serveRequest(deadline) })
}

// whileReadingClient runs f while another goroutine reads the client. It returns when both have ended.
func (c *conn) whileReadingClient(in *wire.LineBuffer, f func()) {
	var reader sync.WaitGroup
	reader.Add(1)
	go func() {
		defer reader.Done()
		defer logging.RecoverPanic(c.proxy.log, "client reader panicked")
		c.forwardClient(in)
	}()
	defer reader.Wait()
	defer c.releaseClient()
	f()
}

// releaseClient stops the goroutine that reads the client, when serve is done with the client.
func (c *conn) releaseClient() {
	close(c.finished)
	c.stopReading()
}

// answerOnPanic fails the request when serve panics outside serveRequest, because the opening line may have been read.
// It must be deferred directly.
func (c *conn) answerOnPanic() {
	if panicked := recover(); panicked != nil {
		c.proxy.log.Error("connection panicked", zap.Any("panic", panicked), zap.Stack("stack"))
		c.countAnswer(errored)
		c.answer(wire.Failure)
	}
}

// abort resets both sides, which makes serve and forwardClient return.
func (c *conn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abortLocked()
}

// abortLocked is abort for a caller that holds mu.
func (c *conn) abortLocked() {
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

// shutDown begins to end the connection. The caller holds the proxy's mutex. An established connection is migrated, or
// left open with passThrough. A connection that is being resumed at its current host is reset. Any other connection is
// ended by its own goroutine, because only that goroutine knows what was read: serveRequest answers an admitted client,
// and readOpening first reads what has been received of an opening line.
func (c *conn) shutDown(passThrough bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.host != nil:
		if !passThrough {
			c.migrateLocked()
		}
		return
	case c.admitted && c.opening.CurrentHost != "":
		c.abortLocked()
		return
	}
	c.shuttingDown = true
	if c.cancelAttempt != nil {
		c.cancelAttempt()
	}
	if !c.admitted && !c.readingStopped {
		_ = c.client.SetReadDeadline(netio.Expired)
	}
}

func (c *conn) isShuttingDown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shuttingDown
}

// isEstablished reports whether a host has established the connection.
func (c *conn) isEstablished() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.host != nil
}

// establish sets the host of the connection. It reports false if the client has disconnected, the connection was
// aborted or the proxy is shutting down.
func (c *conn) establish(host *net.TCPConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isDisconnected() || c.aborted || c.shuttingDown {
		return false
	}
	_ = host.SetDeadline(time.Time{})
	c.host = host
	close(c.established)
	if c.opening.MidFlow { // wake forwardClient, so that it forwards the messages that arrived early
		_ = c.client.SetReadDeadline(netio.Expired)
	}
	return true
}

// messageLatency measures how long a client waits for the host's response to a message. All fields except maxLatency
// are safe for concurrent use.
type messageLatency struct {
	waitingSince     atomic.Int64  // monotonicNanos of the oldest message without a response; 0 if there is none
	lastLatency      atomic.Int64  // in nanoseconds
	answeredMessages atomic.Uint64 // number of messages that got a response
	maxLatency       time.Duration // owned by the relay's goroutine
}

// processStart is the origin of monotonicNanos.
var processStart = time.Now()

// monotonicNanos returns the nanoseconds from processStart to t on the monotonic clock, plus 1 so that it is never 0.
func monotonicNanos(t time.Time) int64 { return int64(t.Sub(processStart)) + 1 }

// messageSent records that a message is being forwarded to the host.
func (l *messageLatency) messageSent(now time.Time) {
	l.waitingSince.CompareAndSwap(0, monotonicNanos(now))
}

// responseReceived records that the host has responded.
func (l *messageLatency) responseReceived() {
	since := l.waitingSince.Swap(0)
	if since == 0 {
		return
	}
	latency := monotonicNanos(time.Now()) - since
	l.lastLatency.Store(latency)
	l.maxLatency = max(l.maxLatency, time.Duration(latency))
	l.answeredMessages.Add(1)
}

// stats returns the message statistics that the node uses.
func (l *messageLatency) stats(now time.Time) node.MessageStats {
	stats := node.MessageStats{
		Answered:    l.answeredMessages.Load(),
		LastLatency: time.Duration(l.lastLatency.Load()),
	}
	if since := l.waitingSince.Load(); since != 0 {
		stats.OldestWait = time.Duration(monotonicNanos(now) - since)
	}
	return stats
}
