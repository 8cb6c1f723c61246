package node

import (
	"testing"
	"time"

	"onyxstream/balancer"
	"onyxstream/internal/wire"
)

// After a step of the wall clock, a host that started after the step must have its real age, and a host that started
// before the step must not appear older than it is.
func TestWallClock_Stepped_StartAgesKept(t *testing.T) {
	const begin, age = 1000 * time.Hour, 2 * time.Second
	for _, step := range []time.Duration{0, time.Hour, -time.Hour, 3 * time.Second, -3 * time.Second} {
		var c wallClock
		c.observe(begin, begin)
		now := begin + time.Minute
		c.observe(now+step, now)
		fresh := (now + step - age).Milliseconds()
		if got := now - c.startTime(fresh, now); got != age {
			t.Errorf("step %v: want age %v for a host that started after the step, got %v", step, age, got)
		}
		before := (now - age).Milliseconds()
		if got := now - c.startTime(before, now); got < 0 || got > age {
			t.Errorf("step %v: want an age from 0 to %v for a host that started before the step, got %v", step, age, got)
		}
		if c.startTime(0, now) != 0 {
			t.Errorf("step %v: the listed start 0, which means long ago, is not converted to 0", step)
		}
	}
}

// A listed start in the future must count as now.
func TestWallClock_StartInFuture_CountsAsNow(t *testing.T) {
	var c wallClock
	c.observe(time.Hour, time.Hour)
	if got := c.startTime((2 * time.Hour).Milliseconds(), time.Hour); got != time.Hour {
		t.Errorf("start one hour in the future is converted to %v, want 1h", got)
	}
}

// A process that is suspended for 0.15 s between the check and the write must not write after the drain grace.
func TestHostAcceptsWrites_DelayBeforeWrite_GraceKept(t *testing.T) {
	const delay = 150 * time.Millisecond
	n, _, _ := newTestNode(t, endpoint("a", wire.Serving))
	host := n.hosts["a"]
	host.state = balancer.Draining
	for _, grace := range []time.Duration{
		50 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second,
	} {
		n.settings.DrainGrace = grace
		host.notifiedAt = time.Now().Add(delay - grace) // a write after the delay would be just after the grace
		if n.hostAcceptsWrites(host) {
			t.Errorf("drain grace %v: a write is allowed %v before its end", grace, delay)
		}
	}
	n.settings.DrainGrace = 2 * time.Second
	host.notifiedAt = time.Now()
	if !n.hostAcceptsWrites(host) {
		t.Error("a write at the start of a long drain grace is denied")
	}
}
