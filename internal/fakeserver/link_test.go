package fakeserver

import (
	"strings"
	"testing"
	"time"
)

// Each fault of a link must affect its direction only, and only until it ends. When a blackhole ends, the link must
// reset the connections that lost bytes.
func TestLink_EachFault_AffectsTraffic(t *testing.T) {
	env := newFixture(t)
	host := env.host("h1", nil)
	link, err := NewLink(host.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	link.SetDelay(40 * time.Millisecond)
	start := time.Now()
	client := dial(t, link.Addr(), "OPEN a key c=chat,t=acme,d=2000")
	client.expect("UP ")
	if latency := time.Since(start); latency < 80*time.Millisecond {
		t.Errorf("round trip took %v with a delay of 40 ms in each direction, want at least 80 ms", latency)
	}
	link.SetDelay(0)
	link.SetStalled(true)
	client.send("M 1")
	time.Sleep(50 * time.Millisecond)
	link.SetStalled(false)
	client.expect("M 1")
	link.SetRate(10_000)
	start = time.Now()
	for range 4 {
		client.send(strings.Repeat("x", 500))
		client.expect("x")
	}
	if took := time.Since(start); took < 150*time.Millisecond { // 50 ms after each line except the last
		t.Errorf("2 kB took %v at 10 kB per second, want at least 150 ms", took)
	}
	link.SetRate(0)
	link.SetFault(ToTarget, func(fault *LinkFault) { fault.Blackhole = true }) // the host's lines still arrive
	client.send("M lost")
	quiet := dial(t, link.Addr(), "OPEN b key c=chat,t=acme,d=2000")
	host.Drain(0)
	client.expect("MOVE")
	_ = quiet.connection.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if line, err := quiet.reader.ReadString('\n'); err == nil {
		t.Errorf("received %q through a blackhole", line)
	}
	_ = quiet.connection.SetReadDeadline(time.Now().Add(testTimeout))
	link.SetFault(ToTarget, func(fault *LinkFault) { fault.Blackhole = false })
	quiet.expectEnd() // the link resets the connection because its bytes were lost
	host.CancelDrain()
	client = dial(t, link.Addr(), "OPEN c key c=chat,t=acme,d=2000")
	client.expect("UP ")
	link.ResetConnections()
	client.expectEnd()
}
