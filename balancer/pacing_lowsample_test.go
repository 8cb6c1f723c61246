package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// A mid-flow arrival continues its connection at once and does not count as a setup: it neither shortens the interval
// nor takes a turn.
func TestPacing_MidFlowArrival_NotCountedAsSetup(t *testing.T) {
	b := lowSampleNode(t)
	establishConnection(t, b, "first", time.Second, 10*ms, false)
	b.pacing.interval, b.pacing.nextSendAt, b.pacing.changedAt = 2*time.Second, 4*time.Second, 2*time.Second
	for i := range 4 {
		establishConnection(t, b, RequestID(fmt.Sprint("mid", i)), 2*time.Second+time.Duration(i)*10*ms, ms, true)
	}
	if b.pacing.interval != 2*time.Second || b.pacing.nextSendAt != 4*time.Second {
		t.Errorf("interval %v, next send at %v after four mid-flow arrivals; want 2s and 4s", b.pacing.interval, b.pacing.nextSendAt)
	}
	if establishConnection(t, b, "new", 4*time.Second, 10*ms, false); b.pacing.interval != time.Second {
		t.Errorf("interval %v after a fast setup, want half of 2s", b.pacing.interval)
	}
}

// The longest queue time depends on the shortest deadline of all classes, or classes with long deadlines would get
// every turn.
func TestPacing_QueueTime_SameForAllClasses(t *testing.T) {
	b := lowSampleNode(t,
		Class{SetupLatencyObjective: 200 * ms, Deadline: 700 * ms},
		Class{SetupLatencyObjective: 800 * ms, Deadline: 4800 * ms},
	)
	establishConnection(t, b, "first", time.Second, 10*ms, false)
	b.pacing.interval, b.pacing.nextSendAt, b.pacing.changedAt = 3*time.Second, 4*time.Second, 2*time.Second
	for class, deadline := range []time.Duration{700 * ms, 4800 * ms} {
		for _, c := range []struct {
			before time.Duration // time until the next turn
			waits  bool
		}{{500 * ms, false}, {300 * ms, true}} {
			id := RequestID(fmt.Sprint(class, c.before))
			out := b.Handle(4*time.Second-c.before, Arrival{ID: id, Class: class, Key: "k", TimeLeft: deadline})
			n, rejected := finalAnswers(out, id)
			if waits := n == 0 && len(sends(out)) == 0; waits != c.waits || !waits && !rejected {
				t.Errorf("class %d, %v before its turn: queued %v, rejected %v; want queued %v", class, c.before, waits, rejected, c.waits)
			}
			b.Handle(4*time.Second-c.before, ClientDisconnected{ID: id})
			b.pacing.queue = nil
		}
	}
}

// A node that starts pacing sends the next setup one interval after the last one, not at once.
func TestPacing_Start_DelaysNextSetup(t *testing.T) {
	b := lowSampleNode(t)
	establishConnection(t, b, "first", time.Second, 10*ms, false)
	for i, id := range []RequestID{"a", "b"} {
		at := 2*time.Second + time.Duration(i)*100*ms
		sent := sends(b.Handle(at, Arrival{ID: id, Key: string(id), TimeLeft: 300 * ms}))
		if len(sent) != 1 {
			t.Fatalf("request %s was not sent", id)
		}
	}
	for i, id := range []RequestID{"a", "b"} {
		r := b.requests[id]
		b.now = 2400*ms + time.Duration(i)*ms
		b.observeSetup(r, &r.attempts[0], 300*ms, true)
	}
	if b.pacing.interval != maxSendInterval {
		t.Fatalf("interval %v after two servers failed in a row, want %v", b.pacing.interval, maxSendInterval)
	}
	out := b.Handle(2500*ms, Arrival{ID: "next", Key: "n", TimeLeft: 2 * time.Second})
	if n, rejected := finalAnswers(out, "next"); len(sends(out)) != 0 || n != 1 || !rejected {
		t.Errorf("actions half a second after the last send: %v, want a rejection", out)
	}
	if out = b.Handle(5200*ms, Arrival{ID: "later", Key: "l", TimeLeft: 2 * time.Second}); len(sends(out)) != 1 {
		t.Errorf("actions one interval after the last send: %v, want a send", out)
	}
}

// A node that has just started has one setup in flight, and more when setups succeed. Queued requests get their final
// answers in time.
func TestPacing_SlowStart_OneSetupUntilOneSucceeds(t *testing.T) {
	b := lowSampleNode(t)
	arrive := func(at time.Duration, id RequestID) []Action {
		return slices.Clone(b.Handle(at, Arrival{ID: id, Key: string(id), TimeLeft: 2 * time.Second}))
	}
	first := sends(arrive(time.Second, "r0"))
	if len(first) != 1 {
		t.Fatal("the first setup was not sent")
	}
	for i := 1; i < 4; i++ {
		if out := arrive(time.Second, RequestID(fmt.Sprint("r", i))); len(sends(out)) != 0 {
			t.Fatalf("actions while the first setup is in flight: %v, want no send", out)
		}
	}
	out := slices.Clone(b.Handle(1020*ms, Established{ID: "r0", Server: first[0].Server, Took: 20 * ms}))
	if n := len(sends(out)); n != 2 {
		t.Errorf("%d setups sent after the first one succeeded, want 2", n)
	}
	answered := 0
	for at := 1100 * ms; at < 3*time.Second; at += 100 * ms { // no other event
		if n, _ := finalAnswers(b.Handle(at, Timer{Token: pacingToken}), "r3"); n > 0 {
			answered++
		}
	}
	if answered != 1 || len(b.pacing.queue) != 0 {
		t.Errorf("the queued request got %d final answers, %d requests are still queued; want 1 and 0", answered, len(b.pacing.queue))
	}
	for i := range 2 * maxAwaitingSetup {
		arrive(4*time.Second, RequestID(fmt.Sprint("more", i)))
	}
	if len(b.pacing.queue) > maxAwaitingSetup {
		t.Errorf("%d requests are queued, want at most %d", len(b.pacing.queue), maxAwaitingSetup)
	}
}

// A request that is queued behind a setup that hangs gets its final answer after half of the shortest deadline of all
// classes, whatever its own deadline.
func TestPacing_SlowStart_QueueTimeSameForAllClasses(t *testing.T) {
	b := lowSampleNode(t,
		Class{SetupLatencyObjective: 200 * ms, Deadline: 700 * ms},
		Class{SetupLatencyObjective: 800 * ms, Deadline: 4800 * ms},
	)
	begin := time.Second
	if len(sends(b.Handle(begin, Arrival{ID: "hangs", Class: 1, Key: "h", TimeLeft: 4800 * ms, Retry: true}))) != 1 {
		t.Fatal("the first setup was not sent")
	}
	answered := map[RequestID]time.Duration{}
	for class, deadline := range []time.Duration{700 * ms, 4800 * ms} {
		id := RequestID(fmt.Sprint("class", class))
		if out := b.Handle(begin, Arrival{ID: id, Class: class, Key: "k", TimeLeft: deadline}); len(out) > 1 {
			t.Fatalf("actions for %s: %v, want it queued", id, out)
		}
	}
	const step = 10 * ms
	for waited := step; waited < 4*time.Second; waited += step {
		for _, a := range b.Handle(begin+waited, Timer{Token: pacingToken}) {
			if r, ok := a.(Reject); ok {
				answered[r.ID] = waited
			}
		}
	}
	for _, id := range []RequestID{"class0", "class1"} {
		if at, ok := answered[id]; !ok || at > 350*ms+step {
			t.Errorf("%s was rejected after %v (answered: %v), want %v at most", id, at, ok, 350*ms+step)
		}
	}
}

// The timeout of a request does not count as a failed setup if it had less time left than any setup takes.
func TestPacing_TimeoutsShorterThanAnySetup_DoNotStartPacing(t *testing.T) {
	b := lowSampleNode(t)
	at := time.Second
	establishConnection(t, b, "first", at, 20*ms, false)
	for i := range 6 {
		at += 50 * ms
		id := RequestID(fmt.Sprint("short", i))
		sent := false
		for _, a := range b.Handle(at, Arrival{ID: id, Key: string(id), TimeLeft: 5 * ms}) {
			if s, ok := a.(Send); ok {
				sent = true
				b.Handle(at+5*ms, AttemptEnded{ID: id, Server: s.Server, Took: 5 * ms, Outcome: ResponseTimeout})
			}
		}
		if !sent {
			t.Errorf("request %d was not sent", i)
		}
	}
	if b.pacing.interval != 0 {
		t.Errorf("setups are paced with interval %v, want no pacing", b.pacing.interval)
	}
}
