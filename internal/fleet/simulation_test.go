package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"onyxstream/internal/control"
)

// simulation runs an agent, instances and a network that loses, delays and duplicates messages, in virtual time.
type simulation struct {
	t        *rapid.T
	rng      *rand.Rand
	now      time.Duration
	events   []event
	reliable bool // inject no further faults

	// The agent and its network.
	fleet            *Fleet
	agentIncarnation int
	inventory        []Instance
	instances        map[string]*simulatedInstance
	inFlight         map[string]int // number of commands of the current agent, by instance
	wake             time.Duration

	// The data on the agent's disk.
	saved struct {
		operations map[string][]byte
		desired    map[Scope]DesiredState
		fence      uint64
	}

	maxDraining int // limit of instances that drain at the same time
}

type event struct {
	at  time.Duration
	run func()
}

// crashPoint is the point of a step at which the agent crashes.
type crashPoint int

const (
	noCrash crashPoint = iota
	crashBeforeWrite
	crashAfterWrite
)

var errLost = errors.New("no response")

// newSimulation returns a simulation with n instances in two zones. At most limit of them may drain at the same time.
func newSimulation(t *rapid.T, n, limit int, seed uint64) *simulation {
	sim := &simulation{
		t:           t,
		rng:         rand.New(rand.NewPCG(seed, 1)),
		instances:   map[string]*simulatedInstance{},
		maxDraining: limit,
	}
	sim.saved.operations = map[string][]byte{}
	sim.saved.desired = map[Scope]DesiredState{}
	for i := range n {
		entry := Instance{Name: fmt.Sprint("i", i), Addr: fmt.Sprint("unix:", i), Zone: fmt.Sprint("z", i%2)}
		sim.inventory = append(sim.inventory, entry)
		sim.instances[entry.Name] = &simulatedInstance{name: entry.Name, up: true}
		sim.instances[entry.Name].restart()
	}
	sim.startAgent()
	for _, entry := range sim.inventory {
		sim.poll(entry.Name)
	}
	return sim
}

// schedule schedules an event after a delay.
func (sim *simulation) schedule(delay time.Duration, run func()) {
	sim.events = append(sim.events, event{sim.now + delay, run})
}

// startAgent starts an agent from the data on disk, in place of the previous agent.
func (sim *simulation) startAgent() {
	sim.agentIncarnation++
	sim.inFlight = map[string]int{}
	cfg := Config{
		DownAfter:            3 * time.Second,
		DeliveryTimeout:      8 * time.Second,
		RetryInitialDelay:    100 * time.Millisecond,
		RetryMaxDelay:        2 * time.Second,
		RetryRate:            20,
		RetryBurst:           20,
		DefaultDeadline:      90 * time.Second,
		MaxEndedOperations:   50,
		MaxRunningOperations: 20,
	}
	sim.fleet = New(cfg, uint64(sim.agentIncarnation))
	sim.fleet.now = sim.now
	var operations []Operation
	for _, text := range sim.saved.operations {
		var o Operation
		if err := json.Unmarshal(text, &o); err != nil {
			sim.t.Fatal(err)
		}
		operations = append(operations, o)
	}
	desired := slices.Collect(maps.Values(sim.saved.desired))
	sim.fleet.Restore(operations, desired, sim.saved.fence)
	if err := sim.fleet.SetInventory(sim.now, sim.inventory); err != nil {
		sim.t.Fatal(err)
	}
}

// poll requests an instance's status and schedules the next request.
func (sim *simulation) poll(name string) {
	x := sim.instances[name]
	agentIncarnation, requested := sim.agentIncarnation, sim.now
	requestDelay, responseDelay := sim.delays()
	if !sim.isLost() && x.up && !x.partitioned {
		sim.schedule(requestDelay, func() {
			if !x.up {
				return
			}
			status := x.status(sim.now)
			sim.schedule(responseDelay, func() {
				if agentIncarnation == sim.agentIncarnation && !x.partitioned {
					sim.fleet.Observe(sim.now, requested, name, status, nil)
				}
			})
		})
	} else {
		sim.schedule(requestDelay+responseDelay, func() {
			if agentIncarnation == sim.agentIncarnation {
				sim.fleet.Observe(sim.now, requested, name, control.Status{}, errLost)
			}
		})
	}
	sim.schedule(300*time.Millisecond+time.Duration(sim.rng.Int64N(3e8)), func() { sim.poll(name) })
}

// delays returns the delays of a request and its response: mostly short, sometimes seconds.
func (sim *simulation) delays() (request, response time.Duration) {
	delay := func() time.Duration {
		if !sim.reliable && sim.rng.IntN(20) == 0 {
			return time.Duration(sim.rng.Int64N(4e9))
		}
		return time.Duration(sim.rng.Int64N(2e7))
	}
	return delay(), delay()
}

// isLost draws whether the network loses a message.
func (sim *simulation) isLost() bool { return !sim.reliable && sim.rng.IntN(10) == 0 }

// send sends a command to an instance. The network may lose, delay or duplicate the command, and lose or delay the
// response.
func (sim *simulation) send(delivery Delivery) {
	name, agentIncarnation := delivery.Instance.Name, sim.agentIncarnation
	x := sim.instances[name]
	sim.inFlight[name]++
	if sim.inFlight[name] > 1 {
		sim.t.Fatalf("%v: %s has more than one command in flight", sim.now, name)
	}
	requestDelay, responseDelay := sim.delays()
	var response control.Response
	err := errLost
	deliver := func() {
		if !x.up {
			return
		}
		decision, invalid := x.register.Accept(delivery.Command)
		if invalid != nil {
			sim.t.Fatalf("%v: %s rejects %+v as invalid: %v", sim.now, name, delivery.Command, invalid)
		}
		response, err = decision.Response, nil
		if decision.MustRun {
			x.apply(sim, delivery.Command)
		}
	}
	if !sim.isLost() && x.up && !x.partitioned {
		sim.schedule(requestDelay, deliver)
		if !sim.reliable && sim.rng.IntN(15) == 0 {
			sim.schedule(requestDelay+responseDelay/2, deliver)
		}
	}
	lost := sim.isLost()
	sim.schedule(requestDelay+responseDelay, func() {
		if agentIncarnation != sim.agentIncarnation {
			return
		}
		sim.inFlight[name]--
		if lost || x.partitioned {
			err = errLost
		}
		sim.fleet.RecordResponse(sim.now, delivery, response, err)
	})
}

// step does what the agent does after an event. The agent may crash before or after the write.
func (sim *simulation) step(crash crashPoint) {
	change, deliveries, wake := sim.fleet.Next(sim.now)
	sim.wake = wake
	if crash == crashBeforeWrite && !change.Empty() {
		sim.startAgent()
		return
	}
	sim.save(change)
	if crash == crashAfterWrite && !change.Empty() {
		sim.startAgent()
		return
	}
	for _, delivery := range deliveries {
		sim.send(delivery)
	}
}

// save writes a change to the simulated disk.
func (sim *simulation) save(change Change) {
	for _, o := range change.Operations {
		text, err := json.Marshal(o)
		if err != nil {
			sim.t.Fatal(err)
		}
		sim.saved.operations[o.ID] = text
	}
	for _, id := range change.ForgottenOperations {
		delete(sim.saved.operations, id)
	}
	for _, scope := range change.Removed {
		delete(sim.saved.desired, scope)
	}
	for _, state := range change.Desired {
		sim.saved.desired[state.Scope] = state
	}
	sim.saved.fence = max(sim.saved.fence, change.Fence)
}

// run processes events until the given time. crash returns the point at which the agent crashes in the next step.
func (sim *simulation) run(until time.Duration, crash func() crashPoint) {
	for sim.now < until {
		next := min(until, max(sim.wake, sim.now+time.Millisecond))
		for _, event := range sim.events {
			next = min(next, max(event.at, sim.now))
		}
		sim.now = next
		for _, event := range sim.takeDue() {
			event.run()
		}
		sim.step(crash())
	}
}

// takeDue removes the due events and returns them in the order in which they were scheduled.
func (sim *simulation) takeDue() (due []event) {
	var later []event
	for _, event := range sim.events {
		if event.at <= sim.now {
			due = append(due, event)
		} else {
			later = append(later, event)
		}
	}
	sim.events = later
	return due
}
