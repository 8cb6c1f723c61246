package balancer

import (
	"fmt"
	"testing"
	"time"
)

// crowded is a node with n open connections of class 0 on each of its two servers.
func crowded(t *testing.T, s Settings, n int) (*Balancer, *server) {
	t.Helper()
	b := New(s)
	b.Handle(0, ListEvent{Kind: ListCached, Servers: []Server{{ID: "a", Weight: 1}, {ID: "b", Weight: 1}}})
	for i := range 2 * n {
		id := RequestID(fmt.Sprint("open", i))
		on := ServerID("ab"[i%2 : i%2+1])
		b.Handle(0, Inherited{Arrival: Arrival{ID: id, Key: fmt.Sprint(i), TimeLeft: time.Hour}, Server: on})
		b.Handle(0, LoadReport{ID: id, Load: 100})
	}
	return b, b.servers["a"]
}

func moves(actions []Action) (out []RequestID) {
	for _, a := range actions {
		if m, ok := a.(Migrate); ok {
			out = append(out, m.ID)
		}
	}
	return out
}

// A server on which every message is late earns nothing with any connection: the slope of the message
// time tells what it copes with, and what is over goes elsewhere.
func TestLateMessagesCutAServersLoad(t *testing.T) {
	b, s := crowded(t, testSettings(), 20)
	// Half a second of work piles up in a second: it is asked 1.5 times what it can do.
	out := b.Handle(time.Second, LatencyReport{ID: "open0", Latency: 500 * ms})
	if want := 2000 * headroom / 1.5; s.loadLimit < want*0.99 || s.loadLimit > want*1.01 {
		t.Errorf("limit %.0f, want %.0f", s.loadLimit, want)
	}
	if n := len(moves(out)); n != 8 {
		t.Errorf("%d of 20 connections moved, want 8", n)
	}
	// The backlog falls by a third of a second in a second: that is fast enough.
	before := s.loadLimit
	if out := b.Handle(2*time.Second, LatencyReport{ID: "open0", Latency: 160 * ms}); len(moves(out)) != 0 || s.loadLimit != before {
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
func TestAServerNearLatenessGivesUpALittleAtOnce(t *testing.T) {
	aim := testSettings().Classes[0].MessageLatencyObjective
	b, s := crowded(t, testSettings(), 20)
	if out := b.Handle(time.Second, LatencyReport{ID: "open0", Latency: aim / 3}); len(moves(out)) != 0 {
		t.Errorf("%d moved well before lateness", len(moves(out)))
	}
	out := b.Handle(2*time.Second, LatencyReport{ID: "open0", Latency: aim * 9 / 20})
	if n := len(moves(out)); n < 2 || n > 6 || s.loadLimit == 0 {
		t.Errorf("%d of 20 moved, limit %.0f: a few are to go", n, s.loadLimit)
	}
}

// A node that has just started is met by all clients of one that ended. When their set-ups are slow it spaces them by
// the rate at which they come: without a rate of its own it let one through in seconds.
func TestANodeThatHasJustStartedPacesByWhatCame(t *testing.T) {
	b := started(t, testSettings(), 4)
	for i := range 30 {
		id := RequestID(fmt.Sprint("r", i))
		b.Handle(0, Arrival{ID: id, Key: fmt.Sprint(i), TimeLeft: 2 * time.Second})
		b.Handle(ms, Established{ID: id, Took: 600 * ms})
	}
	if b.pacing.interval <= 0 || b.pacing.interval > time.Second/10 { // it was set when the twelfth had come
		t.Errorf("%v between sends after thirty in the first second", b.pacing.interval)
	}
	b.now = time.Minute
	if usual, _ := b.baselineInterval(); usual != b.derived.limitRecovery {
		t.Errorf("a minute later, with nobody come since, one in %v is usual, want %v", usual, b.derived.limitRecovery)
	}
}

// When the whole fleet is short, taking everyone serves no one: what does not fit is refused at once,
// the classes of least worth for their load first.
func TestShortFleetRefusesAtOnceLeastWorthFirst(t *testing.T) {
	set := testSettings()
	set.Classes[1].PriorityWeight = 1
	b, _ := crowded(t, set, 20)
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
	if n, refused := finals(out, "late"); n != 1 || !refused || len(sends(out)) != 0 {
		t.Error("with all servers at their limit the request must be refused at once")
	}
	for _, a := range out {
		if r, ok := a.(Reject); ok && r.RetryAfter <= 0 {
			t.Error("the refusal does not say when to come back")
		}
	}
}

func TestTenantOverItsShareCountsForLittle(t *testing.T) {
	set := testSettings()
	set.Tenants = []Tenant{{ConnectionQuota: 9}, {ConnectionQuota: 0}}
	set.OverQuotaWeight = 0.1
	b := started(t, set, 6)
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

// A group is paid for on every server that holds it: on a skip it stays where it is held.
func TestSkippedConnectionGoesWhereItsGroupIsHeld(t *testing.T) {
	b := started(t, testSettings(), 8)
	home := b.table.first[homeEntry(b, &request{Arrival: Arrival{Group: "g"}})]
	var holder *server
	for _, s := range b.table.holders {
		if s != home {
			holder = s
		}
	}
	for i := range 6 {
		b.handleInherited(Arrival{ID: RequestID(fmt.Sprint("h", i)), TimeLeft: time.Second}, home)
	}
	b.handleInherited(Arrival{ID: "held", Group: "g", TimeLeft: time.Second}, holder)
	for i, s := range b.table.holders {
		if s != home && s != holder {
			b.handleInherited(Arrival{ID: RequestID(fmt.Sprint("x", i)), TimeLeft: time.Second}, s)
		}
	}
	b.updateTotals()
	if !b.isOverloaded(home, 1) {
		t.Fatal("the group's first hop is not over the bound")
	}
	out := sends(b.Handle(0, Arrival{ID: "r", Group: "g", Key: "k", TimeLeft: time.Second}))
	if len(out) != 1 || out[0].Server != holder.id {
		t.Errorf("sent to %v, want %s, which holds the group", out, holder.id)
	}
}

// In a short fleet a group that walked on would be paid for on every server: it may newly stand on the
// first servers from its entry only, and the request is refused past them.
func TestGroupStaysNearItsEntryInAShortFleet(t *testing.T) {
	b := started(t, testSettings(), 8)
	b.now = time.Minute
	r := &request{Arrival: Arrival{Group: "g", Key: "k"}, load: 1}
	var near []*server
	for i := homeEntry(b, r); len(near) < maxGroupProbes+1; i++ {
		if s := b.table.first[i%len(b.table.first)]; len(near) == 0 || near[len(near)-1] != s && near[0] != s {
			near = append(near, s)
		}
	}
	for _, s := range b.table.holders {
		s.loadLimit, s.limitedAt = 100, b.now
	}
	b.updateTotals()
	for i, s := range near[:maxGroupProbes] {
		if got := b.selectServer(r); got != s {
			t.Fatalf("choice %d is %v, want %s", i, got, s.id)
		}
		s.load = 100 // it has no room left
	}
	if got := b.selectServer(r); got != nil {
		t.Errorf("the group went on to %s", got.id)
	}
	near[maxGroupProbes].groups["g"] = 1
	if got := b.selectServer(r); got != near[maxGroupProbes] {
		t.Error("the group is not put where it stands already")
	}
}

// Ten hosts of a fleet that nodes see little of, four of them crowded: groups that walked on were paid for at each.
func TestGroupStaysNearerWhereNodesSeeLittle(t *testing.T) {
	s := testSettings()
	s.NodeCount, s.Tenants = 80, []Tenant{{ConnectionQuota: 350}}
	b := started(t, s, 10)
	b.now = time.Minute
	for i, s := range b.table.holders {
		if s.connections, s.load = 1, 1; i < 4 {
			s.loadLimit, s.limitedAt = 0.1, b.now
		}
	}
	b.updateTotals()
	r := &request{Arrival: Arrival{Group: "g", Key: "k"}, load: 1}
	met := map[*server]bool{}
	for s := b.selectServer(r); s != nil && len(met) < 10; s = b.selectServer(r) {
		met[s] = true
		s.loadLimit, s.limitedAt, s.load = 0.1, b.now, 100
	}
	if len(met) > lowSampleGroupProbes || len(met) == 0 {
		t.Errorf("a group that finds no room goes to %d hosts, %d would do", len(met), lowSampleGroupProbes)
	}
}

// Times outside are whole microseconds, turns are not: a request whose timer fell due a part of one early went on
// waiting without a timer, and past its client's patience. It is its turn: where it was held once more instead, its
// timer fell due in the same microsecond again and again.
func TestATimerThatIsAPartOfAMicrosecondEarly(t *testing.T) {
	b := started(t, testSettings(), 4)
	b.Handle(time.Second, Arrival{ID: "first", Key: "a", TimeLeft: time.Second})
	b.pacing.interval, b.pacing.nextSendAt, b.pacing.changedAt = 10*ms, time.Second+10*ms+400, time.Second
	b.Handle(time.Second, Arrival{ID: "waits", Key: "b", TimeLeft: time.Second})
	// The timer comes at its time, cut to the microsecond.
	at := time.Second + 10*ms
	if out := b.Handle(at, Timer{pacingToken}); len(sends(out)) != 1 {
		t.Errorf("the turn has come, and the actions are %v", out)
	}
	if out := b.Handle(at+2*ms, Timer{pacingToken}); len(out) != 0 {
		t.Errorf("nobody waits any more, and the actions are %v", out)
	}
}

// A server slowed down for a while broke all that it held before a late message could tell, and who came
// back was put there again and broken again. One broken connection of many says nothing.
func TestServerThatBreaksMostOfWhatItHoldsIsLimited(t *testing.T) {
	b, s := crowded(t, testSettings(), 20)
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
	b, s = crowded(t, testSettings(), 1)
	if broken(time.Second, 0, 1); s.loadLimit != 0 {
		t.Error("the only connection broken limits the server")
	}
}

// Where hosts are few, one that errs must not pace all set-ups: the others are quick. Errors of several do.
func TestErrorsOfOneServerPaceNothing(t *testing.T) {
	b, _ := crowded(t, testSettings(), 0)
	fail := func(on ServerID) {
		b.now += time.Millisecond
		b.observeSetup(&request{}, &attempt{server: b.servers[on], sentAt: b.now}, 2*b.settings.Classes[0].SetupLatencyObjective, true)
	}
	for i := range 8 {
		if fail("a"); b.pacing.interval > 0 {
			t.Fatalf("paced after %d errors of one server", i+1)
		}
	}
	for range 4 {
		fail("b")
		fail("a")
	}
	if b.pacing.interval == 0 {
		t.Error("not paced though several servers fail")
	}
}

// A server that operators called back is used again soon, also where none of the clients that come leads there;
// once is enough, and not while it may not be.
func TestAServerThatWasCalledBackIsUsedSoon(t *testing.T) {
	s := testSettings()
	b, _ := crowded(t, s, 4)
	out := func(now time.Duration, state ServerState) {
		b.Handle(now, ListEvent{Kind: ListOverride, Servers: []Server{{ID: "b", Weight: 1, State: state}}})
	}
	at := time.Minute
	on := map[ServerID]int{}
	key := func() string { // one that leads to a
		for i := 0; ; i++ {
			r := &request{Arrival: Arrival{Key: fmt.Sprint("key", i)}}
			if b.table.first[homeEntry(b, r)] == b.servers["a"] {
				return r.Key
			}
		}
	}
	come := func(now time.Duration, id string) {
		t.Helper()
		for _, a := range sends(b.Handle(now, Arrival{ID: RequestID(id), Key: key(), TimeLeft: time.Second})) {
			on[a.Server]++
			b.Handle(now, AttemptEnded{ID: RequestID(id), Server: a.Server, Outcome: Errored, Final: true})
			b.servers[a.Server].ejectedUntil = 0
		}
	}
	out(at, Draining)
	out(at+time.Second, Live)
	if come(at+time.Second, "early"); on["a"] != 1 {
		t.Errorf("at once: %v", on)
	}
	come(at+4*time.Second, "due")
	if come(at+5*time.Second, "after"); on["b"] != 1 || on["a"] != 2 {
		t.Errorf("then: %v", on)
	}
	out(at+6*time.Second, Live)
	out(at+7*time.Second, Draining)
	if come(at+10*time.Second, "out again"); on["b"] != 1 || len(b.reinstated) > 0 {
		t.Errorf("out again: %v", on)
	}
}
