package soaktest

import (
	"fmt"
	"time"
)

const (
	// restartReservation is how long a node that is stopped is reserved: until it has started again.
	restartReservation = 8 * time.Second
	// shutdownTime is the longest graceful shutdown of a node.
	shutdownTime = 4 * time.Second
	// maxStall is the longest stall of a process that must not have an effect.
	maxStall = 150 * time.Millisecond
	// briefReservation is how long a node is reserved for a stall or a reload.
	briefReservation = time.Second
	// idleClientCount is how many idle clients exhaust a node's descriptors.
	idleClientCount = 200
)

// drawRestarts stops one to three nodes at once, as in a rolling restart.
func (d *planDrawer) drawRestarts(at time.Duration) {
	for range 1 + d.IntN(3) {
		if _, name, ok := d.reserveNode(at, at+restartReservation); ok {
			d.addFault(at, d.duration(time.Second, 3*time.Second), "stop", name, 0)
		}
	}
}

// drawRestartsWithHangs stops three nodes while a third of the hosts hang throughout their shutdown.
func (d *planDrawer) drawRestartsWithHangs(at time.Duration) {
	for range d.options.Hosts / 3 {
		if name, ok := d.reserveHost(at, at+shutdownTime); ok {
			d.addFault(at, shutdownTime, "hang", name, 0)
		}
	}
	for range 3 {
		if _, name, ok := d.reserveNode(at, at+restartReservation); ok {
			stopAt := at + d.duration(100*time.Millisecond, time.Second)
			d.addFault(stopAt, d.duration(time.Second, 3*time.Second), "stop", name, 0)
		}
	}
}

func (d *planDrawer) drawKill(at time.Duration) {
	if _, name, ok := d.reserveNode(at, at+restartReservation); ok {
		d.addFault(at, d.duration(200*time.Millisecond, 2*time.Second), "kill", name, 0)
	}
}

// drawStalls stalls one to four nodes.
func (d *planDrawer) drawStalls(at time.Duration) {
	for range 1 + d.IntN(4) {
		if _, name, ok := d.reserveNode(at, at+briefReservation); ok {
			d.addFault(at, d.duration(20*time.Millisecond, maxStall), "stall", name, 0)
		}
	}
}

// drawReloads makes one to four nodes reload their configuration.
func (d *planDrawer) drawReloads(at time.Duration) {
	for range 1 + d.IntN(4) {
		if i, _, ok := d.reserveNode(at, at+briefReservation); ok {
			invalid := d.IntN(3) == 0
			d.plan.Reloads = append(d.plan.Reloads, Reload{At: at, Node: i, Invalid: invalid, Repeats: d.IntN(4)})
		}
	}
}

func (d *planDrawer) drawDiscoveryFault(at time.Duration) {
	length := d.duration(300*time.Millisecond, 2500*time.Millisecond)
	if d.busyUntil[discoveryTarget] > at {
		return
	}
	d.busyUntil[discoveryTarget] = at + length
	what := []string{"reset", "busy", "mute", "lag"}[d.IntN(4)]
	over := time.Duration(0)
	if what == "lag" {
		over = d.duration(100*time.Millisecond, 2*time.Second)
	}
	d.addFault(at, length, what, discoveryTarget, over)
}

// drawDiscoveryLinkFault breaks the link between a node and discovery.
func (d *planDrawer) drawDiscoveryLinkFault(at time.Duration) {
	length := d.duration(300*time.Millisecond, 2500*time.Millisecond)
	if _, name, ok := d.reserve(nodeLinkPrefix, d.options.Nodes, at, at+length); ok {
		d.addFault(at, length, []string{"silence", "reset", "stall", "refuse"}[d.IntN(4)], name, 0)
	}
}

func (d *planDrawer) drawHang(at time.Duration) {
	length := d.duration(500*time.Millisecond, 4*time.Second)
	if name, ok := d.reserveHost(at, at+length); ok {
		d.addFault(at, length, "hang", name, 0)
	}
}

// drawRelease replaces a host: one is added, another drains for good.
func (d *planDrawer) drawRelease(at time.Duration) {
	const forever = time.Hour
	if d.addedHosts >= d.options.Hosts/2 {
		return
	}
	if name, ok := d.reserveHost(at, forever); ok {
		d.addedHosts++
		d.addFault(at, 0, "add", fmt.Sprint(hostPrefix, d.options.Hosts+d.addedHosts), 0)
		d.addFault(at, 0, "drain", name, d.duration(100*time.Millisecond, time.Second))
	}
}

func (d *planDrawer) drawHostCrash(at time.Duration) {
	length := d.duration(500*time.Millisecond, 3*time.Second)
	if name, ok := d.reserveHost(at, at+length+time.Second); ok {
		d.addFault(at, length, "die", name, 0)
	}
}

// drawHostLinkFault breaks or delays the links to a host.
func (d *planDrawer) drawHostLinkFault(at time.Duration) {
	length := d.duration(200*time.Millisecond, 2*time.Second)
	_, name, ok := d.reserve(hostLinkPrefix, d.options.Hosts, at, at+length)
	if !ok {
		return
	}
	over := time.Duration(0)
	what := []string{"reset", "delay", "refuse", "silence", "stall"}[d.IntN(5)]
	switch what {
	case "reset":
		length = 0 // happens once
	case "delay":
		over = d.duration(50*time.Millisecond, 700*time.Millisecond)
	}
	d.addFault(at, length, what, name, over)
}

func (d *planDrawer) drawIdleClients(at time.Duration) {
	length := d.duration(500*time.Millisecond, 3*time.Second)
	if i, _, ok := d.reserve(idleClientsPrefix+nodePrefix, d.options.Nodes, at, at+length); ok {
		d.plan.IdleClients = append(d.plan.IdleClients, IdleClients{At: at, Duration: length, Node: i, Count: idleClientCount})
	}
}
