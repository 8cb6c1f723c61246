package balancer

import "time"

const (
	fleetWeightDecaySweeps = 4096 // time constant, in sweeps, with which the fleet's largest weight decays
	rateSmoothing          = 0.1  // weight of the last second in the moving average of the setup rate
)

// arrivalRates counts arrivals and successful connection setups.
type arrivalRates struct {
	startedAt          time.Duration // clock time of the first event
	secondStartedAt    time.Duration // start of the current second
	setups             float64       // moving average of successful setups per second
	setupsThisSecond   float64
	setupsTotal        float64
	arrivalsLastSecond float64
	arrivalsThisSecond float64
}

// sweep does the periodic work, which depends on time rather than on events.
func (b *Balancer) sweep() {
	b.emit(SetTimer{b.now + sweepInterval, sweepToken})
	b.updateTotals()
	b.fleet.maxWeight -= (b.fleet.maxWeight - b.fleet.weight) / fleetWeightDecaySweeps
	if b.drain.Active && !b.drain.KeepConnections {
		b.evictConnections()
	}
	b.relaxWithTime()
	if b.now >= b.rates.secondStartedAt+time.Second {
		b.updateRates()
	}
	b.requestListIfDue()
}

// updateRates updates the rates at the end of a second. The setups of a second are limited to twice the moving average
// plus one, so that a reconnect surge counts only in part. The average does not fall while setups are paced, because an
// overload must not lower the usual rate.
func (b *Balancer) updateRates() {
	setups := min(b.rates.setupsThisSecond, 2*b.rates.setups+1)
	if b.pacing.interval == 0 || setups > b.rates.setups {
		b.rates.setups += rateSmoothing * (setups - b.rates.setups)
	}
	b.rates.setupsThisSecond = 0
	b.rates.arrivalsLastSecond = b.rates.arrivalsThisSecond
	b.rates.arrivalsThisSecond = 0
	b.rates.secondStartedAt = b.now
}
