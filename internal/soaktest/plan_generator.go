package soaktest

import (
	"fmt"
	"math/rand/v2"
	"time"

	"onyxstream/internal/testcluster"
	"onyxstream/internal/tomlfile"
)

// Names of targets are a prefix and a number from 1.
const (
	nodePrefix         = "n"
	hostPrefix         = "h"
	nodeLinkPrefix     = "link-n" // of the links between nodes and discovery
	hostLinkPrefix     = "link-h" // of the links between nodes and hosts
	syscallFaultPrefix = "calls-"
	clockPrefix        = "clock-"
	idleClientsPrefix  = "idle-"
	discoveryTarget    = "discovery"
)

// planGenerator draws the faults of a plan. A target is not drawn again while a fault of the same kind of target lasts.
type planGenerator struct {
	*rand.Rand
	options       PlanOptions
	plan          *Plan
	reservedUntil map[string]time.Duration // by target
	addedHosts    int
}

// faultKinds returns the functions that draw a fault; repeated ones are drawn more often.
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

// burstInterval draws the time until faults begin again.
func (g *planGenerator) burstInterval() time.Duration {
	return time.Duration((0.5 + g.Float64()) * float64(meanBurstInterval))
}

// duration draws a duration between two bounds.
func (g *planGenerator) duration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(g.Float64()*float64(longest-shortest))
}

// reserve draws a target among n that is free at a time, and reserves it until another. ok is false where none is free.
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

// addFault adds a fault. A length of 0 is for ever; over is the time or delay of the fault's kind.
func (g *planGenerator) addFault(at, length time.Duration, what, on string, over time.Duration) {
	g.plan.Faults = append(g.plan.Faults, testcluster.FaultSpec{
		At:       tomlfile.Duration(at),
		Duration: tomlfile.Duration(length),
		Kind:     what,
		Target:   on,
		Period:   tomlfile.Duration(over),
	})
}
