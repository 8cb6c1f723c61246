package settings

import "fmt"

// The values of the fields registryMode and domain.mode.
const (
	discoveryPush   = "push"
	discoveryPoll   = "ask"
	modeProxy       = "proxy"
	modePassThrough = "pass"
)

// maxNumber is the upper limit of all numbers, so that no conversion overflows.
const maxNumber = 1e12

// namedNumber is a number with the path of its JSON key.
type namedNumber struct {
	field string
	value float64
}

// validate reports the first field that is out of range, as a *FieldError.
func (d *document) validate() error {
	if err := validateMode("registryMode", d.DiscoveryMode, discoveryPush, discoveryPoll); err != nil {
		return err
	}
	if err := validateMode("domain.mode", d.Service.Mode, modeProxy, modePassThrough); err != nil {
		return err
	}
	for _, number := range d.numbers() {
		if number.value < 0 || number.value > maxNumber {
			return fieldError(number.field, "%g is out of range", number.value)
		}
	}
	if d.Rules.SlowStartFraction > 1 {
		return fieldError("rules.coldShare", "%g is greater than 1", d.Rules.SlowStartFraction)
	}
	if len(d.Classes) == 0 {
		return fieldError("lanes", "no classes")
	}
	return nil
}

// validateMode checks that a mode is empty or one of two values.
func validateMode(field, mode, one, other string) error {
	if mode != "" && mode != one && mode != other {
		return fieldError(field, "unknown value %q", mode)
	}
	return nil
}

// numbers returns all numbers that must be between 0 and maxNumber.
func (d *document) numbers() []namedNumber {
	numbers := []namedNumber{
		{"groupSize", float64(d.NodeCount)},
		{"index", float64(d.NodeIndex)},
		{"overShareWorth", d.OverQuotaWeight},
		{"limits.maxAttempts", float64(d.Limits.MaxAttempts)},
		{"limits.connectTimeout", float64(d.Limits.ConnectTimeout)},
		{"limits.maxRetryAfter", float64(d.Limits.MaxRetryAfter)},
		{"rules.answerSlack", float64(d.Rules.AnswerSlack)},
		{"rules.askWithin", float64(d.Rules.PollInterval)},
		{"rules.coldShare", d.Rules.SlowStartFraction},
		{"rules.fallMultiple", d.Rules.CollapseMultiple},
		{"rules.overloadFor", float64(d.Rules.CollapseWindow)},
		{"rules.stopSendingWithin", float64(d.Rules.DrainGrace)},
		{"rules.warmWithin", float64(d.Rules.SlowStartDuration)},
		{"prices.crossZone", d.Costs.CrossZone},
	}
	for i, c := range d.Classes {
		path := classPath(i)
		numbers = append(numbers,
			namedNumber{path + "aim", float64(c.LatencyObjective)},
			namedNumber{path + "deadline", float64(c.Deadline)},
			namedNumber{path + "window", float64(c.IdempotencyWindow)},
			namedNumber{path + "worth", c.PriorityWeight},
		)
	}
	for i, objective := range d.Service.MessageLatencyObjectives {
		numbers = append(numbers, namedNumber{fmt.Sprintf("domain.messageAim[%d]", i), float64(objective)})
	}
	for i, quota := range d.Service.TenantConnectionQuotas {
		numbers = append(numbers, namedNumber{fmt.Sprintf("domain.tenantQuotaConnections[%d]", i), quota})
	}
	return numbers
}

// classPath returns the path of a class, to which the caller appends a key.
func classPath(i int) string { return fmt.Sprintf("lanes[%d].", i) }
