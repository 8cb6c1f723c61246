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
	nodePrefix        = "n"
	hostPrefix        = "h"
	nodeLinkPrefix    = "link-n" // of the links between nodes and discovery
	hostLinkPrefix    = "link-h" // of the links between nodes and hosts
	callFaultPrefix   = "calls-"
	clockPrefix       = "clock-"
	idleClientsPrefix = "idle-"
	discoveryTarget   = "discovery"
)

// planDrawer draws the faults of a plan. A target is not drawn again while a fault of the same kind of target lasts.
type planDrawer struct {
	*rand.Rand
	options    PlanOptions
	plan       *Plan
	busyUntil  map[string]time.Duration // by target
	addedHosts int
}

// faultKinds returns the functions that draw a fault; repeated ones are drawn more often.
func (d *planDrawer) faultKinds() []func(at time.Duration) {
	return []func(at time.Duration){
		d.drawRestarts, d.drawRestarts, d.drawRestartsWithHangs, d.drawKill, d.drawStalls,
		d.drawReloads, d.drawReloads,
		d.drawDiscoveryFault, d.drawDiscoveryFault, d.drawDiscoveryLinkFault,
		d.drawHang, d.drawRelease, d.drawRelease, d.drawHostCrash, d.drawHostLinkFault, d.drawHostLinkFault,
		d.drawIdleClients,
		d.drawCallFaults, d.drawCallFaults, d.drawClockSteps,
	}
}

// momentInterval draws the time until faults begin again.
func (d *planDrawer) momentInterval() time.Duration {
	return time.Duration((0.5 + d.Float64()) * float64(meanMomentInterval))
}

// duration draws a duration between two bounds.
func (d *planDrawer) duration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(d.Float64()*float64(longest-shortest))
}

// reserve draws a target among n that is free at a time, and reserves it until another. ok is false where none is free.
func (d *planDrawer) reserve(prefix string, n int, at, until time.Duration) (index int, name string, ok bool) {
	first := d.IntN(n)
	for k := range n {
		index = (first + k) % n
		name = fmt.Sprint(prefix, index+1)
		if d.busyUntil[name] <= at {
			d.busyUntil[name] = until
			return index, name, true
		}
	}
	return 0, "", false
}

func (d *planDrawer) reserveNode(at, until time.Duration) (index int, name string, ok bool) {
	return d.reserve(nodePrefix, d.options.Nodes, at, until)
}

func (d *planDrawer) reserveHost(at, until time.Duration) (name string, ok bool) {
	_, name, ok = d.reserve(hostPrefix, d.options.Hosts, at, until)
	return name, ok
}

// addFault adds a fault. A length of 0 is for ever; over is the time or delay of the fault's kind.
func (d *planDrawer) addFault(at, length time.Duration, what, on string, over time.Duration) {
	d.plan.Faults = append(d.plan.Faults, testcluster.FaultSpec{
		At:       tomlfile.Duration(at),
		Duration: tomlfile.Duration(length),
		Kind:     what,
		Target:   on,
		Period:   tomlfile.Duration(over),
	})
}
