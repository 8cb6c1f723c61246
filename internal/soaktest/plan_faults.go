package soaktest

import (
	"fmt"
	"time"
)

const (
	// restartReservation is how long a node is reserved for a stop or a kill. By the end of this time the node has
	// started again.
	restartReservation = 8 * time.Second
	// shutdownTime is the longest graceful shutdown of a node.
	shutdownTime = 4 * time.Second
	// maxStall is the longest stall of a process. Stalls up to this length must not violate a rule.
	maxStall = 150 * time.Millisecond
	// briefReservation is how long a node is reserved for a stall or a reload.
	briefReservation = time.Second
	// idleClientCount is the number of idle clients that exhaust a node's file descriptors.
	idleClientCount = 200
)

// drawRestarts stops one to three nodes at once and starts them again, as in a rolling restart.
func (g *planGenerator) drawRestarts(at time.Duration) {
	for range 1 + g.IntN(3) {
		if _, name, ok := g.reserveNode(at, at+restartReservation); ok {
			g.addFault(at, g.duration(time.Second, 3*time.Second), "stop", name, 0)
		}
	}
}

// drawRestartsWithHangs restarts three nodes while a third of the hosts hang throughout the nodes' shutdown.
func (g *planGenerator) drawRestartsWithHangs(at time.Duration) {
	for range g.options.Hosts / 3 {
		if name, ok := g.reserveHost(at, at+shutdownTime); ok {
			g.addFault(at, shutdownTime, "hang", name, 0)
		}
	}
	for range 3 {
		if _, name, ok := g.reserveNode(at, at+restartReservation); ok {
			stopAt := at + g.duration(100*time.Millisecond, time.Second)
			g.addFault(stopAt, g.duration(time.Second, 3*time.Second), "stop", name, 0)
		}
	}
}

func (g *planGenerator) drawKill(at time.Duration) {
	if _, name, ok := g.reserveNode(at, at+restartReservation); ok {
		g.addFault(at, g.duration(200*time.Millisecond, 2*time.Second), "kill", name, 0)
	}
}

// drawStalls stalls one to four nodes.
func (g *planGenerator) drawStalls(at time.Duration) {
	for range 1 + g.IntN(4) {
		if _, name, ok := g.reserveNode(at, at+briefReservation); ok {
			g.addFault(at, g.duration(20*time.Millisecond, maxStall), "stall", name, 0)
		}
	}
}

// drawReloads makes one to four nodes reload their configuration.
func (g *planGenerator) drawReloads(at time.Duration) {
	for range 1 + g.IntN(4) {
		if i, _, ok := g.reserveNode(at, at+briefReservation); ok {
			invalid := g.IntN(3) == 0
			g.plan.Reloads = append(g.plan.Reloads, Reload{At: at, Node: i, Invalid: invalid, Repeats: g.IntN(4)})
		}
	}
}

func (g *planGenerator) drawDiscoveryFault(at time.Duration) {
	length := g.duration(300*time.Millisecond, 2500*time.Millisecond)
	if g.reservedUntil[discoveryTarget] > at {
		return
	}
	g.reservedUntil[discoveryTarget] = at + length
	kind := []string{"reset", "busy", "mute", "lag"}[g.IntN(4)]
	period := time.Duration(0)
	if kind == "lag" {
		period = g.duration(100*time.Millisecond, 2*time.Second)
	}
	g.addFault(at, length, kind, discoveryTarget, period)
}

// drawDiscoveryLinkFault disrupts the link between a node and discovery.
func (g *planGenerator) drawDiscoveryLinkFault(at time.Duration) {
	length := g.duration(300*time.Millisecond, 2500*time.Millisecond)
	if _, name, ok := g.reserve(nodeLinkPrefix, g.options.Nodes, at, at+length); ok {
		g.addFault(at, length, []string{"silence", "reset", "stall", "refuse"}[g.IntN(4)], name, 0)
	}
}

func (g *planGenerator) drawHang(at time.Duration) {
	length := g.duration(500*time.Millisecond, 4*time.Second)
	if name, ok := g.reserveHost(at, at+length); ok {
		g.addFault(at, length, "hang", name, 0)
	}
}

// drawHostReplacement replaces a host: one host is added, and another drains and is not used again.
func (g *planGenerator) drawHostReplacement(at time.Duration) {
	const forever = time.Hour
	if g.addedHosts >= g.options.Hosts/2 {
		return
	}
	if name, ok := g.reserveHost(at, forever); ok {
		g.addedHosts++
		g.addFault(at, 0, "add", fmt.Sprint(hostPrefix, g.options.Hosts+g.addedHosts), 0)
		g.addFault(at, 0, "drain", name, g.duration(100*time.Millisecond, time.Second))
	}
}

func (g *planGenerator) drawHostCrash(at time.Duration) {
	length := g.duration(500*time.Millisecond, 3*time.Second)
	if name, ok := g.reserveHost(at, at+length+time.Second); ok {
		g.addFault(at, length, "die", name, 0)
	}
}

// drawHostLinkFault disrupts or delays the link to a host.
func (g *planGenerator) drawHostLinkFault(at time.Duration) {
	length := g.duration(200*time.Millisecond, 2*time.Second)
	_, name, ok := g.reserve(hostLinkPrefix, g.options.Hosts, at, at+length)
	if !ok {
		return
	}
	period := time.Duration(0)
	kind := []string{"reset", "delay", "refuse", "silence", "stall"}[g.IntN(5)]
	switch kind {
	case "reset":
		length = 0 // a reset happens once
	case "delay":
		period = g.duration(50*time.Millisecond, 700*time.Millisecond)
	}
	g.addFault(at, length, kind, name, period)
}

func (g *planGenerator) drawIdleClients(at time.Duration) {
	length := g.duration(500*time.Millisecond, 3*time.Second)
	if i, _, ok := g.reserve(idleClientsPrefix+nodePrefix, g.options.Nodes, at, at+length); ok {
		g.plan.IdleClients = append(g.plan.IdleClients, IdleClients{At: at, Duration: length, Node: i, Count: idleClientCount})
	}
}
