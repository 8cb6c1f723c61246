package soaktest

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"time"

	"onyxstream/internal/ctxtime"
	"onyxstream/internal/fakeserver"
	"onyxstream/internal/testcluster"
)

// client describes one client of a run.
type client struct {
	id, class    string
	behavior     behavior
	deadline     time.Duration // deadline of its request
	connectedFor time.Duration // how long it holds an established connection
	pause        time.Duration // before it continues, disconnects or completes the opening line
	reconnect    bool          // the opening line is marked as a reconnect
}

const (
	dialTimeout  = time.Second
	pongTimeout  = time.Second
	lineInterval = 300 * time.Millisecond // pause between lines, and how long a client waits for an echo
	// closedCheckTime is how long a client reads to learn whether the node has closed the connection.
	closedCheckTime = time.Millisecond
	// maxMidFlowReconnects limits how often a client resumes mid-flow at another node.
	maxMidFlowReconnects = 3
	// crossingTime is how long after sending a request a client may read the end of a connection that the node ended
	// before it read the request.
	crossingTime = 5 * time.Millisecond
)

// session is a client with its successive connections. It is used by one goroutine.
type session struct {
	client
	cluster  *testcluster.Cluster
	pickNode func() (fakeserver.Node, bool) // false if the front has no healthy node
	newKey   func() string                  // returns a unique event key for a connection
}

// run runs a client to its end. If the node breaks the connection in pass-through mode, the client resumes mid-flow at
// another node.
func (s *session) run(ctx context.Context, passThrough bool) {
	midFlow := false
	for range maxMidFlowReconnects + 1 {
		node, ok := s.pickNode()
		if !ok {
			return
		}
		broken := s.connect(ctx, node, midFlow)
		if !broken || !passThrough || ctx.Err() != nil {
			return
		}
		midFlow = true
	}
}

// connection is one connection of a client to a node.
type connection struct {
	*session
	net.Conn
	key, node string
}

// record adds an event of the client.
func (c *connection) record(kind, detail string) {
	c.cluster.EventLog.Add(fakeserver.Event{
		Source: clientPrefix + c.node,
		Kind:   kind,
		ID:     c.id,
		Key:    c.key,
		Class:  c.class,
		Detail: detail,
	})
}

// connect opens and runs one connection. It reports whether the connection was established and then broken by the node.
func (s *session) connect(ctx context.Context, node fakeserver.Node, midFlow bool) (broken bool) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", node.Addr)
	if err != nil {
		return false // the node may be restarting
	}
	defer conn.Close()
	c := &connection{s, conn, s.newKey(), node.Name}
	opening := s.openingLine(midFlow)
	if midFlow {
		if !c.send(opening) {
			return false
		}
		c.recordRequest()
	} else if !c.sendOpening(ctx, opening) {
		return false
	}
	return c.awaitAnswer(ctx)
}

func (s *session) openingLine(midFlow bool) string {
	line := fmt.Sprintf("OPEN %s key%s c=%s,t=acme,d=%d", s.id, s.id, s.class, s.deadline.Milliseconds())
	if s.reconnect {
		line += ",again=1"
	}
	if midFlow || s.behavior == behaviorFloodMidFlow {
		line += ",mid=1"
	}
	return line + "\r\n"
}

// disconnect closes the connection and then records the disconnect.
func (c *connection) disconnect() {
	if t, ok := c.Conn.(*net.TCPConn); ok && c.behavior == behaviorReset {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
	c.record(fakeserver.EventDisconnected, "")
}

// readPong reads the answer to PING and nothing after it. It returns false if the answer is not PONG.
func (c *connection) readPong() bool {
	_ = c.SetReadDeadline(time.Now().Add(pongTimeout))
	var buf [len("PONG\r\n")]byte
	_, err := io.ReadFull(c, buf[:])
	return err == nil && string(buf[:]) == "PONG\r\n"
}

// isClosedByNode reports whether the node has closed an idle connection.
func (c *connection) isClosedByNode() bool {
	_ = c.SetReadDeadline(time.Now().Add(closedCheckTime))
	var buf [1]byte
	_, err := c.Read(buf[:])
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// discard reads until the connection ends or the timeout has passed.
func (c *connection) discard(timeout time.Duration) {
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	_, _ = io.Copy(io.Discard, c)
}

// awaitAnswer reads the final answer, and holds the connection if it is established. It reports whether the connection
// was established and then broken.
func (c *connection) awaitAnswer(ctx context.Context) (broken bool) {
	reader := bufio.NewReader(c)
	sentAt := time.Now()
	_ = c.SetReadDeadline(sentAt.Add(c.deadline + 2*DefaultLimits.AnswerGrace))
	text, err := reader.ReadString('\n')
	switch {
	case err == nil:
	case errors.Is(err, os.ErrDeadlineExceeded):
		return false // CheckRules reports the missing answer
	case c.behavior == behaviorPing && time.Since(sentAt) < crossingTime && isResetUnread(c.Conn, err):
		c.record(fakeserver.EventDisconnected, "the node had ended it")
		return false
	default:
		c.record(fakeserver.EventReset, err.Error()+text)
		return false
	}
	c.record(fakeserver.EventReceived, strings.TrimRight(text, "\r\n"))
	if !strings.HasPrefix(text, "UP ") {
		return false
	}
	return c.hold(ctx, reader)
}

// hold sends lines on an established connection until connectedFor has passed. It reports whether the node broke the
// connection without an orderly close.
func (c *connection) hold(ctx context.Context, reader *bufio.Reader) (broken bool) {
	until := time.Now().Add(c.connectedFor)
	for ctx.Err() == nil && time.Now().Before(until) {
		_ = c.SetDeadline(time.Now().Add(lineInterval))
		c.send("M a line\r\n")
		text, err := reader.ReadString('\n')
		switch {
		case err == nil && text == "MOVE\r\n":
			c.record(fakeserver.EventMigrated, "")
			return false
		case err == nil:
			ctxtime.Sleep(ctx, lineInterval)
		case !errors.Is(err, os.ErrDeadlineExceeded):
			c.record(fakeserver.EventReset, err.Error()+text)
			return !errors.Is(err, io.EOF)
		}
	}
	c.record(fakeserver.EventDisconnected, "")
	return false
}
