package fleet

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"onyxstream/internal/control"
)

// A fixed seed makes runs alike; -rapid.seed sets another.
func init() { _ = flag.Set("rapid.seed", "1") }

// simulation has an agent, instances and a network that loses, delays and duplicates, in virtual time.
type simulation struct {
	t        *rapid.T
	rng      *rand.Rand
	now      time.Duration
	events   []event
	reliable bool // no further faults

	fleet       *Fleet
	incarnation int // of the agent
	inventory   []Instance
	instances   map[string]*simulatedInstance
	inFlight    map[string]int // commands of the current agent, by instance
	wake        time.Duration

	saved struct {
		ops     map[string][]byte
		desired map[Scope]DesiredState
		fence   uint64
	}
	maxDraining int
}

type event struct {
	at  time.Duration
	run func()
}

type simulatedInstance struct {
	name        string
	boot        int
	register    *control.Register
	draining    bool
	drainedAt   time.Duration // when its last connection closes
	up          bool
	partitioned bool // from the agent
	overrides   map[string]bool
}

// crashPoint says when the agent crashes in a step.
type crashPoint int

const (
	noCrash crashPoint = iota
	crashBeforeWrite
	crashAfterWrite
)

var errLost = errors.New("no answer")

func newSimulation(t *rapid.T, n, limit int, seed uint64) *simulation {
	sim := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 1)), instances: map[string]*simulatedInstance{}, maxDraining: limit}
	sim.saved.ops, sim.saved.desired = map[string][]byte{}, map[Scope]DesiredState{}
	for i := range n {
		x := Instance{Name: fmt.Sprint("i", i), Addr: fmt.Sprint("unix:", i), Zone: fmt.Sprint("z", i%2)}
		sim.inventory = append(sim.inventory, x)
		sim.instances[x.Name] = &simulatedInstance{name: x.Name, up: true}
		sim.instances[x.Name].restart()
	}
	sim.startAgent()
	for _, x := range sim.inventory {
		sim.poll(x.Name)
	}
	return sim
}

func (x *simulatedInstance) restart() {
	x.boot++
	x.register, x.draining, x.overrides = control.NewRegister(fmt.Sprint(x.name, "-", x.boot)), false, map[string]bool{}
}

func (sim *simulation) schedule(d time.Duration, f func()) {
	sim.events = append(sim.events, event{sim.now + d, f})
}

func (sim *simulation) startAgent() {
	sim.incarnation++
	sim.inFlight = map[string]int{}
	sim.fleet = New(Config{DownAfter: 3 * time.Second, DeliveryTimeout: 8 * time.Second, RetryInitialDelay: 100 * time.Millisecond, RetryMaxDelay: 2 * time.Second,
		RetryRate: 20, RetryBurst: 20, DefaultDeadline: 90 * time.Second, MaxEndedOperations: 50, MaxRunningOperations: 20}, uint64(sim.incarnation))
	sim.fleet.now = sim.now
	var ops []Operation
	for _, text := range sim.saved.ops {
		var o Operation
		if err := json.Unmarshal(text, &o); err != nil {
			sim.t.Fatal(err)
		}
		ops = append(ops, o)
	}
	var holds []DesiredState
	for _, h := range sim.saved.desired {
		holds = append(holds, h)
	}
	sim.fleet.Restore(ops, holds, sim.saved.fence)
	if err := sim.fleet.SetInventory(sim.now, sim.inventory); err != nil {
		sim.t.Fatal(err)
	}
}

// poll requests an instance's status, and schedules the next request.
func (sim *simulation) poll(name string) {
	x, incarnation, requested := sim.instances[name], sim.incarnation, sim.now
	requestDelay, answerDelay := sim.delays()
	if !sim.isLost() && x.up && !x.partitioned {
		sim.schedule(requestDelay, func() {
			if !x.up {
				return
			}
			st := x.status(sim.now)
			sim.schedule(answerDelay, func() {
				if incarnation == sim.incarnation && !x.partitioned {
					sim.fleet.Observe(sim.now, requested, name, st, nil)
				}
			})
		})
	} else {
		sim.schedule(requestDelay+answerDelay, func() {
			if incarnation == sim.incarnation {
				sim.fleet.Observe(sim.now, requested, name, control.Status{}, errLost)
			}
		})
	}
	sim.schedule(300*time.Millisecond+time.Duration(sim.rng.Int64N(3e8)), func() { sim.poll(name) })
}

func (x *simulatedInstance) status(now time.Duration) control.Status {
	s := control.Status{Name: x.name, Boot: fmt.Sprint(x.name, "-", x.boot), State: control.Serving}
	s.Operation, s.Fence = x.register.Current()
	if x.draining {
		s.State = control.Draining
		if now >= x.drainedAt {
			s.State = control.Drained
		}
	}
	return s
}

// delays returns the delays of a request and its answer: mostly short, at times seconds.
func (sim *simulation) delays() (request, answer time.Duration) {
	one := func() time.Duration {
		if !sim.reliable && sim.rng.IntN(20) == 0 {
			return time.Duration(sim.rng.Int64N(4e9))
		}
		return time.Duration(sim.rng.Int64N(2e7))
	}
	return one(), one()
}

func (sim *simulation) isLost() bool { return !sim.reliable && sim.rng.IntN(10) == 0 }

// send delivers a command to an instance: it may be lost, late or duplicated, and so may its answer.
func (sim *simulation) send(delivery Delivery) {
	name, incarnation := delivery.Instance.Name, sim.incarnation
	x := sim.instances[name]
	if sim.inFlight[name]++; sim.inFlight[name] > 1 {
		sim.t.Fatalf("%v: %s has two commands in flight", sim.now, name)
	}
	requestDelay, answerDelay := sim.delays()
	var answer control.Answer
	err := errLost
	deliver := func() {
		if !x.up {
			return
		}
		decision, e := x.register.Accept(delivery.Command)
		if e != nil {
			sim.t.Fatalf("%v: %s rejects %+v as invalid: %v", sim.now, name, delivery.Command, e)
		}
		answer, err = decision.Answer, nil
		if decision.MustRun {
			x.apply(sim, delivery.Command)
		}
	}
	if !sim.isLost() && x.up && !x.partitioned {
		sim.schedule(requestDelay, deliver)
		if !sim.reliable && sim.rng.IntN(15) == 0 {
			sim.schedule(requestDelay+answerDelay/2, deliver)
		}
	}
	lost := sim.isLost()
	sim.schedule(requestDelay+answerDelay, func() {
		if incarnation != sim.incarnation {
			return
		}
		sim.inFlight[name]--
		if lost || x.partitioned {
			err = errLost
		}
		sim.fleet.RecordAnswer(sim.now, delivery, answer, err)
	})
}

func (x *simulatedInstance) apply(sim *simulation, c control.Command) {
	switch c.Kind {
	case control.Drain:
		x.draining, x.drainedAt = true, sim.now+time.Duration(sim.rng.Int64N(2e9))
	case control.Resume:
		x.draining = false
	case control.HostDrain, control.HostResume:
		x.overrides[c.Host] = c.Kind == control.HostDrain
	}
	draining := 0
	for _, y := range sim.instances {
		if y.draining {
			draining++
		}
	}
	if draining > sim.maxDraining {
		sim.t.Fatalf("%v: %d instances drain, the limit is %d", sim.now, draining, sim.maxDraining)
	}
}

// step does what the agent does after an event, with a crash before or after the write, if any.
func (sim *simulation) step(crash crashPoint) {
	change, deliveries, wake := sim.fleet.Next(sim.now)
	sim.wake = wake
	if crash == crashBeforeWrite && !change.Empty() {
		sim.startAgent()
		return
	}
	for _, o := range change.Operations {
		text, err := json.Marshal(o)
		if err != nil {
			sim.t.Fatal(err)
		}
		sim.saved.ops[o.ID] = text
	}
	for _, id := range change.ForgottenOperations {
		delete(sim.saved.ops, id)
	}
	for _, k := range change.Removed {
		delete(sim.saved.desired, k)
	}
	for _, h := range change.Desired {
		sim.saved.desired[h.Scope] = h
	}
	sim.saved.fence = max(sim.saved.fence, change.Fence)
	if crash == crashAfterWrite && !change.Empty() {
		sim.startAgent()
		return
	}
	for _, delivery := range deliveries {
		sim.send(delivery)
	}
}

// run processes events until a time.
func (sim *simulation) run(until time.Duration, crash func() crashPoint) {
	for sim.now < until {
		next := min(until, max(sim.wake, sim.now+time.Millisecond))
		for _, h := range sim.events {
			next = min(next, max(h.at, sim.now))
		}
		sim.now = next
		due := slices.Clone(sim.events)
		sim.events = sim.events[:0]
		var now []event
		for _, h := range due {
			if h.at <= sim.now {
				now = append(now, h)
			} else {
				sim.events = append(sim.events, h)
			}
		}
		for _, h := range now {
			h.run()
		}
		sim.step(crash())
	}
}

// With lost, late and duplicated messages, and restarts of instances and of the agent at any write: the limit is never
// exceeded, no instance has two commands in flight, every operation ends, and instances reach the desired state.
func TestOperations_RandomFaults_ReachDesiredState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, limit := rapid.IntRange(2, 8).Draw(t, "instances"), 0
		limit = rapid.IntRange(1, n).Draw(t, "limit")
		sim := newSimulation(t, n, limit, rapid.Uint64().Draw(t, "seed"))
		sim.run(2*time.Second, func() crashPoint { return noCrash })
		ids := []string{}
		for i := range rapid.IntRange(1, 8).Draw(t, "orders") {
			kind := rapid.SampledFrom([]control.CommandKind{control.Drain, control.Drain, control.Resume, control.HostDrain, control.HostResume}).Draw(t, "kind")
			r := Request{ID: fmt.Sprint("o", i), Kind: kind, Options: Options{WaveSize: rapid.IntRange(1, 4).Draw(t, "at once"), MaxUnavailable: limit,
				MaxUnavailablePerZone: n, AllowEmptyZone: true, DrainTimeout: time.Second, StepTimeout: 15 * time.Second,
				OnFailure: rapid.SampledFrom([]FailurePolicy{PauseOnFailure, AbortOnFailure, ContinueOnFailure}).Draw(t, "on failure")}}
			if kind == control.HostDrain || kind == control.HostResume {
				r.Host = "h"
			}
			for _, j := range rapid.SliceOfNDistinct(rapid.IntRange(0, n-1), 1, n, rapid.ID[int]).Draw(t, "targets") {
				r.Targets = append(r.Targets, fmt.Sprint("i", j))
			}
			var limited *LimitError
			switch op, err := sim.fleet.Submit(sim.now, r); {
			case errors.As(err, &limited):
			case err != nil:
				t.Fatal(err)
			default:
				ids = append(ids, op.ID)
				if repeated, err := sim.fleet.Submit(sim.now, r); err != nil || repeated.Fence != op.Fence {
					t.Fatalf("the same request repeated is %+v, error %v", repeated, err)
				}
			}
			sim.step(noCrash) // the operator is answered once the operation is on disk
			crash := crashPoint(rapid.IntRange(0, 2).Draw(t, "crash"))
			fault := rapid.IntRange(0, 6).Draw(t, "fault")
			x := sim.instances[fmt.Sprint("i", rapid.IntRange(0, n-1).Draw(t, "instance"))]
			switch fault {
			case 0:
				x.restart()
			case 1:
				x.partitioned = true
				sim.schedule(time.Duration(sim.rng.Int64N(2e10)), func() { x.partitioned = false })
			case 2:
				x.up = false
				sim.schedule(time.Duration(sim.rng.Int64N(2e10)), func() { x.up = true; x.restart() })
			case 3:
				if len(ids) > 0 {
					_, _ = sim.fleet.Abort(sim.now, ids[sim.rng.IntN(len(ids))], "by the test")
				}
			case 4:
				if len(ids) > 0 {
					_, _ = sim.fleet.Continue(sim.now, ids[sim.rng.IntN(len(ids))])
				}
			}
			sim.run(sim.now+time.Duration(rapid.IntRange(0, 10_000).Draw(t, "pause"))*time.Millisecond, func() crashPoint {
				if sim.rng.IntN(10) == 0 {
					return crash
				}
				return noCrash
			})
		}
		sim.reliable = true
		for _, x := range sim.instances {
			x.partitioned = false
		}
		sim.run(sim.now+150*time.Second, func() crashPoint { return noCrash })
		for _, id := range ids {
			if o, err := sim.fleet.Operation(id); err != nil || !o.State.Ended() {
				t.Fatalf("operation %s is %s (%s) in the end, error %v", id, o.State, o.Reason, err)
			}
		}
		for k, h := range sim.fleet.desired {
			x := sim.instances[k.Instance]
			if h.Command.Kind == control.Drain && !x.draining {
				t.Fatalf("%s should be drained by %s and serves", k.Instance, h.Command.Operation)
			}
			if h.Command.Kind == control.HostDrain && !x.overrides["h"] {
				t.Fatalf("%s should override h by %s and does not", k.Instance, h.Command.Operation)
			}
		}
	})
}
