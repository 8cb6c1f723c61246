package lifecycle

import (
	"time"

	"onyxstream/balancer"
)

// After a stop signal, the platform kills the process at the end of its termination grace period: the longest deadline
// of all classes, at most maxGracefulDeadline, plus graceMargin.
const (
	maxGracefulDeadline = 3 * time.Second
	graceMargin         = 700 * time.Millisecond

	// preStopDelay is how long after the signal the load balancer in front of the nodes may still send clients, because
	// it has not noticed the stop yet.
	preStopDelay = 600 * time.Millisecond
)

// The steps of the shutdown. Each margin is the time before the shutdown deadline at which the step must be complete.
// The shutdown deadline is exitMargin before the kill.
const (
	exitMargin            = 200 * time.Millisecond
	answerMargin          = exitMargin     // requests in flight get their final answer
	migrateMargin         = 4 * exitMargin // established connections are migrated
	handOffMargin         = 5 * exitMargin // connections are no longer offered to the successor
	handOffFallbackMargin = 2 * exitMargin // connections not accepted by the successor are migrated
)

// shutdownSchedule holds the times of the steps of a graceful shutdown. With short deadlines a time may be before the
// start: then the step is due at once.
type shutdownSchedule struct {
	frontNoticed time.Time // the front sends no more clients; not after deadline
	// Without a successor, the established connections are migrated from migrateFrom on, evenly until migrateBy.
	migrateFrom, migrateBy time.Time
	// With a successor, connections are offered to it until handOffUntil. Those that it has not accepted are migrated
	// from then on, evenly until handOffMigrateBy.
	handOffUntil, handOffMigrateBy time.Time
	answerAt                       time.Time // requests in flight get their final answer, and no connection stays
	deadline                       time.Time // all connections are closed
}

// newShutdownSchedule returns the schedule of a process that gets the stop signal at a time.
func newShutdownSchedule(settings balancer.Settings, signalAt time.Time) shutdownSchedule {
	longest := time.Duration(0)
	for _, class := range settings.Classes {
		longest = max(longest, class.Deadline)
	}
	deadline := signalAt.Add(min(longest, maxGracefulDeadline) + graceMargin - exitMargin)
	answerAt := deadline.Add(-answerMargin)
	frontNoticed := earlier(signalAt.Add(preStopDelay), deadline)
	return shutdownSchedule{
		frontNoticed:     frontNoticed,
		migrateFrom:      earlier(frontNoticed, answerAt),
		migrateBy:        deadline.Add(-migrateMargin),
		handOffUntil:     deadline.Add(-handOffMargin),
		handOffMigrateBy: deadline.Add(-handOffFallbackMargin),
		answerAt:         answerAt,
		deadline:         deadline,
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
