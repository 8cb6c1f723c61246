package balancer

import (
	"testing"
	"time"
)

// A node that polls must repeat a failed list request, and send the next one after its watch breaks. It must send none
// while a watch is open, and never if discovery pushes the list.
func TestPolling_Failures_BackOffAndRecover(t *testing.T) {
	b := New(testSettings())
	watches := 0
	run := func(from, to time.Duration) {
		for now := from; now < to; now += sweepInterval {
			for _, a := range b.Handle(now, Timer{Token: sweepToken}) {
				if _, ok := a.(WatchList); ok {
					watches++
				}
			}
		}
	}
	run(0, 2*time.Second)
	if watches != 1 {
		t.Fatalf("%d list requests at the start, want 1", watches)
	}
	b.Handle(2*time.Second, ListEvent{Kind: ListFailed})
	run(2*time.Second, 9*time.Second)
	if watches != 2 {
		t.Fatalf("%d list requests after one failure, want 2", watches)
	}
	b.Handle(9*time.Second, ListEvent{Kind: ListSnapshot, Revision: 3, Servers: testFleet(3)})
	run(9*time.Second, 60*time.Second)
	if watches != 2 {
		t.Error("list request sent while a watch is open")
	}
	b.Handle(60*time.Second, ListEvent{Kind: ListFailed}) // the watch broke
	run(60*time.Second, 70*time.Second)
	if watches != 3 {
		t.Error("no list request sent after the watch broke")
	}
	push := testSettings()
	push.PollList = false
	b, watches = New(push), 0
	run(0, 5*time.Second)
	if watches != 0 {
		t.Error("list request sent although discovery pushes the list")
	}
}

// However many list requests have failed, and however many nodes there are, the next list request follows within
// MaxRepollDelay, or within 2*MaxRepollDelay minus the duration of the failed request. The first list request of a node
// follows within 4 s.
func TestPolling_AnyFailures_NextRequestInTime(t *testing.T) {
	for _, nodes := range []int{1, 3, 25, 40, 300, 3000} {
		for _, interval := range []time.Duration{time.Second, 10 * time.Second, time.Minute} {
			for _, took := range []time.Duration{0, time.Second, 3 * time.Second} {
				s := testSettings()
				s.NodeCount, s.PollInterval = nodes, max(interval, 4*time.Second)
				worst := time.Duration(0)
				for seed := range uint64(10) {
					s.Seed = seed
					b := newWarmNode(t, s, 3)
					now, since, failsAt := time.Duration(0), time.Duration(0), time.Hour
					for fails := 0; fails < 12; now += 10 * ms {
						if now >= failsAt {
							b.Handle(now, ListEvent{Kind: ListFailed})
							since, failsAt = now, time.Hour
						}
						requested := false
						for _, a := range b.Handle(now, Timer{Token: sweepToken}) {
							_, watch := a.(WatchList)
							requested = requested || watch
						}
						if !requested {
							continue
						}
						if limit := 4*time.Second + sweepInterval; fails == 0 && now-since > limit {
							t.Fatalf("%d nodes, poll interval %v: first list request after %v, want at most 4.2s", nodes, interval, now-since)
						}
						if fails > 0 {
							worst = max(worst, now-since)
						}
						fails++
						failsAt = now + took
					}
				}
				if limit := max(MaxRepollDelay, 2*MaxRepollDelay-took); worst > limit {
					t.Errorf("%d nodes, poll interval %v, requests that take %v: next list request after %v, want at most %v", nodes, interval, took, worst, limit)
				}
			}
		}
	}
}

// Discovery has a fixed capacity for all nodes. List requests at the start, and after a failure that hits all nodes at
// once, must not be synchronized.
func TestPolling_ManyNodes_Spread(t *testing.T) {
	const nodes = 160
	var all []*Balancer
	for i := range nodes {
		all = append(all, newFleetNode(t, i, nodes, 60))
	}
	run := func(from, to time.Duration) (highest int) {
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
			highest = max(highest, n)
		}
		return highest
	}
	run(20*ms, 20*time.Second)
	if highest := run(20*time.Second, 60*time.Second); highest > nodes/4 {
		t.Errorf("%d of %d nodes send list requests within the same 100 ms after failures, want at most a quarter", highest, nodes)
	}
}

const (
	listRequestCost    = 60 * ms         // time that the simulated discovery takes for a list request
	listRequestTimeout = 2 * time.Second // timeout of a list request
)

// listRequest is a list request to which the simulated discovery has not responded yet.
type listRequest struct {
	from   int
	at     time.Duration
	failed bool // timed out
}

// listSim simulates a discovery service that processes the list requests of many nodes one after the other, including
// those that have timed out.
type listSim struct {
	t           *testing.T
	nodes       []*Balancer
	lastRequest []time.Duration
	queue       []*listRequest
}

func (l *listSim) start(i int) {
	s := testSettings()
	s.Seed = uint64(i) + 1
	s.NodeIndex = i
	s.NodeCount = len(l.nodes)
	l.nodes[i] = newWarmNode(l.t, s, 10)
}

// run simulates a time span and returns the number of nodes without an open watch at its end.
func (l *listSim) run(from, to time.Duration) (withoutWatch int) {
	for now := from; now < to; now += listRequestCost {
		l.requestLists(from, now)
		l.failTimedOut(now)
		l.respondToNext(now)
	}
	for _, n := range l.nodes {
		if !n.polling.watching {
			withoutWatch++
		}
	}
	return withoutWatch
}

// requestLists triggers the periodic work of all nodes and queues their list requests.
func (l *listSim) requestLists(from, now time.Duration) {
	for i, n := range l.nodes {
		for _, a := range n.Handle(now, Timer{Token: sweepToken}) {
			if _, ok := a.(WatchList); ok {
				l.queue = append(l.queue, &listRequest{from: i, at: now})
				l.lastRequest[i] = now
			}
		}
		interval := n.settings.PollInterval
		if !n.polling.watching && now-l.lastRequest[i] > interval && now-from > interval {
			l.t.Fatalf("node %d without a watch: last list request at %v, none until %v; want at most PollInterval between requests", i, l.lastRequest[i], now)
		}
	}
}

func (l *listSim) failTimedOut(now time.Duration) {
	for _, c := range l.queue {
		if !c.failed && now >= c.at+listRequestTimeout {
			c.failed = true
			l.nodes[c.from].Handle(now, ListEvent{Kind: ListFailed})
		}
	}
}

// respondToNext processes one list request. The response to a request that has timed out is lost.
func (l *listSim) respondToNext(now time.Duration) {
	if len(l.queue) == 0 {
		return
	}
	next := l.queue[0]
	l.queue = l.queue[1:]
	if !next.failed {
		l.nodes[next.from].Handle(now, ListEvent{Kind: ListSnapshot, Revision: 2, Servers: testFleet(10)})
	}
}

// Nodes that start at the same time must not keep discovery busy with list requests that have timed out.
func TestPolling_ManyStarts_AllGetTheList(t *testing.T) {
	const nodes = 80
	list := &listSim{t: t, nodes: make([]*Balancer, nodes), lastRequest: make([]time.Duration, nodes)}
	for i := range nodes {
		list.start(i)
	}
	if n := list.run(0, 8*time.Second); n > 0 {
		t.Errorf("%d of %d nodes have no watch after 8 s", n, nodes)
	}
	for i := range nodes * 7 / 10 {
		list.start(i)
	}
	if n := list.run(8*time.Second, 16*time.Second); n > 0 {
		t.Errorf("%d nodes have no watch 8 s after seven in ten nodes restarted", n)
	}
	for _, n := range list.nodes { // discovery goes down, and every watch breaks
		n.Handle(16*time.Second, ListEvent{Kind: ListFailed})
	}
	if n := list.run(16*time.Second, 24*time.Second); n > 0 {
		t.Errorf("%d nodes have no watch 8 s after all watches broke", n)
	}
}
