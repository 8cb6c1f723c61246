package node

import "time"

// wallClock relates the machine's wall clock, by which the starts of hosts are listed, to the node's own clock, which
// runs on whatever happens to the other. It is pure: times are arguments, both as spans since 1970.
type wallClock struct {
	offsets []time.Duration // of the wall clock from the node's own, the present one first
}

const (
	// minClockStep is the change of the offset from which on the wall clock counts as stepped; less is taken for slewing.
	minClockStep = 200 * time.Millisecond
	// maxClockOffsets bounds the offsets that are remembered. A start by an older one passes for an earlier or later one.
	maxClockOffsets = 4
)

// observe takes in a reading of both clocks at one instant, and reports whether the wall clock was stepped since the last.
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
	c.offsets = append([]time.Duration{offset}, c.offsets[:min(len(c.offsets), maxClockOffsets-1)]...)
	return true
}

// started is the node's own time of a host's start, as listed in milliseconds by the wall clock; 0 for long ago. Whether
// the start was read off the clock before a step or behind it is not known: the latest start that is possible counts, so
// that no host passes for warmer than it is. One ahead of the clock is one of now.
func (c *wallClock) started(upSince int64, now time.Duration) time.Duration {
	if upSince == 0 {
		return 0
	}
	listed, latest := time.Duration(upSince)*time.Millisecond, time.Duration(0)
	for _, offset := range c.offsets {
		if start := listed - offset; start <= now {
			latest = max(latest, start)
		}
	}
	if latest == 0 {
		return now
	}
	return latest
}
