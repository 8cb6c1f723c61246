// Package soaktest runs a test cluster of real processes under random faults. The faults are drawn from a seed, and two
// or three of them start together. From the events of clients, hosts and discovery, and from the nodes' own invariant
// checks, it determines whether the nodes kept the rules. Plans are generated and events are checked by pure functions;
// the runner starts processes and opens connections with package testcluster.
package soaktest

import (
	"math/rand/v2"
	"time"

	"onyxstream/internal/testcluster"
)

// PlanOptions holds the size of the cluster and the duration of a plan.
type PlanOptions struct {
	Nodes, Hosts int
	Duration     time.Duration // clients connect and faults begin during this time
}

// Plan is the set of faults of a run. Times are relative to the start of the plan.
type Plan struct {
	Seed          uint64
	Mode          string // modePassThrough or modeProxy
	Push          bool   // discovery pushes the endpoint list
	Duration      time.Duration
	Faults        []testcluster.FaultSpec
	Reloads       []Reload
	IdleClients   []IdleClients
	SyscallFaults []SyscallFault
}

// Values of Plan.Mode, as in the nodes' settings.
const (
	modePassThrough = "pass"
	modeProxy       = "proxy"
)

// Reload makes a node reload its configuration.
type Reload struct {
	At      time.Duration
	Node    int  // index
	Invalid bool // the file is invalid for at least invalidConfigTime, then valid again for a last reload
	Repeats int  // further reload signals in quick succession
}

// IdleClients are clients that connect to a node and send nothing, to exhaust its file descriptors.
type IdleClients struct {
	At, Duration time.Duration
	Node         int // index
	Count        int
}

const (
	// faultSpread is the time within which the faults of one burst begin.
	faultSpread = 300 * time.Millisecond
	// meanBurstInterval is the mean time between two bursts of faults.
	meanBurstInterval = 1200 * time.Millisecond
)

// planStream is the second half of the random seed of a plan's faults; the first half is the seed of the plan.
const planStream = 0x736f616b

// GeneratePlan draws a plan from a seed. The same seed and options give the same plan.
func GeneratePlan(seed uint64, options PlanOptions) Plan {
	plan := Plan{Seed: seed, Duration: options.Duration}
	g := &planGenerator{
		Rand:          rand.New(rand.NewPCG(seed, planStream)),
		options:       options,
		plan:          &plan,
		reservedUntil: map[string]time.Duration{},
	}
	plan.Mode = []string{modePassThrough, modeProxy}[g.IntN(2)]
	plan.Push = g.IntN(2) == 0
	kinds := g.faultKinds()
	for at := meanBurstInterval / 2; at < options.Duration; at += g.burstInterval() {
		for range 2 + g.IntN(2) {
			draw := kinds[g.IntN(len(kinds))]
			draw(at + g.duration(0, faultSpread))
		}
	}
	return plan
}
