package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"syscall"
	"time"
)

// client is one connection of a client to a node.
type client struct {
	id     string
	node   *node
	sentAt time.Time

	answer     string // the first line, without its end; "" if there was none
	answeredAt time.Time
	receipt    string
	moved      bool   // the node sent MOVE
	left       bool   // the client ended the connection itself
	end        string // how the connection ended, where the client did not end it
	endedAt    time.Time
}

// newID returns a new id of a request.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// run opens a connection with the fields at the end of the OPEN line, sends a line every interval while it is up, and
// leaves after life.
func (c *client) run(rec *record, fields string, life, interval time.Duration) {
	conn, err := net.DialTimeout("tcp", c.node.addr, time.Second)
	if err != nil {
		c.end, c.endedAt = "not connected: "+errorName(err), time.Now()
		return
	}
	defer conn.Close()
	line := fmt.Sprintf("OPEN %s %016x %s", c.id, rand.Uint64(), fields)
	c.sentAt = time.Now()
	rec.addAt(c.sentAt, "client", "sends to %s: %s", c.node.name, line)
	if _, err := fmt.Fprint(conn, line, "\r\n"); err != nil {
		c.end, c.endedAt = "not written: "+errorName(err), time.Now()
		return
	}
	in := bufio.NewReader(conn)
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	text, err := in.ReadString('\n')
	if err != nil {
		c.end, c.endedAt = "no answer: "+errorName(err), time.Now()
		rec.addAt(c.endedAt, "client", "%s: %s", c.id, c.end)
		return
	}
	c.answer, c.answeredAt = strings.TrimSpace(text), time.Now()
	rec.addAt(c.answeredAt, "client", "%s: answer %s", c.id, c.answer)
	var up bool
	if c.receipt, up = strings.CutPrefix(c.answer, "UP "); !up {
		return
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.read(conn, in)
	}()
	leave := time.After(life)
	for n := 0; ; n++ {
		select {
		case <-ended:
			rec.addAt(c.endedAt, "client", "%s: moved %v, connection ended: %s", c.id, c.moved, c.end)
			return
		case <-leave:
			_ = conn.SetReadDeadline(time.Unix(1, 0))
			<-ended
			if c.end != "" && !c.left {
				rec.addAt(c.endedAt, "client", "%s: moved %v, connection ended: %s", c.id, c.moved, c.end)
			}
			return
		case <-time.After(interval):
			_, _ = fmt.Fprintf(conn, "line %d\r\n", n)
		}
	}
}

// read reads lines until the connection ends or its deadline has passed.
func (c *client) read(conn net.Conn, in *bufio.Reader) {
	_ = conn.SetReadDeadline(time.Time{})
	for {
		line, err := in.ReadString('\n')
		if strings.TrimSpace(line) == "MOVE" {
			c.moved = true
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.left = true
			return
		}
		if err != nil {
			c.end, c.endedAt = errorName(err), time.Now()
			return
		}
	}
}

func errorName(err error) string {
	switch {
	case errors.Is(err, io.EOF):
		return "closed"
	case errors.Is(err, syscall.ECONNRESET):
		return "reset"
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	}
	return err.Error()
}
