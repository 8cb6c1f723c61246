package balancer

import (
	"fmt"
	"testing"
	"time"
)

// While all setups fail, few are sent, and every request gets its final answer in time.
func TestPacing_AllSetupsFail_AnswersInTime(t *testing.T) {
	b := newWarmNode(t, testSettings(), 12)
	now := time.Duration(0)
	due := map[RequestID]time.Duration{}
	answered := map[RequestID]bool{}
	sent := 0
	var timers []time.Duration
	var apply func(actions []Action)
	apply = func(actions []Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case Send:
				sent++
				at := a
				defer func() {
					apply(b.Handle(now, AttemptEnded{ID: at.ID, Attempt: len(b.requests[at.ID].attempts) - 1, Took: 10 * ms, Outcome: Errored}))
				}()
			case Reject:
				answered[a.ID] = true
				if now > due[a.ID] {
					t.Fatalf("%s was rejected after its deadline", a.ID)
				}
			case SetTimer:
				timers = append(timers, a.At)
			}
		}
	}
	for i := range 100 {
		id := RequestID(fmt.Sprint("r", i))
		due[id] = 2 * time.Second
		apply(append([]Action(nil), b.Handle(0, Arrival{ID: id, Key: fmt.Sprint(i), TimeLeft: 2 * time.Second})...))
	}
	if sent > 20 {
		t.Errorf("%d setups were sent at once while all fail, want at most 20", sent)
	}
	for now < 3*time.Second {
		now += 5 * ms
		for i := 0; i < len(timers); i++ {
			if timers[i] <= now {
				timers = append(timers[:i], timers[i+1:]...)
				apply(append([]Action(nil), b.Handle(now, Timer{Token: pacingToken})...))
				break
			}
		}
	}
	if len(answered) != 100 || len(b.requests) != 0 {
		t.Errorf("%d of 100 requests rejected, %d retained; want 100 and 0", len(answered), len(b.requests))
	}
}

// If there are few arrivals, there are few successful setups that could end pacing. Pacing must then end with time.
func TestPacing_QuietPeriod_EndsPacing(t *testing.T) {
	b := newWarmNode(t, testSettings(), 6)
	for i, id := range []RequestID{"a", "b", "r"} {
		b.Handle(0, Arrival{ID: id, Key: string(id), TimeLeft: time.Second})
		b.Handle(20*ms, AttemptEnded{ID: id, Took: 20 * ms, Outcome: Errored})
		if i == 0 && b.pacing.interval > 0 { // clients without retries would lose their only request
			t.Fatal("a single setup error started pacing")
		}
	}
	if b.pacing.interval == 0 {
		t.Fatal("errors of several setups in a row did not start pacing")
	}
	for now := sweepInterval; now < 10*time.Second; now += sweepInterval {
		b.Handle(now, Timer{Token: pacingToken})
		b.Handle(now, Timer{Token: sweepToken})
		if r := b.requests["r"]; r != nil && len(r.attempts) > 1 && r.establishedOn == nil {
			b.Handle(now, Established{ID: "r", Attempt: len(r.attempts) - 1, Took: 20 * ms})
		}
	}
	if b.pacing.interval > 0 {
		t.Errorf("setups are still paced with interval %v after a quiet period of 10 s", b.pacing.interval)
	}
}

// A node has one pacing timer, however long the queue and however short the interval. Fast setups end pacing instead of
// halving the interval forever.
func TestPacing_Queue_HasOneTimer(t *testing.T) {
	b := newWarmNode(t, testSettings(), 4)
	at := time.Second
	b.Handle(at, Arrival{ID: "first", Key: "a", TimeLeft: time.Second})
	b.pacing.interval, b.pacing.nextSendAt, b.pacing.changedAt = 10*ms, at+10*ms, 0
	timers, sent := 0, 0
	handle := func(e Event) {
		for _, a := range b.Handle(at, e) {
			switch a := a.(type) {
			case SetTimer:
				if a.Token == pacingToken {
					timers++
				}
			case Send:
				sent++
			}
		}
	}
	for i := range 30 {
		handle(Arrival{ID: RequestID(fmt.Sprint("w", i)), Key: fmt.Sprint(i), TimeLeft: time.Second})
	}
	if timers != 1 || sent != 0 {
		t.Errorf("%d of 30 queued requests sent, %d timers set; want 0 and 1", sent, timers)
	}
	for i := range 40 { // fast setups, all sent since and at the same time
		b.observeSetup(&request{}, &attempt{server: b.servers["a"], sentAt: at}, ms, false)
		if handle(Timer{Token: pacingToken}); b.pacing.interval > 0 && b.pacing.interval <= timerTolerance {
			t.Fatalf("interval after %d fast setups: %v, want 0 or more than timerTolerance", i+1, b.pacing.interval)
		}
	}
	if b.pacing.interval != 0 || len(b.pacing.queue) > 0 || sent != 30 {
		t.Errorf("interval %v, %d queued and %d of 30 sent after 40 fast setups; want 0, 0 and 30", b.pacing.interval, len(b.pacing.queue), sent)
	}
	if timers > 12 { // one for each shorter interval
		t.Errorf("%d timers were set, want at most 12", timers)
	}
}

// A node that starts during an overload starts pacing after two servers fail in a row. Failures of a single server, or
// after a successful setup, do not start pacing.
func TestPacing_NodeStartsDuringOverload_PacesSoon(t *testing.T) {
	for _, c := range []struct {
		name  string
		first bool // a setup succeeded before
		on    []ServerID
		paced bool
	}{
		{"two servers fail", false, []ServerID{"a", "b"}, true},
		{"one server fails repeatedly", false, []ServerID{"a", "a", "a", "a"}, false},
		{"two servers fail after a success", true, []ServerID{"a", "b"}, false},
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

// A node that has just started has no average rate of setups yet. Its baseline is the rate of setups since its start.
func TestPacing_NewNode_UsesSetupRateSinceStart(t *testing.T) {
	b := newWarmNode(t, testSettings(), 4)
	for i := range 30 {
		id := RequestID(fmt.Sprint("r", i))
		b.Handle(0, Arrival{ID: id, Key: fmt.Sprint(i), TimeLeft: 2 * time.Second})
		b.Handle(ms, Established{ID: id, Took: 600 * ms})
	}
	if b.pacing.interval <= 0 || b.pacing.interval > time.Second/10 { // the twelfth setup set the interval
		t.Errorf("interval %v after 30 setups in the first second, want 0 to 100ms", b.pacing.interval)
	}
	b.now = time.Minute
	if baseline, _ := b.baselineInterval(); baseline != b.derived.limitRecovery {
		t.Errorf("baseline after a minute without arrivals: %v, want %v", baseline, b.derived.limitRecovery)
	}
}

// Timers are truncated to the microsecond and send times are not. A timer that expires a fraction of a microsecond
// early must send; otherwise it would be set again and again for the same microsecond.
func TestPacing_EarlyTimer_Sends(t *testing.T) {
	b := newWarmNode(t, testSettings(), 4)
	b.Handle(time.Second, Arrival{ID: "first", Key: "a", TimeLeft: time.Second})
	b.pacing.interval, b.pacing.nextSendAt, b.pacing.changedAt = 10*ms, time.Second+10*ms+400, time.Second
	b.Handle(time.Second, Arrival{ID: "waits", Key: "b", TimeLeft: time.Second})
	// The timer expires at its time, truncated to the microsecond.
	at := time.Second + 10*ms
	if out := b.Handle(at, Timer{pacingToken}); len(sends(out)) != 1 {
		t.Errorf("actions at the send time: %v, want a send", out)
	}
	if out := b.Handle(at+2*ms, Timer{pacingToken}); len(out) != 0 {
		t.Errorf("actions with an empty queue: %v, want none", out)
	}
}

// If there are few servers, errors of a single one must not start pacing, but errors of several must.
func TestPacing_ErrorsOfOneServer_DoNotStartPacing(t *testing.T) {
	b, _ := nodeWithConnections(t, testSettings(), 0)
	fail := func(on ServerID) {
		b.now += time.Millisecond
		b.observeSetup(&request{}, &attempt{server: b.servers[on], sentAt: b.now}, 2*b.settings.Classes[0].SetupLatencyObjective, true)
	}
	for i := range 8 {
		if fail("a"); b.pacing.interval > 0 {
			t.Fatalf("setups are paced after %d errors of a single server", i+1)
		}
	}
	for range 4 {
		fail("b")
		fail("a")
	}
	if b.pacing.interval == 0 {
		t.Error("setups are not paced although several servers fail")
	}
}

// The interval is not shortened before the setups that were sent since its last change have had time to end.
func TestPacing_SlowSetups_RelaxLater(t *testing.T) {
	b := newWarmNode(t, testSettings(), 6)
	b.pacing.setupTime, b.pacing.interval, b.pacing.changedAt = time.Second, time.Second, 10*time.Second
	for now := 10 * time.Second; now <= 12*time.Second; now += sweepInterval {
		if b.Handle(now, Timer{Token: sweepToken}); b.pacing.interval != time.Second {
			t.Fatalf("interval was shortened %v after its last change, although a setup takes %v", now-b.pacing.changedAt, b.pacing.setupTime)
		}
	}
	if b.Handle(13*time.Second, Timer{Token: sweepToken}); b.pacing.interval >= time.Second {
		t.Error("the interval was not shortened 3 s after its last change, want less than 1 s")
	}
}

// While the backend of all connection setups is overloaded, pacing keeps to the baseline rate, however long the
// overload lasts. Afterwards, fast setups soon end pacing.
func TestPacing_SustainedOverload_KeepsBaselineRate(t *testing.T) {
	s := testSettings()
	s.NodeCount = 300
	s.Tenants = []Tenant{{ConnectionQuota: 600}}
	b := newWarmNode(t, s, 40)
	type sentAttempt struct {
		id      RequestID
		attempt int
		to      ServerID
		at      time.Duration
	}
	var pending []sentAttempt
	n := 0
	sentCount := 0
	sent := func(now time.Duration, actions []Action) {
		for _, q := range sends(actions) {
			sentCount++
			pending = append(pending, sentAttempt{q.ID, len(b.requests[q.ID].attempts) - 1, q.Server, now})
		}
	}
	run := func(from, to, every, takes time.Duration, fails bool) {
		for now := from; now < to; now += 10 * ms {
			if now%every == 0 {
				n++
				id := RequestID(fmt.Sprint("j", n))
				sent(now, b.Handle(now, Arrival{ID: id, Key: string(id), TimeLeft: 2 * time.Second}))
			}
			for len(pending) > 0 && pending[0].at+takes <= now {
				o := pending[0]
				pending = pending[1:]
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
	const calm, overload, recovery = time.Minute, 90 * time.Second, 20 * time.Second
	run(10*ms, calm, 4*time.Second, 20*ms, false)
	if b.pacing.interval != 0 {
		t.Fatalf("interval %v before the overload, want no pacing", b.pacing.interval)
	}
	baseline, _ := b.baselineInterval()
	run(calm, calm+overload/2, 250*ms, 600*ms, true)
	sentCount = 0
	run(calm+overload/2, calm+overload, 250*ms, 600*ms, true)
	if maxSent := 2 * float64(overload/2) / float64(baseline); float64(sentCount) > maxSent {
		t.Errorf("%d setups sent within %v of the overload, want at most twice the baseline of one per %v", sentCount, overload/2, baseline)
	}
	pending = nil
	run(calm+overload, calm+overload+recovery, 500*ms, 20*ms, false)
	if b.pacing.interval > baseline/8 {
		t.Errorf("interval %v after the overload, want at most an eighth of the baseline %v", b.pacing.interval, baseline)
	}
}
