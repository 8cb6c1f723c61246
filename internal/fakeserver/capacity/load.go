package capacity

import (
	"math"
	"time"
)

const (
	minSlowFactor     = 0.01 // keeps the capacity finite
	maxStolenFraction = 0.99 // keeps the capacity above 0
	// minIdleFraction bounds the queueing delay of a line: at most 1/minIdleFraction times its work.
	minIdleFraction = 0.02
	// setupWorkDecay is the time constant of the decaying sum of setup work that measures the overload of a cold host.
	setupWorkDecay = 250 * time.Millisecond
	maxSeconds     = 1e9 // bounds the durations that the model computes, about 32 years
)

// SetSlowFactor multiplies the duration of all work by factor; 1 restores normal speed.
func (h *Host) SetSlowFactor(factor float64) { h.slowFactor = max(factor, minSlowFactor) }

// SetStolenFraction takes a fraction of the cores away from the host, like another program on the machine; 0 restores
// them.
func (h *Host) SetStolenFraction(fraction float64) {
	h.stolenFraction = min(max(fraction, 0), maxStolenFraction)
}

// Capacity returns the current capacity in cores of speed 1.
func (h *Host) Capacity() float64 {
	return h.spec.Cores * h.spec.Speed * (1 - h.stolenFraction) / h.slowFactor * h.slowStartFactor()
}

// coreSpeed returns the current speed of one core.
func (h *Host) coreSpeed() float64 { return h.spec.Speed * (1 - h.stolenFraction) / h.slowFactor }

// slowStartFactor returns the fraction of the capacity that slow start allows now.
func (h *Host) slowStartFactor() float64 {
	sinceStart := h.now - h.startedAt
	initial := h.spec.SlowStartFraction
	if !h.startedCold || initial <= 0 || initial >= 1 || sinceStart >= h.spec.SlowStartDuration {
		return 1
	}
	return initial + (1-initial)*float64(sinceStart)/float64(h.spec.SlowStartDuration)
}

// Demand returns the load of the established connections and their groups, in cores of speed 1.
func (h *Host) Demand() float64 {
	return h.establishedLoad + float64(len(h.groupSizes))*h.spec.GroupCost*h.spec.ConnectionLoad
}

// Utilization returns the demand divided by the capacity. The host is overloaded when the utilization is above 1.
func (h *Host) Utilization() float64 { return h.Demand() / max(h.Capacity(), negligibleWork) }

// LineLatency returns the current time to answer a line: the work of the line plus the queueing delay of an M/M/1 queue
// at the current utilization. The sum is at most fifty times the work.
func (h *Host) LineLatency() time.Duration {
	work := h.spec.LineWork / h.spec.Speed * h.slowFactor / (1 - h.stolenFraction)
	return seconds(work / max(1-h.Utilization(), minIdleFraction))
}

// addSetupWork counts the work of a requested setup. Rejected setups count as well, because rejecting costs work too.
func (h *Host) addSetupWork(now time.Duration, work float64) {
	h.recentSetupWork = h.recentSetupWork*setupWorkRemaining(now-h.recentSetupWorkAt) + work
	h.recentSetupWorkAt = now
}

// setupWorkRemaining returns the fraction of recent setup work that still counts after the elapsed time.
func setupWorkRemaining(elapsed time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(setupWorkDecay))
}

// overloadRatio returns the rate of requested setup work plus the demand, divided by the capacity.
func (h *Host) overloadRatio() float64 {
	rate := h.recentSetupWork * setupWorkRemaining(h.now-h.recentSetupWorkAt) / setupWorkDecay.Seconds()
	return (rate + h.Demand()) / max(h.Capacity(), negligibleWork)
}

// seconds converts a number of seconds to a duration, bounded by maxSeconds so that it can't overflow.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxSeconds) * float64(time.Second))
}
