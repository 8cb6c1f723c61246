package balancer

import (
	"fmt"
	"testing"
	"time"
)

// A draining node rejects new requests with a Retry-After, as well as queued requests and those whose attempt fails. It
// migrates its connections at an even rate before the deadline, those of highest value last.
func TestDrain_Node_RejectsAndMigrates(t *testing.T) {
	s := testSettings()
	s.Classes[1] = Class{SetupLatencyObjective: 300 * ms, Deadline: 2 * time.Second, PriorityWeight: 50}
	b, _ := nodeWithConnections(t, s, 20)
	for i := range 10 {
		b.Handle(0, Inherited{Arrival: Arrival{ID: RequestID(fmt.Sprint("high", i)), Class: 1, TimeLeft: time.Hour}, Server: "a"})
	}
	out := b.Handle(ms, Arrival{ID: "early", TimeLeft: 2 * time.Second})
	if len(sends(out)) != 1 {
		t.Fatal("the node sent no attempt before it drained")
	}
	b.pacing.queue = append(b.pacing.queue, &request{Arrival: Arrival{ID: "waits"}, deadline: time.Second})
	out = b.Handle(2*ms, Drain{Active: true, Deadline: 10 * time.Second, RetryAfter: 1500 * ms})
	if n, rejected := finalAnswers(out, "waits"); n != 1 || !rejected {
		t.Error("a queued request got no rejection at once")
	}
	out = b.Handle(3*ms, Arrival{ID: "new", TimeLeft: 2 * time.Second})
	n, rejected := finalAnswers(out, "new")
	if n != 1 || !rejected || len(sends(out)) != 0 || out[len(out)-1].(Reject).RetryAfter != 1500*ms {
		t.Errorf("actions for a new request: %v, want a rejection with Retry-After 1.5s", out)
	}
	out = b.Handle(4*ms, AttemptEnded{ID: "early", Server: "a", Outcome: Rejected})
	if n, _ := finalAnswers(out, "early"); n != 1 || len(sends(out)) != 0 {
		t.Errorf("actions after a failed attempt: %v, want a final answer", out)
	}
	if out = b.Handle(5*ms, Arrival{ID: "mid", TimeLeft: 2 * time.Second, MidFlow: true}); len(sends(out)) != 1 {
		t.Errorf("actions for a mid-flow arrival: %v, want a send", out)
	}
	b.Handle(6*ms, ClientDisconnected{ID: "mid"})
	var migrated []RequestID
	for now := sweepInterval; now < 10*time.Second; now += sweepInterval {
		migrated = append(migrated, migrations(b.Handle(now, Timer{Token: sweepToken}))...)
		fraction, elapsed := float64(len(migrated))/50, float64(now)/float64(10*time.Second)
		if fraction > elapsed+0.1 || fraction < elapsed-0.1 {
			t.Fatalf("fraction %g of the connections migrated after fraction %g of the time", fraction, elapsed)
		}
	}
	if len(migrated) != 50 || migrated[49][:4] != "high" || migrated[0][:4] == "high" {
		t.Errorf("%d of 50 connections migrated, first %s, last %s; want 50, and those with the prefix high last", len(migrated), migrated[0], migrated[len(migrated)-1])
	}
	b.Handle(11*time.Second, Drain{})
	b.Handle(11*time.Second, Drain{
		Active:          true,
		Deadline:        20 * time.Second,
		AdmissionCutoff: 11*time.Second + 5*ms,
		KeepConnections: true,
	})
	if out = b.Handle(11*time.Second+ms, Arrival{ID: "before-cutoff", TimeLeft: 2 * time.Second}); len(sends(out)) != 1 {
		t.Errorf("actions for a request before the admission cutoff: %v, want a send", out)
	}
	b.Handle(11*time.Second+2*ms, Established{ID: "before-cutoff", Server: sends(out)[0].Server})
	for now := 12 * time.Second; now < 20*time.Second; now += sweepInterval {
		if out = b.Handle(now, Timer{Token: sweepToken}); len(migrations(out)) > 0 {
			t.Fatalf("migrated %v, want all connections kept", migrations(out))
		}
	}
	b.Handle(20*time.Second, Drain{})
	if out = b.Handle(21*time.Second, Arrival{ID: "after-drain", TimeLeft: 2 * time.Second}); len(sends(out)) != 1 {
		t.Errorf("actions for a request after the drain was cancelled: %v, want a send", out)
	}
}

// A draining server gets nothing in the last MaxSchedulingDelay of its drain grace, whatever its length.
func TestDrainGrace_SchedulingDelay_IsCovered(t *testing.T) {
	for _, grace := range []time.Duration{100 * ms, 400 * ms, 2 * time.Second} {
		s := testSettings()
		s.DrainGrace = grace
		b := newWarmNode(t, s, 4)
		drained := testFleet(4)[0]
		drained.State = Draining
		b.Handle(time.Second, listDelta(drained))
		b.Handle(time.Second+max(grace-MaxSchedulingDelay, 0), Timer{Token: sweepToken})
		if got := b.servers[drained.ID]; got != nil && got.state != inactive {
			t.Errorf("drain grace %v: server in state %d, %v before the end, want it inactive", grace, got.state, MaxSchedulingDelay)
		}
	}
}
