package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/fakeserver"
	"onyxstream/internal/netio/netiotest"
	"onyxstream/internal/settings"
	"onyxstream/internal/wire"
)

// drainGrace is the drain grace of a watchTest's node.
const drainGrace = 50 * time.Millisecond

// watchTest is a node, and a fake discovery with two hosts. The node does not poll the endpoint list, but watches it.
type watchTest struct {
	node      *testNode
	discovery *fakeserver.Discovery
	endpoints [2]wire.Endpoint
	forwarded [2]atomic.Int64 // opening lines that each host has read
	opened    int             // connections opened so far
}

func newWatchTest(t *testing.T) *watchTest {
	t.Helper()
	p := &watchTest{}
	for i := range p.endpoints {
		addr := netiotest.Serve(t, func(c *net.TCPConn) {
			if line, err := bufio.NewReader(c).ReadString('\n'); err == nil && line[0] == 'O' {
				p.forwarded[i].Add(1)
				_, _ = io.WriteString(c, "UP r\r\nBYE\r\n")
			}
		})
		p.endpoints[i] = wire.Endpoint{ID: fmt.Sprint("h", i), Addr: addr, Size: 1}
	}
	clock := fakeserver.NewClock()
	fake, err := fakeserver.NewDiscovery("", clock, fakeserver.NewEventLog(clock), 7, p.endpoints[:]...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fake.Close)
	p.discovery = fake
	p.node = startNodeWith(t, zap.NewNop(), true, fake.Addr(), func(s *settings.Settings) {
		s.PollList = false
		s.DrainGrace = drainGrace
	})
	return p
}

// openRound opens 16 connections and returns how many were forwarded to each host.
func (p *watchTest) openRound(t *testing.T) (counts [2]int64) {
	t.Helper()
	before := [2]int64{p.forwarded[0].Load(), p.forwarded[1].Load()}
	for range 16 {
		p.opened++
		c, in := p.node.open(t, fmt.Sprintf("OPEN r%d key%d c=chat,d=5000", p.opened, p.opened))
		_, _ = in.ReadString('\n')
		_ = c.Close()
	}
	return [2]int64{p.forwarded[0].Load() - before[0], p.forwarded[1].Load() - before[1]}
}

// expectAllForwardedTo waits until the node knows that the other host is draining, and until the drain grace is over.
// Then it opens connections, and fails the test unless all of them are forwarded to liveHost. what describes the
// expected state.
func (p *watchTest) expectAllForwardedTo(t *testing.T, what string, liveHost int) {
	t.Helper()
	netiotest.Eventually(t, what, func() bool {
		hosts := p.node.node.View().Hosts
		return len(hosts) == 2 && hosts[1-liveHost].State == balancer.Draining && hosts[liveHost].State == balancer.Live
	})
	time.Sleep(drainGrace)
	if counts := p.openRound(t); counts[1-liveHost] != 0 || counts[liveHost] != 16 {
		t.Errorf("%s: forwarded %v of 16 requests to each host, want all to the live one", what, counts)
	}
}

// With polling off, the node watches the endpoint list. It keeps the list while discovery is silent, catches up on
// changes that it missed, and stops forwarding to a draining host within the drain grace.
func TestEndpointList_Pushed_DrainsWithinGrace(t *testing.T) {
	p := newWatchTest(t)
	netiotest.Eventually(t, "the first list is received", func() bool {
		counts := p.openRound(t)
		return counts[0] > 0 && counts[1] > 0
	})
	p.endpoints[0].Phase = wire.Draining
	p.discovery.Set(p.endpoints[0])
	p.expectAllForwardedTo(t, "the first host is draining", 1)

	p.discovery.SetMode(fakeserver.ModeSilent)
	p.endpoints[0].Phase, p.endpoints[1].Phase = wire.Serving, wire.Draining
	p.discovery.Set(p.endpoints[0])
	p.discovery.Set(p.endpoints[1])
	if counts := p.openRound(t); counts[1] != 16 {
		t.Errorf("while discovery is silent: forwarded %v of 16 requests to each host, want all to the second", counts)
	}
	p.discovery.SetMode(fakeserver.ModeNormal)
	p.expectAllForwardedTo(t, "the missed change is known", 0)
}
