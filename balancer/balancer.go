package balancer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	sweepInterval  = 200 * time.Millisecond
	sweepToken     = "sweep"
	pacingToken    = "wait"
	timerTolerance = time.Microsecond // timers are truncated to the microsecond, so a timer may fire that much early
)

// Balancer makes the decisions of one node.
type Balancer struct {
	// Settings and the event that is being handled.
	settings Settings
	derived  derivedSettings
	now      time.Duration
	actions  []Action // actions of the current event
	rng      *rand.Rand
	started  bool // the first event has arrived

	// Servers and requests.
	table      table
	servers    map[ServerID]*server
	requests   map[RequestID]*request
	scans      uint64    // number of the current table scan; marks the servers that the scan has visited
	reinstated []*server // servers that operators reinstated and that got no request since, in order of reinstatement

	// State that the decisions are based on.
	fleet   fleetTotals
	loads   loadEstimates
	counts  connectionCounts
	rates   arrivalRates
	pacing  pacingState
	polling pollingState
	drain   Drain // graceful shutdown of this node
}

// derivedSettings holds minima and sums over all classes and tenants.
type derivedSettings struct {
	minMessageObjective time.Duration // 0 if no class has a message latency objective
	minSetupObjective   time.Duration
	minDeadline         time.Duration
	limitRecovery       time.Duration // time in which a reduced load limit recovers
	connectionQuota     float64       // this node's share of all tenants' quotas; 0 if unknown
}

// New returns the balancer of a node that has no endpoint list yet.
func New(s Settings) *Balancer {
	b := &Balancer{
		settings: s,
		rng:      rand.New(rand.NewPCG(s.Seed, uint64(s.NodeIndex))),
		servers:  map[ServerID]*server{},
		requests: map[RequestID]*request{},
		loads:    loadEstimates{byClass: make([]float64, len(s.Classes))},
		counts: connectionCounts{
			byGroup:  map[string]int{},
			byTenant: make([]int, len(s.Tenants)+1),
		},
	}
	b.settings.Tenants = append(slices.Clip(s.Tenants), Tenant{}) // the last entry counts requests without a known tenant
	b.settings.Classes = slices.Clone(s.Classes)
	for i := range b.settings.Classes {
		class := &b.settings.Classes[i]
		class.SetupLatencyObjective = cmp.Or(class.SetupLatencyObjective, class.Deadline, time.Second)
	}
	b.derived = deriveSettings(&b.settings)
	return b
}

// deriveSettings computes minima and sums over all classes and tenants.
func deriveSettings(s *Settings) derivedSettings {
	var derived derivedSettings
	for _, tenant := range s.Tenants {
		derived.connectionQuota += tenant.ConnectionQuota / float64(max(s.NodeCount, 1))
	}
	for i, class := range s.Classes {
		if i == 0 || class.SetupLatencyObjective < derived.minSetupObjective {
			derived.minSetupObjective = class.SetupLatencyObjective
		}
		if i == 0 || class.Deadline < derived.minDeadline {
			derived.minDeadline = class.Deadline
		}
		derived.limitRecovery = max(derived.limitRecovery, limitRecoveryDeadlines*class.Deadline)
		objective := class.MessageLatencyObjective
		if objective > 0 && (derived.minMessageObjective == 0 || objective < derived.minMessageObjective) {
			derived.minMessageObjective = objective
		}
	}
	return derived
}

// Handle handles an event that happens at the given clock time. It returns the resulting actions, which are valid
// until the next call.
func (b *Balancer) Handle(now time.Duration, event Event) []Action {
	b.now = now
	b.actions = b.actions[:0]
	if !b.started {
		b.start()
	}
	b.table.finishTransitions(now, b.drainGrace(), b.settings.DrainGrace*9/10, len(b.requests) == 0)
	b.dispatch(event)
	if len(b.pacing.queue) > 0 && b.pacing.interval <= 0 { // a setup that ended may make room for a queued request
		b.resumeQueue()
	}
	b.armPacingTimer()
	return b.actions
}

// start schedules the first list request and the first sweep when the first event arrives.
func (b *Balancer) start() {
	b.started = true
	b.rates.secondStartedAt = b.now
	b.rates.startedAt = b.now
	b.schedulePolling()
	b.emit(SetTimer{b.now + sweepInterval, sweepToken})
}

// dispatch calls the handler of an event.
func (b *Balancer) dispatch(event Event) {
	switch e := event.(type) {
	case ListEvent:
		b.updateEndpoints(e)
		b.updateTotals()
	case Arrival:
		b.handleArrival(e)
	case Inherited:
		if srv := b.servers[e.Server]; srv != nil {
			b.handleInherited(e.Arrival, srv)
		}
	case Established:
		b.handleEstablished(e)
	case AttemptEnded:
		b.handleAttemptEnded(e)
	case LoadReport:
		b.updateLoad(b.requests[e.ID], e.Load)
	case LatencyReport:
		b.observeLatency(b.requests[e.ID], e.Latency)
	case ClientDisconnected:
		b.finish(b.requests[e.ID])
	case Drain:
		b.drain = e
		b.resumeQueue() // answers the queued requests at once
	case Timer:
		b.handleTimer(e)
	}
}

func (b *Balancer) handleTimer(e Timer) {
	if e.Token == sweepToken {
		b.sweep()
	}
	if b.now+timerTolerance >= b.pacing.nextSendAt {
		b.resumeQueue()
	}
}

func (b *Balancer) emit(a Action)   { b.actions = append(b.actions, a) }
func (b *Balancer) log(text string) { b.emit(Log{text}) }

// jitter returns a random duration between 0 and span.
func (b *Balancer) jitter(span time.Duration) time.Duration {
	return time.Duration(b.rng.Float64() * float64(span))
}
