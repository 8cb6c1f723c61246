package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// host is a stand-in for a server: it brings each connection up, and answers each line at once with one line. It turns
// away a request whose id is that of a connection that it holds and, while it drains, each new request.
type host struct {
	id       string
	rec      *record
	listener net.Listener

	mu       sync.Mutex
	draining bool
	setup    time.Duration   // from an opening line to its UP
	hangsTo  time.Time       // until then the host reads and answers nothing
	open     map[string]bool // ids of open connections
	received []opening       // all opening lines, in order
}

// opening is an opening line that a host received.
type opening struct {
	host, id string
	at       time.Time
}

func startHost(id string, rec *record) (*host, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &host{id: id, rec: rec, listener: listener, open: map[string]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go h.serve(conn)
		}
	}()
	return h, nil
}

func (h *host) addr() string { return h.listener.Addr().String() }

func (h *host) drain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = true
}

// openings returns the opening lines that arrived after a time.
func (h *host) openings(after time.Time) (late []opening) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, o := range h.received {
		if o.at.After(after) {
			late = append(late, o)
		}
	}
	return late
}

// hang makes the host read and answer nothing for some time.
func (h *host) hang(span time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hangsTo = time.Now().Add(span)
	h.rec.add("host %s hangs for %s", h.id, span)
}

// awaitHangEnd waits while the host hangs.
func (h *host) awaitHangEnd() {
	h.mu.Lock()
	until := h.hangsTo
	h.mu.Unlock()
	time.Sleep(time.Until(until))
}

// setUpIn sets how long the host takes from an opening line to its UP.
func (h *host) setUpIn(span time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.setup = span
	h.rec.add("host %s takes %s to bring a connection up", h.id, span)
}

func (h *host) awaitSetup() {
	h.mu.Lock()
	span := h.setup
	h.mu.Unlock()
	time.Sleep(span)
}

func (h *host) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	line, err := in.ReadString('\n')
	if err != nil {
		return
	}
	words := strings.Fields(line)
	if len(words) < 3 || words[0] != "OPEN" {
		h.rec.add("host %s answers NO to %q", h.id, strings.TrimSpace(line))
		fmt.Fprint(conn, "NO\r\n")
		return
	}
	id := words[1]
	h.mu.Lock()
	h.received = append(h.received, opening{h.id, id, time.Now()})
	refused := h.draining || h.open[id]
	if !refused {
		h.open[id] = true
	}
	h.mu.Unlock()
	if refused {
		h.rec.add("host %s gets OPEN %s, answers BUSY", h.id, id)
		fmt.Fprint(conn, "BUSY\r\n")
		return
	}
	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.open, id)
	}()
	h.awaitHangEnd()
	h.awaitSetup()
	h.rec.add("host %s gets OPEN %s, answers UP", h.id, id)
	fmt.Fprintf(conn, "UP %s-%s\r\n", h.id, id)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			h.rec.add("host %s: connection %s ended: %v", h.id, id, err)
			return
		}
		h.awaitHangEnd()
		fmt.Fprintf(conn, "OK %s", line)
	}
}
