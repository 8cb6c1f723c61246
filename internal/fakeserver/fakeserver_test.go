package fakeserver

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"onyxstream/internal/fakeserver/capacity"
	"onyxstream/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 20 * time.Second

type fixture struct {
	t      *testing.T
	clock  *Clock
	events *EventLog
}

func newFixture(t *testing.T) *fixture {
	c := NewClock()
	return &fixture{t, c, NewEventLog(c)}
}

func (r *fixture) host(id string, change func(*HostConfig)) *Host {
	r.t.Helper()
	cfg := HostConfig{ID: id, Zone: "a", Spec: capacity.Spec{Cores: 4, Speed: 1, ConnectionLoad: 0.01, SetupWork: 0.001}, Seed: 1}
	if change != nil {
		change(&cfg)
	}
	h, err := NewHost(cfg, r.clock, r.events)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(h.Close)
	return h
}

func (r *fixture) count(what string) int {
	return r.events.Count(func(x Event) bool { return x.Kind == what })
}

type testClient struct {
	t *testing.T
	c *net.TCPConn
	r *bufio.Reader
}

func dial(t *testing.T, addr, line string) *testClient {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	p := &testClient{t, c.(*net.TCPConn), bufio.NewReader(c)}
	p.send(line)
	return p
}

func (p *testClient) send(line string) {
	p.t.Helper()
	if _, err := io.WriteString(p.c, line+"\r\n"); err != nil {
		p.t.Fatal(err)
	}
}

func (p *testClient) expect(want string) string {
	p.t.Helper()
	line, err := p.r.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, want) {
		p.t.Fatalf("heard %q, error %v; want %q", line, err, want)
	}
	return strings.TrimSpace(line)
}

func (p *testClient) expectEnd() {
	p.t.Helper()
	if rest, err := io.ReadAll(p.r); len(rest) > 0 || err != nil && strings.Contains(err.Error(), "timeout") {
		p.t.Fatalf("ended with %q, error %v", rest, err)
	}
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for begin := time.Now(); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Since(begin) > testTimeout {
			t.Fatalf("never: %s", what)
		}
	}
}

func TestHost_OpeningWithDuration_EndsConnection(t *testing.T) {
	r := newFixture(t)
	h := r.host("h1", func(c *HostConfig) { c.ReportsLoad, c.AnswersStats = true, true })
	p := dial(t, h.Addr(), "OPEN a key c=chat,t=acme,d=2000,life=50")
	if up := p.expect("UP "); up != "UP h1-1" {
		t.Errorf("receipt %q", up)
	}
	p.expect("LOAD ")
	p.expect("BYE")
	p.expectEnd()
	for line, want := range map[string]string{"PING": "PONG", "STATS": "PONG x0=", "HELLO": "SYNTAX", "OPEN x": "SYNTAX"} {
		dial(t, h.Addr(), line).expect(want)
	}
	if r.count(EventOpened) != 1 || r.count(EventEstablished) != 1 || r.count(EventEnded) != 1 || r.count(EventHealthCheck) != 2 {
		recs, _ := r.events.Events()
		t.Errorf("ledger %v", recs)
	}
}

func TestHostDrain_EstablishedConnections_MigratedGradually(t *testing.T) {
	r := newFixture(t)
	h := r.host("h1", nil)
	var on []*testClient
	for i := range 8 {
		p := dial(t, h.Addr(), fmt.Sprintf("OPEN %d key c=chat,t=acme,d=2000", i))
		p.expect("UP ")
		on = append(on, p)
	}
	h.Drain(80 * time.Millisecond)
	dial(t, h.Addr(), "OPEN late key c=chat,t=acme,d=2000").expect("BUSY")
	for _, p := range on {
		p.expect("MOVE")
		p.expectEnd()
	}
	if n := r.count(EventMigrated); n != 8 {
		t.Errorf("%d moved", n)
	}
	h.CancelDrain()
	p := dial(t, h.Addr(), "OPEN again key c=chat,t=acme,d=2000")
	p.expect("UP ")
	h.Drain(-1)
	p.send("M 1")
	p.expect("M 1")
}

func TestHostHang_Resumed_AnswersPending(t *testing.T) {
	r := newFixture(t)
	h := r.host("h1", nil)
	on := dial(t, h.Addr(), "OPEN a key c=chat,t=acme,d=2000,life=20")
	on.expect("UP ")
	h.Hang()
	p := dial(t, h.Addr(), "OPEN b key c=chat,t=acme,d=2000")
	time.Sleep(100 * time.Millisecond)
	if r.count(EventEnded) != 0 || r.count(EventOpened) != 1 {
		t.Error("a host that hangs reads or ends connections")
	}
	h.Resume()
	p.expect("UP ")
	on.expect("BYE")
}

func TestHostCrash_Restarted_EmptyAndCold(t *testing.T) {
	r := newFixture(t)
	h := r.host("h1", func(c *HostConfig) { c.Spec.SlowStartFraction, c.Spec.SlowStartDuration = 0.3, time.Hour })
	warm := h.State().Capacity
	was := h.Endpoint(wire.Serving)
	p := dial(t, h.Addr(), "OPEN a key c=chat,t=acme,d=2000")
	p.expect("UP ")
	h.Crash()
	p.expectEnd()
	if c, err := net.Dial("tcp", h.Addr()); err == nil {
		_ = c.Close()
		t.Error("a dead host accepts")
	}
	if err := h.Restart(); err != nil {
		t.Fatal(err)
	}
	s := h.State()
	if s.Established != 0 || s.Crashed || s.Capacity > 0.31*warm {
		t.Errorf("came back as %+v, warm it can do %g", s, warm)
	}
	if m := h.Endpoint(wire.Serving); was.StartedAtMS != 0 || m.StartedAtMS == 0 || m.Addr != was.Addr {
		t.Errorf("before %+v, now %+v", was, m)
	}
	dial(t, h.Addr(), "OPEN a key c=chat,t=acme,d=2000").expect("UP ")
}

// A connection whose node broke it goes on where it is held, under its receipt, and is reset elsewhere.
func TestHost_MidFlowReconnect_ResumesSession(t *testing.T) {
	r := newFixture(t)
	h := r.host("h1", func(c *HostConfig) { c.ResumeTimeout = time.Hour })
	p := dial(t, h.Addr(), "OPEN a key c=chat,t=acme,d=2000")
	receipt := p.expect("UP ")
	_ = p.c.SetLinger(0)
	_ = p.c.Close()
	eventually(t, "the host sees the break", func() bool { return h.State().Connections == 0 })
	back := dial(t, h.Addr(), "OPEN a key c=chat,t=acme,d=2000,mid=1")
	if got := back.expect("UP "); got != receipt {
		t.Errorf("taken up under %q, was %q", got, receipt)
	}
	back.send("M 1")
	back.expect("M 1")
	dial(t, h.Addr(), "OPEN a key c=chat,t=acme,d=2000,mid=1").expectEnd() // held by another connection now
	dial(t, h.Addr(), "OPEN other key c=chat,t=acme,d=2000,mid=1").expectEnd()
	dial(t, h.Addr(), "OPEN stood key c=chat,t=acme,d=2000,at=h1").expect("UP ")
	dial(t, h.Addr(), "OPEN stood2 key c=chat,t=acme,d=2000,at=h2").expect("ERR")
}

func TestDiscovery_DelayFreezeRestart_WatchFollows(t *testing.T) {
	r := newFixture(t)
	m := func(id string, p wire.Phase) wire.Endpoint {
		return wire.Endpoint{ID: id, Addr: "127.0.0.1:1", Phase: p, Size: 1}
	}
	d, err := NewDiscovery("", r.clock, r.events, 41, m("a", wire.Serving))
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	ask := func(query string) (*bufio.Reader, int) {
		q, _ := http.NewRequestWithContext(ctx, "GET", "http://"+d.Addr()+"/catalog/members"+query, nil)
		resp, err := client.Do(q)
		if err != nil {
			return bufio.NewReader(strings.NewReader("")), 0
		}
		return bufio.NewReader(resp.Body), resp.StatusCode
	}
	next := func(b *bufio.Reader) (c wire.EndpointList, ended bool) {
		for {
			line, err := b.ReadString('\n')
			if err != nil {
				return c, true
			}
			if line = strings.TrimSpace(line); line != "" {
				if err := json.Unmarshal([]byte(line), &c); err != nil {
					t.Fatal(err)
				}
				return c, false
			}
		}
	}
	w, _ := ask("?watch=1&after=41")
	if c, _ := next(w); c.Revision != 41 || c.Complete || len(c.Endpoints) != 0 {
		t.Errorf("a watch on which nothing has changed begins with %+v", c)
	}
	d.SetNotifyDelay(150 * time.Millisecond)
	set := r.clock.Now()
	d.Set(m("a", wire.Draining))
	d.SetNotifyDelay(0)
	d.Set(m("b", wire.Serving)) // does not overtake
	c, _ := next(w)
	if now := r.clock.Now(); now < set+150*time.Millisecond {
		t.Errorf("told %v after the change, want 150 ms at least", now-set)
	}
	for c.Revision < 43 {
		if c.Complete || len(c.Endpoints) == 0 || c.Endpoints[0].Phase != wire.Draining {
			t.Errorf("told %+v", c)
		}
		c, _ = next(w)
	}
	whole, _ := ask("")
	if c, _ := next(whole); c.Revision != 43 || !c.Complete || len(c.Endpoints) != 2 {
		t.Errorf("the list is %+v", c)
	}
	d.SetFrozen(true)
	d.Set(m("b", wire.Removed))
	frozen, _ := ask("")
	if c, _ := next(frozen); c.Revision != 43 {
		t.Errorf("a frozen list is at %d", c.Revision)
	}
	d.SetFrozen(false)
	if c, _ := next(w); c.Revision != 44 || c.Endpoints[0].Phase != wire.Removed {
		t.Errorf("told %+v", c)
	}
	d.Restart(7)
	if _, ended := next(w); !ended {
		t.Error("a watch outlives the restart")
	}
	w, _ = ask("?watch=1&after=44") // of the old count: the whole list
	if c, _ := next(w); c.Revision != 7 || !c.Complete || len(c.Endpoints) != 1 {
		t.Errorf("after the restart %+v", c)
	}
	d.SetMode(ModeUnavailable)
	if _, ended := next(w); !ended {
		t.Error("a watch outlives the failure")
	}
	if _, status := ask(""); status != 503 {
		t.Errorf("status %d while it is busy", status)
	}
	d.SetMode(ModeReset)
	if _, status := ask(""); status != 0 {
		t.Errorf("status %d while it resets", status)
	}
}

func TestFrontendBalancer_NodeCrashes_EjectedAfterDelay(t *testing.T) {
	r := newFixture(t)
	a, b := r.host("a", nil), r.host("b", nil)
	f := NewFrontendBalancer(r.events, 200*time.Millisecond, Node{"na", a.Addr(), "a"}, Node{"nb", b.Addr(), "b"})
	defer f.Close()
	if err := f.Ready(t.Context()); err != nil {
		t.Fatal(err)
	}
	for range 5 {
		if n, ok := f.Pick("b"); !ok || n.Name != "nb" {
			t.Errorf("zone b is dealt to %v", n)
		}
	}
	died := r.clock.Now()
	b.Crash()
	eventually(t, "clients of b go to a", func() bool { n, _ := f.Pick("b"); return n.Name == "na" })
	recs, _ := r.events.Events()
	for _, x := range recs {
		// The last check that went well may have been up to one check before the death.
		if x.Kind == EventNodeUnhealthy && x.At < died+200*time.Millisecond-4*healthCheckInterval {
			t.Errorf("noticed %v after the death", x.At-died)
		}
	}
	if err := b.Restart(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "b is in again", func() bool { n, _ := f.Pick("b"); return n.Name == "nb" })
}

func TestLink_EachFault_AffectsTraffic(t *testing.T) {
	r := newFixture(t)
	h := r.host("h1", nil)
	k, err := NewLink(h.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer k.Close()
	k.SetDelay(40 * time.Millisecond)
	begin := time.Now()
	p := dial(t, k.Addr(), "OPEN a key c=chat,t=acme,d=2000")
	p.expect("UP ")
	if d := time.Since(begin); d < 80*time.Millisecond {
		t.Errorf("there and back in %v over 40 ms each way", d)
	}
	k.SetDelay(0)
	k.SetStalled(true)
	p.send("M 1")
	time.Sleep(50 * time.Millisecond)
	k.SetStalled(false)
	p.expect("M 1")
	k.SetRate(10_000)
	begin = time.Now()
	for range 4 {
		p.send(strings.Repeat("x", 500))
		p.expect("x")
	}
	if d := time.Since(begin); d < 150*time.Millisecond { // three waits of 50 ms before the last may pass
		t.Errorf("2 kB in %v at 10 kB a second", d)
	}
	k.SetRate(0)
	k.SetFault(ToTarget, func(s *LinkFault) { s.Blackhole = true }) // one-way: what the host says still comes
	p.send("M lost")
	quiet := dial(t, k.Addr(), "OPEN b key c=chat,t=acme,d=2000")
	h.Drain(0)
	p.expect("MOVE")
	_ = quiet.c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if line, err := quiet.r.ReadString('\n'); err == nil {
		t.Errorf("heard %q through silence", line)
	}
	_ = quiet.c.SetReadDeadline(time.Now().Add(testTimeout))
	k.SetFault(ToTarget, func(s *LinkFault) { s.Blackhole = false })
	quiet.expectEnd() // reset: its bytes were lost
	h.CancelDrain()
	p = dial(t, k.Addr(), "OPEN c key c=chat,t=acme,d=2000")
	p.expect("UP ")
	k.ResetConnections()
	p.expectEnd()
}
