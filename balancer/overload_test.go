package balancer

import (
	"fmt"
	"testing"
	"time"
)

// The slope of the message latency shows by how much a server's load exceeds its capacity. Connections over the reduced
// limit are migrated.
func TestLatency_LateMessages_ReduceLimit(t *testing.T) {
	b, s := nodeWithConnections(t, testSettings(), 20)
	// The backlog grows by half a second within a second: the load is 1.5 times the capacity.
	out := b.Handle(time.Second, LatencyReport{ID: "open0", Latency: 500 * ms})
	if want := 2000 * targetUtilization / 1.5; s.loadLimit < want*0.99 || s.loadLimit > want*1.01 {
		t.Errorf("limit %.0f, want %.0f", s.loadLimit, want)
	}
	if n := len(migrations(out)); n != 8 {
		t.Errorf("%d of 20 connections migrated, want 8", n)
	}
	// The backlog falls by a third of a second within a second, which is fast enough.
	before := s.loadLimit
	out = b.Handle(2*time.Second, LatencyReport{ID: "open0", Latency: 160 * ms})
	if len(migrations(out)) != 0 || s.loadLimit != before {
		t.Error("the limit was reduced again while the backlog shrinks")
	}
	// After the recovery time, the limit has recovered.
	b.now = 2*time.Second + b.derived.limitRecovery
	if b.exceedsLimit(s, &request{}, 100) {
		t.Error("one more connection exceeds the limit after limitRecovery, want the limit recovered")
	}
}

// A server whose message latency approaches the objective sheds a little load at once, because a node with few
// connections on the server detects an overload only by the messages of these connections.
func TestLatency_NearObjective_ShedsLittleLoad(t *testing.T) {
	objective := testSettings().Classes[0].MessageLatencyObjective
	b, s := nodeWithConnections(t, testSettings(), 20)
	if out := b.Handle(time.Second, LatencyReport{ID: "open0", Latency: objective / 3}); len(migrations(out)) != 0 {
		t.Errorf("%d of 20 connections migrated at a third of the objective, want none", len(migrations(out)))
	}
	out := b.Handle(2*time.Second, LatencyReport{ID: "open0", Latency: objective * 9 / 20})
	if n := len(migrations(out)); n < 2 || n > 6 || s.loadLimit == 0 {
		t.Errorf("%d of 20 connections migrated, limit %.0f; want 2 to 6 and a limit", n, s.loadLimit)
	}
}

// When the whole fleet is overloaded, requests that exceed the limits are rejected at once, those of classes with the
// least value per load first.
func TestAdmission_OverloadedFleet_RejectsLeastValueFirst(t *testing.T) {
	settings := testSettings()
	settings.Classes[1].PriorityWeight = 1
	b, _ := nodeWithConnections(t, settings, 20)
	b.loads.byClass[0], b.loads.byClass[1] = 100, 1000 // class 1: ten times the load, same weight
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
		t.Errorf("servers near their limit accept class 0: %v, class 1: %v; want true, false", fits(0), fits(1))
	}
	for _, s := range b.servers {
		s.load = 2 * s.loadLimit
	}
	out := b.Handle(time.Second+ms, Arrival{ID: "late", Key: "k", TimeLeft: time.Second})
	if n, rejected := finalAnswers(out, "late"); n != 1 || !rejected || len(sends(out)) != 0 {
		t.Error("the request was not rejected at once although all servers are at their limit")
	}
	for _, a := range out {
		if r, ok := a.(Reject); ok && r.RetryAfter <= 0 {
			t.Error("the rejection has no Retry-After")
		}
	}
}

// The share of a tenant's quota at one node is the quota divided by the number of nodes. Requests of a tenant over this
// share must count for less, so that an overloaded fleet rejects them before the requests of other tenants.
func TestRelativeValue_TenantOverQuota_IsReduced(t *testing.T) {
	settings := testSettings()
	settings.Tenants = []Tenant{{ConnectionQuota: 9}, {ConnectionQuota: 0}}
	settings.OverQuotaWeight = 0.1
	b := newWarmNode(t, settings, 6)
	r := &request{Arrival: Arrival{Tenant: 0}}
	b.counts.byTenant[0] = 3 // its quota over three nodes
	if v := b.relativeValue(r); v != 1 {
		t.Errorf("relative value within the quota: %.2f, want 1", v)
	}
	b.counts.byTenant[0] = 4
	if v := b.relativeValue(r); v < 0.09 || v > 0.11 {
		t.Errorf("relative value over the quota: %.2f, want 0.1", v)
	}
	b.counts.byTenant[1] = 1000
	if v := b.relativeValue(&request{Arrival: Arrival{Tenant: 1}}); v != 1 {
		t.Errorf("relative value for a tenant without a known quota: %.2f, want 1", v)
	}
	// Requests of tenants that are not in the settings are served.
	for i, tenant := range []int{-3, 2, 99} {
		id := RequestID(fmt.Sprint("t", i))
		if out := sends(b.Handle(0, Arrival{ID: id, Tenant: tenant, Key: "k", TimeLeft: time.Second})); len(out) != 1 {
			t.Errorf("a request of tenant %d was not sent", tenant)
		}
		b.Handle(0, Established{ID: id, Took: ms}) // a node that has just started has few setups in flight
	}
}

// A server that resets most of its connections at once is limited and ejected, so that reconnecting clients go to other
// servers. The reset of one connection of many has no effect.
func TestResets_MostConnections_LimitServer(t *testing.T) {
	b, s := nodeWithConnections(t, testSettings(), 20)
	reset := func(at time.Duration, from, to int) {
		for i := from; i < to; i += 2 {
			b.Handle(at, AttemptEnded{ID: RequestID(fmt.Sprint("open", i)), Server: "a", Outcome: ConnectionReset, Final: true})
		}
	}
	reset(time.Second, 0, 2)
	if s.loadLimit != 0 || b.isEjected(s) {
		t.Fatal("one reset connection of twenty limits or ejects the server")
	}
	reset(3*time.Second, 2, 40)
	if want := 1900 * targetUtilization / 2; s.loadLimit != want || !b.isEjected(s) {
		t.Errorf("limit %.0f, ejected %v; want %.0f, true", s.loadLimit, b.isEjected(s), want)
	}
	for i := range 20 {
		a := Arrival{ID: RequestID(fmt.Sprint("back", i)), Key: fmt.Sprint(2 * i), TimeLeft: time.Second, Reconnect: true}
		for _, send := range sends(b.Handle(3*time.Second+100*ms, a)) {
			if send.Server == "a" {
				t.Errorf("request %s was sent to the server that has just reset all its connections", a.ID)
			}
		}
	}
	if b.now = 3*time.Second + b.derived.limitRecovery; b.isEjected(s) || b.exceedsLimit(s, &request{}, 100) {
		t.Error("the server is ejected or its limit has not recovered after limitRecovery")
	}
	// If a server resets both of its two connections, that is hardly a coincidence. The reset of its only connection
	// may be one.
	b, s = nodeWithConnections(t, testSettings(), 1)
	if reset(time.Second, 0, 1); s.loadLimit != 0 {
		t.Error("the reset of the only connection limits the server")
	}
}

// If many nodes have one connection each on an overloaded server, some of the nodes must migrate theirs. If none did,
// the overload would last; if all did, the server would lose every connection.
func TestLatency_ManyNodes_MigrateTheirShare(t *testing.T) {
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
		t.Errorf("%d of %d nodes migrated their only connection, want 20 to 266", moved, nodes)
	}
}
