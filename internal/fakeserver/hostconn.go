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

// hostConn is one connection at a host: a goroutine that reads and one that writes.
type hostConn struct {
	h    *Host
	c    *net.TCPConn
	out  chan said
	over chan struct{} // closed once nothing more is written
	once sync.Once
	said chan struct{} // closed once the first answer is written: what the other side said early is answered after it
	s    *session      // the loop's own
}

type said struct {
	text string
	last bool
}

// mostUnsaid is how much the loop may have to say to a connection that does not take it. One that is full is broken:
// the loop must not wait for a node that does not read.
const mostUnsaid = 64

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
			k := &hostConn{h: h, c: c.(*net.TCPConn), out: make(chan said, mostUnsaid),
				over: make(chan struct{}), said: make(chan struct{})}
			h.wg.Go(k.read)
			h.wg.Go(k.write)
		}
	})
}

// tell has a line written; the loop calls it and does not wait.
func (c *hostConn) tell(text string, last bool) {
	select {
	case c.out <- said{text, last}:
	default:
		c.breakOff()
	}
}

// mention has a line written where there is room for it: a report that is lost is followed by another.
func (c *hostConn) mention(text string) {
	if len(c.out) < mostUnsaid/2 {
		c.tell(text, false)
	}
}

// breakOff resets the connection.
func (c *hostConn) breakOff() {
	_ = c.c.SetLinger(0)
	c.close()
}

func (c *hostConn) close() {
	c.once.Do(func() {
		close(c.over)
		_ = c.c.Close()
	})
}

func (c *hostConn) write() {
	for first := true; ; first = false {
		select {
		case <-c.over:
			return
		case s := <-c.out:
			if !c.h.goesOn(c.over) {
				return
			}
			_, err := io.WriteString(c.c, s.text)
			if first {
				close(c.said)
			}
			if s.last || err != nil {
				c.close()
				return
			}
		}
	}
}

// goesOn waits while the host hangs; false where the connection ends before.
func (h *Host) goesOn(over <-chan struct{}) bool {
	for {
		gate := h.gate.Load()
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

func (c *hostConn) read() {
	known := false
	c.h.ask(func() {
		if known = !c.h.dead; known {
			c.h.conns[c] = true
		}
	})
	if !known {
		c.breakOff()
		return
	}
	err := c.serve()
	broken := errors.Is(err, syscall.ECONNRESET)
	c.h.ask(func() { c.h.left(c, broken) })
	c.close()
}

// mostUnread is how much of a line is read: the protocol's limit and its end.
const mostUnread = wire.MaxLine + 2

func (c *hostConn) serve() error {
	r := bufio.NewReaderSize(c.c, 512)
	for {
		line, err := readLine(r)
		if err != nil {
			return err
		}
		if !c.h.goesOn(c.over) {
			return net.ErrClosed
		}
		text := strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r")
		switch text {
		case "PING", "STATS":
			if err := c.probed(text); err != nil {
				return err
			}
			continue
		}
		_, o, err := wire.ParseOpening([]byte(text))
		if err != nil {
			c.h.ask(func() { c.h.note(Failed, wire.Opening{}, fmt.Sprintf("SYNTAX: %v: %.60q", err, text)) })
			_, _ = io.WriteString(c.c, "SYNTAX\r\n")
			return nil
		}
		c.h.ask(func() { c.h.begin(c, o) })
		return c.talk(r)
	}
}

func (c *hostConn) probed(word string) error {
	h := c.h
	h.note(Probed, wire.Opening{}, word)
	h.pause()
	reply := "PONG"
	if word == "STATS" {
		reply = "NO"
		if h.cfg.Reports {
			reply = fmt.Sprintf("PONG x0=%.3f", float64(h.excess.Load())/1e6)
		}
	}
	_, err := io.WriteString(c.c, reply+"\r\n")
	return err
}

// pause is the time that a line takes now.
func (h *Host) pause() {
	if d := time.Duration(h.line.Load()); d > 0 {
		time.Sleep(d)
	}
}

// talk answers lines by themselves.
func (c *hostConn) talk(r *bufio.Reader) error {
	for {
		line, err := readLine(r)
		if err != nil {
			return err
		}
		select {
		case <-c.said:
		case <-c.over:
			return net.ErrClosed
		}
		if !c.h.goesOn(c.over) {
			return net.ErrClosed
		}
		if order, ok := strings.CutPrefix(strings.TrimSpace(line), "DO "); ok && c.h.cfg.Obeys {
			if over, err := c.obey(order); over || err != nil {
				return err
			}
			continue
		}
		c.h.pause()
		if _, err := io.WriteString(c.c, line); err != nil {
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
		case len(line) > mostUnread:
			return "", wire.ErrTooLong
		}
	}
}

// FloodLines is how many lines a connection told to flood writes: more than the sockets on the way hold.
const FloodLines = 20000

// FloodLine is the i-th of them.
func FloodLine(i int) string { return fmt.Sprintf("F %d %s\r\n", i, strings.Repeat("x", i%1500)) }

// obey does what a test's line says; over ends the connection.
func (c *hostConn) obey(order string) (over bool, err error) {
	switch order {
	case "bye":
		_, err = io.WriteString(c.c, "BYE\r\n")
		return true, err
	case "move":
		_, err = io.WriteString(c.c, "MOVE\r\n")
		return true, err
	case "reset":
		c.breakOff()
		return true, nil
	case "flood":
		w := bufio.NewWriter(c.c)
		for i := range FloodLines {
			_, _ = w.WriteString(FloodLine(i))
		}
		err = w.Flush()
	case "half":
		_, err = io.WriteString(c.c, "half a line")
	}
	return false, err
}
