package invariant

import (
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"onyxstream/balancer"
)

var begin = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

// after returns the time d after begin.
func after(d time.Duration) time.Time { return begin.Add(d) }

// rulesOf returns the rules of the violations, in order.
func rulesOf(found []Violation) (out []Rule) {
	for _, v := range found {
		out = append(out, v.Rule)
	}
	return out
}

// Each violation of a rule for sent opening lines is found, and a send just within a limit is not reported.
func TestCheckSend_EachRule_Found(t *testing.T) {
	const grace, window = 400 * time.Millisecond, 5 * time.Second
	for _, c := range []struct {
		name string
		send Send
		want []Rule
	}{
		{"first attempt", Send{At: begin}, nil},
		{"within the grace", Send{At: after(grace), Draining: true, NotifiedAt: begin, Grace: grace}, nil},
		{
			"after the grace",
			Send{At: after(grace + 1), Draining: true, NotifiedAt: begin, Grace: grace},
			[]Rule{SentToDrained},
		},
		{"host does not drain", Send{At: after(time.Hour), NotifiedAt: begin, Grace: grace}, nil},
		{"idempotent retry", Send{At: after(time.Hour), MayHaveExecutedAt: begin}, nil},
		{
			"non-idempotent retry",
			Send{At: begin, Effect: balancer.NonIdempotent, MayHaveExecutedAt: begin},
			[]Rule{UnsafeRetry},
		},
		{"non-idempotent retry, not executed", Send{At: begin, Effect: balancer.NonIdempotent}, nil},
		{
			"within the window",
			Send{At: after(window), Effect: balancer.IdempotentByKey, Window: window, MayHaveExecutedAt: begin},
			nil,
		},
		{
			"after the window",
			Send{At: after(window + 1), Effect: balancer.IdempotentByKey, Window: window, MayHaveExecutedAt: begin},
			[]Rule{UnsafeRetry},
		},
		{"concurrent attempt", Send{At: begin, ConcurrentAttempts: 1}, []Rule{ConcurrentAttempt}},
		{
			"all rules",
			Send{
				At:                 after(time.Hour),
				Draining:           true,
				NotifiedAt:         begin,
				ConcurrentAttempts: 1,
				Effect:             balancer.NonIdempotent,
				MayHaveExecutedAt:  begin,
			},
			[]Rule{SentToDrained, ConcurrentAttempt, UnsafeRetry},
		},
	} {
		if got := rulesOf(CheckSend(c.send)); !slices.Equal(got, c.want) {
			t.Errorf("%s: violations %v, want %v", c.name, got, c.want)
		}
	}
}

// An opening line may still be started up to 100 ms after its client has disconnected.
func TestCheckStart_ClientDisconnected_FoundPastLimit(t *testing.T) {
	for _, c := range []struct {
		name           string
		begunAt        time.Time
		disconnectedAt time.Time
		want           bool
	}{
		{"connected", begin, time.Time{}, false},
		{"disconnects later", begin, after(time.Second), false},
		{"within the slack", after(100 * time.Millisecond), begin, false},
		{"after the slack", after(101 * time.Millisecond), begin, true},
	} {
		if _, got := CheckStart("r", "h", c.begunAt, c.disconnectedAt); got != c.want {
			t.Errorf("%s: violation found: %v, want the opposite", c.name, got)
		}
	}
}

// A final answer may still be given up to 500 ms after the client's deadline. A client that has disconnected needs none.
func TestCheckCompletion_EachRule_Found(t *testing.T) {
	deadline := after(time.Second)
	for _, c := range []struct {
		name       string
		completion Completion
		want       []Rule
	}{
		{"answered", Completion{Answers: 1, AnsweredAt: deadline, Deadline: deadline}, nil},
		{"within the slack", Completion{Answers: 1, AnsweredAt: after(1500 * time.Millisecond), Deadline: deadline}, nil},
		{"answered late", Completion{Answers: 1, AnsweredAt: after(1501 * time.Millisecond), Deadline: deadline}, []Rule{AnsweredLate}},
		{"unanswered", Completion{Deadline: deadline}, []Rule{Unanswered}},
		{"client disconnected", Completion{Deadline: deadline, Disconnected: true}, nil},
		{"answered twice", Completion{Answers: 2, AnsweredAt: begin, Deadline: deadline}, []Rule{AnsweredTwice}},
	} {
		if got := rulesOf(CheckCompletion(c.completion)); !slices.Equal(got, c.want) {
			t.Errorf("%s: violations %v, want %v", c.name, got, c.want)
		}
	}
}

// Each reported violation is counted under its rule, and logged with its request. Each rule has a name for the log.
func TestMonitor_Violations_CountedAndLogged(t *testing.T) {
	core, logs := observer.New(zap.ErrorLevel)
	m := NewMonitor(zap.New(core))
	m.Report()
	m.Report(Violation{Rule: Unanswered, Request: "r"}, Violation{Rule: Unanswered}, Violation{Rule: ConcurrentAttempt})
	if m.Count(Unanswered) != 2 || m.Count(ConcurrentAttempt) != 1 || m.Count(AnsweredLate) != 0 || m.Total() != 3 {
		t.Errorf("counts %d, %d, %d, total %d; want 2, 1, 0, total 3",
			m.Count(Unanswered), m.Count(ConcurrentAttempt), m.Count(AnsweredLate), m.Total())
	}
	if lines := logs.FilterMessage(LogMessage).All(); len(lines) != 3 || lines[0].ContextMap()["request"] != "r" {
		t.Errorf("log lines %v, want 3, the first for request r", lines)
	}
	for _, r := range Rules() {
		if r.String() == "" {
			t.Errorf("rule %d has no name", r)
		}
	}
}

// The last count within the limit is accepted, and the next one is found, for budgets below and above
// smallSlowStartBudget.
func TestCheckSlowStart_AnyBudget_LimitApplied(t *testing.T) {
	for _, c := range []struct {
		budget float64
		sent   int
		found  bool
	}{{1, 7, false}, {1, 8, true}, {25, 43, false}, {25, 44, true}, {100, 122, false}, {100, 123, true}} {
		v, found := CheckSlowStart("r", "h", c.sent, c.budget)
		if found != c.found || v.Rule != SlowStartExceeded {
			t.Errorf("%d requests sent with a budget of %g: violation %v, found %v, want the opposite", c.sent, c.budget, v, found)
		}
	}
}
