package fleet

import (
	"errors"
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"onyxstream/internal/control"
)

// A fixed seed makes test runs reproducible; the flag -rapid.seed sets another.
func init() { _ = flag.Set("rapid.seed", "1") }

const overriddenHost = "h"

// What injectFault may draw: the faults of an instance, and an operator's requests. Any other number stands for nothing.
const (
	faultRestart = iota
	faultPartition
	faultCrash
	faultAbort
	faultContinue
)

// maxFault is the largest number that injectFault draws. It is above faultContinue, so that some draws do nothing.
const maxFault = 6

func noCrashes() crashPoint { return noCrash }

// Even if messages are lost, delayed and duplicated, instances restart, and the agent crashes at any write: the limit of
// unavailable instances is never exceeded, no instance has two commands in flight, every operation ends, and the
// instances reach their desired state.
func TestOperations_RandomFaults_ReachDesiredState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 8).Draw(t, "instances")
		limit := rapid.IntRange(1, size).Draw(t, "limit")
		sim := newSimulation(t, size, limit, rapid.Uint64().Draw(t, "seed"))
		sim.run(2*time.Second, noCrashes)
		ids := []string{}
		for i := range rapid.IntRange(1, 8).Draw(t, "operations") {
			request := drawRequest(t, fmt.Sprint("o", i), size, limit)
			if sim.submitTwice(request) {
				ids = append(ids, request.ID)
			}
			sim.step(noCrash) // the operator gets the response after the operation is on disk
			crash := crashPoint(rapid.IntRange(0, 2).Draw(t, "crash"))
			sim.injectFault(ids, size)
			pause := time.Duration(rapid.IntRange(0, 10_000).Draw(t, "pause")) * time.Millisecond
			sim.run(sim.now+pause, func() crashPoint {
				if sim.rng.IntN(10) == 0 {
					return crash
				}
				return noCrash
			})
		}
		sim.reliable = true
		for _, instance := range sim.instances {
			instance.partitioned = false
		}
		sim.run(sim.now+150*time.Second, noCrashes)
		sim.checkEnded(ids)
		sim.checkDesired()
	})
}

// drawRequest draws a request whose targets are some of the instances.
func drawRequest(t *rapid.T, id string, size, limit int) Request {
	kinds := []control.CommandKind{control.Drain, control.Drain, control.Resume, control.HostDrain, control.HostResume}
	policies := []FailurePolicy{PauseOnFailure, AbortOnFailure, ContinueOnFailure}
	request := Request{
		ID:   id,
		Kind: rapid.SampledFrom(kinds).Draw(t, "kind"),
		Options: Options{
			WaveSize:              rapid.IntRange(1, 4).Draw(t, "wave size"),
			MaxUnavailable:        limit,
			MaxUnavailablePerZone: size,
			AllowEmptyZone:        true,
			DrainTimeout:          time.Second,
			StepTimeout:           15 * time.Second,
			OnFailure:             rapid.SampledFrom(policies).Draw(t, "on failure"),
		},
	}
	if request.Kind == control.HostDrain || request.Kind == control.HostResume {
		request.Host = overriddenHost
	}
	for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, size-1), 1, size, rapid.ID[int]).Draw(t, "targets") {
		request.Targets = append(request.Targets, fmt.Sprint("i", i))
	}
	return request
}

// submitTwice submits a request and reports whether it was accepted. It submits an accepted request again, which must
// return the same operation.
func (sim *simulation) submitTwice(request Request) bool {
	operation, err := sim.fleet.Submit(sim.now, request)
	var limit *LimitError
	if errors.As(err, &limit) {
		return false
	}
	if err != nil {
		sim.t.Fatal(err)
	}
	repeated, err := sim.fleet.Submit(sim.now, request)
	if err != nil || repeated.Fence != operation.Fence {
		sim.t.Fatalf("repeated request: %+v, error %v, want the same operation", repeated, err)
	}
	return true
}

// injectFault draws a fault of an instance, or an operator's request to abort or continue an operation.
func (sim *simulation) injectFault(ids []string, size int) {
	fault := rapid.IntRange(0, maxFault).Draw(sim.t, "fault")
	instance := sim.instances[fmt.Sprint("i", rapid.IntRange(0, size-1).Draw(sim.t, "instance"))]
	switch fault {
	case faultRestart:
		instance.restart()
	case faultPartition:
		instance.partitioned = true
		sim.schedule(time.Duration(sim.rng.Int64N(2e10)), func() { instance.partitioned = false })
	case faultCrash:
		instance.up = false
		sim.schedule(time.Duration(sim.rng.Int64N(2e10)), func() {
			instance.up = true
			instance.restart()
		})
	case faultAbort:
		if len(ids) > 0 {
			_, _ = sim.fleet.Abort(sim.now, ids[sim.rng.IntN(len(ids))], "by the test")
		}
	case faultContinue:
		if len(ids) > 0 {
			_, _ = sim.fleet.Continue(sim.now, ids[sim.rng.IntN(len(ids))])
		}
	}
}

// checkEnded fails the test if one of the operations has not ended.
func (sim *simulation) checkEnded(ids []string) {
	for _, id := range ids {
		o, err := sim.fleet.Operation(id)
		if err != nil || !o.State.Ended() {
			sim.t.Fatalf("operation %s has not ended: state %s (%s), error %v", id, o.State, o.Reason, err)
		}
	}
}

// checkDesired fails the test if an instance does not have its desired state.
func (sim *simulation) checkDesired() {
	for scope, state := range sim.fleet.desired {
		instance := sim.instances[scope.Instance]
		if state.Command.Kind == control.Drain && !instance.draining {
			sim.t.Fatalf("%s is not draining, but operation %s requires it", scope.Instance, state.Command.Operation)
		}
		if state.Command.Kind == control.HostDrain && !instance.overrides[overriddenHost] {
			sim.t.Fatalf("%s has no host override, but operation %s requires one", scope.Instance, state.Command.Operation)
		}
	}
}
