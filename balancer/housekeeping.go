package balancer

import "time"

const (
	fleetWeightDecaySweeps = 4096 // sweeps in which the largest weight of the fleet fades
	rateSmoothing          = 0.1  // weight of one second in the rate of set-ups
)

// arrivalRates count requests and set-ups over time.
type arrivalRates struct {
	startedAt          time.Duration // of the first event
	secondStartedAt    time.Duration // of the second that runs
	setups             float64       // moving average, a second
	setupsThisSecond   float64
	setupsTotal        float64
	arrivalsLastSecond float64
	arrivalsThisSecond float64
}

// sweep is the periodic housekeeping.
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

// updateRates ends a second. A reconnect surge counts in part only, and an overload does not lower the usual rate.
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
