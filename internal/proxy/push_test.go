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
	"onyxstream/internal/settings"
	"onyxstream/internal/wire"
)

// A list that comes unasked: the node follows it by itself, goes on with what it has while discovery says nothing, takes
// up what it missed, and keeps a drain told that way, within 50 ms.
func TestAListThatComesUnasked(t *testing.T) {
	const grace = 50 * time.Millisecond
	var asked [2]atomic.Int64
	var members [2]wire.Endpoint
	for i := range members {
		addr := host(t, func(c *net.TCPConn) {
			if line, err := bufio.NewReader(c).ReadString('\n'); err == nil && line[0] == 'O' {
				asked[i].Add(1)
				_, _ = io.WriteString(c, "UP r\r\nBYE\r\n")
			}
		})
		members[i] = wire.Endpoint{ID: fmt.Sprint("h", i), Addr: addr, Size: 1}
	}
	clock := fakeserver.NewClock()
	d, err := fakeserver.NewDiscovery("", clock, fakeserver.NewEventLog(clock), 7, members[:]...)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	r := newRigOf(t, zap.NewNop(), true, d.Addr(), func(s *settings.Settings) { s.PollList, s.DrainGrace = false, grace })
	opened := 0
	// round opens some connections and tells how many each host was asked for.
	round := func() (at [2]int64) {
		before := [2]int64{asked[0].Load(), asked[1].Load()}
		for range 16 {
			opened++
			c, in := r.ask(t, fmt.Sprintf("OPEN r%d key%d c=chat,d=5000", opened, opened))
			_, _ = in.ReadString('\n')
			_ = c.Close()
		}
		return [2]int64{asked[0].Load() - before[0], asked[1].Load() - before[1]}
	}
	// only waits until the node has been told of the drain, and its grace; from then on nothing new may go there.
	only := func(what string, one int) {
		t.Helper()
		waitFor(t, what, func() bool {
			v := r.n.View().Hosts
			return len(v) == 2 && v[1-one].State == balancer.Draining && v[one].State == balancer.Live
		})
		time.Sleep(grace)
		if at := round(); at[1-one] != 0 || at[one] != 16 {
			t.Errorf("%s: asked %v of 16", what, at)
		}
	}
	waitFor(t, "the first list comes unasked", func() bool { at := round(); return at[0] > 0 && at[1] > 0 })
	members[0].Phase = wire.Draining
	d.Set(members[0])
	only("the first host drains", 1)

	d.SetMode(fakeserver.ModeSilent)
	members[0].Phase, members[1].Phase = wire.Serving, wire.Draining
	d.Set(members[0])
	d.Set(members[1])
	if at := round(); at[1] != 16 {
		t.Errorf("while discovery is silent: asked %v of 16", at)
	}
	d.SetMode(fakeserver.ModeNormal)
	only("what was missed is taken up", 0)
}
