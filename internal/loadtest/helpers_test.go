package loadtest

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// startServer starts a server that calls script for each connection with its opening line. It returns the server's address.
func startServer(t *testing.T, script func(line string, c *net.TCPConn, r *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	// conns are the open connections, which the cleanup closes. A dial that is canceled as it completes can leave a
	// connection whose end only keep-alive would detect.
	conns := map[net.Conn]bool{}
	t.Cleanup(func() {
		_ = l.Close()
		mu.Lock()
		for c := range conns {
			_ = c.Close()
		}
		mu.Unlock()
		wg.Wait()
	})
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns[c] = true
			mu.Unlock()
			wg.Go(func() {
				defer func() {
					mu.Lock()
					delete(conns, c)
					mu.Unlock()
					_ = c.Close()
				}()
				r := bufio.NewReader(c)
				if line, err := r.ReadString('\n'); err == nil {
					script(strings.TrimSpace(line), c.(*net.TCPConn), r)
				}
			})
		}
	})
	return l.Addr().String()
}

// establishAndEcho answers UP and echoes all lines of the client.
func establishAndEcho(c *net.TCPConn, r *bufio.Reader) {
	_, _ = io.WriteString(c, "UP x\r\n")
	_, _ = io.Copy(c, r)
}

// runScenario runs a scenario against an address and checks that the counters are consistent. change modifies the
// configuration first; it may be nil.
func runScenario(t *testing.T, ctx context.Context, s *Scenario, addr string, change func(*Config)) *Result {
	t.Helper()
	cfg := Config{Scenario: s, Source: NewSchedule(s), Length: s.Length(), Address: roundRobin([]string{addr})}
	if change != nil {
		change(&cfg)
	}
	r, err := Run(ctx, cfg)
	if err != nil {
		t.Fatal(err)
	}
	for i := range r.Classes {
		c := &r.Classes[i]
		total := int64(0)
		for _, n := range c.Outcomes {
			total += n
		}
		if total != c.Requests {
			t.Errorf("%d requests, but %d outcomes: %v", c.Requests, total, c.Outcomes)
		}
		if ends := c.Completed + c.Migrated + c.Broken + c.Dropped + c.Aborted; ends < c.Outcomes["served"] {
			t.Errorf("%d requests served, but only %d connection ends", c.Outcomes["served"], ends)
		}
	}
	return r
}

// slowShare returns the share of the served requests with a latency above d.
func slowShare(t *testing.T, r *Result, d time.Duration) float64 {
	t.Helper()
	s := r.Classes[0].Latency["served"]
	h, err := s.Histogram()
	if err != nil {
		t.Fatal(err)
	}
	n := int64(0)
	for _, b := range h.Distribution() {
		if b.From > d.Microseconds() {
			n += b.Count
		}
	}
	return float64(n) / float64(h.TotalCount())
}

// eventually waits for a condition. Its timeout is long enough for a busy machine.
func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	for begin := time.Now(); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Since(begin) > 20*time.Second {
			t.Fatalf("timed out after 20 s waiting until %s", what)
		}
	}
}
