package balancer

import (
	"fmt"
	"testing"
	"time"
)

// sized is one of n nodes that hold a warm fleet of servers.
func sized(t *testing.T, index, nodes, servers int) *Balancer {
	s := testSettings()
	s.Seed, s.NodeIndex, s.NodeCount = uint64(index)+1, index, nodes
	return started(t, s, servers)
}

// A group larger than one server's part of a node's traffic piled up on its one entry, and what did not fit
// there scattered. Its clients stand on as many servers as it is worth, the same at nodes that know as much.
func TestLargeGroupStandsOnServersByItsShare(t *testing.T) {
	a, b := sized(t, 0, 2, 40), sized(t, 1, 2, 40)
	for _, n := range []*Balancer{a, b} {
		n.counts.connections, n.counts.byGroup["big"], n.counts.byGroup["small"] = 99, 30, 1
	}
	on := map[string]map[ServerID]bool{"big": {}, "small": {}}
	for i := range 400 {
		for g := range on {
			r := &request{Arrival: Arrival{Group: g, Key: fmt.Sprint("k", i)}, load: 1}
			x, y := a.selectServer(r), b.selectServer(r)
			if x == nil || y == nil || x.id != y.id {
				t.Fatalf("%s of %s: %v at one node, %v at the other", r.Key, g, x, y)
			}
			on[g][x.id] = true
		}
	}
	want := 1 + int(0.3*40/overloadFactor)
	if n := len(on["big"]); n > want || n < want*3/4 || len(on["small"]) != 1 { // two places may be one server's
		t.Errorf("the large group stands on %d servers, want %d, the small one on %d", len(on["big"]), want, len(on["small"]))
	}
}

// Eighty nodes with a connection or two each, none of which can see that a group is a quarter of all there is: seven
// groups went to their seven entries, and one server in ten bore over a third of all. Each has the same few places.
func TestGroupsOfAFleetThatSeesNothingDontCrowd(t *testing.T) {
	const nodes, quota = 80, 350.0
	var all []*Balancer
	for i := range nodes {
		s := testSettings()
		s.Seed, s.NodeIndex, s.NodeCount, s.Tenants = uint64(i)+1, i, nodes, []Tenant{{ConnectionQuota: quota}}
		all = append(all, started(t, s, 10))
	}
	crowded, worst := 0, 0
	for day := range 20 {
		on, key := map[ServerID]int{}, 0
		for g, size := range []int{42, 42, 32, 28, 16, 16, 11} {
			for range size {
				key++
				r := &request{Arrival: Arrival{Group: fmt.Sprint(day, "-", g), Key: fmt.Sprint(day, "k", key)}, load: 1}
				n := all[key%nodes]
				n.counts.connections, n.counts.byGroup[r.Group] = 1, 1
				on[n.selectServer(r).id]++
				if key%20 == 0 && homeEntry(all[0], r) != homeEntry(n, r) {
					t.Fatal("nodes that saw different traffic disagree on a client's place")
				}
				clear(n.counts.byGroup)
			}
		}
		for _, n := range on {
			worst = max(worst, n)
			if n > 187/10*5/2 {
				crowded++
			}
		}
	}
	if crowded > 15 { // of 200; 27 with one place each
		t.Errorf("%d servers bear over two and a half parts, the worst %d connections", crowded, worst)
	}
}

// When a zone was lost, its clients went to whatever stood behind their entries: twenty groups were then paid for on
// every server that was left. They go to their group's other places, and while over half is gone there are two.
func TestGroupsDrawTogetherWhenAZoneIsLost(t *testing.T) {
	s := testSettings()
	s.NodeCount, s.Tenants = 80, []Tenant{{ConnectionQuota: 350}}
	n := started(t, s, 12)
	gone := func(id ServerID) bool { return id >= "s06" }
	count := func(tried bool) (places int) {
		for g := range 20 {
			on := map[ServerID]bool{}
			for k := range 20 {
				r := &request{Arrival: Arrival{Group: fmt.Sprint("g", g), Key: fmt.Sprint("k", k)}, load: 1}
				to := n.selectServer(r)
				for tried && gone(to.id) && len(r.attempts) < 3 { // refused: nobody is there
					r.attempts = append(r.attempts, attempt{server: to, notExecuted: true})
					to = n.selectServer(r)
				}
				on[to.id] = true
			}
			places += len(on)
		}
		return places
	}
	if got := count(true); got > 50 {
		t.Errorf("20 groups stand in %d places before the list tells, 59 without a look at the others first", got)
	}
	var lost []Server
	for _, s := range fleetOf(12) {
		if gone(s.ID) {
			s.State = Removed
			lost = append(lost, s)
		}
	}
	n.Handle(time.Second, ListEvent{Kind: ListDelta, Revision: 2, Servers: lost})
	if got := count(false); got > 20*2 {
		t.Errorf("20 groups stand in %d places once the list has told", got)
	}
	for i := range 5 * 3600 { // an hour: it was made smaller for good
		n.Handle(time.Second+time.Duration(i)*sweepInterval, Timer{Token: sweepToken})
	}
	if got := count(false); got <= 20*2 {
		t.Errorf("20 groups stand in %d places an hour later", got)
	}
	n.Handle(2*time.Hour, ListEvent{Kind: ListDelta, Revision: 3, Servers: fleetOf(12)})
	if got := count(false); got < 20*2 {
		t.Errorf("20 groups stand in %d places when all is back", got)
	}
}

// What one node moved off a crowded server, the next one that the client came to put there again.
func TestWhoComesAgainToAnotherNodeGoesElsewhere(t *testing.T) {
	s := testSettings()
	s.NodeCount, s.Tenants = 80, []Tenant{{ConnectionQuota: 350}}
	n := started(t, s, 40)
	on, same := map[*server]int{}, n.selectServer(&request{Arrival: Arrival{Group: "g", Key: "k", ID: "first"}, load: 1})
	for i := range 40 {
		r := &request{Arrival: Arrival{Group: "g", Key: "k", ID: RequestID(fmt.Sprint(i)), Reconnect: true}, load: 1}
		on[n.selectServer(r)]++
		r.Reconnect, r.MidFlow = false, true // the packets of one that stands are looked for by the key alone
		if n.selectServer(r) != same {
			t.Fatal("a connection that stands is not looked for where its key puts it")
		}
	}
	if len(on) < 3 || on[same] > 0 {
		t.Errorf("40 that came again stand on %d servers, %d of them where they were", len(on), on[same])
	}
}

// Set-ups that all wait on one thing were given up at their aim and tried again, by 80 nodes that had each met one
// or two slow ones: the calls that were given up kept it busy, and for twenty seconds next to none was served. A
// server that hangs is told by the first time-out; after it, and when a client tries again, what is slow is common
// to all.
func TestSecondAttemptsWaitWhereNodesSeeLittle(t *testing.T) {
	for _, c := range []struct {
		name    string
		quota   float64
		retry   bool
		patient bool
	}{{"second attempt", 350, false, true}, {"client's retry", 350, true, true}, {"nodes that see enough", 8000, false, false}} {
		s := testSettings()
		s.NodeCount, s.Tenants = 80, []Tenant{{ConnectionQuota: c.quota}}
		n, aim := started(t, s, 10), s.Classes[0].SetupLatencyObjective
		sent := sends(n.Handle(time.Second, Arrival{ID: "a", Key: "k", TimeLeft: 10 * aim, Retry: c.retry}))
		if len(sent) != 1 || (sent[0].Timeout > 2*aim) != c.retry {
			t.Fatalf("%s: the first attempt is %v", c.name, sent)
		}
		if c.retry {
			continue
		}
		sent = sends(n.Handle(time.Second+aim, AttemptEnded{ID: "a", Server: sent[0].Server, Took: aim, Outcome: ResponseTimeout}))
		if len(sent) != 1 || (sent[0].Timeout > 5*aim) != c.patient || sent[0].Timeout > 9*aim {
			t.Errorf("%s: the next attempt is %v", c.name, sent)
		}
	}
}

// The list has a fixed capacity for every node: calls at the start, and after it failed for all at once,
// must not come in step.
func TestListCallsOfManyNodesSpread(t *testing.T) {
	const nodes = 160
	var all []*Balancer
	for i := range nodes {
		all = append(all, sized(t, i, nodes, 60))
	}
	calls := func(from, to time.Duration) (most int) {
		per := map[time.Duration]int{}
		for now := from; now < to; now += 20 * ms {
			for _, n := range all {
				if now%sweepInterval != 0 {
					continue
				}
				for _, a := range n.Handle(now, Timer{Token: sweepToken}) {
					if _, ok := a.(WatchList); ok {
						per[now.Truncate(100*ms)]++
						n.Handle(now, ListEvent{Kind: ListFailed})
					}
				}
			}
		}
		for _, n := range per {
			most = max(most, n)
		}
		return most
	}
	calls(20*ms, 20*time.Second)
	if most := calls(20*time.Second, 60*time.Second); most > nodes/4 {
		t.Errorf("%d of %d nodes call in the same tenth of a second after failures", most, nodes)
	}
}

// With many nodes each holds one connection of a crowd: if all moved theirs, or none, it would not ease.
func TestManyNodesMoveTheirPartOfACrowd(t *testing.T) {
	const nodes = 400
	moved := 0
	for i := range nodes {
		b := sized(t, i, nodes, 8)
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

// With set-ups that take long a jam tells late: a pace that eased every sweep let each node send four times its
// baselineInterval rate into it, and it never ended.
func TestPaceDoesNotEaseBeforeOutcomesCanTell(t *testing.T) {
	b := started(t, testSettings(), 6)
	b.pacing.setupTime, b.pacing.interval, b.pacing.changedAt = time.Second, time.Second, 10*time.Second
	for now := 10 * time.Second; now <= 12*time.Second; now += sweepInterval {
		if b.Handle(now, Timer{Token: sweepToken}); b.pacing.interval != time.Second {
			t.Fatalf("eased %v after the last trouble, a set-up takes %v", now-b.pacing.changedAt, b.pacing.setupTime)
		}
	}
	if b.Handle(13*time.Second, Timer{Token: sweepToken}); b.pacing.interval >= time.Second {
		t.Error("it never eases")
	}
}

// A node that starts from a list that lacks one server must agree with its peers on nearly all entries that the
// missing one does not hold: mid-flow arrivals are found by them.
func TestFreshTablesOfNearlyAlikeListsAgree(t *testing.T) {
	whole, lacking := sized(t, 0, 160, 60), New(testSettings())
	lacking.Handle(0, ListEvent{Kind: ListCached, Revision: 1, Servers: fleetOf(60)[1:]})
	same, all := 0, 0
	for i, s := range whole.table.first {
		if s.id == "s00" {
			continue
		}
		if all++; lacking.table.first[i].id == s.id {
			same++
		}
	}
	if part := float64(same) / float64(all); part < 0.9 {
		t.Errorf("%.3f of the entries that the missing server does not hold agree", part)
	} else {
		t.Logf("%.3f agree", part)
	}
}

// A restarted node lays its table from the list that its peers came to by many changes. How far the two agree is
// what a roll of nodes costs mid-flow arrivals; docs/design.md quotes it.
func TestAgreementOfARestartedNodeAfterChurn(t *testing.T) {
	agree := func(from, to int) float64 {
		old := sized(t, 0, 160, from)
		list := fleetOf(to)
		for i := from; i < to; i++ {
			old.Handle(time.Duration(i)*5*time.Second, ListEvent{Kind: ListDelta, Revision: int64(i), Servers: list[i : i+1]})
		}
		for i := to; i < from; i++ {
			gone := Server{ID: fleetOf(from)[i].ID, State: Removed}
			old.Handle(time.Duration(i)*5*time.Second, ListEvent{Kind: ListDelta, Revision: int64(i), Servers: []Server{gone}})
		}
		fresh, same := sized(t, 1, 160, to), 0
		const keys = 4000
		for i := range keys {
			r := &request{Arrival: Arrival{Key: fmt.Sprint("k", i)}}
			if old.table.first[homeEntry(old, r)].id == fresh.table.first[homeEntry(fresh, r)].id {
				same++
			}
		}
		return float64(same) / keys
	}
	for _, c := range []struct {
		from, to int
		least    float64
	}{{60, 61, 0.9}, {60, 72, 0.6}, {60, 120, 0.1}, {60, 48, 0.5}} {
		if got := agree(c.from, c.to); got < c.least {
			t.Errorf("from %d to %d servers: %.3f of the keys agree, want %.2f", c.from, c.to, got, c.least)
		} else {
			t.Logf("from %d to %d servers: %.3f agree", c.from, c.to, got)
		}
	}
}

// A list service that works through calls in turn, those too that were given up meanwhile, as one more node after
// another asks. Eighty nodes started in one instant asked within half a second; half were given up, asked again in
// step while their dead calls were worked through, and from then on no call was ever served.
func TestListIsLearntByAllThatStartAtOnce(t *testing.T) {
	const nodes, each, patience = 80, 60 * ms, 2 * time.Second
	type call struct {
		from   int
		at     time.Duration
		failed bool
	}
	all := make([]*Balancer, nodes)
	start := func(i int) {
		s := testSettings()
		s.Seed, s.NodeIndex, s.NodeCount = uint64(i)+1, i, nodes
		all[i] = started(t, s, 10)
	}
	var queue []*call
	last := make([]time.Duration, nodes)
	run := func(from, to time.Duration) (unlearnt int) {
		for now := from; now < to; now += each {
			for i, n := range all {
				for _, a := range n.Handle(now, Timer{Token: sweepToken}) {
					if _, ok := a.(WatchList); ok {
						queue, last[i] = append(queue, &call{from: i, at: now}), now
					}
				}
				if !n.polling.watching && now-last[i] > n.settings.PollInterval && now-from > n.settings.PollInterval {
					t.Fatalf("node %d has not asked since %v, at %v", i, last[i], now)
				}
			}
			for _, c := range queue {
				if !c.failed && now >= c.at+patience {
					c.failed = true
					all[c.from].Handle(now, ListEvent{Kind: ListFailed})
				}
			}
			if len(queue) > 0 {
				c := queue[0]
				if queue = queue[1:]; !c.failed {
					all[c.from].Handle(now, ListEvent{Kind: ListSnapshot, Revision: 2, Servers: fleetOf(10)})
				}
			}
		}
		for _, n := range all {
			if !n.polling.watching {
				unlearnt++
			}
		}
		return unlearnt
	}
	for i := range all {
		start(i)
	}
	if n := run(0, 8*time.Second); n > 0 {
		t.Errorf("%d of %d nodes have no list after 8 s", n, nodes)
	}
	for i := range nodes * 7 / 10 {
		start(i)
	}
	if n := run(8*time.Second, 16*time.Second); n > 0 {
		t.Errorf("%d have none 8 s after seven in ten were started again", n)
	}
	for _, n := range all { // the service goes down, and with it every watch
		n.Handle(16*time.Second, ListEvent{Kind: ListFailed})
	}
	if n := run(16*time.Second, 24*time.Second); n > 0 {
		t.Errorf("%d have none 8 s after all watches broke", n)
	}
}

// A node that starts without a list, and is told it unasked, gave all entries to the first host of it.
func TestTheFirstListAfterAnEmptyOneIsLaidEvenly(t *testing.T) {
	b := started(t, testSettings(), 0)
	b.Handle(time.Second, ListEvent{Kind: ListSnapshot, Revision: 2, Servers: fleetOf(4)})
	same := started(t, testSettings(), 4)
	for i, s := range b.table.first {
		if s == nil || s.id != same.table.first[i].id {
			t.Fatalf("entry %d is not as at a node that began with the list", i)
		}
	}
}

// Where crossings are dear, clients stand in the zone of their node as far as its servers bear their part, whole
// groups together and alike at all nodes of the zone; mid-flow packets find them, also while the server drains.
func TestDearCrossingsKeepClientsInTheirZone(t *testing.T) {
	node := func(index int, price float64, own int) *Balancer { // in zone 0
		s := testSettings()
		s.Seed, s.NodeIndex, s.NodeCount, s.Zones, s.CrossZoneCost = uint64(index), index, 80, 2, price
		s.Tenants = []Tenant{{ConnectionQuota: 350}}
		rows := fleetOf(20)
		for i := range rows {
			rows[i].Zone, rows[i].Weight = min(1, i/own), 1
		}
		b := New(s)
		b.Handle(0, ListEvent{Kind: ListCached, Revision: 1, Servers: rows})
		return b
	}
	for _, c := range []struct {
		price       float64
		own         int
		least, most float64 // the part of groups that stand in zone 0
	}{{0.1, 10, 1, 1}, {0.1, 16, 1, 1}, {0.1, 5, 0.5, 0.75}, {0.01, 10, 0.4, 0.6}} {
		x, y := node(1, c.price, c.own), node(2, c.price, c.own)
		in, r, s := 0, &request{load: 1}, (*server)(nil)
		for g := range 200 {
			r.Arrival = Arrival{Group: fmt.Sprint(g), Key: "k"}
			if s = x.selectServer(r); s.zone == 0 {
				in++
			}
			if other := y.selectServer(r); other.id != s.id {
				t.Fatalf("group %d stands at %s for one node and at %s for another", g, s.id, other.id)
			}
		}
		y.Handle(time.Second, ListEvent{Kind: ListDelta, Revision: 2, Servers: []Server{{ID: s.id, State: Draining, Weight: 1}}})
		r.MidFlow = true
		if to := y.selectServer(r); to == nil || to.id != s.id {
			t.Errorf("price %g: a connection on a server that drains is looked for elsewhere", c.price)
		}
		if part := float64(in) / 200; part < c.least || part > c.most {
			t.Errorf("price %g, %d of 20 servers in the zone: %.2f of the groups stay, %g to %g would", c.price, c.own, part, c.least, c.most)
		}
	}
}
