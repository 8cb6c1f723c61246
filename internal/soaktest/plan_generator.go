package soaktest

import (
	"fmt"
	"math/rand/v2"
	"time"

	"onyxstream/internal/testcluster"
	"onyxstream/internal/tomlfile"
)

// Names of targets: discoveryTarget, and prefixes that a number from 1 follows. The targets of syscallFaultPrefix,
// clockPrefix and idleClientsPrefix exist only for reservations.
const (
	nodePrefix         = "n"
	hostPrefix         = "h"
	nodeLinkPrefix     = "link-n" // links between nodes and discovery
	hostLinkPrefix     = "link-h" // links between nodes and hosts
	syscallFaultPrefix = "calls-"
	clockPrefix        = "clock-"
	idleClientsPrefix  = "idle-"
	discoveryTarget    = "discovery"
)

// planGenerator draws the faults of a plan. It does not draw a target again while the target is reserved for a fault.
type planGenerator struct {
	*rand.Rand
	options       PlanOptions
	plan          *Plan
	reservedUntil map[string]time.Duration // by target
	addedHosts    int
}

// faultKinds returns the functions that draw faults. Functions that are listed twice are drawn twice as often.
func (g *planGenerator) faultKinds() []func(at time.Duration) {
	return []func(at time.Duration){
		g.drawRestarts, g.drawRestarts, g.drawRestartsWithHangs, g.drawKill, g.drawStalls,
		g.drawReloads, g.drawReloads,
		g.drawDiscoveryFault, g.drawDiscoveryFault, g.drawDiscoveryLinkFault,
		g.drawHang, g.drawHostReplacement, g.drawHostReplacement, g.drawHostCrash, g.drawHostLinkFault, g.drawHostLinkFault,
		g.drawIdleClients,
		g.drawSyscallFaults, g.drawSyscallFaults, g.drawClockSteps,
	}
}

// burstInterval draws the time until the next burst of faults.
func (g *planGenerator) burstInterval() time.Duration {
	return time.Duration((0.5 + g.Float64()) * float64(meanBurstInterval))
}

// duration draws a duration between two bounds.
func (g *planGenerator) duration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(g.Float64()*float64(longest-shortest))
}

// reserve draws one of the n targets of a prefix. It leaves out targets that are reserved at the time at, and reserves
// the drawn target until the time until. ok is false if all targets are reserved.
func (g *planGenerator) reserve(prefix string, n int, at, until time.Duration) (index int, name string, ok bool) {
	first := g.IntN(n)
	for k := range n {
		index = (first + k) % n
		name = fmt.Sprint(prefix, index+1)
		if g.reservedUntil[name] <= at {
			g.reservedUntil[name] = until
			return index, name, true
		}
	}
	return 0, "", false
}

func (g *planGenerator) reserveNode(at, until time.Duration) (index int, name string, ok bool) {
	return g.reserve(nodePrefix, g.options.Nodes, at, until)
}

func (g *planGenerator) reserveHost(at, until time.Duration) (name string, ok bool) {
	_, name, ok = g.reserve(hostPrefix, g.options.Hosts, at, until)
	return name, ok
}

// addFault adds a fault. A fault with a length of 0 does not end. period becomes FaultSpec.Period.
func (g *planGenerator) addFault(at, length time.Duration, kind, target string, period time.Duration) {
	g.plan.Faults = append(g.plan.Faults, testcluster.FaultSpec{
		At:       tomlfile.Duration(at),
		Duration: tomlfile.Duration(length),
		Kind:     kind,
		Target:   target,
		Period:   tomlfile.Duration(period),
	})
}
