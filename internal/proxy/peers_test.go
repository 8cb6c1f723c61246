package proxy

// Peers that the tests of crossing events hold, and what is asked of their sockets.

import (
	"bufio"
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"onyxstream/internal/netio/netiotest"
	"onyxstream/internal/settings"
)

// counted is a host that counts what comes to it.
type counted struct {
	addr         string
	lines, ended atomic.Int64

	mu   sync.Mutex
	from []string // who has connected, in turn
}

// counting is a host that says what reply gives for a line, "" for nothing.
func counting(t *testing.T, reply string) *counted {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	h := &counted{addr: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			h.mu.Lock()
			h.from = append(h.from, c.RemoteAddr().String())
			h.mu.Unlock()
			go func() {
				defer c.Close()
				defer h.ended.Add(1)
				in := bufio.NewReader(c)
				if _, err := in.ReadString('\n'); err != nil {
					return
				}
				h.lines.Add(1)
				_, _ = io.WriteString(c, reply)
				_, _ = io.Copy(io.Discard, in)
			}()
		}
	}()
	return h
}

// dialled tells how many connections have come. They are accepted in turn: one of the test's own is the last.
func (h *counted) dialled(t *testing.T) (before int) {
	t.Helper()
	c, err := net.Dial("tcp", h.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	netiotest.Eventually(t, "the last one is accepted", func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		before = slices.Index(h.from, c.LocalAddr().String())
		return before >= 0
	})
	return before
}

// patient are settings under which an attempt lasts for as long as the test.
func patient(s *settings.Settings) {
	s.Classes[0].SetupLatencyObjective, s.Classes[0].Deadline = 9*time.Minute, 9*time.Minute
}

// only is the one client's connection of a driver.
func (r *rig) only(t *testing.T) (c *conn) {
	t.Helper()
	netiotest.Eventually(t, "the client is accepted", func() bool {
		r.d.mu.Lock()
		defer r.d.mu.Unlock()
		for c = range r.d.conns {
		}
		return c != nil
	})
	return c
}

// quiet waits until no client is left.
func (r *rig) quiet(t *testing.T) {
	t.Helper()
	netiotest.Eventually(t, "no client is left", func() bool { return len(r.d.unfinished(false)) == 0 && r.n.InFlightRequests() == 0 })
}

// pair is a connection and its other side.
func pair(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	l, err := Listen(context.Background(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return netiotest.Connect(t, l)
}

// closeWait is the state, by the system's figures, of a connection whose other side has ended by FIN.
const closeWait = 8

func tcpState(t *testing.T, c *net.TCPConn) uint8 {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var info *unix.TCPInfo
	_ = raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil {
		t.Fatal(err)
	}
	return info.State
}
