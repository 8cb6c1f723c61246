package loadtest

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Each request has exactly one outcome, regardless of how the server behaves.
func TestRun_EachServerBehavior_HasItsOutcome(t *testing.T) {
	write := func(text string) func(string, *net.TCPConn, *bufio.Reader) {
		return func(_ string, c *net.TCPConn, _ *bufio.Reader) { _, _ = io.WriteString(c, text) }
	}
	for name, c := range map[string]struct {
		script func(string, *net.TCPConn, *bufio.Reader)
		want   Outcome
		tries  int64 // attempts per request
	}{
		"no answer":    {func(_ string, _ *net.TCPConn, r *bufio.Reader) { _, _ = r.ReadByte() }, TimedOut, 2},
		"BUSY":         {write("BUSY 30\r\n"), Rejected, 2},
		"ERR":          {write("ERR\r\n"), Failed, 2},
		"invalid line": {write(strings.Repeat("x", 5000) + "\r\n"), Failed, 2},
		"closes":       {write(""), Lost, 2},
		"partial line": {write("UP "), Lost, 2},
		"serves":       {func(_ string, c *net.TCPConn, r *bufio.Reader) { establishAndEcho(c, r) }, Served, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := scenario(t, "[clients]\nretries = 1\nmarks = true\n",
				"rate = 100", "rate = 20",
				`deadline = "2s"`, `deadline = "250ms"`,
				`life = "300ms"`, `life = "10ms"`)
			var marked atomic.Int64
			addr := startServer(t, func(line string, conn *net.TCPConn, r *bufio.Reader) {
				if strings.HasSuffix(line, ",r=1") {
					marked.Add(1)
				}
				if !strings.Contains(line, " c=chat,t=acme,d=250,life=") {
					t.Errorf("opening line %q lacks the class, tenant, deadline or lifetime", line)
				}
				c.script(line, conn, r)
			})
			r := runScenario(t, t.Context(), s, addr, nil).Classes[0]
			if r.Outcomes[c.want.String()] != 20 || r.Attempts[c.want.String()] != 20*c.tries || marked.Load() != 20*(c.tries-1) {
				t.Errorf("outcomes %v, attempts %v, %d of them marked as retries; want 20 requests with this outcome, and all retries marked", r.Outcomes, r.Attempts, marked.Load())
			}
		})
	}
	s := scenario(t, "", "rate = 100", "rate = 20")
	if r := runScenario(t, t.Context(), s, "127.0.0.1:1", nil).Classes[0]; r.Outcomes["unreachable"] != 20 {
		t.Errorf("outcomes %v without a listening server, want 20 unreachable", r.Outcomes)
	}
}

// A client waits at least for Retry-After before a retry. Latency is measured from the intended time of the first
// attempt.
func TestRun_RetryAfter_Honored(t *testing.T) {
	var mu sync.Mutex
	first := map[string]time.Time{}
	addr := startServer(t, func(line string, c *net.TCPConn, r *bufio.Reader) {
		key := strings.Fields(line)[2]
		mu.Lock()
		began, isRetry := first[key]
		first[key] = time.Now()
		mu.Unlock()
		if !isRetry {
			_, _ = io.WriteString(c, "BUSY 200\r\n")
			return
		}
		if d := time.Since(began); d < 200*time.Millisecond {
			t.Errorf("retried after %v, want at least the Retry-After of 200 ms", d)
		}
		establishAndEcho(c, r)
	})
	s := scenario(t, "[clients]\nretries = 1\n", "rate = 100", "rate = 20", `life = "300ms"`, `life = "10ms"`)
	r := runScenario(t, t.Context(), s, addr, nil).Classes[0]
	if r.Outcomes["served"] != 20 || r.Attempts["refused"] != 20 || r.Latency["served"].P50 < 199 || r.Service.P50 > 100 {
		t.Errorf("outcomes %v, attempts %v, latency %g ms, service time of the served attempt %g ms; want 20 served, 20 refused, at least 199 ms and at most 100 ms", r.Outcomes, r.Attempts, r.Latency["served"].P50, r.Service.P50)
	}
}

// The server migrates, closes and breaks connections in turn. Each end is counted under its reason, and the clients of
// migrated and broken connections reconnect.
func TestRun_ConnectionsEnd_CountedByReason(t *testing.T) {
	var n, reconnects atomic.Int64
	addr := startServer(t, func(line string, c *net.TCPConn, r *bufio.Reader) {
		if strings.Contains(line, ",again=1") {
			reconnects.Add(1)
			_, _ = io.WriteString(c, "UP x\r\nBYE\r\n")
			return
		}
		_, _ = io.WriteString(c, "UP x\r\n"+[]string{"BYE\r\n", "MOVE\r\n", "half a line"}[n.Add(1)%3])
	})
	s := scenario(t, "[clients]\ncome_back = [\"1ms\", \"5ms\"]\n[limits]\nlinger = \"5s\"\n", "rate = 100", "rate = 30")
	r := runScenario(t, t.Context(), s, addr, nil).Classes[0]
	if r.Migrated != 10 || r.Broken != 10 || r.Completed != 30 || r.Reconnects != 20 || reconnects.Load() != 20 || r.Reconnect.Count != 20 {
		t.Errorf("%d migrated, %d broken, %d completed, %d reconnects of which %d were served; want 10, 10, 30, 20 and 20", r.Migrated, r.Broken, r.Completed, r.Reconnects, r.Reconnect.Count)
	}
}

// With mid_flow, a client whose connection breaks first sends a mid-flow request under the same id. If this is answered, the
// client does not reconnect.
func TestRun_MidFlow_ResumesBrokenConnection(t *testing.T) {
	var mu sync.Mutex
	ids := map[string]int{}
	addr := startServer(t, func(line string, c *net.TCPConn, r *bufio.Reader) {
		id := strings.Fields(line)[1]
		mu.Lock()
		ids[id]++
		seen := ids[id]
		mu.Unlock()
		switch {
		case strings.Contains(line, ",mid=1"):
			if seen != 2 {
				t.Errorf("mid-flow request with a new id: %q, want the id of the broken connection", line)
			}
			_, _ = io.WriteString(c, "UP x\r\nBYE\r\n")
		default:
			_, _ = io.WriteString(c, "UP x\r\n") // the connection then breaks
		}
	})
	s := scenario(t, "[clients]\nmid_flow = true\n[limits]\nlinger = \"5s\"\n", "rate = 100", "rate = 20")
	if r := runScenario(t, t.Context(), s, addr, nil).Classes[0]; r.Broken != 20 || r.Completed != 20 || r.Reconnects != 0 {
		t.Errorf("%d broken, %d completed, %d reconnects; want 20, 20 and 0", r.Broken, r.Completed, r.Reconnects)
	}
}

// A surge drops its share of the established connections, and their clients reconnect.
func TestRun_ReconnectSurge_DropsShareAndReconnects(t *testing.T) {
	var reconnects atomic.Int64
	addr := startServer(t, func(line string, c *net.TCPConn, r *bufio.Reader) {
		if strings.Contains(line, ",again=1") {
			reconnects.Add(1)
		}
		establishAndEcho(c, r)
	})
	s := scenario(t, "[[wave]]\nat = \"900ms\"\nshare = 0.5\nwithin = \"200ms\"\n[limits]\nlinger = \"1s\"\n",
		"rate = 100", "rate = 200",
		`life = "300ms"`, "life = \"1h\"\nspread = \"fixed\"",
		`for = "1s"`, `for = "500ms"`)
	r := runScenario(t, t.Context(), s, addr, nil).Classes[0]
	want := int64(0)
	for n := range int64(100) {
		if drops, _ := s.DropsInSurge(0, n); drops {
			want++
		}
	}
	if r.Dropped != want || r.Reconnects != want || reconnects.Load() != want || r.Aborted != 100 {
		t.Errorf("%d dropped and %d reconnects, want %d of each; %d aborted, want 100", r.Dropped, r.Reconnects, want, r.Aborted)
	}
}

// The latency of a line is measured from its intended time, even if the server echoes more slowly than lines are sent.
func TestRun_SlowEcho_LinesTimedFromIntendedTime(t *testing.T) {
	addr := startServer(t, func(_ string, c *net.TCPConn, r *bufio.Reader) {
		_, _ = io.WriteString(c, "UP x\r\n")
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			time.Sleep(100 * time.Millisecond) // longer than the interval between lines, so that they queue up
			_, _ = io.WriteString(c, line)
		}
	})
	s := scenario(t, "", "rate = 100", "rate = 5", `life = "300ms"`, "life = \"1s\"\nspread = \"fixed\"\nmessage = \"50ms\"")
	s.Limits.Linger = 1500e6
	r := runScenario(t, t.Context(), s, addr, nil).Classes[0]
	if r.LinesSent < 5*19 || r.LinesAnswered < 30 || r.Message.Max < 400 {
		t.Errorf("%d lines sent, %d answered, the slowest after %g ms; want at least 95, 30 and 400 ms, because lines queue for about 500 ms", r.LinesSent, r.LinesAnswered, r.Message.Max)
	}
}
