package balancer

import (
	"testing"
	"time"
)

// While there is no endpoint list, or an empty one, no server can take a request. The request must get its final answer
// at once, instead of waiting for its deadline, and must not be retained.
func TestArrival_NoServers_IsRejected(t *testing.T) {
	b := New(testSettings())
	if n, rejected := finalAnswers(b.Handle(0, Arrival{ID: "r", TimeLeft: time.Second}), "r"); n != 1 || !rejected {
		t.Error("the request was not rejected at once although there is no endpoint list")
	}
	b.Handle(0, ListEvent{Kind: ListSnapshot, Revision: 1, Servers: testFleet(2)})
	b.Handle(0, ListEvent{Kind: ListSnapshot, Revision: 2})
	out := b.Handle(0, Arrival{ID: "q", TimeLeft: time.Second})
	if n, _ := finalAnswers(out, "q"); n != 1 || len(sends(out)) != 0 {
		t.Error("the request was not answered at once although the endpoint list is empty")
	}
	if len(b.requests) != 0 {
		t.Error("a rejected request was retained")
	}
}

// A retry of a request that a server may have executed could execute it twice. The class and the outcome of the attempt
// decide whether another attempt is sent, to which servers, and whether the final answer invites the client to retry.
func TestRetry_Effects_BoundAttempts(t *testing.T) {
	for _, c := range []struct {
		name    string
		class   int
		outcome Outcome
		took    time.Duration
		retry   bool // another attempt follows
		reject  bool // the final answer is a rejection
	}{
		{"idempotent after a timeout", 0, ResponseTimeout, 300 * ms, true, true},
		{"non-idempotent after a timeout", 2, ResponseTimeout, 300 * ms, false, false},
		{"non-idempotent after a failed connect", 2, ConnectFailed, 50 * ms, true, true},
		{"non-idempotent rejected", 2, Rejected, 5 * ms, true, true},
		{"non-idempotent after an error", 2, Errored, 5 * ms, false, false},
		{"idempotent by key in zone, within window", 1, ResponseTimeout, 300 * ms, true, false},
		{"idempotent by key in zone, after window", 1, ResponseTimeout, 1200 * ms, false, false},
		{"idempotent by key everywhere, within window", 3, ResponseTimeout, 300 * ms, true, true},
		{"idempotent by key everywhere, after window", 3, ResponseTimeout, 1200 * ms, false, true},
		{"idempotent by key in cell, within window", 4, ConnectionReset, 300 * ms, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := New(testSettings())
			fleet := testFleet(12)
			for i := range fleet {
				fleet[i].Zone, fleet[i].Cell = i%2, i%4
			}
			b.Handle(0, ListEvent{Kind: ListCached, Servers: fleet})
			first := sends(b.Handle(0, Arrival{ID: "r", Class: c.class, Key: "k", TimeLeft: 2 * time.Second}))[0]
			out := b.Handle(c.took, AttemptEnded{ID: "r", Server: first.Server, Took: c.took, Outcome: c.outcome})
			retries := sends(out)
			if c.retry != (len(retries) == 1) {
				t.Fatalf("attempts after the first: %v, want one only if a retry is safe", retries)
			}
			now := c.took
			for i := 1; len(retries) == 1; i++ {
				was, is := b.servers[first.Server], b.servers[retries[0].Server]
				if was == is {
					t.Fatal("two attempts at the same server")
				}
				if c.class == 1 && was.zone != is.zone || c.class == 4 && was.cell != is.cell {
					t.Fatal("an attempt of a request that is idempotent by key left its scope")
				}
				out = b.Handle(now, AttemptEnded{ID: "r", Attempt: i, Took: c.took, Outcome: c.outcome})
				for n, _ := finalAnswers(out, "r"); n == 0 && len(sends(out)) == 0; n, _ = finalAnswers(out, "r") {
					if now += 5 * ms; now > 3*time.Second {
						t.Fatal("the queued request got no final answer")
					}
					out = b.Handle(now, Timer{Token: pacingToken})
				}
				retries = sends(out)
			}
			if n, rejected := finalAnswers(out, "r"); n != 1 || rejected != c.reject {
				t.Errorf("%d final answers, rejected %v; want 1, rejected %v", n, rejected, c.reject)
			}
		})
	}
}

// A request whose attempts have all failed to connect must be rejected at once after the last of its MaxAttempts, which
// is 4 in testSettings.
func TestRetry_AttemptsExhausted_IsRejected(t *testing.T) {
	b := newWarmNode(t, testSettings(), 12)
	out := b.Handle(0, Arrival{ID: "r", Key: "k", TimeLeft: 2 * time.Second})
	for i := range 4 {
		if len(sends(out)) != 1 {
			t.Fatalf("attempt %d was not sent", i)
		}
		out = b.Handle(ms, AttemptEnded{ID: "r", Attempt: i, Outcome: ConnectFailed})
	}
	if n, rejected := finalAnswers(out, "r"); n != 1 || !rejected || len(sends(out)) != 0 {
		t.Error("the request was not rejected at once after its last attempt")
	}
}

// When a client disconnects, its pending attempt must be cancelled. Events that arrive after the end of the request
// must have no effect.
func TestClientDisconnect_PendingAttempt_IsCancelled(t *testing.T) {
	b := newWarmNode(t, testSettings(), 3)
	b.Handle(0, Arrival{ID: "r", Key: "k", TimeLeft: time.Second})
	out := b.Handle(ms, ClientDisconnected{ID: "r"})
	if len(out) != 1 || out[0] != (Cancel{ID: "r"}) {
		t.Errorf("actions after the client disconnected: %v, want a cancel", out)
	}
	out = b.Handle(2*ms, AttemptEnded{ID: "r", Outcome: Cancelled, Final: true})
	if len(out) != 0 || len(b.requests) != 0 {
		t.Error("the request was retained after its last attempt ended")
	}
	for _, e := range []Event{ClientDisconnected{ID: "r"}, AttemptEnded{ID: "r"}, Established{ID: "r"}, LoadReport{ID: "r", Load: 1},
		LatencyReport{ID: "r", Latency: time.Second}, Timer{Token: "other"}, PeerMessage{}} {
		if out := b.Handle(3*ms, e); len(out) != 0 {
			t.Errorf("actions for a %T of an unknown request: %v, want none", e, out)
		}
	}
}

// A retry at a node with a low sample has a longer timeout. After one timeout, the backend of all connection setups is
// probably overloaded, and setups that time out only keep it busy.
func TestRetry_LowSample_HasLongerTimeout(t *testing.T) {
	for _, c := range []struct {
		name        string
		quota       float64
		retry       bool
		longTimeout bool
	}{{"second attempt", 350, false, true}, {"client's retry", 350, true, true}, {"no low sample", 8000, false, false}} {
		s := testSettings()
		s.NodeCount, s.Tenants = 80, []Tenant{{ConnectionQuota: c.quota}}
		n, objective := newWarmNode(t, s, 10), s.Classes[0].SetupLatencyObjective
		sent := sends(n.Handle(time.Second, Arrival{ID: "a", Key: "k", TimeLeft: 10 * objective, Retry: c.retry}))
		if len(sent) != 1 || (sent[0].Timeout > 2*objective) != c.retry {
			t.Fatalf("%s: first attempt: %v, want one, with a long timeout only for a client's retry", c.name, sent)
		}
		if c.retry {
			continue
		}
		sent = sends(n.Handle(time.Second+objective, AttemptEnded{ID: "a", Server: sent[0].Server, Took: objective, Outcome: ResponseTimeout}))
		if len(sent) != 1 || (sent[0].Timeout > 5*objective) != c.longTimeout || sent[0].Timeout > 9*objective {
			t.Errorf("%s: second attempt: %v, want one, with a long timeout only at a low sample", c.name, sent)
		}
	}
}
