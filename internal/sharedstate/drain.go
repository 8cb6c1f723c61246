package sharedstate

import (
	"time"

	"golang.org/x/sys/unix"
)

// Drain is the drain of the node itself. Its two times are kept on both of the machine's clocks: a reader goes by the
// time since boot, which no step of the wall clock moves, where both have it.
type Drain struct {
	Active bool `json:"on"`
	// Deadline is when the established connections are to be gone.
	Deadline time.Time `json:"by"`
	// AdmissionCutoff is from when on new clients are rejected.
	AdmissionCutoff time.Time     `json:"shut"`
	RetryAfter      time.Duration `json:"retry_after_ns"`
	KeepConnections bool          `json:"keep"`
	// Serial is that of the state's change by which the drain was set.
	Serial              uint64        `json:"serial"`
	DeadlineBoot        time.Duration `json:"by_boot_ns,omitempty"`
	AdmissionCutoffBoot time.Duration `json:"shut_boot_ns,omitempty"`
}

// Remaining returns how long it is until the drain's deadline and its admission cutoff; below 0 for past.
func (d Drain) Remaining(now ClockReading) (untilDeadline, untilCutoff time.Duration) {
	if d.DeadlineBoot > 0 && now.Boot > 0 {
		return d.DeadlineBoot - now.Boot, d.AdmissionCutoffBoot - now.Boot
	}
	return d.Deadline.Sub(now.Wall), d.AdmissionCutoff.Sub(now.Wall)
}

// ClockReading is a reading of the machine's clocks: the wall clock, which may be stepped, and the time since boot,
// which all processes of the machine share.
type ClockReading struct {
	Wall time.Time
	Boot time.Duration // 0 where the system has no such clock
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

// NewDrain returns an active drain that begins at the reading, with its deadline and its admission cutoff so much
// later.
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
