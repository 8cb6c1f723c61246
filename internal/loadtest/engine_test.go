package loadtest

import (
	"bufio"
	"context"
	"hash/fnv"
	"io"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// server answers each connection by a script that is given its first line.
func server(t *testing.T, script func(line string, c *net.TCPConn, r *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	conns := map[net.Conn]bool{} // a dial that was withdrawn at its end leaves one that only keep-alive would notice
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

// serve says UP and echoes to the end.
func serve(c *net.TCPConn, r *bufio.Reader) {
	_, _ = io.WriteString(c, "UP x\r\n")
	_, _ = io.Copy(c, r)
}

func play(t *testing.T, ctx context.Context, s *Scenario, addr string, change func(*Config)) *Result {
	t.Helper()
	cfg := Config{Scenario: s, Source: NewSchedule(s), Length: s.Length(), Address: turns([]string{addr})}
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
		if total != c.Asked {
			t.Errorf("%d asked, %d have an outcome: %v", c.Asked, total, c.Outcomes)
		}
		if ends := c.Ended + c.Moved + c.Broken + c.Dropped + c.Cut; ends < c.Outcomes["served"] {
			t.Errorf("%d served, %d ended", c.Outcomes["served"], ends)
		}
	}
	return r
}

// slow is the share of served requests over d.
func slow(t *testing.T, r *Result, d time.Duration) float64 {
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

// A server that stalls for 2 s of 4 s: half of all who come meet it, and the open loop says so. Clients that wait for
// their answer send nearly nothing meanwhile, and hide it.
func TestAStallIsSeenByAnOpenLoopAndHiddenByAClosedOne(t *testing.T) {
	measure := func(loop string) *Result {
		var stall sync.RWMutex
		addr := server(t, func(_ string, c *net.TCPConn, r *bufio.Reader) {
			stall.RLock() // waits for the stall to end
			defer stall.RUnlock()
			_, _ = io.WriteString(c, "UP x\r\nBYE\r\n")
		})
		s := scenario(t, "", `for = "1s"`, `for = "4s"`, `life = "300ms"`, "life = \"20ms\"\nspread = \"fixed\"", `deadline = "2s"`, `deadline = "5s"`,
			`"even"`, "\"even\"\nworkers = 4\nloop = \""+loop+"\"")
		return play(t, t.Context(), s, addr, func(c *Config) {
			c.Begin = func() {
				time.AfterFunc(time.Second, func() {
					stall.Lock()
					time.AfterFunc(2*time.Second, stall.Unlock)
				})
			}
		})
	}
	open, closed := measure("open"), measure("closed")
	if n := open.Classes[0].Asked; n != 400 {
		t.Errorf("the open loop sent %d of 400", n)
	}
	if share := slow(t, open, 100*time.Millisecond); share < 0.4 {
		t.Errorf("the open loop shows the stall to %g of requests, half met it", share)
	}
	if share := slow(t, closed, 100*time.Millisecond); share > 0.1 {
		t.Errorf("the closed loop shows the stall to %g of requests: it is not the client that hides it", share)
	}
	// What the served try took alone is right in the open loop as well, and is what a closed loop would report.
	if open.Classes[0].Latency["served"].Max < 1500 {
		t.Errorf("the slowest took %g ms", open.Classes[0].Latency["served"].Max)
	}
}

// brackets is between which moments each request can have had its answer, as seen from outside the generator: not
// before the server wrote it, not after the client ended the connection behind it. Both count from the intended moment.
type brackets struct {
	mu       sync.Mutex
	at       map[string]time.Duration // intended, by key
	earliest time.Time                // the run began no sooner than this,
	latest   time.Time                // and no later than this
	least    []moment                 // a lower bound each
	most     []moment                 // an upper one
}

type moment struct {
	key string
	t   time.Time
}

func (b *brackets) note(list *[]moment, line string) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	*list = append(*list, moment{strings.Fields(line)[2], now})
}

// fired is told each request as it is sent: no sooner than it was meant to be.
func (b *brackets) fired(r Request) {
	began := time.Now().Add(-r.At)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.at[r.Key] = r.At
	if b.latest.IsZero() || began.Before(b.latest) {
		b.latest = began
	}
}

// sorted gives the bounds in ms; began is when the run began, as far as that is known.
func (b *brackets) sorted(list []moment, began time.Time) (ms []float64) {
	for _, m := range list {
		ms = append(ms, (m.t.Sub(began)-b.at[m.key]).Seconds()*1000)
	}
	slices.Sort(ms)
	return ms
}

// numbered gives each request a key of its own.
type numbered struct {
	Source
	n int
}

func (s *numbered) Next() (Request, error) {
	r, err := s.Source.Next()
	s.n++
	r.Key = "k" + strconv.Itoa(s.n)
	return r, err
}

// Delays that are known for each request: the percentiles reported are theirs. A busy machine adds to each of them, so
// they are held against what the server saw of each request, which bounds its answer on both sides, and no machine's
// pace moves the verdict; where it is quiet the two bounds are a few ms apart.
func TestKnownDelaysAreReported(t *testing.T) {
	unit := func(line string) float64 { // of the key, evenly from 0 to 1
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
			b := &brackets{at: map[string]time.Duration{}}
			var want []time.Duration
			addr := server(t, func(line string, c *net.TCPConn, r *bufio.Reader) {
				d := min(delay(unit(line)), 4*time.Second)
				b.mu.Lock()
				want = append(want, d)
				b.mu.Unlock()
				time.Sleep(d)
				b.note(&b.least, line)
				_, _ = io.WriteString(c, "UP x\r\nBYE\r\n")
				_, _ = io.Copy(io.Discard, r)
				b.note(&b.most, line)
			})
			s := scenario(t, "", "rate = 100", "rate = 50", `for = "1s"`, `for = "4s"`, `deadline = "2s"`, `deadline = "30s"`, `life = "300ms"`, `life = "10ms"`)
			r := play(t, t.Context(), s, addr, func(c *Config) {
				c.Source, c.Begin, c.Record = &numbered{Source: c.Source}, func() { b.earliest = time.Now() }, b.fired
			})
			eventually(t, "all connections have ended", func() bool {
				b.mu.Lock()
				defer b.mu.Unlock()
				return len(b.most) == 200
			})
			slices.Sort(want)
			least, most := b.sorted(b.least, b.latest), b.sorted(b.most, b.earliest)
			got := r.Classes[0].Latency["served"]
			for _, q := range []struct {
				share, got float64
			}{{0.5, got.P50}, {0.9, got.P90}, {0.99, got.P99}} {
				i := int(math.Ceil(q.share*float64(len(want)))) - 1
				if low, high := least[i]*0.998, most[i]*1.002; q.got < low || q.got > high { // the histogram keeps three digits
					t.Errorf("percentile %g is reported as %g ms, is from %g to %g ms", 100*q.share, q.got, low, high)
				}
				if ms := want[i].Seconds() * 1000; q.got < ms*0.998 {
					t.Errorf("percentile %g is reported as %g ms, the delay alone is %g ms", 100*q.share, q.got, ms)
				}
			}
		})
	}
}

// Whatever the other side does, each request has one outcome, and the right one.
func TestOutcomes(t *testing.T) {
	say := func(text string) func(string, *net.TCPConn, *bufio.Reader) {
		return func(_ string, c *net.TCPConn, _ *bufio.Reader) { _, _ = io.WriteString(c, text) }
	}
	for name, c := range map[string]struct {
		script func(string, *net.TCPConn, *bufio.Reader)
		want   Outcome
		tries  int64 // of each request
	}{
		"says nothing": {func(_ string, _ *net.TCPConn, r *bufio.Reader) { _, _ = r.ReadByte() }, Unanswered, 2},
		"busy":         {say("BUSY 30\r\n"), Refused, 2},
		"an error":     {say("ERR\r\n"), Failed, 2},
		"nonsense":     {say(strings.Repeat("x", 5000) + "\r\n"), Failed, 2},
		"closes":       {say(""), Lost, 2},
		"half a line":  {say("UP "), Lost, 2},
		"serves":       {func(_ string, c *net.TCPConn, r *bufio.Reader) { serve(c, r) }, Served, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := scenario(t, "[clients]\nretries = 1\nmarks = true\n", "rate = 100", "rate = 20", `deadline = "2s"`, `deadline = "250ms"`, `life = "300ms"`, `life = "10ms"`)
			var marked atomic.Int64
			addr := server(t, func(line string, conn *net.TCPConn, r *bufio.Reader) {
				if strings.HasSuffix(line, ",r=1") {
					marked.Add(1)
				}
				if !strings.Contains(line, " c=chat,t=acme,d=250,life=") {
					t.Errorf("sent %q", line)
				}
				c.script(line, conn, r)
			})
			r := play(t, t.Context(), s, addr, nil).Classes[0]
			if r.Outcomes[c.want.String()] != 20 || r.Tries[c.want.String()] != 20*c.tries || marked.Load() != 20*(c.tries-1) {
				t.Errorf("outcomes %v, tries %v, %d marked", r.Outcomes, r.Tries, marked.Load())
			}
		})
	}
	s := scenario(t, "", "rate = 100", "rate = 20")
	if r := play(t, t.Context(), s, "127.0.0.1:1", nil).Classes[0]; r.Outcomes["unreachable"] != 20 {
		t.Errorf("nobody listens: %v", r.Outcomes)
	}
}

// Clients that are told when to come again come no sooner; the latency counts from the intended moment all the same.
func TestAdviceOfBusyIsHonoured(t *testing.T) {
	var mu sync.Mutex
	first := map[string]time.Time{}
	addr := server(t, func(line string, c *net.TCPConn, r *bufio.Reader) {
		key := strings.Fields(line)[2]
		mu.Lock()
		began, again := first[key]
		first[key] = time.Now()
		mu.Unlock()
		if !again {
			_, _ = io.WriteString(c, "BUSY 200\r\n")
			return
		}
		if d := time.Since(began); d < 200*time.Millisecond {
			t.Errorf("came again after %v, told 200 ms", d)
		}
		serve(c, r)
	})
	s := scenario(t, "[clients]\nretries = 1\n", "rate = 100", "rate = 20", `life = "300ms"`, `life = "10ms"`)
	r := play(t, t.Context(), s, addr, nil).Classes[0]
	if r.Outcomes["served"] != 20 || r.Tries["refused"] != 20 || r.Latency["served"].P50 < 199 || r.Service.P50 > 100 {
		t.Errorf("%v of %v; latency %g ms, of the try alone %g ms", r.Outcomes, r.Tries, r.Latency["served"].P50, r.Service.P50)
	}
}

// A server that moves, ends, and cuts off in turn, and one that dies in the middle.
func TestHowConnectionsEnd(t *testing.T) {
	var n, again atomic.Int64
	addr := server(t, func(line string, c *net.TCPConn, r *bufio.Reader) {
		if strings.Contains(line, ",again=1") {
			again.Add(1)
			_, _ = io.WriteString(c, "UP x\r\nBYE\r\n")
			return
		}
		_, _ = io.WriteString(c, "UP x\r\n"+[]string{"BYE\r\n", "MOVE\r\n", "half a line"}[n.Add(1)%3])
	})
	s := scenario(t, "[clients]\ncome_back = [\"1ms\", \"5ms\"]\n[limits]\nlinger = \"5s\"\n", "rate = 100", "rate = 30")
	r := play(t, t.Context(), s, addr, nil).Classes[0]
	if r.Moved != 10 || r.Broken != 10 || r.Ended != 30 || r.Returns != 20 || again.Load() != 20 || r.Back.Count != 20 {
		t.Errorf("moved %d, broken %d, ended %d, came again %d, served then %d", r.Moved, r.Broken, r.Ended, r.Returns, r.Back.Count)
	}
}

func TestMidFlowIsTriedFirstWhereItIsOn(t *testing.T) {
	var mu sync.Mutex
	ids := map[string]int{}
	addr := server(t, func(line string, c *net.TCPConn, r *bufio.Reader) {
		id := strings.Fields(line)[1]
		mu.Lock()
		ids[id]++
		seen := ids[id]
		mu.Unlock()
		switch {
		case strings.Contains(line, ",mid=1"):
			if seen != 2 {
				t.Errorf("mid-flow under a new id: %q", line)
			}
			_, _ = io.WriteString(c, "UP x\r\nBYE\r\n")
		default:
			_, _ = io.WriteString(c, "UP x\r\n") // and breaks
		}
	})
	s := scenario(t, "[clients]\nmid_flow = true\n[limits]\nlinger = \"5s\"\n", "rate = 100", "rate = 20")
	if r := play(t, t.Context(), s, addr, nil).Classes[0]; r.Broken != 20 || r.Ended != 20 || r.Returns != 0 {
		t.Errorf("broken %d, ended %d, came again %d", r.Broken, r.Ended, r.Returns)
	}
}

// A wave drops the share it names of those who stand, and they come back.
func TestAWaveDropsItsShareAndTheyComeBack(t *testing.T) {
	var again atomic.Int64
	addr := server(t, func(line string, c *net.TCPConn, r *bufio.Reader) {
		if strings.Contains(line, ",again=1") {
			again.Add(1)
		}
		serve(c, r)
	})
	s := scenario(t, "[[wave]]\nat = \"900ms\"\nshare = 0.5\nwithin = \"200ms\"\n[limits]\nlinger = \"1s\"\n", "rate = 100", "rate = 200",
		`life = "300ms"`, "life = \"1h\"\nspread = \"fixed\"", `for = "1s"`, `for = "500ms"`)
	r := play(t, t.Context(), s, addr, nil).Classes[0]
	want := int64(0)
	for n := range int64(100) {
		if drops, _ := s.Drops(0, n); drops {
			want++
		}
	}
	if r.Dropped != want || r.Returns != want || again.Load() != want || r.Cut != 100 {
		t.Errorf("%d dropped, %d came again, want %d; %d cut", r.Dropped, r.Returns, want, r.Cut)
	}
}

// Lines are answered and timed from when they were due, also where the other side is slow.
func TestLinesAreTimedFromWhenTheyWereDue(t *testing.T) {
	addr := server(t, func(_ string, c *net.TCPConn, r *bufio.Reader) {
		_, _ = io.WriteString(c, "UP x\r\n")
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			time.Sleep(100 * time.Millisecond) // slower than lines come: they pile up
			_, _ = io.WriteString(c, line)
		}
	})
	s := scenario(t, "", "rate = 100", "rate = 5", `life = "300ms"`, "life = \"1s\"\nspread = \"fixed\"\nmessage = \"50ms\"")
	s.Limits.Linger = 1500e6
	r := play(t, t.Context(), s, addr, nil).Classes[0]
	if r.Sent < 5*19 || r.Answered < 30 || r.Message.Max < 400 {
		t.Errorf("%d lines sent, %d answered, the slowest after %g ms: they pile up by half a second", r.Sent, r.Answered, r.Message.Max)
	}
}

// A run that is stopped ends at once, with a whole result that says so.
func TestAStoppedRunIsPartial(t *testing.T) {
	addr := server(t, func(_ string, _ *net.TCPConn, r *bufio.Reader) { _, _ = r.ReadByte() })
	s := scenario(t, "", `for = "1s"`, `for = "1h"`, `deadline = "2s"`, `deadline = "10m"`)
	ctx, cancel := context.WithCancel(t.Context())
	r := play(t, ctx, s, addr, func(c *Config) {
		c.Begin = func() { time.AfterFunc(300*time.Millisecond, cancel) }
	})
	if !r.Partial || r.Why == "" || r.Classes[0].Outcomes["cut"] == 0 || r.Classes[0].Outcomes["cut"] != r.Classes[0].Asked {
		t.Errorf("partial %v, outcomes %v of %d", r.Partial, r.Classes[0].Outcomes, r.Classes[0].Asked)
	}
}

// The generator's own limits are told as its own, and never as the node's.
func TestAGeneratorThatFellBehindSaysSo(t *testing.T) {
	addr := server(t, func(_ string, c *net.TCPConn, r *bufio.Reader) { serve(c, r) })
	s := scenario(t, "[limits]\nopen = 10\n", `life = "300ms"`, "life = \"1h\"\nspread = \"fixed\"")
	r := play(t, t.Context(), s, addr, nil)
	if c := r.Classes[0]; !strings.Contains(r.Behind, "limits.open") || c.Outcomes["unsent"] != 90 || c.Outcomes["served"] != 10 {
		t.Errorf("behind %q, outcomes %v", r.Behind, c.Outcomes)
	}
	s = scenario(t, "[limits]\nlateness = \"1us\"\n", `life = "300ms"`, `life = "10ms"`)
	if r := play(t, t.Context(), s, addr, nil); !strings.Contains(r.Behind, "late at the 99th percentile") {
		t.Errorf("behind %q with a microsecond allowed", r.Behind)
	}
}

// eventually waits for what must come, without a bound that a busy machine could break.
func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	for begin := time.Now(); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Since(begin) > 20*time.Second {
			t.Fatalf("not within 20 s: %s", what)
		}
	}
}
