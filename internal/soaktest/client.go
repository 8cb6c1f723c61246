package soaktest

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"time"

	"onyxstream/internal/ctxtime"
	"onyxstream/internal/fakeserver"
	"onyxstream/internal/testcluster"
)

// manner is how a client behaves.
type manner uint8

const (
	patient   manner = iota // waits for its answer, stays for a while and speaks
	inPieces                // its line comes in two pieces
	rests                   // asks PING first, and rests before it asks for more
	leaves                  // ends its connection before it may have its answer
	resets                  // the same by a reset
	stops                   // stops in the middle of its line, and stays
	idle                    // says nothing
	floods                  // says much at once, and goes
	pipelines               // sends two lines at once
	floodsMid               // mid-flow, says much at once, and goes
	manners
)

// weights are how often each manner is drawn.
var weights = [manners]int{patient: 60, inPieces: 8, rests: 8, leaves: 8, resets: 4, stops: 3, idle: 3, floods: 2, pipelines: 2, floodsMid: 2}

func drawManner(draw *rand.Rand) manner {
	total := 0
	for _, w := range weights {
		total += w
	}
	at := draw.IntN(total)
	for m, w := range weights {
		if at -= w; at < 0 {
			return manner(m)
		}
	}
	return patient
}

// client is one client of a run; its fields are drawn before it comes.
type client struct {
	id, class      string
	manner         manner
	patience, stay time.Duration
	pause          time.Duration // before it goes on, leaves or ends its line
	again          bool
}

const (
	badStay   = 3 * time.Second // that bad clients are given at most
	lineEvery = 300 * time.Millisecond
	// mostMoves bounds how often a client of a node that ended comes again mid-flow.
	mostMoves = 3
	// crossing is the time in which a FIN that was sent before a request came is read after it was written.
	crossing  = 5 * time.Millisecond
	floodSize = 48 << 10
)

// session is a client's connections, one after another.
type session struct {
	client
	rig  *testcluster.Cluster
	deal func() (fakeserver.Node, bool) // the front's choice
	keys func() string                  // a fresh name for a connection in the ledger
}

// run is the whole life of a client. Where packets pass through, one whose node ended goes on mid-flow by way of another.
func (s *session) run(ctx context.Context, pass bool) {
	for mid, n := false, 0; n <= mostMoves; n++ {
		node, ok := s.deal()
		if !ok {
			return
		}
		stood := s.come(ctx, node, mid)
		if !stood || !pass || ctx.Err() != nil {
			return
		}
		mid = true
	}
}

// connection is one connection of a client to a node.
type connection struct {
	*session
	net.Conn
	key, node string
}

func (c *connection) note(what, text string) {
	c.rig.EventLog.Add(fakeserver.Event{Source: clientPrefix + c.node, Kind: what, ID: c.id, Key: c.key, Class: c.class, Detail: text})
}

// come makes one connection, and reports whether it stood and was broken by the node's side.
func (s *session) come(ctx context.Context, node fakeserver.Node, mid bool) (stood bool) {
	any, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", node.Addr)
	if err != nil {
		return false // a node that is not there takes nothing on
	}
	defer any.Close()
	c := &connection{s, any, s.keys(), node.Name}
	line := fmt.Sprintf("OPEN %s key%s c=%s,t=acme,d=%d", s.id, s.id, s.class, s.patience.Milliseconds())
	if s.again {
		line += ",again=1"
	}
	if mid || s.manner == floodsMid {
		line += ",mid=1"
	}
	if !mid && !c.begin(ctx, line+"\r\n") {
		return false
	}
	if mid {
		if _, err := io.WriteString(c, line+"\r\n"); err != nil {
			return false
		}
		c.note(fakeserver.EventRequested, s.patience.String())
	}
	return c.wait(ctx)
}

// begin says the first line in the client's manner; false where there is nothing to wait for.
func (c *connection) begin(ctx context.Context, line string) bool {
	say := func(text string) bool {
		_, err := io.WriteString(c, text)
		return err == nil
	}
	switch c.manner {
	case idle:
		c.drain(badStay)
		return false
	case stops:
		if say(line[:len(line)/2]) {
			c.drain(badStay)
		}
		return false
	case floods:
		say(line + strings.Repeat("x", floodSize))
		return false
	case pipelines:
		say(line + line)
		c.drain(badStay)
		return false
	case floodsMid:
		say(line + strings.Repeat("M of a client that goes\r\n", floodSize/25))
		c.note(fakeserver.EventRequested, c.patience.String())
		ctxtime.Sleep(ctx, c.pause)
		c.leave()
		return false
	case rests:
		if !say("PING\r\n") || !c.hearsPong() || !ctxtime.Sleep(ctx, c.pause) || c.ended() {
			return false
		}
	case inPieces:
		if !say(line[:len(line)/2]) || !ctxtime.Sleep(ctx, c.pause/4) {
			return false
		}
		line = line[len(line)/2:]
	}
	if !say(line) {
		return false
	}
	c.note(fakeserver.EventRequested, c.patience.String())
	if c.manner == leaves || c.manner == resets {
		ctxtime.Sleep(ctx, c.pause)
		c.leave()
		return false
	}
	return true
}

// leave ends the connection. What the ledger has as the time of it is after the end.
func (c *connection) leave() {
	if t, ok := c.Conn.(*net.TCPConn); ok && c.manner == resets {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
	c.note(fakeserver.EventDisconnected, "")
}

// hearsPong reads the answer to PING, and nothing behind it.
func (c *connection) hearsPong() bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	var buf [len("PONG\r\n")]byte
	_, err := io.ReadFull(c, buf[:])
	return err == nil && string(buf[:]) == "PONG\r\n"
}

// ended reports whether the node has ended a connection that rests.
func (c *connection) ended() bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	var one [1]byte
	_, err := c.Read(one[:])
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// drain reads whatever comes until the connection ends, or for so long.
func (c *connection) drain(within time.Duration) {
	_ = c.SetReadDeadline(time.Now().Add(within))
	_, _ = io.Copy(io.Discard, c)
}

// wait hears the answer and, once it is served, stays and speaks. It reports whether the connection stood and broke.
func (c *connection) wait(ctx context.Context) (stood bool) {
	in := bufio.NewReader(c)
	asked := time.Now()
	_ = c.SetReadDeadline(asked.Add(c.patience + 2*Usual.Late))
	text, err := in.ReadString('\n')
	switch {
	case err == nil:
	case errors.Is(err, os.ErrDeadlineExceeded):
		return false // the judge sees that nothing came
	case c.manner == rests && errors.Is(err, io.EOF) && time.Since(asked) < crossing:
		c.note(fakeserver.EventDisconnected, "the node had ended it") // its FIN was there before the request
		return false
	default:
		c.note(fakeserver.EventReset, err.Error()+text)
		return false
	}
	c.note(fakeserver.EventReceived, strings.TrimRight(text, "\r\n"))
	if !strings.HasPrefix(text, "UP ") {
		return false
	}
	for until := time.Now().Add(c.stay); ctx.Err() == nil && time.Now().Before(until); {
		_ = c.SetDeadline(time.Now().Add(lineEvery))
		_, _ = io.WriteString(c, "M a line\r\n")
		text, err := in.ReadString('\n')
		switch {
		case err == nil && text == "MOVE\r\n":
			c.note(fakeserver.EventMigrated, "")
			return false
		case err == nil:
			ctxtime.Sleep(ctx, lineEvery)
		case !errors.Is(err, os.ErrDeadlineExceeded):
			c.note(fakeserver.EventReset, err.Error()+text)
			return !errors.Is(err, io.EOF)
		}
	}
	c.note(fakeserver.EventDisconnected, "")
	return false
}
