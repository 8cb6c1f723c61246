package balancer

import (
	"fmt"
	"testing"
	"time"
)

// Half the clients return at once: set-ups queue at what all servers call to set one up. Sending on
// at full speed keeps that jammed; waiting past the client's time would lose the request.
func TestPacing_AllSetupsFail_AnswersInTime(t *testing.T) {
	b := newWarmNode(t, testSettings(), 12)
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

// A jam that is over must not keep a node paced: where few connections come, few good set-ups tell.
func TestPacing_QuietTime_EndsIt(t *testing.T) {
	b := newWarmNode(t, testSettings(), 6)
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

// However many wait and however short the pace has become, a node has one timer out for all of them. Each of them
// had its own, set anew whenever one fell due a part of a microsecond early, and good set-ups halved the pace
// without an end: the timers of one instant set more for the same instant, until the memory was full.
func TestPacing_Queue_HasOneTimer(t *testing.T) {
	b := newWarmNode(t, testSettings(), 4)
	at := time.Second
	b.Handle(at, Arrival{ID: "first", Key: "a", TimeLeft: time.Second})
	b.pacing.interval, b.pacing.nextSendAt, b.pacing.changedAt = 10*ms, at+10*ms, 0
	wakes, sent := 0, 0
	handle := func(e Event) {
		for _, a := range b.Handle(at, e) {
			switch a := a.(type) {
			case SetTimer:
				if a.Token == pacingToken {
					wakes++
				}
			case Send:
				sent++
			}
		}
	}
	for i := range 30 {
		handle(Arrival{ID: RequestID(fmt.Sprint("w", i)), Key: fmt.Sprint(i), TimeLeft: time.Second})
	}
	if wakes != 1 || sent != 0 {
		t.Errorf("30 wait, %d sent, %d timers are set; want 1", sent, wakes)
	}
	for i := range 40 { // good ones that were sent since, all in one instant
		b.observeSetup(&request{}, &attempt{server: b.servers["a"], sentAt: at}, ms, false)
		if handle(Timer{Token: pacingToken}); b.pacing.interval > 0 && b.pacing.interval <= timerTolerance {
			t.Fatalf("after %d good set-ups one in %v is sent", i+1, b.pacing.interval)
		}
	}
	if b.pacing.interval != 0 || len(b.pacing.queue) > 0 || sent != 30 {
		t.Errorf("paced at %v, %d wait and %d of 30 were sent after forty good set-ups", b.pacing.interval, len(b.pacing.queue), sent)
	}
	if wakes > 12 { // one for each shorter pace
		t.Errorf("%d timers were set", wakes)
	}
}

// A node that has just started amid a jam learns of it by the second server that fails: by a mean alone it sent ten
// on, and nodes that are restarted in turn kept the jam up. One server's failures, or one that came up before, pace
// nothing.
func TestPacing_StartAmidOverload_BeginsSoon(t *testing.T) {
	for _, c := range []struct {
		name  string
		first bool // one came up well before
		on    []ServerID
		paced bool
	}{
		{"two servers fail", false, []ServerID{"a", "b"}, true},
		{"one fails often", false, []ServerID{"a", "a", "a", "a"}, false},
		{"one has come up", true, []ServerID{"a", "b"}, false},
	} {
		b, _ := nodeWithConnections(t, testSettings(), 0)
		b.now = time.Second
		if c.first {
			b.Handle(b.now, Arrival{ID: "well", Key: "k", TimeLeft: time.Second})
			b.Handle(b.now, Established{ID: "well", Server: "a", Took: 10 * ms})
		}
		for _, id := range c.on {
			b.now += ms
			b.observeSetup(&request{}, &attempt{server: b.servers[id], sentAt: b.now}, b.settings.Classes[0].SetupLatencyObjective, true)
		}
		if paced := b.pacing.interval > 0; paced != c.paced {
			t.Errorf("%s: paced %v, want %v", c.name, paced, c.paced)
		}
	}
}

// A node that has just started is met by all clients of one that ended. When their set-ups are slow it spaces them by
// the rate at which they come: without a rate of its own it let one through in seconds.
func TestPacing_NewNode_UsesArrivalRate(t *testing.T) {
	b := newWarmNode(t, testSettings(), 4)
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

// Times outside are whole microseconds, turns are not: a request whose timer fell due a part of one early went on
// waiting without a timer, and past its client's patience. It is its turn: where it was held once more instead, its
// timer fell due in the same microsecond again and again.
func TestPacing_EarlyTimer_Sends(t *testing.T) {
	b := newWarmNode(t, testSettings(), 4)
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

// Where hosts are few, one that errs must not pace all set-ups: the others are quick. Errors of several do.
func TestPacing_ErrorsOfOneServer_DoNotBeginIt(t *testing.T) {
	b, _ := nodeWithConnections(t, testSettings(), 0)
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

// With set-ups that take long a jam tells late: a pace that eased every sweep let each node send four times its
// baselineInterval rate into it, and it never ended.
func TestPacing_SlowSetups_RelaxLater(t *testing.T) {
	b := newWarmNode(t, testSettings(), 6)
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

// While what all servers call is jammed, a pace holds at the usual rate, whatever time passes: one that eased with
// time alone let the fleet send four times that into the jam, which never ended. Behind it, good set-ups end the
// pace soon.
func TestPacing_LastingOverload_Holds(t *testing.T) {
	s := testSettings()
	s.NodeCount = 300
	s.Tenants = []Tenant{{ConnectionQuota: 600}}
	b := newWarmNode(t, s, 40)
	type out struct {
		id      RequestID
		attempt int
		to      ServerID
		at      time.Duration
	}
	var under []out
	n := 0
	sum := 0
	sent := func(now time.Duration, actions []Action) {
		for _, q := range sends(actions) {
			sum++
			under = append(under, out{q.ID, len(b.requests[q.ID].attempts) - 1, q.Server, now})
		}
	}
	play := func(from, to, every, takes time.Duration, fails bool) {
		for now := from; now < to; now += 10 * ms {
			if now%every == 0 {
				n++
				id := RequestID(fmt.Sprint("j", n))
				sent(now, b.Handle(now, Arrival{ID: id, Key: string(id), TimeLeft: 2 * time.Second}))
			}
			for len(under) > 0 && under[0].at+takes <= now {
				o := under[0]
				under = under[1:]
				if fails {
					sent(now, b.Handle(now, AttemptEnded{ID: o.id, Attempt: o.attempt, Server: o.to, Took: takes, Outcome: ResponseTimeout}))
				} else {
					b.Handle(now, Established{ID: o.id, Attempt: o.attempt, Server: o.to, Took: takes})
				}
			}
			if now%sweepInterval == 0 {
				sent(now, b.Handle(now, Timer{Token: sweepToken}))
			}
			sent(now, b.Handle(now, Timer{Token: pacingToken}))
		}
	}
	const calm, jam, over = time.Minute, 90 * time.Second, 20 * time.Second
	play(10*ms, calm, 4*time.Second, 20*ms, false)
	if b.pacing.interval != 0 {
		t.Fatalf("paced at %v while all is well", b.pacing.interval)
	}
	usual, _ := b.baselineInterval()
	play(calm, calm+jam/2, 250*ms, 600*ms, true)
	sum = 0
	play(calm+jam/2, calm+jam, 250*ms, 600*ms, true)
	if most := 2 * float64(jam/2) / float64(usual); float64(sum) > most {
		t.Errorf("in the jam it sends %d in %v, usually one in %v", sum, jam/2, usual)
	}
	under = nil
	play(calm+jam, calm+jam+over, 500*ms, 20*ms, false)
	if b.pacing.interval > usual/8 {
		t.Errorf("behind it, it sends one in %v, usually one in %v", b.pacing.interval, usual)
	}
}
