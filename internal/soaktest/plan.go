// Package soaktest plays troubles drawn from a seed on a fleet of real processes, two or three at a time, and judges from the
// ledgers of clients, hosts and the list service, and from the nodes' own checks, whether the rules held. plan.go and
// judge.go are pure; run.go and client.go start processes and open sockets, through package testcluster.
package soaktest

import (
	"fmt"
	"math/rand/v2"
	"time"

	"onyxstream/internal/testcluster"
	"onyxstream/internal/tomlfile"
)

// Shape is what a plan is drawn for.
type Shape struct {
	Nodes, Hosts int
	Length       time.Duration // in which clients come
}

// Plan is what a seed plays.
type Plan struct {
	Seed    uint64
	Mode    string // "pass" or "proxy", as the settings call it
	Push    bool   // the list comes unasked
	Length  time.Duration
	Faults  []testcluster.FaultSpec
	Reloads []Reload
	Crowds  []Crowd
	Calls   []CallFault
}

// Reload is a configuration that is read again while a node runs.
type Reload struct {
	At     time.Duration
	Node   int
	Broken bool // the file is damaged, and put right a moment later
	Again  int  // how many more signals follow at once
}

// Crowd is a number of idle clients that hold a node's descriptors.
type Crowd struct {
	At, For time.Duration
	Node    int
	Clients int
}

const (
	// overlap is the time in which the troubles of one moment begin.
	overlap = 300 * time.Millisecond
	// between is the mean time between two moments.
	between = 1200 * time.Millisecond
	// holdUp is the longest stop of a process that nodes have to bear without a word.
	holdUp = 150 * time.Millisecond
	// crowdSize is how many idle clients fill a node.
	crowdSize = 200
)

// drawer draws a plan; it strikes nothing that another trouble still holds.
type drawer struct {
	*rand.Rand
	shape Shape
	plan  *Plan
	busy  map[string]time.Duration // until when a target is held
	added int                      // hosts beyond the first ones
}

// Draw draws the plan of a seed. The same seed and shape give the same plan.
func Draw(seed uint64, shape Shape) Plan {
	plan := Plan{Seed: seed, Length: shape.Length}
	d := &drawer{rand.New(rand.NewPCG(seed, 0x736f616b)), shape, &plan, map[string]time.Duration{}, 0}
	plan.Mode = []string{"pass", "proxy"}[d.IntN(2)]
	plan.Push = d.IntN(2) == 0
	moments := []func(at time.Duration){d.stop, d.stop, d.stopAmidHangs, d.kill, d.holdUp, d.reload, d.reload, d.discovery, d.discovery, d.listLink,
		d.hang, d.release, d.release, d.die, d.hostLink, d.hostLink, d.crowd,
		d.calls, d.calls, d.clock}
	for at := between / 2; at < shape.Length; at += time.Duration((0.5 + d.Float64()) * float64(between)) {
		for range 2 + d.IntN(2) {
			moments[d.IntN(len(moments))](at + d.span(0, overlap))
		}
	}
	return plan
}

func (d *drawer) span(from, to time.Duration) time.Duration {
	return from + time.Duration(d.Float64()*float64(to-from))
}

// free finds a target of a kind that nothing holds at a time, and holds it until then.
func (d *drawer) free(prefix string, n int, at, until time.Duration) (index int, name string, ok bool) {
	first := d.IntN(n)
	for k := range n {
		index = (first + k) % n
		name = fmt.Sprint(prefix, index+1)
		if d.busy[name] <= at {
			d.busy[name] = until
			return index, name, true
		}
	}
	return 0, "", false
}

func (d *drawer) fault(at, length time.Duration, what, on string, by float64, over time.Duration) {
	d.plan.Faults = append(d.plan.Faults, testcluster.FaultSpec{At: tomlfile.Duration(at), Duration: tomlfile.Duration(length), Kind: what, Target: on, Amount: by,
		Period: tomlfile.Duration(over)})
}

// restartTime is how long a node is held for that is told to end: until it has started again.
const restartTime = 8 * time.Second

func (d *drawer) stop(at time.Duration) {
	for range 1 + d.IntN(3) { // several at once, as in a rolling restart
		if _, name, ok := d.free("n", d.shape.Nodes, at, at+restartTime); ok {
			d.fault(at, d.span(time.Second, 3*time.Second), "stop", name, 0, 0)
		}
	}
}

// stopAmidHangs has a third of the hosts hang through the whole shutdown of several nodes.
func (d *drawer) stopAmidHangs(at time.Duration) {
	const shutdown = 4 * time.Second
	for range d.shape.Hosts / 3 {
		if _, name, ok := d.free("h", d.shape.Hosts, at, at+shutdown); ok {
			d.fault(at, shutdown, "hang", name, 0, 0)
		}
	}
	for range 3 {
		if _, name, ok := d.free("n", d.shape.Nodes, at, at+restartTime); ok {
			d.fault(at+d.span(100*time.Millisecond, time.Second), d.span(time.Second, 3*time.Second), "stop", name, 0, 0)
		}
	}
}

func (d *drawer) kill(at time.Duration) {
	if _, name, ok := d.free("n", d.shape.Nodes, at, at+restartTime); ok {
		d.fault(at, d.span(200*time.Millisecond, 2*time.Second), "kill", name, 0, 0)
	}
}

func (d *drawer) holdUp(at time.Duration) {
	for range 1 + d.IntN(4) {
		if _, name, ok := d.free("n", d.shape.Nodes, at, at+time.Second); ok {
			d.fault(at, d.span(20*time.Millisecond, holdUp), "stall", name, 0, 0)
		}
	}
}

func (d *drawer) reload(at time.Duration) {
	for range 1 + d.IntN(4) {
		if i, _, ok := d.free("n", d.shape.Nodes, at, at+time.Second); ok {
			d.plan.Reloads = append(d.plan.Reloads, Reload{At: at, Node: i, Broken: d.IntN(3) == 0, Again: d.IntN(4)})
		}
	}
}

func (d *drawer) discovery(at time.Duration) {
	length := d.span(300*time.Millisecond, 2500*time.Millisecond)
	if d.busy["discovery"] > at {
		return
	}
	d.busy["discovery"] = at + length
	switch d.IntN(4) {
	case 0:
		d.fault(at, length, "reset", "discovery", 0, 0)
	case 1:
		d.fault(at, length, "busy", "discovery", 0, 0)
	case 2:
		d.fault(at, length, "mute", "discovery", 0, 0)
	default:
		d.fault(at, length, "lag", "discovery", 0, d.span(100*time.Millisecond, 2*time.Second))
	}
}

func (d *drawer) listLink(at time.Duration) {
	length := d.span(300*time.Millisecond, 2500*time.Millisecond)
	if _, name, ok := d.free("link-n", d.shape.Nodes, at, at+length); ok {
		d.fault(at, length, []string{"silence", "reset", "stall", "refuse"}[d.IntN(4)], name, 0, 0)
	}
}

func (d *drawer) hang(at time.Duration) {
	length := d.span(500*time.Millisecond, 4*time.Second)
	if _, name, ok := d.free("h", d.shape.Hosts, at, at+length); ok {
		d.fault(at, length, "hang", name, 0, 0)
	}
}

// release replaces a host: one comes, another is told to drain for good.
func (d *drawer) release(at time.Duration) {
	if d.added >= d.shape.Hosts/2 {
		return
	}
	if _, name, ok := d.free("h", d.shape.Hosts, at, time.Hour); ok {
		d.added++
		d.fault(at, 0, "add", fmt.Sprint("h", d.shape.Hosts+d.added), 0, 0)
		d.fault(at, 0, "drain", name, 0, d.span(100*time.Millisecond, time.Second))
	}
}

func (d *drawer) die(at time.Duration) {
	length := d.span(500*time.Millisecond, 3*time.Second)
	if _, name, ok := d.free("h", d.shape.Hosts, at, at+length+time.Second); ok {
		d.fault(at, length, "die", name, 0, 0)
	}
}

func (d *drawer) hostLink(at time.Duration) {
	length := d.span(200*time.Millisecond, 2*time.Second)
	if _, name, ok := d.free("link-h", d.shape.Hosts, at, at+length); ok {
		switch d.IntN(5) {
		case 0:
			d.fault(at, 0, "reset", name, 0, 0)
		case 1:
			d.fault(at, length, "delay", name, 0, d.span(50*time.Millisecond, 700*time.Millisecond))
		case 2:
			d.fault(at, length, "refuse", name, 0, 0)
		case 3:
			d.fault(at, length, "silence", name, 0, 0)
		default:
			d.fault(at, length, "stall", name, 0, 0)
		}
	}
}

func (d *drawer) crowd(at time.Duration) {
	length := d.span(500*time.Millisecond, 3*time.Second)
	if i, _, ok := d.free("crowd-n", d.shape.Nodes, at, at+length); ok {
		d.plan.Crowds = append(d.plan.Crowds, Crowd{At: at, For: length, Node: i, Clients: crowdSize})
	}
}
