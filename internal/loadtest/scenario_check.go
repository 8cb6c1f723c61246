package loadtest

import (
	"fmt"
	"time"

	"onyxstream/internal/testcluster"
	"onyxstream/internal/tomlfile"
)

// Check applies defaults and validates the scenario. Errors are *tomlfile.FieldError.
func (s *Scenario) Check() error {
	for _, check := range []func() error{s.checkRequests, s.checkPhases, s.checkNames, s.checkClients, s.checkLimits} {
		if err := check(); err != nil {
			return err
		}
	}
	if s.Fleet == nil {
		if len(s.Faults) > 0 {
			return tomlfile.NewFieldError("fault[0].what", "faults require a fleet in the scenario")
		}
		return nil
	}
	if err := s.Fleet.Check(s.classNames(), namesOf(s.Tenants)); err != nil {
		return err
	}
	return s.Fleet.CheckFaults(s.Faults)
}

func (s *Scenario) classNames() (out []testcluster.ClassConfig) {
	for _, c := range s.Classes {
		out = append(out, testcluster.ClassConfig{Name: c.Name, Deadline: c.Deadline.AsDuration()})
	}
	return out
}

func namesOf(list []WeightedName) (out []string) {
	for _, n := range list {
		out = append(out, n.Name)
	}
	return out
}

// checkOneOf returns the value, or defaultValue if the value is empty. It returns an error if the value is not in known.
func checkOneOf(path, value, defaultValue string, known ...string) (string, error) {
	if value == "" {
		return defaultValue, nil
	}
	for _, k := range known {
		if value == k {
			return value, nil
		}
	}
	return value, tomlfile.NewFieldError(path, "unknown value %q; must be one of %q", value, known)
}

// checkRange returns an error unless the value is a number from low to high. NaN is out of range.
func checkRange(path string, value, low, high float64) error {
	if !(value >= low && value <= high) {
		return tomlfile.NewFieldError(path, "%g is not between %g and %g", value, low, high)
	}
	return nil
}

// checkSeconds returns an error unless the duration is from low to high seconds.
func checkSeconds(path string, value tomlfile.Duration, low, high float64) error {
	return checkRange(path, value.AsDuration().Seconds(), low, high)
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// fieldPrefix returns the path of table i in an array of tables, with the dot before a field name.
func fieldPrefix(table string, i int) string { return fmt.Sprintf("%s[%d].", table, i) }

func (s *Scenario) checkRequests() (err error) {
	r := &s.Requests
	r.Arrivals, err = checkOneOf("requests.arrivals", r.Arrivals, arrivalsPoisson, arrivalsPoisson, arrivalsEven)
	if err != nil {
		return err
	}
	r.Loop, err = checkOneOf("requests.loop", r.Loop, loopOpen, loopOpen, loopClosed)
	if err != nil {
		return err
	}
	if r.Loop == loopClosed {
		if err := checkRange("requests.workers", float64(r.Workers), 1, maxWorkers); err != nil {
			return err
		}
	}
	return checkRange("requests.direct", r.Direct, 0, 1)
}

func (s *Scenario) checkPhases() error {
	if len(s.Phases) == 0 {
		return tomlfile.NewFieldError("phase", "at least one is required")
	}
	for i := range s.Phases {
		if err := s.Phases[i].check(fieldPrefix("phase", i)); err != nil {
			return err
		}
	}
	return checkRange("phase[0].for", s.Length().Seconds(), minSeconds, maxLength.Seconds())
}

func (p *Phase) check(prefix string) (err error) {
	p.Shape, err = checkOneOf(prefix+"shape", p.Shape, shapeConstant, shapeConstant, shapeRamp, shapeStep, shapeBurst, shapeOnOff)
	if err != nil {
		return err
	}
	err = firstError(
		checkSeconds(prefix+"for", p.Duration, minSeconds, maxLength.Seconds()),
		checkRange(prefix+"rate", p.Rate, 0, maxRate),
		checkRange(prefix+"to", p.EndRate, 0, maxRate),
		checkRange(prefix+"burst", p.BurstRequests, 0, maxRate),
		checkRange(prefix+"duty", p.DutyCycle, 0, 1))
	if err != nil {
		return err
	}
	minPeriod := p.Duration.AsDuration().Seconds() / maxPeriods
	switch p.Shape {
	case shapeStep:
		return checkRange(prefix+"steps", float64(p.Steps), 1, maxSteps)
	case shapeBurst:
		return firstError(
			checkSeconds(prefix+"within", p.BurstDuration, minSeconds, p.Duration.AsDuration().Seconds()),
			checkSeconds(prefix+"every", p.Period, max(p.BurstDuration.AsDuration().Seconds(), minPeriod), maxLength.Seconds()))
	case shapeOnOff:
		return firstError(
			checkSeconds(prefix+"every", p.Period, max(minSeconds, minPeriod), maxLength.Seconds()),
			checkRange(prefix+"duty", p.DutyCycle, 0.001, 1))
	}
	return nil
}

func (s *Scenario) checkClients() (err error) {
	c := &s.Clients
	c.Backoff, err = checkOneOf("clients.backoff", c.Backoff, backoffFixed, backoffFixed, backoffExponential)
	if err != nil {
		return err
	}
	if c.HonorRetryAfter == nil {
		honor := true
		c.HonorRetryAfter = &honor
	}
	if len(c.ReconnectDelay) == 0 {
		c.ReconnectDelay = []tomlfile.Duration{
			tomlfile.Duration(defaultMinReconnectDelay),
			tomlfile.Duration(defaultMaxReconnectDelay),
		}
	}
	if !isDelayRange(c.ReconnectDelay) {
		return tomlfile.NewFieldError("clients.come_back", "must be the shortest and the longest delay, in this order")
	}
	if c.MaxReconnects == 0 {
		c.MaxReconnects = defaultMaxReconnects
	}
	for i, surge := range s.Surges {
		prefix := fieldPrefix("wave", i)
		err := firstError(
			checkSeconds(prefix+"at", surge.At, 0, maxLength.Seconds()),
			checkRange(prefix+"share", surge.Share, 0, 1),
			checkSeconds(prefix+"within", surge.Within, 0, maxReconnectDelay.Seconds()))
		if err != nil {
			return err
		}
	}
	return firstError(
		checkRange("clients.retries", float64(c.Retries), 0, maxRetries),
		checkSeconds("clients.wait", c.RetryWait, 0, maxWait.Seconds()),
		checkRange("clients.returns", float64(c.MaxReconnects), 0, maxReconnects),
		checkRange("standing.count", float64(s.InitialConnections.Count), 0, maxConnections))
}

// isDelayRange reports whether delays has exactly two elements, a shortest and a longest delay, within the bounds.
func isDelayRange(delays []tomlfile.Duration) bool {
	if len(delays) != 2 {
		return false
	}
	shortest, longest := delays[0], delays[1]
	return shortest >= 0 && longest >= shortest && longest.AsDuration() <= maxReconnectDelay
}

func (s *Scenario) checkLimits() error {
	l := &s.Limits
	if l.MaxLateness == 0 {
		l.MaxLateness = tomlfile.Duration(defaultMaxLateness)
	}
	if l.MaxOpen == 0 {
		l.MaxOpen = defaultMaxOpen
	}
	if l.SourceAddresses == 0 {
		l.SourceAddresses = 1
	}
	if s.InitialConnections.Count > 0 && s.Fleet == nil {
		return tomlfile.NewFieldError("standing.count", "initial connections require a fleet in the scenario")
	}
	if s.Requests.Direct > 0 && s.Fleet == nil {
		return tomlfile.NewFieldError("requests.direct", "direct requests require a fleet in the scenario, because other hosts are unknown")
	}
	return firstError(
		checkSeconds("limits.lateness", l.MaxLateness, 1e-6, time.Minute.Seconds()),
		checkRange("limits.open", float64(l.MaxOpen), 1, maxConnections),
		checkRange("limits.sources", float64(l.SourceAddresses), 1, maxSourceAddresses),
		checkSeconds("limits.linger", l.Linger, 0, time.Hour.Seconds()))
}
