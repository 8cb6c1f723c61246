// Package soaktest plays faults that are drawn from a seed on a fleet of real processes, two or three at a time. It judges
// from the events of clients, hosts and discovery, and from the nodes' own invariant checks, whether the rules held. Plans
// and judgement are pure functions; the runner starts processes and opens connections by package testcluster.
package soaktest

import (
	"math/rand/v2"
	"time"

	"onyxstream/internal/testcluster"
)

// PlanOptions are what a plan is drawn for.
type PlanOptions struct {
	Nodes, Hosts int
	Duration     time.Duration // in which clients connect and faults begin
}

// Plan is the set of faults of a run. Times are from the start of the plan.
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

// Values of Plan.Mode, as in the node's settings.
const (
	modePassThrough = "pass"
	modeProxy       = "proxy"
)

// Reload makes a node reload its configuration.
type Reload struct {
	At      time.Duration
	Node    int  // index
	Invalid bool // the file is invalid for a moment, and valid again for a last reload
	Repeats int  // further signals in quick succession
}

// IdleClients are clients that connect to a node and send nothing, to exhaust its descriptors.
type IdleClients struct {
	At, Duration time.Duration
	Node         int // index
	Count        int
}

const (
	// faultSpread is the time over which the faults of one moment begin.
	faultSpread = 300 * time.Millisecond
	// meanBurstInterval is the mean time between two moments at which faults begin.
	meanBurstInterval = 1200 * time.Millisecond
)

// planStream is combined with the seed of a plan for its random numbers.
const planStream = 0x736f616b

// GeneratePlan draws the plan of a seed. The same seed and options give the same plan.
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
