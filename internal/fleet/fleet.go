// Package fleet decides which commands each instance of a fleet gets, and when, from the inventory, the last status of
// each instance, and the operations that operators submitted. It is deterministic: the caller passes in events and the
// time, and gets the data to save and the commands to deliver. The package uses no goroutines, sockets, clocks or files.
//
// Times are durations since the start of the agent.
package fleet

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// Config has the timeouts and limits of a fleet.
type Config struct {
	// Timeouts.
	DownAfter       time.Duration // an instance that has sent no status for this long is down
	DeliveryTimeout time.Duration // a step fails if its command is not delivered within this time

	// Retries of deliveries.
	RetryInitialDelay time.Duration // doubles with each attempt
	RetryMaxDelay     time.Duration
	RetryRate         float64 // retries per second, in the whole fleet
	RetryBurst        int

	// Operations.
	DefaultDeadline      time.Duration // of operations without a deadline
	MaxEndedOperations   int           // kept for operators to inspect
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

// rngStream is the second half of the seed of the random source, so that other random sources with the same first
// half draw other numbers.
const rngStream = 0x666c656574

// Fleet is the state of one agent. It is not safe for concurrent use.
type Fleet struct {
	cfg         Config
	rng         *rand.Rand
	retryBudget *rate.Limiter
	now         time.Duration

	// The instances of the inventory, by name.
	instances      map[string]Instance
	inventoryOrder []string // names
	observations   map[string]*Observation

	// The operations, by ID.
	operations map[string]*Operation
	running    []*Operation // in the order of their fences
	ended      []string     // in the order in which they ended
	fence      uint64       // of the last operation

	// The desired states and the deliveries.
	desired      map[Scope]DesiredState
	inFlight     map[string]Delivery // at most one for each instance
	redeliveries map[Scope]*redelivery

	change Change // data to save that changed since the last call of Next
}

// New returns a fleet without instances and operations. The seed determines the jitter of retries.
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

// Restore loads saved data. Commands that were in flight when the agent ended will be delivered again, which is safe
// because an instance applies a repeated command only once.
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

// advanceClock sets the current time, which never moves backwards.
func (f *Fleet) advanceClock(now time.Duration) { f.now = max(f.now, now) }
