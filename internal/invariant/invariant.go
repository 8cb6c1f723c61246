// Package invariant checks at run time that a node keeps its rules: for each opening line written to a host, and at the
// end of each client's connection. Packages node and proxy enforce the rules beforehand. The checks verify the outcome
// against limits of their own, and share no code with the enforcement. A Monitor counts the violations. The checks have
// no side effects and read no clock: times are arguments.
package invariant

import (
	"fmt"
	"math"
	"time"

	"onyxstream/balancer"
)

// Rule identifies a rule.
type Rule uint8

// The rules, named after their violations.
const (
	SentToDrained       Rule = iota // an opening line was started after the drain grace of its host
	UnsafeRetry                     // an attempt was sent although an earlier one may have been executed
	ConcurrentAttempt               // an attempt was sent while another attempt of the request was active
	SentAfterDisconnect             // an opening line was started too long after its client had disconnected
	Unanswered                      // a connection ended without a final answer to its request
	AnsweredTwice                   // a request got a second final answer
	AnsweredLate                    // a final answer was given too long after the client's deadline
	SlowStartExceeded               // this node alone sent more requests to a host that is warming up than all nodes may
	ruleCount
)

var ruleNames = [ruleCount]string{
	SentToDrained:       "sent to drained host",
	UnsafeRetry:         "unsafe retry",
	ConcurrentAttempt:   "concurrent attempt",
	SentAfterDisconnect: "sent after disconnect",
	Unanswered:          "unanswered",
	AnsweredTwice:       "answered twice",
	AnsweredLate:        "answered late",
	SlowStartExceeded:   "slow start exceeded",
}

// String returns the name of the rule in log lines.
func (r Rule) String() string { return ruleNames[r] }

// Rules returns all rules.
func Rules() []Rule {
	all := make([]Rule, ruleCount)
	for i := range all {
		all[i] = Rule(i)
	}
	return all
}

const (
	// disconnectSlack is how long after the client has disconnected an opening line may still be started.
	disconnectSlack = 100 * time.Millisecond
	// answerSlack is how long after the client's deadline a final answer does not count as late.
	answerSlack = 500 * time.Millisecond
)

// Violation is a violation of a rule.
type Violation struct {
	Rule    Rule
	Request string
	Host    string
	Excess  time.Duration // time beyond the limit of the rule; 0 if the rule has no time limit
}

// String describes the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s: request %s, host %s, by %v", v.Rule, v.Request, v.Host, v.Excess)
}

// Send describes an opening line written to a host, and the state when its first byte was written.
type Send struct {
	Request string
	Host    string
	At      time.Time // when the first byte was written

	// The state of the host.
	Draining   bool          // the host is draining or removed
	NotifiedAt time.Time     // when the node was notified that the host is draining or removed
	Grace      time.Duration // drain grace

	// The request's class and its other attempts.
	Effect             balancer.Effect
	Window             time.Duration // idempotency window
	MayHaveExecutedAt  time.Time     // start of the first attempt that may have been executed; zero if there is none
	ConcurrentAttempts int           // other attempts of the request that were active
}

// CheckSend returns the rule violations of a written opening line.
func CheckSend(s Send) (violations []Violation) {
	add := func(rule Rule, excess time.Duration) {
		violations = append(violations, Violation{Rule: rule, Request: s.Request, Host: s.Host, Excess: excess})
	}
	sinceNotified := s.At.Sub(s.NotifiedAt)
	if s.Draining && sinceNotified > s.Grace {
		add(SentToDrained, sinceNotified-s.Grace)
	}
	if s.ConcurrentAttempts > 0 {
		add(ConcurrentAttempt, 0)
	}
	if s.MayHaveExecutedAt.IsZero() {
		return violations
	}
	sinceExecuted := s.At.Sub(s.MayHaveExecutedAt)
	switch {
	case s.Effect == balancer.NonIdempotent:
		add(UnsafeRetry, 0)
	case s.Effect == balancer.IdempotentByKey && sinceExecuted > s.Window:
		add(UnsafeRetry, sinceExecuted-s.Window)
	}
	return violations
}

// CheckStart checks an opening line that was started at begunAt. disconnectedAt is zero if its client has not
// disconnected.
func CheckStart(request, host string, begunAt, disconnectedAt time.Time) (violation Violation, found bool) {
	excess := begunAt.Sub(disconnectedAt) - disconnectSlack
	violation = Violation{Rule: SentAfterDisconnect, Request: request, Host: host, Excess: excess}
	return violation, !disconnectedAt.IsZero() && excess > 0
}

// smallSlowStartBudget is the budget, in requests, below which SlowStartLimit has a wider margin, because small numbers
// vary more.
const smallSlowStartBudget = 30

// SlowStartLimit returns the number of requests that a host that is warming up may get in the window in which it can
// collapse. It is the budget, which follows from the settings, and a margin for random variation.
func SlowStartLimit(budget float64) float64 {
	if budget < smallSlowStartBudget {
		return budget + 3*math.Sqrt(budget) + 3
	}
	return budget + 2*math.Sqrt(budget) + 2
}

// CheckSlowStart compares the number of requests that this node alone has sent to a host that is warming up with the
// number that all nodes together may send. The budget is an estimate, because the settings do not contain the capacity
// of the host. The number of requests from the other nodes is unknown, so a host may be overloaded although each node
// passes the check.
func CheckSlowStart(request, host string, sent int, budget float64) (violation Violation, found bool) {
	violation = Violation{Rule: SlowStartExceeded, Request: request, Host: host}
	return violation, float64(sent) > SlowStartLimit(budget)
}

// Completion describes a request that has a final answer, or whose connection has ended.
type Completion struct {
	Request      string
	Host         string
	Answers      int       // number of final answers given
	AnsweredAt   time.Time // time of the first final answer
	Deadline     time.Time // deadline of the client
	Disconnected bool      // the client disconnected before it got a final answer
}

// CheckCompletion returns the rule violations of a completed request.
func CheckCompletion(c Completion) (violations []Violation) {
	add := func(rule Rule, excess time.Duration) {
		violations = append(violations, Violation{Rule: rule, Request: c.Request, Host: c.Host, Excess: excess})
	}
	switch {
	case c.Answers == 0 && !c.Disconnected:
		add(Unanswered, 0)
	case c.Answers > 1:
		add(AnsweredTwice, 0)
	}
	late := c.AnsweredAt.Sub(c.Deadline) - answerSlack
	if c.Answers > 0 && late > 0 {
		add(AnsweredLate, late)
	}
	return violations
}
