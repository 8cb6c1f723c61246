package balancer

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

func testSettings() Settings {
	return Settings{
		Seed: 1, NodeCount: 3, PollList: true, PassThrough: true, MaxAttempts: 4, MayCancel: true,
		MaxRetryAfter: 2 * time.Second, DrainGrace: time.Second, SlowStartFraction: 0.25,
		SlowStartDuration: 10 * time.Second, CollapseMultiple: 3, CollapseWindow: time.Second, PollInterval: 10 * time.Second,
		Classes: []Class{
			{SetupLatencyObjective: 300 * ms, Deadline: 2 * time.Second, MessageLatencyObjective: 100 * ms, PriorityWeight: 1},
			{SetupLatencyObjective: 300 * ms, Deadline: 2 * time.Second, Effect: IdempotentByKey, Scope: ScopeZone, IdempotencyWindow: time.Second},
			{SetupLatencyObjective: 300 * ms, Deadline: 2 * time.Second, Effect: NonIdempotent},
			{SetupLatencyObjective: 300 * ms, Deadline: 2 * time.Second, Effect: IdempotentByKey, Scope: ScopeAll, IdempotencyWindow: time.Second},
			{SetupLatencyObjective: 300 * ms, Deadline: 2 * time.Second, Effect: IdempotentByKey, Scope: ScopeCell, IdempotencyWindow: time.Second},
		},
	}
}

// started is a node that holds a warm fleet of n servers.
func started(t *testing.T, s Settings, n int) *Balancer {
	t.Helper()
	b := New(s)
	b.Handle(0, ListEvent{Kind: ListCached, Revision: 1, Servers: fleetOf(n)})
	return b
}

// homeEntry is the entry of the table that a request without a group belongs to.
func homeEntry(b *Balancer, r *request) int {
	return b.candidateEntry(b.preferredEntry(r), 0)
}

func sends(actions []Action) (out []Send) {
	for _, a := range actions {
		if s, ok := a.(Send); ok {
			out = append(out, s)
		}
	}
	return out
}

// finals counts the final answers for a request.
func finals(actions []Action, id RequestID) (n int, refused bool) {
	for _, a := range actions {
		switch a := a.(type) {
		case Reject:
			if a.ID == id {
				n++
				refused = true
			}
		case Fail:
			if a.ID == id {
				n++
			}
		}
	}
	return n, refused
}

func TestSameKeyGoesToTheSameServer(t *testing.T) {
	b := started(t, testSettings(), 12)
	other := testSettings()
	other.Seed, other.NodeIndex = 7, 2
	c := started(t, other, 12)
	for i := range 50 {
		a := Arrival{ID: RequestID(fmt.Sprint(i)), Key: fmt.Sprint("key", i), TimeLeft: time.Second}
		x, y := sends(b.Handle(0, a)), sends(c.Handle(0, a))
		if len(x) != 1 || len(y) != 1 {
			t.Fatal("no send")
		}
		if first := b.table.hops(homeEntry(b, &request{Arrival: a}))[1]; !b.isOverloaded(first, 1) && x[0].Server != first.id && first.connections < minOverloadConnections {
			t.Errorf("key %d left its first hop %s for %s", i, first.id, x[0].Server)
		}
		b.Handle(0, AttemptEnded{ID: a.ID, Outcome: Served, Final: true})
		c.Handle(0, AttemptEnded{ID: a.ID, Outcome: Served, Final: true})
		if x[0].Server != y[0].Server {
			t.Errorf("key %d: %s at one node, %s at another", i, x[0].Server, y[0].Server)
		}
	}
}

func TestNoServersIsRefusedAtOnce(t *testing.T) {
	b := New(testSettings())
	if n, refused := finals(b.Handle(0, Arrival{ID: "r", TimeLeft: time.Second}), "r"); n != 1 || !refused {
		t.Error("with no list the request must be refused at once")
	}
	b.Handle(0, ListEvent{Kind: ListSnapshot, Revision: 1, Servers: fleetOf(2)})
	b.Handle(0, ListEvent{Kind: ListSnapshot, Revision: 2})
	out := b.Handle(0, Arrival{ID: "q", TimeLeft: time.Second})
	if n, _ := finals(out, "q"); n != 1 || len(sends(out)) != 0 {
		t.Error("an emptied list still draws sends")
	}
	if len(b.requests) != 0 {
		t.Error("a refused request is still held")
	}
}

func TestFurtherAttemptsByEffect(t *testing.T) {
	for _, c := range []struct {
		name    string
		class   int
		outcome Outcome
		took    time.Duration
		again   bool // another attempt may follow
		refuse  bool // the last answer may be a refusal
	}{
		{"safe after silence", 0, ResponseTimeout, 300 * ms, true, true},
		{"unsafe after silence", 2, ResponseTimeout, 300 * ms, false, false},
		{"unsafe after a failed connect", 2, ConnectFailed, 50 * ms, true, true},
		{"unsafe turned away", 2, Rejected, 5 * ms, true, true},
		{"unsafe after an error", 2, Errored, 5 * ms, false, false},
		{"keyed zone in its window", 1, ResponseTimeout, 300 * ms, true, false},
		{"keyed zone past its window", 1, ResponseTimeout, 1200 * ms, false, false},
		{"keyed all in its window", 3, ResponseTimeout, 300 * ms, true, true},
		{"keyed all past its window", 3, ResponseTimeout, 1200 * ms, false, true},
		{"keyed cell in its window", 4, ConnectionReset, 300 * ms, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := New(testSettings())
			fleet := fleetOf(12)
			for i := range fleet {
				fleet[i].Zone, fleet[i].Cell = i%2, i%4
			}
			b.Handle(0, ListEvent{Kind: ListCached, Servers: fleet})
			first := sends(b.Handle(0, Arrival{ID: "r", Class: c.class, Key: "k", TimeLeft: 2 * time.Second}))[0]
			out := b.Handle(c.took, AttemptEnded{ID: "r", Server: first.Server, Took: c.took, Outcome: c.outcome})
			again := sends(out)
			if c.again != (len(again) == 1) {
				t.Fatalf("further attempts: %v", again)
			}
			now := c.took
			for i := 1; len(again) == 1; i++ {
				was, is := b.servers[first.Server], b.servers[again[0].Server]
				if was == is {
					t.Fatal("the same server was tried twice")
				}
				if c.class == 1 && was.zone != is.zone || c.class == 4 && was.cell != is.cell {
					t.Fatal("a keyed request left the servers that drop its repeats")
				}
				out = b.Handle(now, AttemptEnded{ID: "r", Attempt: i, Took: c.took, Outcome: c.outcome})
				for n, _ := finals(out, "r"); n == 0 && len(sends(out)) == 0; n, _ = finals(out, "r") {
					if now += 5 * ms; now > 3*time.Second {
						t.Fatal("a request that waits its turn was lost")
					}
					out = b.Handle(now, Timer{Token: pacingToken})
				}
				again = sends(out)
			}
			if n, refused := finals(out, "r"); n != 1 || refused != c.refuse {
				t.Errorf("%d final answers, refused %v, want one, refused %v", n, refused, c.refuse)
			}
		})
	}
}

func TestAttemptsUsedUpEndAtOnce(t *testing.T) {
	b := started(t, testSettings(), 12)
	out := b.Handle(0, Arrival{ID: "r", Key: "k", TimeLeft: 2 * time.Second})
	for i := range 4 {
		if len(sends(out)) != 1 {
			t.Fatalf("attempt %d was not sent", i)
		}
		out = b.Handle(ms, AttemptEnded{ID: "r", Attempt: i, Outcome: ConnectFailed})
	}
	if n, refused := finals(out, "r"); n != 1 || !refused || len(sends(out)) != 0 {
		t.Error("after the last attempt the request must be refused at once")
	}
}

func TestClientGoneIsCancelledAndFreed(t *testing.T) {
	b := started(t, testSettings(), 3)
	b.Handle(0, Arrival{ID: "r", Key: "k", TimeLeft: time.Second})
	out := b.Handle(ms, ClientDisconnected{ID: "r"})
	if len(out) != 1 || out[0] != (Cancel{ID: "r"}) {
		t.Errorf("got %v, want a cancel", out)
	}
	out = b.Handle(2*ms, AttemptEnded{ID: "r", Outcome: Cancelled, Final: true})
	if len(out) != 0 || len(b.requests) != 0 {
		t.Error("the request is not freed with its last attempt")
	}
	for _, e := range []Event{ClientDisconnected{ID: "r"}, AttemptEnded{ID: "r"}, Established{ID: "r"}, LoadReport{ID: "r", Load: 1},
		LatencyReport{ID: "r", Latency: time.Second}, Timer{Token: "other"}, PeerMessage{}} {
		if out := b.Handle(3*ms, e); len(out) != 0 {
			t.Errorf("%T for what is no longer held drew %v", e, out)
		}
	}
}

// A hung server accepts and says nothing; a dead one refuses connections. Both must stop getting new
// connections within a few attempts, be tried again later, and come back when well.
func TestFailingServerIsLeftAloneAndComesBack(t *testing.T) {
	for _, outcome := range []Outcome{ResponseTimeout, ConnectFailed} {
		b := started(t, testSettings(), 6)
		bad := b.table.first[0].id
		hits, now := 0, time.Duration(0)
		for i := range 200 {
			id := RequestID(fmt.Sprint("r", i))
			out := b.Handle(now, Arrival{ID: id, Key: fmt.Sprint(i), TimeLeft: 2 * time.Second})
			for n := 0; len(sends(out)) == 1; n++ {
				e := AttemptEnded{ID: id, Attempt: n, Took: 300 * ms, Outcome: outcome}
				if sends(out)[0].Server != bad {
					b.Handle(now, Established{ID: id, Attempt: n, Took: 20 * ms})
					e.Outcome, e.Final = Served, true
				} else {
					hits++
				}
				out = b.Handle(now, e)
			}
			now += 50 * ms
		}
		if hits < 2 || hits > 12 {
			t.Errorf("outcome %d: the bad server got %d attempts in 10 s", outcome, hits)
		}
		s := b.servers[bad]
		b.now = s.ejectedUntil + ms
		if b.isEjected(s) {
			t.Error("it is never tried again")
		}
		b.recordSuccess(s)
		if s.consecutiveFailures != 0 || b.isEjected(s) {
			t.Error("a success does not clear it")
		}
	}
}

func TestSuspicionNeverShutsOutTheFleet(t *testing.T) {
	b := started(t, testSettings(), 6)
	for _, s := range b.servers {
		b.recordFailure(s, time.Second)
	}
	if out := sends(b.Handle(ms, Arrival{ID: "r", Key: "k", TimeLeft: time.Second})); len(out) != 1 {
		t.Error("with all servers suspect the plain table must go on")
	}
}

// Half the clients return at once: set-ups queue at what all servers call to set one up. Sending on
// at full speed keeps that jammed; waiting past the client's time would lose the request.
func TestSharedSetupTroubleIsPacedAndAnsweredInTime(t *testing.T) {
	b := started(t, testSettings(), 12)
	now := time.Duration(0)
	due := map[RequestID]time.Duration{}
	answered := map[RequestID]bool{}
	sent := 0
	var wakes []time.Duration
	var take func(actions []Action)
	take = func(actions []Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case Send:
				sent++
				at := a
				defer func() {
					take(b.Handle(now, AttemptEnded{ID: at.ID, Attempt: len(b.requests[at.ID].attempts) - 1, Took: 10 * ms, Outcome: Errored}))
				}()
			case Reject:
				answered[a.ID] = true
				if now > due[a.ID] {
					t.Fatalf("%s was answered after its time", a.ID)
				}
			case SetTimer:
				wakes = append(wakes, a.At)
			}
		}
	}
	for i := range 100 {
		id := RequestID(fmt.Sprint("r", i))
		due[id] = 2 * time.Second
		take(append([]Action(nil), b.Handle(0, Arrival{ID: id, Key: fmt.Sprint(i), TimeLeft: 2 * time.Second})...))
	}
	if sent > 20 {
		t.Errorf("%d set-ups were sent into the jam at once", sent)
	}
	for now < 3*time.Second {
		now += 5 * ms
		for i := 0; i < len(wakes); i++ {
			if wakes[i] <= now {
				wakes = append(wakes[:i], wakes[i+1:]...)
				take(append([]Action(nil), b.Handle(now, Timer{Token: pacingToken})...))
				break
			}
		}
	}
	if len(answered) != 100 || len(b.requests) != 0 {
		t.Errorf("%d of 100 answered, %d held", len(answered), len(b.requests))
	}
}

func TestColdServerGetsItsShareOnly(t *testing.T) {
	b := started(t, testSettings(), 5)
	b.rates.setups = 2 // connections a second over the warm five
	b.Handle(0, ListEvent{Kind: ListDelta, Revision: 2, Servers: []Server{{ID: "cold", Weight: 2, StartedAt: time.Nanosecond}}})
	n := 0
	for i := range 400 {
		id := RequestID(fmt.Sprint(i))
		for _, s := range sends(b.Handle(time.Duration(i)*5*ms, Arrival{ID: id, Key: id2key(i), TimeLeft: time.Second})) {
			if s.Server == "cold" {
				n++
			}
		}
	}
	// Two seconds at FallMultiple*share*rate*weight share, and the first token.
	if n > 2 {
		t.Errorf("a cold server got %d connections of a wave in 2 s", n)
	}
}

func id2key(i int) string { return fmt.Sprint("key-", i) }

func TestDiscoveryAsksBacksOffAndRecovers(t *testing.T) {
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
		t.Fatalf("asked %d times at the start, want once", watches)
	}
	b.Handle(2*time.Second, ListEvent{Kind: ListFailed})
	run(2*time.Second, 9*time.Second)
	if watches != 2 {
		t.Fatalf("asked %d times after one failure, want twice", watches)
	}
	b.Handle(9*time.Second, ListEvent{Kind: ListSnapshot, Revision: 3, Servers: fleetOf(3)})
	run(9*time.Second, 60*time.Second)
	if watches != 2 {
		t.Error("a standing watch is asked again")
	}
	b.Handle(60*time.Second, ListEvent{Kind: ListFailed}) // the watch broke
	run(60*time.Second, 70*time.Second)
	if watches != 3 {
		t.Error("a broken watch is not asked again")
	}
	push := testSettings()
	push.PollList = false
	b, watches = New(push), 0
	run(0, 5*time.Second)
	if watches != 0 {
		t.Error("a pushed list was asked for")
	}
}

func TestRestartUnderTheOldNameIsCold(t *testing.T) {
	b := started(t, testSettings(), 4)
	b.Handle(30*time.Second, ListEvent{Kind: ListDelta, Servers: []Server{{ID: "s01", Weight: 1, StartedAt: 29 * time.Second}}})
	if got := b.slowStartFactor(b.servers["s01"]); got > 0.35 {
		t.Errorf("slow start factor %.2f a second after the restart", got)
	}
}

// A jam that is over must not keep a node paced: where few connections come, few good set-ups tell.
func TestPacedSetupsEaseWithTime(t *testing.T) {
	b := started(t, testSettings(), 6)
	for i, id := range []RequestID{"a", "b", "r"} {
		b.Handle(0, Arrival{ID: id, Key: string(id), TimeLeft: time.Second})
		b.Handle(20*ms, AttemptEnded{ID: id, Took: 20 * ms, Outcome: Errored})
		if i == 0 && b.pacing.interval > 0 { // it cost clients that do not come again their only try
			t.Fatal("a single error of a set-up paces")
		}
	}
	if b.pacing.interval == 0 {
		t.Fatal("errors of one set-up after another do not pace")
	}
	for now := sweepInterval; now < 10*time.Second; now += sweepInterval {
		b.Handle(now, Timer{Token: pacingToken})
		b.Handle(now, Timer{Token: sweepToken})
		if r := b.requests["r"]; r != nil && len(r.attempts) > 1 && r.establishedOn == nil {
			b.Handle(now, Established{ID: "r", Attempt: len(r.attempts) - 1, Took: 20 * ms})
		}
	}
	if b.pacing.interval > 0 {
		t.Errorf("still paced at one in %v after ten quiet seconds", b.pacing.interval)
	}
}

// A node that drains turns new clients away at once with when to come again, also those that wait for their turn and
// those whose attempt fails, and sends away what stands evenly, all of it by its time and the dearest last.
func TestANodeThatDrains(t *testing.T) {
	s := testSettings()
	s.Classes[1] = Class{SetupLatencyObjective: 300 * ms, Deadline: 2 * time.Second, PriorityWeight: 50}
	b, _ := crowded(t, s, 20)
	for i := range 10 {
		b.Handle(0, Inherited{Arrival: Arrival{ID: RequestID(fmt.Sprint("dear", i)), Class: 1, TimeLeft: time.Hour}, Server: "a"})
	}
	out := b.Handle(ms, Arrival{ID: "early", TimeLeft: 2 * time.Second})
	if len(sends(out)) != 1 {
		t.Fatal("the node did not place before it drained")
	}
	b.pacing.queue = append(b.pacing.queue, &request{Arrival: Arrival{ID: "waits"}, deadline: time.Second})
	out = b.Handle(2*ms, Drain{Active: true, Deadline: 10 * time.Second, RetryAfter: 1500 * ms})
	if n, refused := finals(out, "waits"); n != 1 || !refused {
		t.Error("what waits for its turn is not answered at once")
	}
	out = b.Handle(3*ms, Arrival{ID: "new", TimeLeft: 2 * time.Second})
	if n, refused := finals(out, "new"); n != 1 || !refused || len(sends(out)) != 0 || out[len(out)-1].(Reject).RetryAfter != 1500*ms {
		t.Errorf("a new client is answered %v", out)
	}
	out = b.Handle(4*ms, AttemptEnded{ID: "early", Server: "a", Outcome: Rejected})
	if n, _ := finals(out, "early"); n != 1 || len(sends(out)) != 0 {
		t.Errorf("an attempt that failed is followed by %v", out)
	}
	if out = b.Handle(5*ms, Arrival{ID: "mid", TimeLeft: 2 * time.Second, MidFlow: true}); len(sends(out)) != 1 {
		t.Errorf("a connection that is open already is answered %v", out)
	}
	b.Handle(6*ms, ClientDisconnected{ID: "mid"})
	var left []RequestID
	for now := sweepInterval; now < 10*time.Second; now += sweepInterval {
		left = append(left, moves(b.Handle(now, Timer{Token: sweepToken}))...)
		if share, gone := float64(len(left))/50, float64(now)/float64(10*time.Second); share > gone+0.1 || share < gone-0.1 {
			t.Fatalf("%g of all are sent away after %g of the time", share, gone)
		}
	}
	if len(left) != 50 || left[49][:4] != "dear" || left[0][:4] == "dear" {
		t.Errorf("%d of 50 were sent away, first %s, last %s", len(left), left[0], left[len(left)-1])
	}
	b.Handle(11*time.Second, Drain{})
	b.Handle(11*time.Second, Drain{Active: true, Deadline: 20 * time.Second, AdmissionCutoff: 11*time.Second + 5*ms, KeepConnections: true})
	if out = b.Handle(11*time.Second+ms, Arrival{ID: "unaware", TimeLeft: 2 * time.Second}); len(sends(out)) != 1 {
		t.Errorf("a client of a front that has not noticed yet is answered %v", out)
	}
	b.Handle(11*time.Second+2*ms, Established{ID: "unaware", Server: sends(out)[0].Server})
	for now := 12 * time.Second; now < 20*time.Second; now += sweepInterval {
		if out = b.Handle(now, Timer{Token: sweepToken}); len(moves(out)) > 0 {
			t.Fatalf("of what is to stay, %v is sent away", moves(out))
		}
	}
	b.Handle(20*time.Second, Drain{})
	if out = b.Handle(21*time.Second, Arrival{ID: "back", TimeLeft: 2 * time.Second}); len(sends(out)) != 1 {
		t.Errorf("a node that drains no more answers %v", out)
	}
}

// Whatever calls to the list failed before, and however many nodes there are, the wish for the next one comes
// within AskAgain, or twice that less what the call took where it failed soon; the first of a node within 4 s. Both
// are part of what lies between a change and its being known.
func TestTheListIsAskedAgainInTime(t *testing.T) {
	for _, nodes := range []int{1, 3, 25, 40, 300, 3000} {
		for _, within := range []time.Duration{time.Second, 10 * time.Second, time.Minute} {
			for _, took := range []time.Duration{0, time.Second, 3 * time.Second} {
				s := testSettings()
				s.NodeCount, s.PollInterval = nodes, max(within, 4*time.Second)
				worst := time.Duration(0)
				for seed := range uint64(10) {
					s.Seed = seed
					b := started(t, s, 3)
					now, since, failsAt := time.Duration(0), time.Duration(0), time.Hour
					for fails := 0; fails < 12; now += 10 * ms {
						if now >= failsAt {
							b.Handle(now, ListEvent{Kind: ListFailed})
							since, failsAt = now, time.Hour
						}
						asked := false
						for _, a := range b.Handle(now, Timer{Token: sweepToken}) {
							_, watch := a.(WatchList)
							asked = asked || watch
						}
						if !asked {
							continue
						}
						if most := 4*time.Second + sweepInterval; fails == 0 && now-since > most {
							t.Fatalf("%d nodes, %v: first asked after %v", nodes, within, now-since)
						}
						if fails > 0 {
							worst = max(worst, now-since)
						}
						fails++
						failsAt = now + took
					}
				}
				if most := max(MaxRepollDelay, 2*MaxRepollDelay-took); worst > most {
					t.Errorf("%d nodes, %v, calls that take %v: asked again after %v, %v at most", nodes, within, took, worst, most)
				}
			}
		}
	}
}
