// Package fleet decides which commands many instances get, and when: from the inventory, the last status of each
// instance, and the operations that operators submitted. It is deterministic: events and the time come in, what to save
// and which commands to deliver comes out. It has no goroutines, sockets, clocks or files.
//
// Times are durations since the agent's start.
package fleet

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// Config has the bounds of a fleet's work.
type Config struct {
	DownAfter            time.Duration // an instance without a status for so long is down
	DeliveryTimeout      time.Duration // a command that is not delivered by then fails its step
	RetryInitialDelay    time.Duration // doubles with each attempt
	RetryMaxDelay        time.Duration
	RetryRate            float64 // retries a second over the whole fleet
	RetryBurst           int
	DefaultDeadline      time.Duration // of an operation that has none
	MaxEndedOperations   int           // kept for operators to look at
	MaxRunningOperations int
}

// DefaultConfig returns the configuration of the agent.
func DefaultConfig() Config {
	return Config{
		DownAfter:            5 * time.Second,
		DeliveryTimeout:      30 * time.Second,
		RetryInitialDelay:    100 * time.Millisecond,
		RetryMaxDelay:        5 * time.Second,
		RetryRate:            50,
		RetryBurst:           200,
		DefaultDeadline:      time.Hour,
		MaxEndedOperations:   10_000,
		MaxRunningOperations: 100,
	}
}

// rngStream is the second half of the seed, so that other users of the same seed draw other numbers.
const rngStream = 0x666c656574

// Fleet is the state of one agent. It is not safe for concurrent use.
type Fleet struct {
	cfg         Config
	rng         *rand.Rand
	retryBudget *rate.Limiter
	now         time.Duration

	instances      map[string]Instance
	inventoryOrder []string
	observations   map[string]*Observation

	operations map[string]*Operation
	running    []*Operation // by fence
	ended      []string     // in the order in which they ended
	fence      uint64       // of the last operation

	desired      map[Scope]DesiredState
	inFlight     map[string]Delivery // at most one for each instance
	redeliveries map[Scope]*redelivery

	change Change // since the last call of Next
}

// New makes a fleet with no instances and operations. The seed is that of the retries' jitter.
func New(cfg Config, seed uint64) *Fleet {
	return &Fleet{
		cfg:          cfg,
		rng:          rand.New(rand.NewPCG(seed, rngStream)),
		retryBudget:  rate.NewLimiter(rate.Limit(cfg.RetryRate), cfg.RetryBurst),
		instances:    map[string]Instance{},
		observations: map[string]*Observation{},
		operations:   map[string]*Operation{},
		desired:      map[Scope]DesiredState{},
		inFlight:     map[string]Delivery{},
		redeliveries: map[Scope]*redelivery{},
	}
}

// Restore loads what was saved. Commands that were in flight when the agent ended are delivered again: an instance
// applies a repeated command once.
func (f *Fleet) Restore(operations []Operation, desired []DesiredState, fence uint64) {
	f.fence = fence
	for _, state := range desired {
		f.desired[state.Scope] = state
	}
	slices.SortFunc(operations, func(a, b Operation) int { return cmp.Compare(a.Fence, b.Fence) })
	for i := range operations {
		o := &operations[i]
		f.operations[o.ID] = o
		f.fence = max(f.fence, o.Fence)
		if o.State.Ended() {
			f.ended = append(f.ended, o.ID)
			continue
		}
		o.elapsedAt = f.now
		for _, step := range o.Steps {
			step.attempts = 0
			step.retryAt = f.now
			step.changedAt = f.now
		}
		f.running = append(f.running, o)
	}
}

// advanceClock sets the time of an event; it never runs back.
func (f *Fleet) advanceClock(now time.Duration) { f.now = max(f.now, now) }
