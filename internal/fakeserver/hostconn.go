package fakeserver

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"onyxstream/internal/wire"
)

// hostConnection is one connection at a host: a goroutine that reads and one that writes.
type hostConnection struct {
	host      *Host
	tcp       *net.TCPConn
	outgoing  chan outgoingLine
	closed    chan struct{} // closed once nothing more is written
	closeOnce sync.Once
	replied   chan struct{} // closed once the first answer is written: what the other side said early is answered after it
	session   *session      // the loop's own
}

type outgoingLine struct {
	text string
	last bool
}

// maxOutgoing is how much the loop may have to say to a connection that does not take it. One that is full is broken:
// the loop must not wait for a node that does not read.
const maxOutgoing = 64

// accept serves a listener until it is closed.
func (h *Host) accept(l net.Listener) {
	h.wg.Go(func() {
		for {
			c, err := l.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			} else if err != nil { // descriptors used up: those who wait are served later
				time.Sleep(5 * time.Millisecond)
				continue
			}
			k := &hostConnection{host: h, tcp: c.(*net.TCPConn), outgoing: make(chan outgoingLine, maxOutgoing),
				closed: make(chan struct{}), replied: make(chan struct{})}
			h.wg.Go(k.read)
			h.wg.Go(k.write)
		}
	})
}

// send has a line written; the loop calls it and does not wait.
func (c *hostConnection) send(text string, last bool) {
	select {
	case c.outgoing <- outgoingLine{text, last}:
	default:
		c.reset()
	}
}

// sendReport has a line written where there is room for it: a report that is lost is followed by another.
func (c *hostConnection) sendReport(text string) {
	if len(c.outgoing) < maxOutgoing/2 {
		c.send(text, false)
	}
}

// reset resets the connection.
func (c *hostConnection) reset() {
	_ = c.tcp.SetLinger(0)
	c.close()
}

func (c *hostConnection) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.tcp.Close()
	})
}

func (c *hostConnection) write() {
	for first := true; ; first = false {
		select {
		case <-c.closed:
			return
		case s := <-c.outgoing:
			if !c.host.awaitResume(c.closed) {
				return
			}
			_, err := io.WriteString(c.tcp, s.text)
			if first {
				close(c.replied)
			}
			if s.last || err != nil {
				c.close()
				return
			}
		}
	}
}

// awaitResume waits while the host hangs; false where the connection ends before.
func (h *Host) awaitResume(over <-chan struct{}) bool {
	for {
		gate := h.hangGate.Load()
		if gate == nil {
			return true
		}
		select {
		case <-*gate:
		case <-over:
			return false
		case <-h.quit:
			return false
		}
	}
}

func (c *hostConnection) read() {
	known := false
	c.host.call(func() {
		if known = !c.host.crashed; known {
			c.host.connections[c] = true
		}
	})
	if !known {
		c.reset()
		return
	}
	err := c.serve()
	broken := errors.Is(err, syscall.ECONNRESET)
	c.host.call(func() { c.host.disconnected(c, broken) })
	c.close()
}

// maxLineBytes is how much of a line is read: the protocol's limit and its end.
const maxLineBytes = wire.MaxLine + 2

func (c *hostConnection) serve() error {
	r := bufio.NewReaderSize(c.tcp, 512)
	for {
		line, err := readLine(r)
		if err != nil {
			return err
		}
		if !c.host.awaitResume(c.closed) {
			return net.ErrClosed
		}
		text := strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r")
		switch text {
		case "PING", "STATS":
			if err := c.answerHealthCheck(text); err != nil {
				return err
			}
			continue
		}
		_, o, err := wire.ParseOpening([]byte(text))
		if err != nil {
			c.host.call(func() { c.host.record(EventFailed, wire.Opening{}, fmt.Sprintf("SYNTAX: %v: %.60q", err, text)) })
			_, _ = io.WriteString(c.tcp, "SYNTAX\r\n")
			return nil
		}
		c.host.call(func() { c.host.open(c, o) })
		return c.echoLines(r)
	}
}

func (c *hostConnection) answerHealthCheck(word string) error {
	h := c.host
	h.record(EventHealthCheck, wire.Opening{}, word)
	h.sleepLineLatency()
	reply := "PONG"
	if word == "STATS" {
		reply = "NO"
		if h.config.AnswersStats {
			reply = fmt.Sprintf("PONG x0=%.3f", float64(h.utilization.Load())/1e6)
		}
	}
	_, err := io.WriteString(c.tcp, reply+"\r\n")
	return err
}

// sleepLineLatency is the time that a line takes now.
func (h *Host) sleepLineLatency() {
	if d := time.Duration(h.lineLatency.Load()); d > 0 {
		time.Sleep(d)
	}
}

// echoLines answers lines by themselves.
func (c *hostConnection) echoLines(r *bufio.Reader) error {
	for {
		line, err := readLine(r)
		if err != nil {
			return err
		}
		select {
		case <-c.replied:
		case <-c.closed:
			return net.ErrClosed
		}
		if !c.host.awaitResume(c.closed) {
			return net.ErrClosed
		}
		if order, ok := strings.CutPrefix(strings.TrimSpace(line), "DO "); ok && c.host.config.ObeysTestCommands {
			if over, err := c.runTestCommand(order); over || err != nil {
				return err
			}
			continue
		}
		c.host.sleepLineLatency()
		if _, err := io.WriteString(c.tcp, line); err != nil {
			return err
		}
	}
}

// readLine reads one line with its end, within the protocol's limit.
func readLine(r *bufio.Reader) (string, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		switch {
		case err == nil:
			return string(line), nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return "", err
		case len(line) > maxLineBytes:
			return "", wire.ErrTooLong
		}
	}
}

// FloodLines is how many lines a connection told to flood writes: more than the sockets on the way hold.
const FloodLines = 20000

// FloodLine is the i-th of them.
func FloodLine(i int) string { return fmt.Sprintf("F %d %s\r\n", i, strings.Repeat("x", i%1500)) }

// runTestCommand does what a test's line says; over ends the connection.
func (c *hostConnection) runTestCommand(order string) (over bool, err error) {
	switch order {
	case "bye":
		_, err = io.WriteString(c.tcp, "BYE\r\n")
		return true, err
	case "move":
		_, err = io.WriteString(c.tcp, "MOVE\r\n")
		return true, err
	case "reset":
		c.reset()
		return true, nil
	case "flood":
		w := bufio.NewWriter(c.tcp)
		for i := range FloodLines {
			_, _ = w.WriteString(FloodLine(i))
		}
		err = w.Flush()
	case "half":
		_, err = io.WriteString(c.tcp, "half a line")
	}
	return false, err
}
