package invariant

import (
	"sync/atomic"

	"go.uber.org/zap"
)

// LogMessage is the line that tells of a violation: who follows the log looks for it.
const LogMessage = "a rule was broken"

// Monitor counts violations and logs each. It may be used from any goroutine.
type Monitor struct {
	log    *zap.Logger
	counts [ruleCount]atomic.Uint64
}

// NewMonitor makes a monitor that has found nothing.
func NewMonitor(log *zap.Logger) *Monitor { return &Monitor{log: log} }

// Report counts violations.
func (m *Monitor) Report(found ...Violation) {
	for _, v := range found {
		m.counts[v.Rule].Add(1)
		m.log.Error(LogMessage, zap.Stringer("rule", v.Rule), zap.String("request", v.Request), zap.String("host", v.Host),
			zap.Duration("by", v.Excess))
	}
}

// Count tells how often a rule was broken.
func (m *Monitor) Count(r Rule) uint64 { return m.counts[r].Load() }

// Total tells how often any rule was broken.
func (m *Monitor) Total() (total uint64) {
	for _, r := range Rules() {
		total += m.Count(r)
	}
	return total
}
