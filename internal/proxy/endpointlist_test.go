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

// With polling off the node watches the list, keeps it while discovery is silent, catches up on what it missed, and stops
// forwarding to a draining host within the drain grace.
func TestEndpointList_Pushed_DrainsWithinGrace(t *testing.T) {
	const grace = 50 * time.Millisecond
	var forwarded [2]atomic.Int64
	var endpoints [2]wire.Endpoint
	for i := range endpoints {
		addr := netiotest.Serve(t, func(c *net.TCPConn) {
			if line, err := bufio.NewReader(c).ReadString('\n'); err == nil && line[0] == 'O' {
				forwarded[i].Add(1)
				_, _ = io.WriteString(c, "UP r\r\nBYE\r\n")
			}
		})
		endpoints[i] = wire.Endpoint{ID: fmt.Sprint("h", i), Addr: addr, Size: 1}
	}
	clock := fakeserver.NewClock()
	service, err := fakeserver.NewDiscovery("", clock, fakeserver.NewEventLog(clock), 7, endpoints[:]...)
	if err != nil {
		t.Fatal(err)
	}
	defer service.Close()
	r := startNodeWith(t, zap.NewNop(), true, service.Addr(), func(s *settings.Settings) {
		s.PollList = false
		s.DrainGrace = grace
	})
	opened := 0
	// openRound opens connections and returns how many were forwarded to each host.
	openRound := func() (counts [2]int64) {
		before := [2]int64{forwarded[0].Load(), forwarded[1].Load()}
		for range 16 {
			opened++
			c, in := r.open(t, fmt.Sprintf("OPEN r%d key%d c=chat,d=5000", opened, opened))
			_, _ = in.ReadString('\n')
			_ = c.Close()
		}
		return [2]int64{forwarded[0].Load() - before[0], forwarded[1].Load() - before[1]}
	}
	// expectOnly waits until the node knows of the drain, and the grace; nothing may be forwarded to the other host then.
	expectOnly := func(what string, live int) {
		t.Helper()
		netiotest.Eventually(t, what, func() bool {
			hosts := r.node.View().Hosts
			return len(hosts) == 2 && hosts[1-live].State == balancer.Draining && hosts[live].State == balancer.Live
		})
		time.Sleep(grace)
		if counts := openRound(); counts[1-live] != 0 || counts[live] != 16 {
			t.Errorf("%s: forwarded %v of 16", what, counts)
		}
	}
	netiotest.Eventually(t, "the first list is received", func() bool { counts := openRound(); return counts[0] > 0 && counts[1] > 0 })
	endpoints[0].Phase = wire.Draining
	service.Set(endpoints[0])
	expectOnly("the first host is draining", 1)

	service.SetMode(fakeserver.ModeSilent)
	endpoints[0].Phase, endpoints[1].Phase = wire.Serving, wire.Draining
	service.Set(endpoints[0])
	service.Set(endpoints[1])
	if counts := openRound(); counts[1] != 16 {
		t.Errorf("while discovery is silent: forwarded %v of 16", counts)
	}
	service.SetMode(fakeserver.ModeNormal)
	expectOnly("the missed change is known", 0)
}
