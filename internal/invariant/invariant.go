// Package invariant holds the rules that a node keeps as checks on what it did: on a line that was written to a host, and
// on the end of a client's connection. The guards that keep the rules stand before the deed, in node and driver; the checks
// here look at the deed itself, by the rules' own limits, and know nothing of the guards. A Monitor counts what they find.
// The checks are pure: times are arguments.
package invariant

import (
	"fmt"
	"math"
	"time"

	"onyxstream/balancer"
)

// Rule names what was broken.
type Rule uint8

// The rules.
const (
	SentToDrained       Rule = iota // a line began after the grace of its host's drain
	UnsafeRetry                     // an attempt was written though an earlier one may have run and repeats are not dropped
	ConcurrentAttempt               // an attempt was written while an earlier one of the request was out
	SentAfterDisconnect             // a line began too long after its client had left
	Unanswered                      // a request was read, and its connection ended without a final answer
	AnsweredTwice                   // a request had a second final answer
	AnsweredLate                    // a final answer came too long after the client's time
	SlowStartExceeded               // this node alone sent a cold host more than all nodes together may
	ruleCount
)

var ruleNames = [ruleCount]string{"sent to drained", "repeated unsafely", "second copy", "begun for leaver", "not answered",
	"answered twice", "answered late", "over slow start"}

func (r Rule) String() string { return ruleNames[r] }

// Rules lists all of them.
func Rules() []Rule {
	all := make([]Rule, ruleCount)
	for i := range all {
		all[i] = Rule(i)
	}
	return all
}

const (
	// disconnectSlack is how long after its client has left a line may still begin.
	disconnectSlack = 100 * time.Millisecond
	// answerSlack is how long after the client's time an answer still counts as given.
	answerSlack = 500 * time.Millisecond
)

// Violation is a rule that was broken.
type Violation struct {
	Rule    Rule
	Request string
	Host    string
	Excess  time.Duration // past the rule's limit, where it has one
}

func (v Violation) String() string {
	return fmt.Sprintf("%s: request %s, host %s, by %v", v.Rule, v.Request, v.Host, v.Excess)
}

// Send is a line that was written to a host, as it was when its first byte went.
type Send struct {
	Request, Host      string
	At                 time.Time
	Draining           bool // the host drains, or is gone
	NotifiedAt         time.Time
	Grace              time.Duration
	Effect             balancer.Effect
	Window             time.Duration
	MayHaveExecutedAt  time.Time // when the first attempt was sent that may have run; zero for none
	ConcurrentAttempts int       // further attempts of the request that were out
}

// CheckSend finds what a written line breaks.
func CheckSend(s Send) (broken []Violation) {
	found := func(rule Rule, by time.Duration) {
		broken = append(broken, Violation{rule, s.Request, s.Host, by})
	}
	if age := s.At.Sub(s.NotifiedAt); s.Draining && age > s.Grace {
		found(SentToDrained, age-s.Grace)
	}
	if s.ConcurrentAttempts > 0 {
		found(ConcurrentAttempt, 0)
	}
	if s.MayHaveExecutedAt.IsZero() {
		return broken
	}
	switch age := s.At.Sub(s.MayHaveExecutedAt); {
	case s.Effect == balancer.NonIdempotent:
		found(UnsafeRetry, 0)
	case s.Effect == balancer.IdempotentByKey && age > s.Window:
		found(UnsafeRetry, age-s.Window)
	}
	return broken
}

// CheckStart finds whether a line began for a client that had left; left is zero where it has not.
func CheckStart(request, host string, began, left time.Time) (Violation, bool) {
	by := began.Sub(left) - disconnectSlack
	return Violation{SentAfterDisconnect, request, host, by}, !left.IsZero() && by > 0
}

const (
	// smallSlowStartBudget is the budget of a cold host under which chance is allowed for more generously.
	smallSlowStartBudget = 30
)

// SlowStartLimit is how many requests of mean work a cold host may get in the time in which it falls: budget is what the
// settings allow it then, and chance is allowed for.
func SlowStartLimit(budget float64) float64 {
	if budget < smallSlowStartBudget {
		return budget + 3*math.Sqrt(budget) + 3
	}
	return budget + 2*math.Sqrt(budget) + 2
}

// CheckSlowStart finds whether one node alone sent a cold host more than all may in that time, by what is reckoned of its
// capacity: the settings do not tell that. What all sent is not known here: a node that passes may still take part in a fall.
func CheckSlowStart(request, host string, sent int, budget float64) (Violation, bool) {
	return Violation{SlowStartExceeded, request, host, 0}, float64(sent) > SlowStartLimit(budget)
}

// Completion is a client's connection that has ended, or one that has had its final answer.
type Completion struct {
	Request, Host string
	Answers       int       // final answers that were given
	AnsweredAt    time.Time // the first of them
	Deadline      time.Time // the client's time
	Disconnected  bool      // the client left before it was answered
}

// CheckCompletion finds what the end of a client's connection breaks.
func CheckCompletion(e Completion) (broken []Violation) {
	switch {
	case e.Answers == 0 && !e.Disconnected:
		broken = append(broken, Violation{Unanswered, e.Request, e.Host, 0})
	case e.Answers > 1:
		broken = append(broken, Violation{AnsweredTwice, e.Request, e.Host, 0})
	}
	if late := e.AnsweredAt.Sub(e.Deadline) - answerSlack; e.Answers > 0 && late > 0 {
		broken = append(broken, Violation{AnsweredLate, e.Request, e.Host, late})
	}
	return broken
}
