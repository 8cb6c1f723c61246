package loadtest

import (
	"bufio"
	"context"
	"hash/fnv"
	"io"
	"math"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// The server stalls for 2 s of a run of 4 s, which affects half of the requests of an open loop. A closed loop sends few
// requests during the stall and hides the stall by coordinated omission.
func TestRun_ServerStalls_OnlyOpenLoopSeesIt(t *testing.T) {
	measure := func(loop string) *Result {
		var stall sync.RWMutex
		addr := startServer(t, func(_ string, c *net.TCPConn, r *bufio.Reader) {
			stall.RLock() // waits for the stall to end
			defer stall.RUnlock()
			_, _ = io.WriteString(c, "UP x\r\nBYE\r\n")
		})
		s := scenario(t, "",
			`for = "1s"`, `for = "4s"`,
			`life = "300ms"`, "life = \"20ms\"\nspread = \"fixed\"",
			`deadline = "2s"`, `deadline = "5s"`,
			`"even"`, "\"even\"\nworkers = 4\nloop = \""+loop+"\"")
		return runScenario(t, t.Context(), s, addr, func(c *Config) {
			c.OnStart = func() {
				time.AfterFunc(time.Second, func() {
					stall.Lock()
					time.AfterFunc(2*time.Second, stall.Unlock)
				})
			}
		})
	}
	open, closed := measure("open"), measure("closed")
	if n := open.Classes[0].Requests; n != 400 {
		t.Errorf("the open loop sent %d requests, want 400", n)
	}
	if share := slowShare(t, open, 100*time.Millisecond); share < 0.4 {
		t.Errorf("the open loop shows the stall for a share of %g of the requests, want about 0.5", share)
	}
	if share := slowShare(t, closed, 100*time.Millisecond); share > 0.1 {
		t.Errorf("the closed loop shows the stall for a share of %g of the requests, want it hidden", share)
	}
	// The open loop's latencies include the stall. The service time, which is measured for the served attempt alone, is
	// correct too, and is the figure that a closed loop would report.
	if open.Classes[0].Latency["served"].Max < 1500 {
		t.Errorf("the slowest request of the open loop took %g ms, want at least 1500 ms", open.Classes[0].Latency["served"].Max)
	}
}

// The reported percentiles lie within the bounds that the server observes. This holds regardless of the delays that a
// busy machine adds to the known ones.
func TestRun_KnownDelays_ReportsTheirPercentiles(t *testing.T) {
	unit := func(line string) float64 { // maps the key to a number that is uniform in [0, 1)
		h := fnv.New64a()
		_, _ = io.WriteString(h, strings.Fields(line)[2])
		return float64(h.Sum64()*0x9e3779b97f4a7c15>>11) / (1 << 53)
	}
	for name, delay := range map[string]func(u float64) time.Duration{
		"constant":  func(float64) time.Duration { return 800 * time.Millisecond },
		"two peaks": func(u float64) time.Duration { return 500*time.Millisecond + time.Duration(u+0.3)*time.Second },
		"long tail": func(u float64) time.Duration {
			return time.Duration(500*math.Pow(1-u, -0.4)) * time.Millisecond
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			bounds := &latencyBounds{intendedByKey: map[string]time.Duration{}}
			var want []time.Duration
			addr := startServer(t, func(line string, c *net.TCPConn, r *bufio.Reader) {
				d := min(delay(unit(line)), 4*time.Second)
				bounds.mu.Lock()
				want = append(want, d)
				bounds.mu.Unlock()
				time.Sleep(d)
				bounds.add(&bounds.lower, line)
				_, _ = io.WriteString(c, "UP x\r\nBYE\r\n")
				_, _ = io.Copy(io.Discard, r)
				bounds.add(&bounds.upper, line)
			})
			s := scenario(t, "",
				"rate = 100", "rate = 50",
				`for = "1s"`, `for = "4s"`,
				`deadline = "2s"`, `deadline = "30s"`,
				`life = "300ms"`, `life = "10ms"`)
			r := runScenario(t, t.Context(), s, addr, func(c *Config) {
				c.Source = &numberedKeys{Source: c.Source}
				c.OnStart = func() { bounds.earliestStart = time.Now() }
				c.OnRequest = bounds.requestSent
			})
			eventually(t, "all connections have ended", func() bool {
				bounds.mu.Lock()
				defer bounds.mu.Unlock()
				return len(bounds.upper) == 200
			})
			slices.Sort(want)
			lower := bounds.sortedMilliseconds(bounds.lower, bounds.latestStart)
			upper := bounds.sortedMilliseconds(bounds.upper, bounds.earliestStart)
			got := r.Classes[0].Latency["served"]
			for _, q := range []struct {
				share, got float64
			}{{0.5, got.P50}, {0.9, got.P90}, {0.99, got.P99}} {
				i := int(math.Ceil(q.share*float64(len(want)))) - 1
				low := lower[i] * 0.998 // the histogram has three significant digits
				high := upper[i] * 1.002
				if q.got < low || q.got > high {
					t.Errorf("percentile %g is reported as %g ms, want %g to %g ms", 100*q.share, q.got, low, high)
				}
				delay := want[i].Seconds() * 1000
				if q.got < delay*0.998 {
					t.Errorf("percentile %g is reported as %g ms, but the delay of the server alone is %g ms", 100*q.share, q.got, delay)
				}
			}
		})
	}
}

// A canceled run ends promptly. Its result is marked partial and has an outcome for each request.
func TestRun_Canceled_PartialResult(t *testing.T) {
	addr := startServer(t, func(_ string, _ *net.TCPConn, r *bufio.Reader) { _, _ = r.ReadByte() })
	s := scenario(t, "", `for = "1s"`, `for = "1h"`, `deadline = "2s"`, `deadline = "10m"`)
	ctx, cancel := context.WithCancel(t.Context())
	r := runScenario(t, ctx, s, addr, func(c *Config) {
		c.OnStart = func() { time.AfterFunc(300*time.Millisecond, cancel) }
	})
	c := r.Classes[0]
	if !r.Partial || r.PartialReason == "" || c.Outcomes["cut"] == 0 || c.Outcomes["cut"] != c.Requests {
		t.Errorf("partial %v, outcomes %v of %d requests; want a partial result with all requests cut", r.Partial, c.Outcomes, c.Requests)
	}
}

// If a limit of the generator is reached, the result names it, so that the figures are not attributed to the node.
func TestRun_GeneratorFallsBehind_ResultSaysWhy(t *testing.T) {
	addr := startServer(t, func(_ string, c *net.TCPConn, r *bufio.Reader) { establishAndEcho(c, r) })
	s := scenario(t, "[limits]\nopen = 10\n", `life = "300ms"`, "life = \"1h\"\nspread = \"fixed\"")
	r := runScenario(t, t.Context(), s, addr, nil)
	c := r.Classes[0]
	if !strings.Contains(r.BehindReason, "limits.open") || c.Outcomes["unsent"] != 90 || c.Outcomes["served"] != 10 {
		t.Errorf("reason %q, outcomes %v; want limits.open as the reason, 90 unsent and 10 served", r.BehindReason, c.Outcomes)
	}
	s = scenario(t, "[limits]\nlateness = \"1us\"\n", `life = "300ms"`, `life = "10ms"`)
	if r := runScenario(t, t.Context(), s, addr, nil); !strings.Contains(r.BehindReason, "late at the 99th percentile") {
		t.Errorf("reason %q with a limit of 1 us, want the lateness", r.BehindReason)
	}
}
