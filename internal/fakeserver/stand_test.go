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

const long = 20 * time.Second

type rig struct {
	t      *testing.T
	clock  *Clock
	ledger *Ledger
}

func newRig(t *testing.T) *rig {
	c := NewClock()
	return &rig{t, c, NewLedger(c)}
}

func (r *rig) host(id string, change func(*HostConfig)) *Host {
	r.t.Helper()
	cfg := HostConfig{ID: id, Zone: "a", Spec: capacity.Spec{Cores: 4, Speed: 1, Load: 0.01, Setup: 0.001}, Seed: 1}
	if change != nil {
		change(&cfg)
	}
	h, err := NewHost(cfg, r.clock, r.ledger)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(h.Close)
	return h
}

func (r *rig) count(what string) int {
	return r.ledger.Count(func(x Record) bool { return x.What == what })
}

type peer struct {
	t *testing.T
	c *net.TCPConn
	r *bufio.Reader
}

func dial(t *testing.T, addr, line string) *peer {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(long))
	p := &peer{t, c.(*net.TCPConn), bufio.NewReader(c)}
	p.say(line)
	return p
}

func (p *peer) say(line string) {
	p.t.Helper()
	if _, err := io.WriteString(p.c, line+"\r\n"); err != nil {
		p.t.Fatal(err)
	}
}

func (p *peer) hears(want string) string {
	p.t.Helper()
	line, err := p.r.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, want) {
		p.t.Fatalf("heard %q, error %v; want %q", line, err, want)
	}
	return strings.TrimSpace(line)
}

func (p *peer) ends() {
	p.t.Helper()
	if rest, err := io.ReadAll(p.r); len(rest) > 0 || err != nil && strings.Contains(err.Error(), "timeout") {
		p.t.Fatalf("ended with %q, error %v", rest, err)
	}
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for begin := time.Now(); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Since(begin) > long {
			t.Fatalf("never: %s", what)
		}
	}
}

func TestHostServesToTheEndOfALife(t *testing.T) {
	r := newRig(t)
	h := r.host("h1", func(c *HostConfig) { c.Loads, c.Reports = true, true })
	p := dial(t, h.Addr(), "OPEN a key c=chat,t=acme,d=2000,life=50")
	if up := p.hears("UP "); up != "UP h1-1" {
		t.Errorf("receipt %q", up)
	}
	p.hears("LOAD ")
	p.hears("BYE")
	p.ends()
	for line, want := range map[string]string{"PING": "PONG", "STATS": "PONG x0=", "HELLO": "SYNTAX", "OPEN x": "SYNTAX"} {
		dial(t, h.Addr(), line).hears(want)
	}
	if r.count(Opened) != 1 || r.count(Up) != 1 || r.count(Ended) != 1 || r.count(Probed) != 2 {
		recs, _ := r.ledger.Records()
		t.Errorf("ledger %v", recs)
	}
}

func TestHostThatDrainsSendsAwayBitByBit(t *testing.T) {
	r := newRig(t)
	h := r.host("h1", nil)
	var on []*peer
	for i := range 8 {
		p := dial(t, h.Addr(), fmt.Sprintf("OPEN %d key c=chat,t=acme,d=2000", i))
		p.hears("UP ")
		on = append(on, p)
	}
	h.Drain(80 * time.Millisecond)
	dial(t, h.Addr(), "OPEN late key c=chat,t=acme,d=2000").hears("BUSY")
	for _, p := range on {
		p.hears("MOVE")
		p.ends()
	}
	if n := r.count(Moved); n != 8 {
		t.Errorf("%d moved", n)
	}
	h.Undrain()
	p := dial(t, h.Addr(), "OPEN again key c=chat,t=acme,d=2000")
	p.hears("UP ")
	h.Drain(-1)
	p.say("M 1")
	p.hears("M 1")
}

func TestHostThatHangsSaysNothingAndGoesOn(t *testing.T) {
	r := newRig(t)
	h := r.host("h1", nil)
	on := dial(t, h.Addr(), "OPEN a key c=chat,t=acme,d=2000,life=20")
	on.hears("UP ")
	h.Hang()
	p := dial(t, h.Addr(), "OPEN b key c=chat,t=acme,d=2000")
	time.Sleep(100 * time.Millisecond)
	if r.count(Ended) != 0 || r.count(Opened) != 1 {
		t.Error("a host that hangs reads or ends connections")
	}
	h.Resume()
	p.hears("UP ")
	on.hears("BYE")
}

func TestHostThatDiesComesBackEmptyAndCold(t *testing.T) {
	r := newRig(t)
	h := r.host("h1", func(c *HostConfig) { c.Spec.Cold, c.Spec.Warm = 0.3, time.Hour })
	warm := h.State().Capacity
	was := h.Member(wire.Serving)
	p := dial(t, h.Addr(), "OPEN a key c=chat,t=acme,d=2000")
	p.hears("UP ")
	h.Die()
	p.ends()
	if c, err := net.Dial("tcp", h.Addr()); err == nil {
		_ = c.Close()
		t.Error("a dead host accepts")
	}
	if err := h.Return(); err != nil {
		t.Fatal(err)
	}
	s := h.State()
	if s.Up != 0 || s.Dead || s.Capacity > 0.31*warm {
		t.Errorf("came back as %+v, warm it can do %g", s, warm)
	}
	if m := h.Member(wire.Serving); was.StartedAtMS != 0 || m.StartedAtMS == 0 || m.Addr != was.Addr {
		t.Errorf("before %+v, now %+v", was, m)
	}
	dial(t, h.Addr(), "OPEN a key c=chat,t=acme,d=2000").hears("UP ")
}

// A connection whose node broke it goes on where it is held, under its receipt, and is reset elsewhere.
func TestMidFlow(t *testing.T) {
	r := newRig(t)
	h := r.host("h1", func(c *HostConfig) { c.Park = time.Hour })
	p := dial(t, h.Addr(), "OPEN a key c=chat,t=acme,d=2000")
	receipt := p.hears("UP ")
	_ = p.c.SetLinger(0)
	_ = p.c.Close()
	eventually(t, "the host sees the break", func() bool { return h.State().Conns == 0 })
	back := dial(t, h.Addr(), "OPEN a key c=chat,t=acme,d=2000,mid=1")
	if got := back.hears("UP "); got != receipt {
		t.Errorf("taken up under %q, was %q", got, receipt)
	}
	back.say("M 1")
	back.hears("M 1")
	dial(t, h.Addr(), "OPEN a key c=chat,t=acme,d=2000,mid=1").ends() // held by another connection now
	dial(t, h.Addr(), "OPEN other key c=chat,t=acme,d=2000,mid=1").ends()
	dial(t, h.Addr(), "OPEN stood key c=chat,t=acme,d=2000,at=h1").hears("UP ")
	dial(t, h.Addr(), "OPEN stood2 key c=chat,t=acme,d=2000,at=h2").hears("ERR")
}

func TestDiscoveryTellsLateInOrderAndAnewAfterARestart(t *testing.T) {
	r := newRig(t)
	m := func(id string, p wire.Phase) wire.Endpoint {
		return wire.Endpoint{ID: id, Addr: "127.0.0.1:1", Phase: p, Size: 1}
	}
	d, err := NewDiscovery("", r.clock, r.ledger, 41, m("a", wire.Serving))
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
	d.Lag(150 * time.Millisecond)
	set := r.clock.Now()
	d.Set(m("a", wire.Draining))
	d.Lag(0)
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
	d.Freeze(true)
	d.Set(m("b", wire.Removed))
	frozen, _ := ask("")
	if c, _ := next(frozen); c.Revision != 43 {
		t.Errorf("a frozen list is at %d", c.Revision)
	}
	d.Freeze(false)
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
	d.Answer(Busy)
	if _, ended := next(w); !ended {
		t.Error("a watch outlives the failure")
	}
	if _, status := ask(""); status != 503 {
		t.Errorf("status %d while it is busy", status)
	}
	d.Answer(Resets)
	if _, status := ask(""); status != 0 {
		t.Errorf("status %d while it resets", status)
	}
}

func TestFrontDealsByZoneAndNoticesLate(t *testing.T) {
	r := newRig(t)
	a, b := r.host("a", nil), r.host("b", nil)
	f := NewFront(r.ledger, 200*time.Millisecond, Node{"na", a.Addr(), "a"}, Node{"nb", b.Addr(), "b"})
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
	b.Die()
	eventually(t, "clients of b go to a", func() bool { n, _ := f.Pick("b"); return n.Name == "na" })
	recs, _ := r.ledger.Records()
	for _, x := range recs {
		// The last check that went well may have been up to one check before the death.
		if x.What == Out && x.At < died+200*time.Millisecond-4*checkEvery {
			t.Errorf("noticed %v after the death", x.At-died)
		}
	}
	if err := b.Return(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "b is in again", func() bool { n, _ := f.Pick("b"); return n.Name == "nb" })
}

func TestLinkDelaysStallsLimitsAndFallsSilent(t *testing.T) {
	r := newRig(t)
	h := r.host("h1", nil)
	k, err := NewLink(h.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer k.Close()
	k.Delay(40 * time.Millisecond)
	begin := time.Now()
	p := dial(t, k.Addr(), "OPEN a key c=chat,t=acme,d=2000")
	p.hears("UP ")
	if d := time.Since(begin); d < 80*time.Millisecond {
		t.Errorf("there and back in %v over 40 ms each way", d)
	}
	k.Delay(0)
	k.Stall(true)
	p.say("M 1")
	time.Sleep(50 * time.Millisecond)
	k.Stall(false)
	p.hears("M 1")
	k.Limit(10_000)
	begin = time.Now()
	for range 4 {
		p.say(strings.Repeat("x", 500))
		p.hears("x")
	}
	if d := time.Since(begin); d < 150*time.Millisecond { // three waits of 50 ms before the last may pass
		t.Errorf("2 kB in %v at 10 kB a second", d)
	}
	k.Limit(0)
	k.Set(Outward, func(s *LinkState) { s.Silent = true }) // one-way: what the host says still comes
	p.say("M lost")
	quiet := dial(t, k.Addr(), "OPEN b key c=chat,t=acme,d=2000")
	h.Drain(0)
	p.hears("MOVE")
	_ = quiet.c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if line, err := quiet.r.ReadString('\n'); err == nil {
		t.Errorf("heard %q through silence", line)
	}
	_ = quiet.c.SetReadDeadline(time.Now().Add(long))
	k.Set(Outward, func(s *LinkState) { s.Silent = false })
	quiet.ends() // reset: its bytes were lost
	h.Undrain()
	p = dial(t, k.Addr(), "OPEN c key c=chat,t=acme,d=2000")
	p.hears("UP ")
	k.Reset()
	p.ends()
}
