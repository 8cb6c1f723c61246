package fakeserver

import (
	"fmt"
	"net"
	"testing"
	"time"

	"onyxstream/internal/wire"
)

func TestHost_OpeningWithDuration_EndsConnection(t *testing.T) {
	env := newFixture(t)
	h := env.host("h1", func(c *HostConfig) { c.ReportsLoad, c.AnswersStats = true, true })
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
	if env.count(EventOpened) != 1 || env.count(EventEstablished) != 1 || env.count(EventEnded) != 1 || env.count(EventHealthCheck) != 2 {
		recs, _ := env.events.Events()
		t.Errorf("ledger %v", recs)
	}
}

func TestHostDrain_EstablishedConnections_MigratedGradually(t *testing.T) {
	env := newFixture(t)
	h := env.host("h1", nil)
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
	if n := env.count(EventMigrated); n != 8 {
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
	env := newFixture(t)
	h := env.host("h1", nil)
	on := dial(t, h.Addr(), "OPEN a key c=chat,t=acme,d=2000,life=20")
	on.expect("UP ")
	h.Hang()
	p := dial(t, h.Addr(), "OPEN b key c=chat,t=acme,d=2000")
	time.Sleep(100 * time.Millisecond)
	if env.count(EventEnded) != 0 || env.count(EventOpened) != 1 {
		t.Error("a host that hangs reads or ends connections")
	}
	h.Resume()
	p.expect("UP ")
	on.expect("BYE")
}

func TestHostCrash_Restarted_EmptyAndCold(t *testing.T) {
	env := newFixture(t)
	h := env.host("h1", func(c *HostConfig) { c.Spec.SlowStartFraction, c.Spec.SlowStartDuration = 0.3, time.Hour })
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
	env := newFixture(t)
	h := env.host("h1", func(c *HostConfig) { c.ResumeTimeout = time.Hour })
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
