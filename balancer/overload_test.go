package balancer

import (
	"fmt"
	"testing"
	"time"
)

// A server on which every message is late earns nothing with any connection: the slope of the message
// time tells what it copes with, and what is over goes elsewhere.
func TestLatency_LateMessages_ReduceLimit(t *testing.T) {
	b, s := nodeWithConnections(t, testSettings(), 20)
	// Half a second of work piles up in a second: it is asked 1.5 times what it can do.
	out := b.Handle(time.Second, LatencyReport{ID: "open0", Latency: 500 * ms})
	if want := 2000 * headroom / 1.5; s.loadLimit < want*0.99 || s.loadLimit > want*1.01 {
		t.Errorf("limit %.0f, want %.0f", s.loadLimit, want)
	}
	if n := len(migrations(out)); n != 8 {
		t.Errorf("%d of 20 connections moved, want 8", n)
	}
	// The backlog falls by a third of a second in a second: that is fast enough.
	before := s.loadLimit
	if out := b.Handle(2*time.Second, LatencyReport{ID: "open0", Latency: 160 * ms}); len(migrations(out)) != 0 || s.loadLimit != before {
		t.Error("a backlog that drains was answered with another cut")
	}
	// Long after, the limit has grown back.
	b.now = 2*time.Second + b.derived.limitRecovery
	if b.exceedsLimit(s, &request{}, 100) {
		t.Error("the limit does not grow back")
	}
}

// Of a server that grows slower for half a minute a node with a connection or two learns by its own messages alone:
// what stays near lateness gives up a little at once, before the aim is missed.
func TestLatency_NearObjective_ShedsALittle(t *testing.T) {
	aim := testSettings().Classes[0].MessageLatencyObjective
	b, s := nodeWithConnections(t, testSettings(), 20)
	if out := b.Handle(time.Second, LatencyReport{ID: "open0", Latency: aim / 3}); len(migrations(out)) != 0 {
		t.Errorf("%d moved well before lateness", len(migrations(out)))
	}
	out := b.Handle(2*time.Second, LatencyReport{ID: "open0", Latency: aim * 9 / 20})
	if n := len(migrations(out)); n < 2 || n > 6 || s.loadLimit == 0 {
		t.Errorf("%d of 20 moved, limit %.0f: a few are to go", n, s.loadLimit)
	}
}

// When the whole fleet is short, taking everyone serves no one: what does not fit is refused at once,
// the classes of least worth for their load first.
func TestAdmission_OverloadedFleet_RejectsLeastValueFirst(t *testing.T) {
	set := testSettings()
	set.Classes[1].PriorityWeight = 1
	b, _ := nodeWithConnections(t, set, 20)
	b.loads.byClass[0], b.loads.byClass[1] = 100, 1000 // the second class asks ten times as much for the same worth
	for _, id := range []RequestID{"open0", "open1"} {
		b.Handle(time.Second, LatencyReport{ID: id, Latency: 400 * ms})
	}
	fits := func(class int) bool {
		r := &request{Arrival: Arrival{Class: class, Tenant: len(b.counts.byTenant) - 1}}
		return !b.exceedsLimit(b.servers["a"], r, 100) || !b.exceedsLimit(b.servers["b"], r, 100)
	}
	for _, s := range b.servers {
		s.load = 0.92 * s.loadLimit
		s.loadLimit += 100
	}
	if !fits(0) || fits(1) {
		t.Errorf("near its limit a server fits class 0: %v, class 1: %v; want true, false", fits(0), fits(1))
	}
	for _, s := range b.servers {
		s.load = 2 * s.loadLimit
	}
	out := b.Handle(time.Second+ms, Arrival{ID: "late", Key: "k", TimeLeft: time.Second})
	if n, refused := finalAnswers(out, "late"); n != 1 || !refused || len(sends(out)) != 0 {
		t.Error("with all servers at their limit the request must be refused at once")
	}
	for _, a := range out {
		if r, ok := a.(Reject); ok && r.RetryAfter <= 0 {
			t.Error("the refusal does not say when to come back")
		}
	}
}

func TestValue_TenantOverQuota_CountsLess(t *testing.T) {
	set := testSettings()
	set.Tenants = []Tenant{{ConnectionQuota: 9}, {ConnectionQuota: 0}}
	set.OverQuotaWeight = 0.1
	b := newWarmNode(t, set, 6)
	r := &request{Arrival: Arrival{Tenant: 0}}
	b.counts.byTenant[0] = 3 // its share over three nodes
	if v := b.relativeValue(r); v != 1 {
		t.Errorf("value %.2f within the share, want 1", v)
	}
	b.counts.byTenant[0] = 4
	if v := b.relativeValue(r); v < 0.09 || v > 0.11 {
		t.Errorf("value %.2f over the share, want 0.1", v)
	}
	b.counts.byTenant[1] = 1000
	if v := b.relativeValue(&request{Arrival: Arrival{Tenant: 1}}); v != 1 {
		t.Errorf("value %.2f for a tenant without a known share, want 1", v)
	}
	// Tenants that the settings do not know are no fault.
	for i, tenant := range []int{-3, 2, 99} {
		id := RequestID(fmt.Sprint("t", i))
		if out := sends(b.Handle(0, Arrival{ID: id, Tenant: tenant, Key: "k", TimeLeft: time.Second})); len(out) != 1 {
			t.Errorf("a request of tenant %d was not sent", tenant)
		}
		b.Handle(0, Established{ID: id, Took: ms}) // one that has just started has few set-ups under way
	}
}

// A server slowed down for a while broke all that it held before a late message could tell, and who came
// back was put there again and broken again. One broken connection of many says nothing.
func TestResets_MostConnections_LimitServer(t *testing.T) {
	b, s := nodeWithConnections(t, testSettings(), 20)
	broken := func(at time.Duration, from, to int) {
		for i := from; i < to; i += 2 {
			b.Handle(at, AttemptEnded{ID: RequestID(fmt.Sprint("open", i)), Server: "a", Outcome: ConnectionReset, Final: true})
		}
	}
	broken(time.Second, 0, 2)
	if s.loadLimit != 0 || b.isEjected(s) {
		t.Fatal("one broken connection of twenty limits its server")
	}
	broken(3*time.Second, 2, 40)
	if want := 1900 * headroom / 2; s.loadLimit != want || !b.isEjected(s) {
		t.Errorf("limit %.0f, ejected %v; want %.0f, true", s.loadLimit, b.isEjected(s), want)
	}
	for i := range 20 {
		a := Arrival{ID: RequestID(fmt.Sprint("back", i)), Key: fmt.Sprint(2 * i), TimeLeft: time.Second, Reconnect: true}
		for _, send := range sends(b.Handle(3*time.Second+100*ms, a)) {
			if send.Server == "a" {
				t.Errorf("%s is put on the server that has just broken all it held", a.ID)
			}
		}
	}
	if b.now = 3*time.Second + b.derived.limitRecovery; b.isEjected(s) || b.exceedsLimit(s, &request{}, 100) {
		t.Error("the limit does not grow back")
	}
	// Of two connections that a server had here both broken is no chance; of one it may well be.
	b, s = nodeWithConnections(t, testSettings(), 1)
	if broken(time.Second, 0, 1); s.loadLimit != 0 {
		t.Error("the only connection broken limits the server")
	}
}

// With many nodes each holds one connection of a crowd: if all moved theirs, or none, it would not ease.
func TestLatency_ManyNodes_MigrateTheirPart(t *testing.T) {
	const nodes = 400
	moved := 0
	for i := range nodes {
		b := newFleetNode(t, i, nodes, 8)
		b.Handle(0, Arrival{ID: "r", Key: "k", TimeLeft: time.Second})
		b.Handle(ms, Established{ID: "r", Took: ms})
		for _, a := range b.Handle(time.Second, LatencyReport{ID: "r", Latency: 80 * ms}) {
			if _, ok := a.(Migrate); ok {
				moved++
			}
		}
	}
	if moved < nodes/20 || moved > nodes*2/3 {
		t.Errorf("%d of %d nodes move the one connection they hold", moved, nodes)
	}
}
