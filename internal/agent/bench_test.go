package agent

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"onyxstream/internal/control"
	"onyxstream/internal/fleet"
	"onyxstream/internal/tomlfile"
)

// BenchmarkFleet measures an agent with fake instances: the time to list them, the time to drain a tenth of them while a
// tenth of the drained instances is unreachable, and the CPU and memory use when idle. The fake instances run in the
// same process, so CPU and memory include them.
//
//	go test -run '^$' -bench Fleet -benchtime 1x ./internal/agent
func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			r := newTestFleet(b, size)
			r.cfg.PollInterval = tomlfile.Duration(time.Second)
			c, _ := r.startAgent(b, nil)
			start := time.Now()
			waitFor(b, func() bool { return allUp(c) })
			reportMillis(b, start, "ms-to-know-all")
			start = time.Now()
			if len(views(c)) != size {
				b.Fatal("the list of instances is incomplete")
			}
			reportMillis(b, start, "ms-list")
			reportIdle(b)
			drainTenth(b, r, c)
		})
	}
}

// reportIdle reports the CPU and memory use of the idle process.
func reportIdle(b *testing.B) {
	b.Helper()
	cpu, start := cpuTime(), time.Now()
	time.Sleep(3 * time.Second)
	b.ReportMetric((cpuTime()-cpu).Seconds()/time.Since(start).Seconds()*100, "%-cpu-idle")
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	b.ReportMetric(float64(memory.HeapInuse+memory.StackInuse)/(1<<20), "MB")
}

// drainTenth stops a tenth of the targets, drains a tenth of the instances, and reports the time until the reachable
// targets are drained.
func drainTenth(b *testing.B, r *testFleet, c *control.Client) {
	b.Helper()
	size := len(r.instances)
	targets := r.instances[:size/10]
	unreachable := targets[:size/100]
	for _, x := range unreachable {
		x.stop()
	}
	var names []string
	for _, x := range targets {
		names = append(names, x.name)
	}
	request := drainRequest("d", names)
	request.Options.WaveSize = max(len(names), 1)
	request.Options.MaxUnavailable = size
	start := time.Now()
	if _, err := submit(b, c, request); err != nil {
		b.Fatal(err)
	}
	waitFor(b, func() bool {
		o := operation(b, c, "d")
		return o.CountSteps()[fleet.StepDone] >= len(targets)-len(unreachable)
	})
	reportMillis(b, start, "ms-drain-of-the-reachable")
}

func waitFor(b *testing.B, condition func() bool) {
	b.Helper()
	for start := time.Now(); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Since(start) > time.Minute {
			b.Fatal("condition not met within a minute")
		}
	}
}

func reportMillis(b *testing.B, start time.Time, unit string) {
	b.Helper()
	b.ReportMetric(time.Since(start).Seconds()*1000, unit)
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

const (
	storedOperations = 10_000
	savedAtOnce      = 1000
)

// BenchmarkRecovery measures the start of an agent with a store of 10,000 operations, a tenth of which have not ended.
func BenchmarkRecovery(b *testing.B) {
	r := newTestFleet(b, 10)
	fillStore(b, r)
	for b.Loop() {
		store, err := OpenStore(r.cfg.Store)
		if err != nil {
			b.Fatal(err)
		}
		operations, desired, fence, err := store.Load()
		if err != nil || len(operations) != storedOperations {
			b.Fatal(len(operations), err)
		}
		f := fleet.New(fleet.DefaultConfig(), 1)
		f.Restore(operations, desired, fence)
		f.Next(time.Second)
		_ = store.Close()
	}
}

// fillStore saves storedOperations operations and one desired state.
func fillStore(b *testing.B, r *testFleet) {
	b.Helper()
	store, err := OpenStore(r.cfg.Store)
	if err != nil {
		b.Fatal(err)
	}
	for first := 0; first < storedOperations; first += savedAtOnce {
		var change fleet.Change
		for i := first; i < first+savedAtOnce; i++ {
			change.Operations = append(change.Operations, storedOperation(i, r.names()))
		}
		if err := store.Save(change); err != nil {
			b.Fatal(err)
		}
	}
	drain := control.Command{Operation: "o1", Fence: 2, Kind: control.Drain}
	desired := fleet.DesiredState{Scope: fleet.Scope{Instance: "i0"}, Command: drain}
	if err := store.Save(fleet.Change{Fence: storedOperations, Desired: []fleet.DesiredState{desired}}); err != nil {
		b.Fatal(err)
	}
	if err := store.Close(); err != nil {
		b.Fatal(err)
	}
}

// storedOperation returns the i-th operation. Every tenth is paused; the others have ended.
func storedOperation(i int, names []string) fleet.Operation {
	o := fleet.Operation{
		Request: drainRequest(fmt.Sprint("o", i), names),
		Fence:   uint64(i + 1),
		State:   fleet.Succeeded,
		Steps:   map[string]*fleet.Step{},
	}
	if i%10 == 0 {
		o.State = fleet.Paused
	}
	o.Options.Deadline = time.Hour
	for _, name := range names {
		o.Steps[name] = &fleet.Step{State: fleet.StepDone}
	}
	return o
}
