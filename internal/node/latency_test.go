package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"onyxstream/balancer"
	"onyxstream/internal/wire"
)

// A host that is cut off sends nothing and closes nothing: its clients must be migrated before their messages time out.
func TestUnresponsiveHost_TwoTicks_ClientMigratedOnce(t *testing.T) {
	n, _, logs := newTestNode(t, endpoint("s1", wire.Serving))
	n.slowMessageThreshold = 0 // no latency reports
	p, q := establish(t, n, "r"), establish(t, n, "q")
	p.stats = MessageStats{OldestWait: unresponsiveAfter + time.Millisecond}
	q.stats = MessageStats{OldestWait: unresponsiveAfter - time.Millisecond}
	n.handleTick(time.Now())
	if strings.Contains(p.recorded(), "migrate") {
		t.Error("migrated at the first tick, as every client would be of a node that was suspended")
	}
	p.stats = MessageStats{}
	n.handleTick(time.Now())
	p.stats = MessageStats{OldestWait: unresponsiveAfter + time.Millisecond}
	n.handleTick(time.Now())
	if strings.Contains(p.recorded(), "migrate") {
		t.Error("migrated though the host had answered in between")
	}
	n.handleTick(time.Now())
	n.handleTick(time.Now())
	if strings.Count(p.recorded(), "migrate") != 1 || strings.Contains(q.recorded(), "migrate") ||
		logs.FilterMessageSnippet("host unresponsive").Len() != 1 {
		t.Errorf("unresponsive: %s; healthy: %s", p.recorded(), q.recorded())
	}
}

// The balancer is notified of the median message of a second while that is above a third of the shortest objective, and
// once more when it is below. One slow message among many is not reported.
func TestLatencyReport_SlowMedian_ReportedUntilWell(t *testing.T) {
	n, _, _ := newTestNode(t, endpoint("s1", wire.Serving))
	conns := []*fakeConn{establish(t, n, "r0"), establish(t, n, "r1"), establish(t, n, "r2")}
	host := n.hosts["s1"]
	second := func(took ...time.Duration) {
		for i, p := range conns {
			if took[i] > 0 {
				p.stats.Answered++
				p.stats.LastLatency = took[i]
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
		if second(c.took...); host.reportedSlow != c.slow || len(host.latencySamples) != 0 {
			t.Errorf("second %d: slow %v, want %v; %d samples kept", i, host.reportedSlow, c.slow, len(host.latencySamples))
		}
	}
	for _, p := range conns { // all three: the balancer may have migrated some of them
		p.stats.OldestWait = 40 * time.Millisecond
	}
	if second(0, 0, 0); !host.reportedSlow {
		t.Error("messages without a reply are not reported")
	}
}

// A host answers lines at once however long its queue is. Where probes are allowed latency is measured by pings, and by
// the wait for a ping without an answer.
func TestPing_SlowHost_ReportedWhenConfirmed(t *testing.T) {
	n, w, _ := newTestNode(t, endpoint("s1", wire.Serving), endpoint("s2", wire.Serving))
	n.settings.ReportsLatency, n.settings.MayProbe = true, true
	p := establish(t, n, "r")
	host := n.requests["r"].host
	if len(w.pings) != 1 || w.pings[0] != host.id {
		t.Fatalf("pings %v with a first connection, want one to its host", w.pings)
	}
	n.handle(pingCompleted{host: host.id, took: 80 * time.Millisecond})
	w.pings = nil
	p.stats = MessageStats{Answered: 1, LastLatency: time.Millisecond}
	now := time.Now()
	second := func() {
		for range ticksPerMeasurement {
			now = now.Add(tickInterval)
			n.handleTick(now)
		}
	}
	second()
	if second(); len(w.pings) != 1 || w.pings[0] != host.id {
		t.Fatalf("pings %v in two seconds, want one to the host with a connection", w.pings)
	}
	pinged := func(took time.Duration) {
		n.handle(pingCompleted{host: host.id, took: took})
	}
	// The round trip to a distant host is no message latency.
	pinged(70 * time.Millisecond)
	second()
	second()
	if pinged(75 * time.Millisecond); host.reportedSlow || host.unconfirmedPing > 0 {
		t.Error("the round trip counts as message latency")
	}
	pinged(2 * time.Millisecond) // its best
	for _, c := range []struct {
		first, again time.Duration
		slow         bool
	}{
		{3 * time.Millisecond, 0, false},                     // jitter
		{30 * time.Millisecond, 2 * time.Millisecond, false}, // not confirmed
		{7 * time.Millisecond, 6 * time.Millisecond, true},   // three times slower than at its best
		{5 * time.Millisecond, 0, true},                      // still slow
		{3 * time.Millisecond, 0, false},                     // recovered
		{30 * time.Millisecond, 30 * time.Millisecond, true}, // slow by any measure
	} {
		second()
		second()
		before := len(w.pings)
		pinged(c.first)
		if (len(w.pings) > before) != (c.again > 0) {
			t.Errorf("after %v: pinged again %v", c.first, len(w.pings) > before)
		}
		if c.again > 0 {
			pinged(c.again)
		}
		if host.reportedSlow != c.slow {
			t.Errorf("after %v and %v: slow %v", c.first, c.again, host.reportedSlow)
		}
	}
	n.requests["r"].migrating = false // undo the balancer's migration
	before := len(w.pings)
	if second(); len(w.pings) != before+1 {
		t.Errorf("%d pings a second after a slow one, want 1", len(w.pings)-before)
	}
	pinged(2 * time.Millisecond)
	second()
	second()
	pinged(-1)
	if second(); host.reportedSlow {
		t.Error("a host that could not be pinged counts as slow")
	}
	for range 4 {
		second()
	}
	if !host.reportedSlow {
		t.Error("a ping without an answer is not reported")
	}
	restarted := wire.Endpoint{ID: string(host.id), StartedAtMS: 5, Size: 1}
	n.applyList(changesOf(0, restarted), balancer.ListDelta, false)
	if host.bestPing != 0 {
		t.Error("the best ping is kept over a restart of the host")
	}
}

// A ping that could not be sent, as without a free descriptor, says nothing of the host.
func TestPing_NotSent_NoReport(t *testing.T) {
	n, w, _ := newTestNode(t, endpoint("s1", wire.Serving))
	n.settings.ReportsLatency, n.settings.MayProbe = true, true
	w.pingsFail = true
	p := establish(t, n, "r")
	for range 8 * ticksPerMeasurement {
		n.handleTick(time.Now())
	}
	if on := n.requests["r"].host; on.reportedSlow || strings.Contains(p.recorded(), "migrate") {
		t.Errorf("slow %v; %s", on.reportedSlow, p.recorded())
	}
	w.pingsFail = false
	for range 2 * ticksPerMeasurement {
		n.handleTick(time.Now())
	}
	if len(w.pings) != 1 {
		t.Errorf("%d pings once they can be sent, want 1", len(w.pings))
	}
}

// A host that was half used and slows to an eighth gets four times what it can do: four fifths of its clients must be
// migrated at once.
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
	for _, p := range conns {
		migrated += strings.Count(p.recorded(), "migrate")
	}
	if migrated < 15 || migrated > 17 {
		t.Errorf("%d of 20 migrated, want four fifths", migrated)
	}
}

// The allowance for jitter must not hide the overload of a fast host, whose pings are short even at twice their best.
func TestPing_FastHostOverloaded_NotTakenForJitter(t *testing.T) {
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
			t.Errorf("after %v: slow %v", c.micros*time.Microsecond, host.reportedSlow)
		}
	}
}

// The backlog of a host that stays at 2.5 times its best grows with each ping.
func TestBacklog_HostStaysSlow_GrowsEachPing(t *testing.T) {
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

func TestMigrateAll_ManyClients_SpreadOverTime(t *testing.T) {
	n, _, _ := newTestNode(t, endpoint("s1", wire.Serving))
	var conns []*fakeConn
	for i := range 20 {
		conns = append(conns, establish(t, n, fmt.Sprint("r", i)))
	}
	migrated := func() (k int) {
		for _, p := range conns {
			k += strings.Count(p.recorded(), "migrate")
		}
		return k
	}
	now := time.Now()
	n.handle(migrateAllRequested{deadline: now.Add(4 * tickInterval)})
	for i := range 4 {
		n.handleTick(now.Add(time.Duration(i) * tickInterval))
		if i == 0 && (migrated() == 0 || migrated() > 6) {
			t.Errorf("%d of 20 migrated at the first of four ticks", migrated())
		}
	}
	if migrated() != 20 {
		t.Errorf("%d of 20 migrated, want each once", migrated())
	}
}
