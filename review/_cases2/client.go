package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// client is a stand-in for a client: it opens one connection through the node and sends a line every 2 s.
type client struct {
	id, line string
	rec      *record
	conn     net.Conn
	in       *bufio.Reader
	answer   string // the first line, without its end; "" if there was none

	mu      sync.Mutex
	moved   time.Time // when MOVE came
	ended   time.Time // when the connection ended
	endedBy error
	left    bool // the client itself closed
}

// openLine returns an opening line of class chat.
func openLine(id, key string) string {
	return fmt.Sprintf("OPEN %s %s c=chat,t=acme,d=3000", id, key)
}

// open sends an opening line to the node and waits for the answer.
func open(addr, id, line string, rec *record) *client {
	c := &client{id: id, line: line, rec: rec}
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		c.endedBy, c.ended = err, time.Now()
		return c
	}
	c.conn, c.in = conn, bufio.NewReader(conn)
	fmt.Fprintf(conn, "%s\r\n", line)
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	answer, err := c.in.ReadString('\n')
	_ = conn.SetReadDeadline(time.Time{})
	c.answer = strings.TrimSpace(answer)
	if err != nil {
		c.endedBy, c.ended = err, time.Now()
	}
	if !c.up() {
		_ = conn.Close()
	}
	return c
}

func (c *client) up() bool { return strings.HasPrefix(c.answer, "UP ") }

// stay keeps the connection: a line every 2 s, until the connection ends or the time is over, if it is above 0.
func (c *client) stay(life time.Duration) {
	if !c.up() {
		return
	}
	stop := make(chan struct{})
	go func() {
		tick := time.NewTicker(2 * time.Second)
		defer tick.Stop()
		for n := 0; ; n++ {
			fmt.Fprintf(c.conn, "line %d\r\n", n)
			select {
			case <-stop:
				return
			case <-tick.C:
			}
		}
	}()
	if life > 0 {
		time.AfterFunc(life, c.leave)
	}
	go func() {
		defer close(stop)
		defer c.conn.Close()
		for {
			line, err := c.in.ReadString('\n')
			c.mu.Lock()
			if strings.TrimSpace(line) == "MOVE" && c.moved.IsZero() {
				c.moved = time.Now()
			}
			if err != nil {
				c.ended, c.endedBy = time.Now(), err
			}
			left, moved := c.left, !c.moved.IsZero()
			c.mu.Unlock()
			if err == nil {
				continue
			}
			if !left {
				c.rec.add("client %s: connection ended (%s), MOVE before it: %v", c.id, endText(err), moved)
			}
			return
		}
	}()
}

func endText(err error) string {
	if err == io.EOF {
		return "closed"
	}
	if strings.Contains(err.Error(), "reset") {
		return "reset"
	}
	return err.Error()
}

// leave closes the connection.
func (c *client) leave() {
	c.mu.Lock()
	c.left = true
	c.mu.Unlock()
	if c.conn != nil {
		_ = c.conn.Close()
	}
}

// state returns when MOVE came and when the connection ended, zero for not yet, and whether the client left by itself.
func (c *client) state() (moved, ended time.Time, left bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.moved, c.ended, c.left
}

// traffic opens a connection every interval, each for a few seconds and with a key of its own, until stop is closed.
func traffic(addr string, rec *record, prefix string, interval, life time.Duration, stop chan struct{}) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		go func() {
			id := fmt.Sprintf("%s%05d", prefix, n)
			c := open(addr, id, openLine(id, fmt.Sprintf("key-%d", n*7919)), rec)
			rec.add("client %s is answered %q", id, c.answer)
			c.stay(life)
		}()
	}
}
