package lifecycle

import (
	"testing"
	"time"

	"onyxstream/balancer"
)

// For every deadline, also one that is shorter than the front takes to notice the shutdown, each step must be due early
// enough before the next one, and everything must be complete before the platform kills the process.
func TestShutdownSchedule_EveryDeadline_StepsInOrder(t *testing.T) {
	const (
		frontStopsSending = 400 * time.Millisecond  // the latest time at which the front still sends clients
		longestHandOff    = 950 * time.Millisecond  // quiescing, an offer, its withdrawal, and reading what was accepted
		longestWait       = 3000 * time.Millisecond // the platform waits no longer for longer deadlines
	)
	for _, deadline := range []time.Duration{
		0, time.Millisecond, 50 * time.Millisecond, 99 * time.Millisecond, 100 * time.Millisecond, 101 * time.Millisecond,
		200 * time.Millisecond, 300 * time.Millisecond, 301 * time.Millisecond, 500 * time.Millisecond, 900 * time.Millisecond,
		time.Second, 3 * time.Second, 4800 * time.Millisecond, time.Hour,
	} {
		start := time.Now()
		settings := balancer.Settings{Classes: []balancer.Class{{Deadline: deadline / 2}, {Deadline: deadline}}}
		s := newShutdownSchedule(settings, start)
		kill := start.Add(min(deadline, longestWait) + graceMargin)
		for _, order := range []struct {
			what          string
			before, after time.Time
			margin        time.Duration
		}{
			{"start, front has noticed", start, s.frontNoticed, frontStopsSending},
			{"front has noticed, deadline", s.frontNoticed, s.deadline, 0},
			{"start, first migration", start, s.migrateFrom, min(frontStopsSending, s.answerAt.Sub(start))},
			{"first migration, final answers", s.migrateFrom, s.answerAt, 0},
			{"last migration, final answers", s.migrateBy, s.answerAt, exitMargin},
			{"end of the hand-off, last migration", s.handOffUntil, s.handOffMigrateBy, exitMargin},
			{"end of the hand-off, deadline", s.handOffUntil, s.deadline, longestHandOff},
			{"last migration after the hand-off, final answers", s.handOffMigrateBy, s.answerAt, exitMargin},
			{"final answers, deadline", s.answerAt, s.deadline, exitMargin},
			{"deadline, kill", s.deadline, kill, exitMargin},
		} {
			if got := order.after.Sub(order.before); got < order.margin {
				t.Errorf("longest deadline %v: %s: %v between them, want at least %v", deadline, order.what, got, order.margin)
			}
		}
	}
}
