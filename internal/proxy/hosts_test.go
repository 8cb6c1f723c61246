package proxy

import (
	"bufio"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	"onyxstream/internal/netio/netiotest"
)

// respondingHost starts a host that responds to an opening line with text. It returns the host's address.
func respondingHost(t *testing.T, text string) string {
	return netiotest.Serve(t, func(c *net.TCPConn) {
		if _, err := bufio.NewReader(c).ReadString('\n'); err == nil {
			_, _ = io.WriteString(c, text)
			_, _ = io.Copy(io.Discard, c)
		}
	})
}

// echoHost starts a host that establishes every connection and echoes each line. It also writes each text that it
// receives on texts to the client at once. It returns the host's address.
func echoHost(t *testing.T, texts chan string) string {
	return netiotest.Serve(t, func(c *net.TCPConn) {
		in := bufio.NewReader(c)
		if _, err := in.ReadString('\n'); err != nil {
			return
		}
		_, _ = io.WriteString(c, "UP r\r\nLOAD 3\r\n")
		go func() {
			for text := range texts {
				_, _ = io.WriteString(c, text)
			}
		}()
		for {
			line, err := in.ReadString('\n')
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, line)
		}
	})
}

// countingHost is a host that counts connections and opening lines.
type countingHost struct {
	addr          string
	lines, closed atomic.Int64 // opening lines that were read, and connections that have ended

	mu    sync.Mutex
	peers []string // remote addresses of the accepted connections, in order
}

// startCountingHost starts a host that responds to an opening line with response.
func startCountingHost(t *testing.T, response string) *countingHost {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	h := &countingHost{addr: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			h.mu.Lock()
			h.peers = append(h.peers, c.RemoteAddr().String())
			h.mu.Unlock()
			go func() {
				defer c.Close()
				defer h.closed.Add(1)
				in := bufio.NewReader(c)
				if _, err := in.ReadString('\n'); err != nil {
					return
				}
				h.lines.Add(1)
				_, _ = io.WriteString(c, response)
				_, _ = io.Copy(io.Discard, in)
			}()
		}
	}()
	return h
}

// connections returns how many connections the host has accepted. The host accepts in order, so connections opens one
// more and counts those before it.
func (h *countingHost) connections(t *testing.T) (before int) {
	t.Helper()
	c, err := net.Dial("tcp", h.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	netiotest.Eventually(t, "the last connection is accepted", func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		before = slices.Index(h.peers, c.LocalAddr().String())
		return before >= 0
	})
	return before
}
