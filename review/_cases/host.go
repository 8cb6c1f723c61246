package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// host is a stand-in for a host: it serves each OPEN at once and sends every later line back.
type host struct {
	id       string
	addr     string
	record   *record
	listener net.Listener

	mu       sync.Mutex
	receipts int
	conns    map[net.Conn]string // by connection, the id of its request
	opened   []opening
	stopped  bool
}

// opening is an OPEN line that reached a host.
type opening struct {
	host, id, line string
	at             time.Time
}

func newHost(id string, rec *record) (*host, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &host{id: id, addr: listener.Addr().String(), record: rec, listener: listener, conns: map[net.Conn]string{}}
	go h.serve()
	return h, nil
}

func (h *host) serve() {
	for {
		conn, err := h.listener.Accept()
		if err != nil {
			return
		}
		go h.handle(conn)
	}
}

func (h *host) handle(conn net.Conn) {
	defer conn.Close()
	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.conns, conn)
	}()
	in := bufio.NewReader(conn)
	line, err := in.ReadString('\n')
	at := time.Now()
	if err != nil {
		return
	}
	words := strings.Fields(line)
	if len(words) < 3 || words[0] != "OPEN" {
		h.record.addAt(at, h.id, "reads %q, answers SYNTAX", line)
		fmt.Fprint(conn, "SYNTAX\r\n")
		return
	}
	h.mu.Lock()
	h.receipts++
	receipt := fmt.Sprintf("%s-%d", h.id, h.receipts)
	h.opened = append(h.opened, opening{h.id, words[1], strings.TrimSpace(line), at})
	h.conns[conn] = words[1]
	h.mu.Unlock()
	h.record.addAt(at, h.id, "reads %s, answers UP %s", strings.TrimSpace(line), receipt)
	fmt.Fprintf(conn, "UP %s\r\n", receipt)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		if _, err := fmt.Fprint(conn, line); err != nil {
			return
		}
	}
}

// openings returns the OPEN lines that the host got so far.
func (h *host) openings() []opening {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]opening(nil), h.opened...)
}

// holds reports whether the host has the connection of a request.
func (h *host) holds(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, other := range h.conns {
		if other == id {
			return true
		}
	}
	return false
}

// stop ends the host as the end of its process does: its connections are closed, new ones are refused.
func (h *host) stop() (cut int) {
	_ = h.listener.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return 0
	}
	h.stopped = true
	h.record.add(h.id, "stops, with %d connections", len(h.conns))
	for conn := range h.conns {
		_ = conn.Close()
	}
	return len(h.conns)
}

// entry returns the host's entry in the list of discovery.
func (h *host) entry(phase string) object {
	return object{"id": h.id, "host_port": h.addr, "locality": "a", "flavor": "m2", "cell": 1, "phase": phase,
		"size": 1.0, "up_since_ms": 0}
}
