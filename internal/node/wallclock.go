package node

import "time"

// wallClock relates the machine's wall clock, by which the starts of hosts are listed, to the node's own clock, which
// runs on whatever happens to the other. It is pure: times are arguments, both as spans since 1970.
type wallClock struct {
	offsets []time.Duration // of the wall clock from the node's own, the present one first
}

// observe takes in a reading of both clocks at one instant.
func (c *wallClock) observe(wall, now time.Duration) {
	if len(c.offsets) == 0 {
		c.offsets = []time.Duration{wall - now}
	}
}

// started is the node's own time of a host's start, as listed in milliseconds by the wall clock; 0 for long ago.
func (c *wallClock) started(upSince int64, now time.Duration) time.Duration {
	return time.Duration(upSince) * time.Millisecond
}
