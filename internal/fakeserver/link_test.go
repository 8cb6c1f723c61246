package fakeserver

import (
	"strings"
	"testing"
	"time"
)

func TestLink_EachFault_AffectsTraffic(t *testing.T) {
	env := newFixture(t)
	h := env.host("h1", nil)
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
