package fakeserver

import "time"

// Clock measures the time since the start of a run. It uses the monotonic clock, so that event logs of one run can be
// merged and are not affected by steps of the machine's wall clock. It is safe for concurrent use.
type Clock struct{ start time.Time }

// NewClock returns a clock that starts now.
func NewClock() *Clock { return &Clock{time.Now()} }

// Now returns the time since the start of the run.
func (c *Clock) Now() time.Duration { return time.Since(c.start) }

// Started returns the wall-clock time of the start, with which logs of several processes can be aligned.
func (c *Clock) Started() time.Time { return c.start }
