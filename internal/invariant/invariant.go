// Package invariant checks at run time the rules that a node must keep: on each opening line that was written to a
// host, and on the end of each client's connection. Packages node and proxy enforce the rules beforehand; the checks
// look at what was done, by the rules' own limits, and share no code with the enforcement. A Monitor counts the
// violations. The checks are pure: times are arguments.
package invariant

import (
	"fmt"
	"math"
	"time"

	"onyxstream/balancer"
)

// Rule identifies a rule.
type Rule uint8

// The rules, by what violates them.
const (
	SentToDrained       Rule = iota // a line was begun after its host's drain grace
	UnsafeRetry                     // an attempt was written though an earlier one may have been executed
	ConcurrentAttempt               // an attempt was written while another one of the request was active
	SentAfterDisconnect             // a line was begun too long after its client had disconnected
	Unanswered                      // a connection ended without a final answer to its request
	AnsweredTwice                   // a request got a second final answer
	AnsweredLate                    // a final answer was given too long after the client's deadline
	SlowStartExceeded               // this node alone sent a warming host more than all nodes together may
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

// String returns the rule's name in log lines.
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
	// disconnectSlack is how long after its client has disconnected a line may still be begun.
	disconnectSlack = 100 * time.Millisecond
	// answerSlack is how long after the client's deadline a final answer is not late.
	answerSlack = 500 * time.Millisecond
)

// Violation is a violation of a rule.
type Violation struct {
	Rule    Rule
	Request string
	Host    string
	Excess  time.Duration // beyond the rule's limit, 0 if it has none
}

// String describes the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s: request %s, host %s, by %v", v.Rule, v.Request, v.Host, v.Excess)
}

// Send is an opening line that was written to a host, with the state at its first byte.
type Send struct {
	Request            string
	Host               string
	At                 time.Time
	Draining           bool      // the host drains or is removed
	NotifiedAt         time.Time // when the node was notified of that
	Grace              time.Duration
	Effect             balancer.Effect
	Window             time.Duration // idempotency window
	MayHaveExecutedAt  time.Time     // start of the first attempt that may have been executed; zero if there is none
	ConcurrentAttempts int           // other attempts of the request that were active
}

// CheckSend returns the violations of a written line.
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

// CheckStart checks a line that was begun at a time; disconnectedAt is zero if its client has not disconnected.
func CheckStart(request, host string, begunAt, disconnectedAt time.Time) (violation Violation, found bool) {
	excess := begunAt.Sub(disconnectedAt) - disconnectSlack
	violation = Violation{Rule: SentAfterDisconnect, Request: request, Host: host, Excess: excess}
	return violation, !disconnectedAt.IsZero() && excess > 0
}

// smallSlowStartBudget is the budget below which a wider margin is allowed, as few requests vary more.
const smallSlowStartBudget = 30

// SlowStartLimit returns how many requests a warming host may get in the window in which it can collapse, for a
// budget by the settings: the budget and a margin for random variation.
func SlowStartLimit(budget float64) float64 {
	if budget < smallSlowStartBudget {
		return budget + 3*math.Sqrt(budget) + 3
	}
	return budget + 2*math.Sqrt(budget) + 2
}

// CheckSlowStart checks what one node alone has sent to a warming host against what all nodes together may send. The
// budget is an estimate, as the settings don't tell the host's capacity, and what the other nodes have sent is not
// known: a host may be overloaded though each node passes.
func CheckSlowStart(request, host string, sent int, budget float64) (violation Violation, found bool) {
	violation = Violation{Rule: SlowStartExceeded, Request: request, Host: host}
	return violation, float64(sent) > SlowStartLimit(budget)
}

// Completion describes a request whose connection has ended, or that has been answered.
type Completion struct {
	Request      string
	Host         string
	Answers      int       // final answers that were given
	AnsweredAt   time.Time // of the first of them
	Deadline     time.Time // of the client
	Disconnected bool      // the client disconnected before it was answered
}

// CheckCompletion returns the violations of a completed request.
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
