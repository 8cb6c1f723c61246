package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"onyxstream/balancer"
	"onyxstream/internal/wire"
)

// A host that is cut off says nothing and breaks nothing; its clients must be sent away, and long before the
// seven seconds are over.
func TestUnresponsiveHost_TwoTicks_ClientMigratedOnce(t *testing.T) {
	n, _, logs := newTestNode(t, endpoint("s1", wire.Serving))
	n.slowMessageThreshold = 0 // slow messages are not what this is about
	p, q := establish(t, n, "r"), establish(t, n, "q")
	p.stats = MessageStats{OldestWait: unresponsiveAfter + time.Millisecond}
	q.stats = MessageStats{OldestWait: unresponsiveAfter - time.Millisecond}
	n.handleTick(time.Now())
	if strings.Contains(p.recorded(), "move") {
		t.Error("moved at the first sign, which a node that stood still itself sees at every host")
	}
	p.stats = MessageStats{}
	n.handleTick(time.Now())
	p.stats = MessageStats{OldestWait: unresponsiveAfter + time.Millisecond}
	n.handleTick(time.Now())
	if strings.Contains(p.recorded(), "move") {
		t.Error("moved though the host had answered in between")
	}
	n.handleTick(time.Now())
	n.handleTick(time.Now())
	if strings.Count(p.recorded(), "move") != 1 || strings.Contains(q.recorded(), "move") || logs.FilterMessageSnippet("host unresponsive").Len() != 1 {
		t.Errorf("silent: %s; well: %s", p.recorded(), q.recorded())
	}
}

// The module is told as the simulator tells it: of the middle message of a second while that is over a
// third of the shortest aim, and once more when it is under. One slow message among many is no news.
func TestLatencyReport_SlowMedian_ReportedUntilWell(t *testing.T) {
	n, _, _ := newTestNode(t, endpoint("s1", wire.Serving))
	ports := []*fakeConn{establish(t, n, "r0"), establish(t, n, "r1"), establish(t, n, "r2")}
	m := n.hosts["s1"]
	second := func(took ...time.Duration) {
		for i, p := range ports {
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
		{[]time.Duration{0, 0, 0}, true}, // nothing was said, so nothing is new
		{[]time.Duration{1e6, 2e6, 90e6}, false},
	} {
		if second(c.took...); m.reportedSlow != c.slow || len(m.latencySamples) != 0 {
			t.Errorf("second %d: slow %v, want %v; %d figures kept", i, m.reportedSlow, c.slow, len(m.latencySamples))
		}
	}
	for _, p := range ports { // all three: the module may have sent some away for the slow second
		p.stats.OldestWait = 40 * time.Millisecond
	}
	if second(0, 0, 0); !m.reportedSlow {
		t.Error("messages that wait for their answer are no news")
	}
}

// A host answers lines at once however much is piled up there; where probes are allowed a ping tells, and one
// without an answer tells by how long it waits.
func TestPing_SlowHost_ReportedWhenConfirmed(t *testing.T) {
	n, w, _ := newTestNode(t, endpoint("s1", wire.Serving), endpoint("s2", wire.Serving))
	n.settings.ReportsLatency, n.settings.MayProbe = true, true
	p := establish(t, n, "r")
	on := n.requests["r"].host
	if len(w.pings) != 1 || w.pings[0] != on.id {
		t.Fatalf("pings %v with a first connection, want one to its host", w.pings)
	}
	n.handle(pingCompleted{host: on.id, took: 80 * time.Millisecond})
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
	if second(); len(w.pings) != 1 || w.pings[0] != on.id {
		t.Fatalf("pings %v in two seconds, want one to the host where a client stands", w.pings)
	}
	pinged := func(took time.Duration) {
		n.handle(pingCompleted{host: on.id, took: took})
	}
	// A host far away takes long to answer at its best too.
	pinged(70 * time.Millisecond)
	second()
	second()
	if pinged(75 * time.Millisecond); on.reportedSlow || on.unconfirmedPing > 0 {
		t.Error("the way to a host counts as its message time")
	}
	pinged(2 * time.Millisecond) // its best
	for _, c := range []struct {
		first, again time.Duration
		slow         bool
	}{
		{3 * time.Millisecond, 0, false},                     // jitter
		{30 * time.Millisecond, 2 * time.Millisecond, false}, // a hiccup of this machine
		{7 * time.Millisecond, 6 * time.Millisecond, true},   // three times slower than at its best
		{5 * time.Millisecond, 0, true},                      // still slow
		{3 * time.Millisecond, 0, false},                     // well again
		{30 * time.Millisecond, 30 * time.Millisecond, true}, // slow by any measure
	} {
		second()
		second()
		before := len(w.pings)
		pinged(c.first)
		if (len(w.pings) > before) != (c.again > 0) {
			t.Errorf("after %v: asked again %v", c.first, len(w.pings) > before)
		}
		if c.again > 0 {
			pinged(c.again)
		}
		if on.reportedSlow != c.slow {
			t.Errorf("after %v and %v: slow %v", c.first, c.again, on.reportedSlow)
		}
	}
	n.requests["r"].migrating = false // the module has moved it: have it back
	before := len(w.pings)
	if second(); len(w.pings) != before+1 {
		t.Errorf("%d pings a second after a slow one, want 1", len(w.pings)-before)
	}
	pinged(2 * time.Millisecond)
	second()
	second()
	pinged(-1)
	if second(); on.reportedSlow {
		t.Error("a host that could not be asked counts as slow")
	}
	for range 4 {
		second()
	}
	if !on.reportedSlow {
		t.Error("a ping without an answer is no news")
	}
	n.applyList(&wire.EndpointList{Endpoints: []wire.Endpoint{{ID: string(on.id), StartedAtMS: 5, Size: 1}}}, balancer.ListDelta, false)
	if on.bestPing != 0 {
		t.Error("a host that has restarted is measured by what it was")
	}
}

// Where no descriptor is left for a ping, its host is not asked: that is no news of it, and it does not pass for silent.
func TestPing_NotSent_NoReport(t *testing.T) {
	n, w, _ := newTestNode(t, endpoint("s1", wire.Serving))
	n.settings.ReportsLatency, n.settings.MayProbe = true, true
	w.pingsFail = true
	p := establish(t, n, "r")
	for range 8 * ticksPerMeasurement {
		n.handleTick(time.Now())
	}
	if on := n.requests["r"].host; on.reportedSlow || strings.Contains(p.recorded(), "move") {
		t.Errorf("slow %v; %s", on.reportedSlow, p.recorded())
	}
	w.pingsFail = false
	for range 2 * ticksPerMeasurement {
		n.handleTick(time.Now())
	}
	if len(w.pings) != 1 {
		t.Errorf("%d pings once there is room, want 1", len(w.pings))
	}
}

// A host that has slowed to an eighth is asked four times what it can do if it was half used: four fifths
// of its clients are to leave at once, not a sixth.
func TestPing_HostSlowsToAnEighth_ReportIncludesBacklog(t *testing.T) {
	n, _, _ := newTestNode(t, endpoint("s1", wire.Serving))
	n.settings.ReportsLatency, n.settings.MayProbe = true, true
	var ports []*fakeConn
	for i := range 20 {
		ports = append(ports, establish(t, n, fmt.Sprint("r", i)))
	}
	for range ticksPerMeasurement {
		n.handleTick(time.Now())
	}
	for _, took := range []time.Duration{3, 24, 24} {
		n.handle(pingCompleted{host: "s1", took: took * time.Millisecond})
	}
	moved := 0
	for _, p := range ports {
		moved += strings.Count(p.recorded(), "move")
	}
	if moved < 15 || moved > 17 {
		t.Errorf("%d of 20 moved, want four fifths", moved)
	}
}

// What passes for jitter must not hide a crowd at a fast host, whose pings are short at twice and more of their best.
func TestACrowdAtAFastHostIsNoJitter(t *testing.T) {
	n, _, _ := newTestNode(t, endpoint("s1", wire.Serving))
	n.settings.ReportsLatency, n.settings.MayProbe = true, true
	establish(t, n, "r")
	m := n.hosts["s1"]
	m.representative = "r"
	for _, c := range []struct {
		micros time.Duration
		slow   bool
	}{{1000, false}, {2100, false}, {2500, false}, {2500, true}, {2100, false}} {
		if n.handlePingResult(m, c.micros*time.Microsecond); m.reportedSlow != c.slow {
			t.Errorf("after %v: slow %v", c.micros*time.Microsecond, m.reportedSlow)
		}
	}
}

// A host that stays at 2.5 times its best is asked more than it can do each second anew: shedding a seventh of the
// rest a second would let it stay so, and it gives up a third.
func TestBacklog_HostStaysSlow_GrowsEachPing(t *testing.T) {
	n, _, _ := newTestNode(t, endpoint("s1", wire.Serving))
	n.settings.ReportsLatency, n.settings.MayProbe = true, true
	establish(t, n, "r")
	n.handleTick(time.Now())
	m := n.hosts["s1"]
	m.representative = "r"
	for i, c := range []struct{ took, pile time.Duration }{{4, 0}, {10, 0}, {10, 250}, {10, 500}, {10, 750}, {7, 625}, {4, 0}} {
		n.handlePingResult(m, c.took*time.Millisecond)
		if m.backlog != c.pile*time.Millisecond {
			t.Errorf("ping %d: %v piled up, want %v", i, m.backlog, c.pile*time.Millisecond)
		}
	}
}

func TestMigrateAll_ManyClients_SpreadOverTime(t *testing.T) {
	n, _, _ := newTestNode(t, endpoint("s1", wire.Serving))
	var ports []*fakeConn
	for i := range 20 {
		ports = append(ports, establish(t, n, fmt.Sprint("r", i)))
	}
	moved := func() (k int) {
		for _, p := range ports {
			k += strings.Count(p.recorded(), "move")
		}
		return k
	}
	now := time.Now()
	n.handle(migrateAllRequested{deadline: now.Add(4 * tickInterval)})
	for i := range 4 {
		n.handleTick(now.Add(time.Duration(i) * tickInterval))
		if i == 0 && (moved() == 0 || moved() > 6) {
			t.Errorf("%d of 20 moved at the first of four turns", moved())
		}
	}
	if moved() != 20 {
		t.Errorf("%d of 20 moved, each once", moved())
	}
}
