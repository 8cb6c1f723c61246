package node

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"onyxstream/balancer"
	"onyxstream/internal/settings"
	"onyxstream/internal/wire"
)

// fakeConn records what a connection is told.
type fakeConn struct {
	mu    sync.Mutex
	calls []string
	sent  []Attempt
	stats MessageStats
}

func (p *fakeConn) record(text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = append(p.calls, text)
}

func (p *fakeConn) Send(a Attempt) {
	p.mu.Lock()
	p.sent = append(p.sent, a)
	p.mu.Unlock()
	p.record(fmt.Sprintf("send %d %s", a.Number, a.Addr))
}

func (p *fakeConn) Proceed(n int, ok bool) { p.record(fmt.Sprintf("go %d %v", n, ok)) }

func (p *fakeConn) Cancel(n int) { p.record(fmt.Sprintf("cancel %d", n)) }

func (p *fakeConn) Reject(d time.Duration) { p.record(fmt.Sprintf("refuse %v", d > 0)) }

func (p *fakeConn) Fail() { p.record("fail") }

func (p *fakeConn) Migrate() { p.record("move") }

func (p *fakeConn) MessageStats(now time.Time) MessageStats { return p.stats }

func (p *fakeConn) recorded() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.calls, ", ")
}

// fakeTransport records what the loop asks of the sockets beside its connections.
type fakeTransport struct {
	watches   []ListRequest
	pings     []balancer.ServerID
	pingsFail bool // no ping is sent any more
}

func (w *fakeTransport) Watch(c ListRequest) { w.watches = append(w.watches, c) }

func (w *fakeTransport) Ping(id balancer.ServerID, _ string) bool {
	if w.pingsFail {
		return false
	}
	w.pings = append(w.pings, id)
	return true
}

func testSettings() settings.Settings {
	return settings.Settings{
		Settings: balancer.Settings{NodeCount: 1, PollList: true, MaxAttempts: 4, MayCancel: true, MaxRetryAfter: time.Second,
			DrainGrace: 400 * time.Millisecond, SlowStartDuration: time.Second, SlowStartFraction: 0.5, CollapseMultiple: 4,
			CollapseWindow: time.Second, PollInterval: 10 * time.Second,
			Classes: []balancer.Class{{SetupLatencyObjective: 300 * time.Millisecond, Deadline: 2 * time.Second,
				MessageLatencyObjective: 60 * time.Millisecond, PriorityWeight: 1}}},
		ClassNames: []string{"chat"}, TenantNames: []string{"acme"}, ZoneNames: []string{"a", "b"}, ConnectionGroups: true,
	}
}

func endpoint(id string, phase wire.Phase) wire.Endpoint {
	return wire.Endpoint{ID: id, Addr: id + ":1", Zone: "a", Size: 1, Phase: phase}
}

// newTestNode is a node that is not running: the test takes its events by hand.
func newTestNode(t *testing.T, members ...wire.Endpoint) (*Node, *fakeTransport, *observer.ObservedLogs) {
	t.Helper()
	core, logs := observer.New(zap.InfoLevel)
	w := &fakeTransport{}
	return New(testSettings(), wire.EndpointList{Revision: 7, Complete: true, Endpoints: members}, "d:1", w, zap.New(core)), w, logs
}

func opening(t *testing.T, line string) *wire.Opening {
	t.Helper()
	_, o, err := wire.ParseOpening([]byte(line))
	if err != nil {
		t.Fatal(err)
	}
	return &o
}

// arrive hands the node a client's line.
func arrive(t *testing.T, n *Node, id string) *fakeConn {
	t.Helper()
	p := &fakeConn{}
	n.handle(requestArrived{
		requestRef: requestRef{id: balancer.RequestID(id), conn: p},
		opening:    opening(t, "OPEN "+id+" key c=chat,t=acme,d=2000"),
		deadline:   time.Now().Add(2 * time.Second),
	})
	return p
}

func settled(id string, n int, o balancer.Outcome) event {
	return attemptEnded{
		requestRef: requestRef{id: balancer.RequestID(id)},
		attempt:    n,
		took:       time.Millisecond,
		outcome:    o,
	}
}

func opened(id string, n int) event {
	return connectionEstablished{
		requestRef: requestRef{id: balancer.RequestID(id)},
		attempt:    n,
		took:       time.Millisecond,
	}
}

func TestRequest_ServedAndEnded_IsReleased(t *testing.T) {
	n, _, _ := newTestNode(t, endpoint("s1", wire.Serving))
	p := arrive(t, n, "r")
	if p.recorded() != "send 0 s1:1" || n.InFlightRequests() != 1 {
		t.Fatalf("%s; %d owed", p.recorded(), n.InFlightRequests())
	}
	n.handle(attemptConnected{requestRef: requestRef{id: "r"}})
	n.handle(opened("r", 0))
	if p.recorded() != "send 0 s1:1, go 0 true" || n.InFlightRequests() != 0 || n.EstablishedConnections() != 1 {
		t.Fatalf("%s; %d owed, %d open", p.recorded(), n.InFlightRequests(), n.EstablishedConnections())
	}
	n.handle(&loadReported{requestRef: requestRef{id: "r"}, load: 5})
	n.handle(settled("r", 0, balancer.Served))
	if n.EstablishedConnections() != 0 || len(n.requests) != 0 {
		t.Errorf("%d open, %d requests kept", n.EstablishedConnections(), len(n.requests))
	}
}

func TestRequest_AllHostsFail_RejectedAtOnce(t *testing.T) {
	n, _, _ := newTestNode(t, endpoint("s1", wire.Serving), endpoint("s2", wire.Serving))
	p := arrive(t, n, "r")
	n.handle(settled("r", 0, balancer.ConnectFailed))
	if len(p.sent) != 2 || p.sent[0].Addr == p.sent[1].Addr {
		t.Fatalf("sent to %v", p.sent)
	}
	n.handle(settled("r", 1, balancer.Rejected))
	if !strings.HasSuffix(p.recorded(), "refuse true") || n.InFlightRequests() != 0 || len(n.requests) != 0 {
		t.Errorf("%s; %d owed, %d kept", p.recorded(), n.InFlightRequests(), len(n.requests))
	}
}

// Whatever comes twice, late or for another attempt changes nothing.
func TestRequest_LateOrDuplicateEvents_Ignored(t *testing.T) {
	n, _, _ := newTestNode(t, endpoint("s1", wire.Serving), endpoint("s2", wire.Serving))
	p := arrive(t, n, "r")
	n.handle(settled("r", 0, balancer.Errored))
	said := p.recorded()
	n.handle(settled("r", 0, balancer.Errored))
	n.handle(opened("r", 0))
	n.handle(settled("r", 7, balancer.Rejected))
	n.handle(settled("other", 0, balancer.Rejected))
	n.handle(&loadReported{requestRef: requestRef{id: "r"}, load: 1})
	if p.recorded() != said {
		t.Errorf("then also %s", p.recorded())
	}
	n.handle(attemptConnected{requestRef: requestRef{id: "r"}, attempt: 0})
	if !strings.HasSuffix(p.recorded(), "go 0 false") {
		t.Errorf("an attempt that is over may go: %s", p.recorded())
	}
	again := arrive(t, n, "r")
	if again.recorded() != "fail" || n.InFlightRequests() != 1 {
		t.Errorf("an id that is held: %s; %d owed", again.recorded(), n.InFlightRequests())
	}
}

func TestClientDisconnected_AttemptInFlight_Released(t *testing.T) {
	n, _, _ := newTestNode(t, endpoint("s1", wire.Serving))
	p := arrive(t, n, "r")
	n.handle(clientDisconnected{requestRef: requestRef{id: "r"}, attemptsTaken: 1})
	if !strings.HasSuffix(p.recorded(), "cancel 0") || n.InFlightRequests() != 0 || len(n.requests) != 1 {
		t.Fatalf("%s; %d owed, %d kept", p.recorded(), n.InFlightRequests(), len(n.requests))
	}
	n.handle(settled("r", 0, balancer.Cancelled))
	if len(n.requests) != 0 || strings.Contains(p.recorded(), "refuse") {
		t.Errorf("%s; %d kept", p.recorded(), len(n.requests))
	}
	// A send that meets a connection which has ended is taken by no one and would be kept for ever.
	arrive(t, n, "q")
	n.handle(clientDisconnected{requestRef: requestRef{id: "q"}, attemptsTaken: 0})
	if len(n.requests) != 0 || n.InFlightRequests() != 0 {
		t.Errorf("%d kept, %d owed", len(n.requests), n.InFlightRequests())
	}
}

// A send counts at its first byte: a dial that comes up after the grace must not be written to.
func TestAttempt_HostDrainGraceOver_NotWritten(t *testing.T) {
	n, _, _ := newTestNode(t, endpoint("s1", wire.Serving))
	p := arrive(t, n, "r")
	n.applyList(&wire.EndpointList{Revision: 8, Endpoints: []wire.Endpoint{endpoint("s1", wire.Draining)}}, balancer.ListDelta, false)
	n.handle(attemptConnected{requestRef: requestRef{id: "r"}})
	if !strings.HasSuffix(p.recorded(), "go 0 true") {
		t.Fatalf("within the grace: %s", p.recorded())
	}
	n.hosts["s1"].notifiedAt = time.Now().Add(-n.settings.DrainGrace)
	n.handle(attemptConnected{requestRef: requestRef{id: "r"}})
	if !strings.HasSuffix(p.recorded(), "go 0 false") {
		t.Fatalf("after the grace: %s", p.recorded())
	}
	// Being told again, or that it is gone, does not start another grace.
	n.applyList(&wire.EndpointList{Revision: 9, Endpoints: []wire.Endpoint{endpoint("s1", wire.Removed)}}, balancer.ListDelta, false)
	if n.hostAcceptsWrites(n.hosts["s1"]) {
		t.Error("a second notice gives a second grace")
	}
	n.applyList(&wire.EndpointList{Revision: 10, Endpoints: []wire.Endpoint{endpoint("s1", wire.Serving)}}, balancer.ListDelta, false)
	if !n.hostAcceptsWrites(n.hosts["s1"]) {
		t.Error("a host called back gets nothing")
	}
}

func TestArrival_UnknownClass_Failed(t *testing.T) {
	n, _, logs := newTestNode(t, endpoint("s1", wire.Serving))
	p := &fakeConn{}
	n.handle(requestArrived{
		requestRef: requestRef{id: "r", conn: p},
		opening:    opening(t, "OPEN r key c=odd"),
		deadline:   time.Now().Add(time.Second),
	})
	if p.recorded() != "fail" || len(n.requests) != 0 || logs.FilterMessageSnippet("class").Len() != 1 {
		t.Errorf("%s; %d kept", p.recorded(), len(n.requests))
	}
}

func TestArrival_OpeningFields_ReachBalancer(t *testing.T) {
	n, _, _ := newTestNode(t)
	a := n.toArrival(opening(t, "OPEN r key c=chat,t=acme,g=grp,mid=1,again=1,r=1"), time.Second)
	want := balancer.Arrival{ID: "r", Key: "key", Group: "grp", TimeLeft: time.Second, MidFlow: true, Reconnect: true, Retry: true}
	if a != want {
		t.Errorf("%+v, want %+v", a, want)
	}
	n.settings.ConnectionGroups = false
	if a := n.toArrival(opening(t, "OPEN r key c=chat,g=client"), 0); a.Group != "" || a.Tenant != -1 {
		t.Errorf("without groups: %+v", a)
	}
}

func TestInherited_ConnectionEnds_IsReleased(t *testing.T) {
	n, _, _ := newTestNode(t, endpoint("s1", wire.Serving))
	for i, host := range []string{"s1", "unlisted"} {
		id := balancer.RequestID(fmt.Sprint("r", i))
		ref := requestRef{id: id, conn: &fakeConn{}}
		line := opening(t, "OPEN "+string(id)+" key c=chat,at="+host)
		reply := make(chan resumePoint, 1)
		n.handle(connectionResumed{requestRef: ref, opening: line, reply: reply})
		if got := <-reply; !got.available || (got.addr != "") != (host == "s1") {
			t.Errorf("%s is at %+v", host, got)
		}
		n.handle(connectionInherited{requestRef: ref, opening: line})
		if n.EstablishedConnections() != 1 || n.InFlightRequests() != 0 {
			t.Errorf("at %s: %d open, %d owed", host, n.EstablishedConnections(), n.InFlightRequests())
		}
		n.handle(settled(string(id), 0, balancer.Served))
		if n.EstablishedConnections() != 0 || len(n.requests) != 0 {
			t.Errorf("at %s: %d open, %d kept after the end", host, n.EstablishedConnections(), len(n.requests))
		}
	}
}

// A client chooses its id. One that takes that of an open request gets an error, and whatever becomes of it the
// first one does not feel: its request, its attempt, its connection.
func TestRequest_DuplicateID_SecondFailsFirstUnaffected(t *testing.T) {
	n, _, _ := newTestNode(t, endpoint("s1", wire.Serving))
	first := arrive(t, n, "r")
	intrude := func() {
		t.Helper()
		second := arrive(t, n, "r")
		if second.recorded() != "fail" {
			t.Errorf("the second heard %q", second.recorded())
		}
		line := opening(t, "OPEN r key c=chat,at=s1")
		reply := make(chan resumePoint, 1)
		n.handle(connectionResumed{requestRef: requestRef{id: "r", conn: &fakeConn{}}, opening: line, reply: reply})
		if got := <-reply; got.available {
			t.Error("it may be taken up beside the first")
		}
		ref := requestRef{id: "r", conn: second}
		for _, e := range []event{
			clientDisconnected{requestRef: ref},
			attemptConnected{requestRef: ref},
			connectionEstablished{requestRef: ref, took: time.Hour},
			&loadReported{requestRef: ref, load: 5},
			connectionInherited{requestRef: ref, opening: line},
			attemptEnded{requestRef: ref, outcome: balancer.ConnectionReset},
		} {
			n.handle(e)
		}
	}
	intrude()
	if n.InFlightRequests() != 1 || first.recorded() != "send 0 s1:1" {
		t.Fatalf("%d owed; the first heard %q", n.InFlightRequests(), first.recorded())
	}
	n.handle(connectionEstablished{requestRef: requestRef{id: "r", conn: first}, took: time.Millisecond})
	intrude()
	if n.InFlightRequests() != 0 || n.EstablishedConnections() != 1 {
		t.Errorf("%d owed, %d open", n.InFlightRequests(), n.EstablishedConnections())
	}
	n.handle(attemptEnded{requestRef: requestRef{id: "r", conn: first}, outcome: balancer.Served})
	if n.EstablishedConnections() != 0 || len(n.requests) != 0 {
		t.Errorf("%d open, %d kept after the end", n.EstablishedConnections(), len(n.requests))
	}
}

// A connection from before the run that never comes up leaves nothing behind.
func TestResume_ConnectionNeverUp_IsReleased(t *testing.T) {
	n, _, _ := newTestNode(t, endpoint("s1", wire.Serving))
	ref := requestRef{id: "r", conn: &fakeConn{}}
	resume := connectionResumed{
		requestRef: ref,
		opening:    opening(t, "OPEN r key c=chat,at=s1"),
		reply:      make(chan resumePoint, 2),
	}
	n.handle(resume)
	n.handle(resume) // it is tried again
	n.handle(clientDisconnected{requestRef: ref})
	if len(n.requests) != 0 || n.InFlightRequests() != 0 || n.EstablishedConnections() != 0 {
		t.Errorf("%d kept, %d owed, %d open", len(n.requests), n.InFlightRequests(), n.EstablishedConnections())
	}
}

func TestHasClassAndTenant_NamesInSettings_Reported(t *testing.T) {
	n, _, _ := newTestNode(t)
	for list, want := range map[string]bool{"c=chat,t=acme": true, "c=chats,t=acme": false, "t=acme": false, "c=chat,t=acne": false,
		"c=chat": false} {
		if got := n.HasClassAndTenant(opening(t, "OPEN r key "+list)); got != want {
			t.Errorf("%s: known %v, want %v", list, got, want)
		}
	}
}

// establish is a connection that stands.
func establish(t *testing.T, n *Node, id string) *fakeConn {
	t.Helper()
	p := arrive(t, n, id)
	n.handle(opened(id, 0))
	return p
}

// A failure in the handling of one event must not end the node.
func TestEvent_HandlerPanics_LoopGoesOn(t *testing.T) {
	n, _, logs := newTestNode(t, endpoint("s1", wire.Serving))
	n.recoverPanics(func() { n.handle(listReceived{}) }) // a list event without a list
	if logs.FilterMessage("panic while handling event").Len() != 1 {
		t.Error("no trace of the failure in the log")
	}
	if p := arrive(t, n, "r"); p.recorded() != "send 0 s1:1" {
		t.Errorf("after it: %s", p.recorded())
	}
}

func TestTimers_SameAndDifferentTimes_DueInOrder(t *testing.T) {
	var ts timers
	for i, at := range []time.Duration{5, 3, 5, 1} {
		ts.add(at, fmt.Sprint(i))
	}
	if ts.wait(0) != 1 {
		t.Errorf("waits %v", ts.wait(0))
	}
	var got []string
	for token, due := ts.next(5); due; token, due = ts.next(5) {
		got = append(got, token)
	}
	if !slices.Equal(got, []string{"3", "1", "0", "2"}) || ts.wait(0) != time.Hour {
		t.Errorf("order %v", got)
	}
}

// The loop under the race detector: many connections post and are told at once, and all of it ends.
func TestRun_ManyConcurrentConnections_AllEnd(t *testing.T) {
	n, _, _ := newTestNode(t, endpoint("s1", wire.Serving), endpoint("s2", wire.Serving))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = n.Run(ctx)
	}()
	var all sync.WaitGroup
	for i := range 50 {
		all.Add(1)
		go func() {
			defer all.Done()
			id := balancer.RequestID(fmt.Sprint(i))
			o := opening(t, fmt.Sprintf("OPEN %d key%d c=chat,d=2000", i, i))
			p := &fakeConn{}
			n.RequestArrived(o, time.Now().Add(2*time.Second), p)
			n.AttemptConnected(id, p, 0)
			n.ConnectionEstablished(id, p, 0, time.Millisecond)
			n.ReportLoad(id, p, float64(i))
			n.ListReceived(1, &wire.EndpointList{Revision: int64(i), Endpoints: []wire.Endpoint{endpoint(fmt.Sprint("n", i%5), wire.Serving)}})
			n.AttemptEnded(id, p, 0, time.Millisecond, balancer.Served)
		}()
	}
	all.Wait()
	// What was posted before has been taken once this is answered.
	if addr, ok := n.ResumeConnection(opening(t, "OPEN stood key c=chat,t=acme,at=s1"), &fakeConn{}); addr != "s1:1" || !ok {
		t.Errorf("resumed at %q, %v", addr, ok)
	}
	if n.InFlightRequests() != 0 || n.EstablishedConnections() != 0 {
		t.Errorf("%d owed, %d open", n.InFlightRequests(), n.EstablishedConnections())
	}
	cancel()
	<-ended
	n.ClientDisconnected("1", &fakeConn{}, 0) // must not block
	if _, ok := n.ResumeConnection(opening(t, "OPEN stood key c=chat,t=acme,at=s1"), &fakeConn{}); ok {
		t.Error("an ended loop answers")
	}
}

// A repeat is dropped only so long after the first attempt: one whose dial came up later than that must not be written,
// whenever it was chosen.
func TestRetry_IdempotencyWindowOver_NotWritten(t *testing.T) {
	for _, c := range []struct {
		name   string
		effect balancer.Effect
		first  balancer.Outcome
		past   bool // the window is over as the second dial comes up
		want   string
	}{
		{"in time", balancer.IdempotentByKey, balancer.ResponseTimeout, false, "go 1 true"},
		{"late", balancer.IdempotentByKey, balancer.ResponseTimeout, true, "go 1 false"},
		{"late, but the first never ran", balancer.IdempotentByKey, balancer.ConnectFailed, true, "go 1 true"},
		{"late, of a safe class", balancer.Idempotent, balancer.ResponseTimeout, true, "go 1 true"},
	} {
		t.Run(c.name, func(t *testing.T) {
			window := time.Hour
			if c.past {
				window = 100 * time.Millisecond
			}
			set := testSettings()
			set.Classes[0].Effect, set.Classes[0].IdempotencyWindow = c.effect, window
			known := wire.EndpointList{Revision: 7, Complete: true, Endpoints: []wire.Endpoint{endpoint("s1", wire.Serving), endpoint("s2", wire.Serving)}}
			n := New(set, known, "d:1", &fakeTransport{}, zap.NewNop())
			p := arrive(t, n, "r")
			n.handle(settled("r", 0, c.first))
			if len(p.sent) != 2 {
				t.Fatalf("sent to %v", p.sent)
			}
			if c.past { // the dial is held until the window is over
				time.Sleep(window)
			}
			n.handle(attemptConnected{requestRef: requestRef{id: "r"}, attempt: 1})
			if !strings.HasSuffix(p.recorded(), c.want) {
				t.Errorf("%s; want %s", p.recorded(), c.want)
			}
		})
	}
}
