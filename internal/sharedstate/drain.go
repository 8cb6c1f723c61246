package sharedstate

import (
	"time"

	"golang.org/x/sys/unix"
)

// Drain is a drain of the node itself. Its deadline and its admission cutoff are stored as times of two clocks of the
// machine: the wall clock, and the time since boot. If both the writer and the reader have the time since boot, the
// reader uses it, because a step of the wall clock does not change it.
type Drain struct {
	Active bool `json:"on"`
	// Deadline is when all established connections must be gone.
	Deadline time.Time `json:"by"`
	// AdmissionCutoff is when the node starts to reject new clients.
	AdmissionCutoff time.Time     `json:"shut"`
	RetryAfter      time.Duration `json:"retry_after_ns"`
	KeepConnections bool          `json:"keep"`
	// Serial is the state's serial for the change that set the drain.
	Serial uint64 `json:"serial"`
	// DeadlineBoot and AdmissionCutoffBoot are the same two times since boot, or 0 if the writer had no such clock.
	DeadlineBoot        time.Duration `json:"by_boot_ns,omitempty"`
	AdmissionCutoffBoot time.Duration `json:"shut_boot_ns,omitempty"`
}

// Remaining returns the time until the drain's deadline and until its admission cutoff, negative if they have passed.
func (d Drain) Remaining(now ClockReading) (untilDeadline, untilCutoff time.Duration) {
	if d.DeadlineBoot > 0 && now.Boot > 0 {
		return d.DeadlineBoot - now.Boot, d.AdmissionCutoffBoot - now.Boot
	}
	return d.Deadline.Sub(now.Wall), d.AdmissionCutoff.Sub(now.Wall)
}

// ClockReading is a reading of two clocks that all processes of the machine share: the wall clock, which may be
// stepped, and the time since boot.
type ClockReading struct {
	Wall time.Time
	Boot time.Duration // 0 if the system has no such clock
}

// ReadClocks reads the machine's clocks.
func ReadClocks() ClockReading {
	now := ClockReading{Wall: time.Now()}
	var boot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) == nil {
		now.Boot = time.Duration(boot.Nano())
	}
	return now
}

// NewDrain returns an active drain that starts at the time of the reading. Its deadline and its admission cutoff are
// the given durations after that.
func (r ClockReading) NewDrain(untilDeadline, untilCutoff time.Duration) Drain {
	drain := Drain{
		Active:          true,
		Deadline:        r.Wall.Add(untilDeadline),
		AdmissionCutoff: r.Wall.Add(untilCutoff),
	}
	if r.Boot > 0 {
		drain.DeadlineBoot = r.Boot + untilDeadline
		drain.AdmissionCutoffBoot = r.Boot + untilCutoff
	}
	return drain
}
