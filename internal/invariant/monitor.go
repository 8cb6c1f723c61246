package invariant

import (
	"sync/atomic"

	"go.uber.org/zap"
)

// LogMessage is the message of the log line for each violation.
const LogMessage = "rule violated"

// Monitor counts and logs violations. It is safe for concurrent use.
type Monitor struct {
	log    *zap.Logger
	counts [ruleCount]atomic.Uint64
}

// NewMonitor returns a Monitor that logs to log.
func NewMonitor(log *zap.Logger) *Monitor { return &Monitor{log: log} }

// Report counts and logs violations.
func (m *Monitor) Report(violations ...Violation) {
	for _, v := range violations {
		m.counts[v.Rule].Add(1)
		m.log.Error(LogMessage, zap.Stringer("rule", v.Rule), zap.String("request", v.Request),
			zap.String("host", v.Host), zap.Duration("excess", v.Excess))
	}
}

// Count returns the number of violations of a rule.
func (m *Monitor) Count(r Rule) uint64 { return m.counts[r].Load() }

// Total returns the number of violations of all rules.
func (m *Monitor) Total() (total uint64) {
	for _, r := range Rules() {
		total += m.Count(r)
	}
	return total
}
