package node

import "time"

// wallClock converts times by the machine's wall clock, such as the hosts' listed start times, to the node's clock,
// which does not follow steps of the wall clock. It reads no clock itself: callers pass readings of both clocks as
// durations since 1970.
type wallClock struct {
	offsets []time.Duration // wall clock minus node's clock, the latest first
}

const (
	// minClockStep is the smallest change of the offset that counts as a step of the wall clock. A smaller change is
	// slewing.
	minClockStep = 200 * time.Millisecond
	// maxClockOffsets is the largest number of recorded offsets.
	maxClockOffsets = 4
)

// observe records readings of both clocks, and reports whether the wall clock has stepped since the last readings.
func (c *wallClock) observe(wall, now time.Duration) (stepped bool) {
	offset := wall - now
	if len(c.offsets) == 0 {
		c.offsets = []time.Duration{offset}
		return false
	}
	if (offset - c.offsets[0]).Abs() < minClockStep {
		c.offsets[0] = offset
		return false
	}
	earlier := c.offsets[:min(len(c.offsets), maxClockOffsets-1)]
	c.offsets = append([]time.Duration{offset}, earlier...)
	return true
}

// startTime converts a host's listed start to the node's clock; 0 for long ago. It is not known whether the start was
// read before or after a step of the wall clock, so the latest possible start is used: no host may appear to have
// warmed up further than it has. A start in the future counts as now.
func (c *wallClock) startTime(startedAtMS int64, now time.Duration) time.Duration {
	if startedAtMS == 0 {
		return 0
	}
	listed := time.Duration(startedAtMS) * time.Millisecond
	latest := time.Duration(0)
	for _, offset := range c.offsets {
		start := listed - offset
		if start <= now {
			latest = max(latest, start)
		}
	}
	if latest == 0 {
		return now
	}
	return latest
}
