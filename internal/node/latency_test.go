package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"onyxstream/balancer"
	"onyxstream/internal/wire"
)

// A host that is cut off from the network neither sends data nor closes connections. Its clients must be migrated
// before their messages time out.
func TestUnresponsiveHost_TwoTicks_ClientMigratedOnce(t *testing.T) {
	n, _, logs := newTestNode(t, endpoint("s1", wire.Serving))
	n.slowMessageThreshold = 0 // no latency reports
	unresponsive, healthy := establish(t, n, "r"), establish(t, n, "q")
	unresponsive.stats = MessageStats{OldestWait: unresponsiveAfter + time.Millisecond}
	healthy.stats = MessageStats{OldestWait: unresponsiveAfter - time.Millisecond}
	n.handleTick(time.Now())
	if strings.Contains(unresponsive.recorded(), "migrate") {
		t.Error("migrated at the first tick; after a suspension of the node, this would migrate every client")
	}
	unresponsive.stats = MessageStats{}
	n.handleTick(time.Now())
	unresponsive.stats = MessageStats{OldestWait: unresponsiveAfter + time.Millisecond}
	n.handleTick(time.Now())
	if strings.Contains(unresponsive.recorded(), "migrate") {
		t.Error("migrated although the host responded between the ticks")
	}
	n.handleTick(time.Now())
	n.handleTick(time.Now())
	if strings.Count(unresponsive.recorded(), "migrate") != 1 || strings.Contains(healthy.recorded(), "migrate") ||
		logs.FilterMessageSnippet("host unresponsive").Len() != 1 {
		t.Errorf("unresponsive: calls %q; healthy: calls %q; want one migration and one log message for the first",
			unresponsive.recorded(), healthy.recorded())
	}
}

// The balancer is notified of the median message latency of each second while it is above a third of the shortest
// objective, and once more when it is below. One slow message among many must not be reported.
func TestLatencyReport_SlowMedian_ReportedUntilRecovered(t *testing.T) {
	n, _, _ := newTestNode(t, endpoint("s1", wire.Serving))
	conns := []*fakeConn{establish(t, n, "r0"), establish(t, n, "r1"), establish(t, n, "r2")}
	host := n.hosts["s1"]
	measureSecond := func(took ...time.Duration) {
		for i, conn := range conns {
			if took[i] > 0 {
				conn.stats.Answered++
				conn.stats.LastLatency = took[i]
			}
		}
		for range ticksPerMeasurement {
			n.handleTick(time.Now())
		}
	}
	for i, c := range []struct {
		took []time.Duration
		slow bool
	}{
		{[]time.Duration{1e6, 1e6, 90e6}, false},
		{[]time.Duration{1e6, 30e6, 90e6}, true},
		{[]time.Duration{0, 0, 0}, true}, // no messages
		{[]time.Duration{1e6, 2e6, 90e6}, false},
	} {
		if measureSecond(c.took...); host.reportedSlow != c.slow || len(host.latencySamples) != 0 {
			t.Errorf("second %d: slow %v, want %v; %d samples kept, want none", i, host.reportedSlow, c.slow, len(host.latencySamples))
		}
	}
	for _, conn := range conns { // all three: the balancer may have migrated some of them
		conn.stats.OldestWait = 40 * time.Millisecond
	}
	if measureSecond(0, 0, 0); !host.reportedSlow {
		t.Error("the host is not reported as slow although messages have waited 40 ms for a response")
	}
}

// pingTest holds a node that measures its hosts by pings and has one established connection.
type pingTest struct {
	node      *Node
	transport *fakeTransport
	conn      *fakeConn
	host      *hostRecord // host of the connection
	now       time.Time
}

func newPingTest(t *testing.T) *pingTest {
	t.Helper()
	n, transport, _ := newTestNode(t, endpoint("s1", wire.Serving), endpoint("s2", wire.Serving))
	n.settings.ReportsLatency, n.settings.MayProbe = true, true
	conn := establish(t, n, "r")
	return &pingTest{node: n, transport: transport, conn: conn, host: n.requests["r"].host, now: time.Now()}
}

// advanceSecond calls handleTick for each tick of one second.
func (p *pingTest) advanceSecond() {
	for range ticksPerMeasurement {
		p.now = p.now.Add(tickInterval)
		p.node.handleTick(p.now)
	}
}

// completePing passes the result of a ping to the node.
func (p *pingTest) completePing(took time.Duration) {
	p.node.handle(pingCompleted{host: p.host.id, took: took})
}

// A host responds to lines at once, however long its queue is. If the settings allow it, the node must therefore
// measure latency by pings, and by the waiting time of a ping without a response.
func TestPing_SlowHost_ReportedWhenConfirmed(t *testing.T) {
	p := newPingTest(t)
	if len(p.transport.pings) != 1 || p.transport.pings[0] != p.host.id {
		t.Fatalf("pings %v at the first connection, want one to its host", p.transport.pings)
	}
	p.completePing(80 * time.Millisecond)
	p.transport.pings = nil
	p.conn.stats = MessageStats{Answered: 1, LastLatency: time.Millisecond}
	p.advanceSecond()
	if p.advanceSecond(); len(p.transport.pings) != 1 || p.transport.pings[0] != p.host.id {
		t.Fatalf("pings %v in two seconds, want one to the host with a connection", p.transport.pings)
	}
	// The network's round trip time to a distant host is not message latency.
	p.completePing(70 * time.Millisecond)
	p.advanceSecond()
	p.advanceSecond()
	if p.completePing(75 * time.Millisecond); p.host.reportedSlow || p.host.unconfirmedPing > 0 {
		t.Error("the round trip time counts as message latency")
	}
	p.completePing(2 * time.Millisecond) // the host's best ping
	checkSlowPings(t, p)
	checkRecovery(t, p)
	restarted := wire.Endpoint{ID: string(p.host.id), StartedAtMS: 5, Size: 1}
	p.node.applyList(changesOf(0, restarted), balancer.ListDelta, false)
	if p.host.bestPing != 0 {
		t.Error("the best ping is kept after a restart of the host")
	}
}

// checkSlowPings checks which pings of a host with a best ping of 2 ms are repeated and which are reported as slow.
func checkSlowPings(t *testing.T, p *pingTest) {
	t.Helper()
	for _, c := range []struct {
		first, again time.Duration
		slow         bool
	}{
		{3 * time.Millisecond, 0, false},                     // jitter
		{30 * time.Millisecond, 2 * time.Millisecond, false}, // not confirmed
		{7 * time.Millisecond, 6 * time.Millisecond, true},   // three times its best ping
		{5 * time.Millisecond, 0, true},                      // still slow
		{3 * time.Millisecond, 0, false},                     // recovered
		{30 * time.Millisecond, 30 * time.Millisecond, true}, // slow even if the best ping is subtracted
	} {
		p.advanceSecond()
		p.advanceSecond()
		before := len(p.transport.pings)
		p.completePing(c.first)
		if (len(p.transport.pings) > before) != (c.again > 0) {
			t.Errorf("after a ping of %v: pinged again %v, want the opposite", c.first, len(p.transport.pings) > before)
		}
		if c.again > 0 {
			p.completePing(c.again)
		}
		if p.host.reportedSlow != c.slow {
			t.Errorf("after pings of %v and %v: slow %v, want the opposite", c.first, c.again, p.host.reportedSlow)
		}
	}
}

// checkRecovery checks that a slow host is pinged each second, that a host that could not be pinged does not count as
// slow, and that a host without a response to a ping does.
func checkRecovery(t *testing.T, p *pingTest) {
	t.Helper()
	p.node.requests["r"].migrating = false // undo the balancer's migration
	before := len(p.transport.pings)
	if p.advanceSecond(); len(p.transport.pings) != before+1 {
		t.Errorf("%d pings in the second after a slow one, want 1", len(p.transport.pings)-before)
	}
	p.completePing(2 * time.Millisecond)
	p.advanceSecond()
	p.advanceSecond()
	p.completePing(-1)
	if p.advanceSecond(); p.host.reportedSlow {
		t.Error("a host that could not be pinged counts as slow")
	}
	for range 4 {
		p.advanceSecond()
	}
	if !p.host.reportedSlow {
		t.Error("a ping without a response is not reported")
	}
}

// A ping that could not be sent, for example for lack of a file descriptor, must not count as a slow host.
func TestPing_NotSent_NoReport(t *testing.T) {
	n, transport, _ := newTestNode(t, endpoint("s1", wire.Serving))
	n.settings.ReportsLatency, n.settings.MayProbe = true, true
	transport.pingsFail = true
	conn := establish(t, n, "r")
	for range 8 * ticksPerMeasurement {
		n.handleTick(time.Now())
	}
	if host := n.requests["r"].host; host.reportedSlow || strings.Contains(conn.recorded(), "migrate") {
		t.Errorf("slow %v, calls %q; want no report and no migration", host.reportedSlow, conn.recorded())
	}
	transport.pingsFail = false
	for range 2 * ticksPerMeasurement {
		n.handleTick(time.Now())
	}
	if len(transport.pings) != 1 {
		t.Errorf("%d pings after they can be sent again, want 1", len(transport.pings))
	}
}

// A host at half of its capacity that slows to an eighth gets four times the load that it can handle. Four fifths of
// its clients must be migrated at once.
func TestPing_HostSlowsToAnEighth_ReportIncludesBacklog(t *testing.T) {
	n, _, _ := newTestNode(t, endpoint("s1", wire.Serving))
	n.settings.ReportsLatency, n.settings.MayProbe = true, true
	var conns []*fakeConn
	for i := range 20 {
		conns = append(conns, establish(t, n, fmt.Sprint("r", i)))
	}
	for range ticksPerMeasurement {
		n.handleTick(time.Now())
	}
	for _, took := range []time.Duration{3, 24, 24} {
		n.handle(pingCompleted{host: "s1", took: took * time.Millisecond})
	}
	migrated := 0
	for _, conn := range conns {
		migrated += strings.Count(conn.recorded(), "migrate")
	}
	if migrated < 15 || migrated > 17 {
		t.Errorf("%d of 20 clients migrated, want 15 to 17, about four fifths", migrated)
	}
}

// The tolerance for jitter must not hide the overload of a fast host, whose pings are short even at twice its best
// ping.
func TestPing_FastHostOverloaded_NotIgnoredAsJitter(t *testing.T) {
	n, _, _ := newTestNode(t, endpoint("s1", wire.Serving))
	n.settings.ReportsLatency, n.settings.MayProbe = true, true
	establish(t, n, "r")
	host := n.hosts["s1"]
	host.representative = "r"
	for _, c := range []struct {
		micros time.Duration
		slow   bool
	}{{1000, false}, {2100, false}, {2500, false}, {2500, true}, {2100, false}} {
		if n.handlePingResult(host, c.micros*time.Microsecond); host.reportedSlow != c.slow {
			t.Errorf("after a ping of %v: slow %v, want the opposite", c.micros*time.Microsecond, host.reportedSlow)
		}
	}
}

// The estimated backlog of a host whose pings stay at 2.5 times its best ping must grow with each ping.
func TestBacklog_HostRemainsSlow_GrowsEachPing(t *testing.T) {
	n, _, _ := newTestNode(t, endpoint("s1", wire.Serving))
	n.settings.ReportsLatency, n.settings.MayProbe = true, true
	establish(t, n, "r")
	n.handleTick(time.Now())
	host := n.hosts["s1"]
	host.representative = "r"
	for i, c := range []struct{ took, backlog time.Duration }{
		{4, 0}, {10, 0}, {10, 250}, {10, 500}, {10, 750}, {7, 625}, {4, 0},
	} {
		n.handlePingResult(host, c.took*time.Millisecond)
		if host.backlog != c.backlog*time.Millisecond {
			t.Errorf("ping %d: backlog %v, want %v", i, host.backlog, c.backlog*time.Millisecond)
		}
	}
}
