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

// conn is a client's connection. One goroutine, serve, reads the opening line, makes the attempts and then copies
// from the host to the client; another, forwardClient, reads the client meanwhile. The node calls the methods of
// node.ClientConn.
type conn struct {
	budgetSlot
	messageLatency

	proxy     *Proxy
	client    *net.TCPConn
	opening   wire.Opening
	requestID balancer.RequestID

	decisions     chan decision
	authorization chan bool     // the node's answer to AttemptConnected
	disconnected  chan struct{} // closed when the client has disconnected before it was established
	established   chan struct{} // closed when a host has established the connection
	finished      chan struct{} // closed when serve is done with the client

	mu               sync.Mutex
	cancelAttempt    context.CancelFunc // of the attempt in flight, nil for none
	attemptNumber    int                // of the attempt in flight
	host             *net.TCPConn       // set when established
	aborted          bool               // both sides were reset by this node
	shuttingDown     bool               // no attempt may be established any more
	evicted          bool               // the opening line is read no more
	readingStopped   bool               // nothing more is read of the client for its host
	quiescing        *quiescence        // while it is quiesced for a hand-off, else nil
	failedHandOffs   int
	violatedProtocol bool         // the client sent more than its opening line before it was established
	answers          answerRecord // the final answers that the client was given
	disconnectedAt   time.Time    // when disconnected was closed

	openingRead    atomic.Bool // the client was read from: what it had sent by then is known
	openingStarted atomic.Bool // a part of the opening line was received
	idle           atomic.Bool // a health check was answered, and nothing has been received since
	answerCounted  atomic.Bool // the final answer is among the metrics
	migrating      atomic.Bool // the node migrates the client
	halfClosed     atomic.Bool // the client closed its side before it was established
	clientClosed   atomic.Bool // the client closed its side after it was established
	clientReset    atomic.Bool // the client's side broke after it was established

	hostID string  // of the attempt in flight, or of the host that established the connection
	load   float64 // of the host's last load report; the relay's goroutine owns it
}

// serve runs the connection from its opening line to its end.
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
		c.answerAndClose(c.proxy.rejection())
		return
	}
	if !c.checkClient(&in) {
		c.countAnswer(errored)
		if c.halfClosed.Load() { // it may still read
			c.answerAndClose(wire.Failure)
		}
		return
	}
	c.whileReadingClient(&in, func() { c.serveRequest(deadline) })
}

// whileReadingClient runs f while another goroutine reads the client, and waits for that goroutine.
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

// releaseClient ends the reading of the client once serve is done with it.
func (c *conn) releaseClient() {
	close(c.finished)
	c.stopReading()
}

// answerOnPanic replies to a client whose goroutine panics outside serveRequest: its opening line may have been read.
func (c *conn) answerOnPanic() {
	if panicked := recover(); panicked != nil {
		c.proxy.log.Error("connection panicked", zap.Any("panic", panicked), zap.Stack("stack"))
		c.answerAndClose(wire.Failure)
	}
}

// abort resets both sides, which ends serve and forwardClient.
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

// shutDown begins to end the connection; the proxy's mutex is held. An established one is reset, or left open with
// passThrough. Any other ends by its own goroutine, which alone knows what was read: serveRequest replies to an
// admitted client, readOpening still reads what has been received of an opening line.
func (c *conn) shutDown(passThrough bool) {
	established := c.isEstablished()
	if established && passThrough {
		return
	}
	if established || c.admitted && c.opening.CurrentHost != "" {
		c.abort()
		return
	}
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

// establish sets the host of the connection. It reports false if the client has disconnected or the proxy shuts down.
func (c *conn) establish(host *net.TCPConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isDisconnected() || c.aborted || c.shuttingDown {
		return false
	}
	_ = host.SetDeadline(time.Time{})
	c.host = host
	close(c.established)
	if c.opening.MidFlow { // its reader must notice, and forward what was received early
		_ = c.client.SetReadDeadline(netio.Expired)
	}
	return true
}

// messageLatency measures how long the client waits for a host's response to a message.
type messageLatency struct {
	waitingSince     atomic.Int64  // the first message without a response, by monotonicNanos; 0 for none
	lastLatency      atomic.Int64  // in nanoseconds
	answeredMessages atomic.Uint64 // messages that had a response
	maxLatency       time.Duration // the relay's goroutine owns it
}

// processStart is the origin of monotonicNanos.
var processStart = time.Now()

// monotonicNanos returns a time in nanoseconds of the monotonic clock, never 0.
func monotonicNanos(t time.Time) int64 { return int64(t.Sub(processStart)) + 1 }

// messageSent records that a message went to the host.
func (l *messageLatency) messageSent(now time.Time) {
	l.waitingSince.CompareAndSwap(0, monotonicNanos(now))
}

// responseReceived records that a response came from the host.
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

// stats returns what the node wants to know.
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
