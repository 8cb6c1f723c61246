package node

import "time"

// wallClock relates the machine's wall clock, by which the hosts' start times are listed, to the node's own clock,
// which is not affected by steps of the other. It is pure: times are arguments, both as durations since 1970.
type wallClock struct {
	offsets []time.Duration // of the wall clock from the node's clock, the present one first
}

const (
	// minClockStep is the change of the offset from which the wall clock counts as stepped. A smaller one is slewing.
	minClockStep = 200 * time.Millisecond
	// maxClockOffsets bounds the offsets that are remembered.
	maxClockOffsets = 4
)

// observe records a reading of both clocks, and reports whether the wall clock was stepped since the last one.
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

// started converts a host's listed start to the node's clock; 0 for long ago. It is not known whether the start was
// read before or after a step of the wall clock: the latest possible one counts, so that no host passes for warmer
// than it is. A start in the future counts as now.
func (c *wallClock) started(startedAtMS int64, now time.Duration) time.Duration {
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
