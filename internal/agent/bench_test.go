package agent

import (
	"fmt"
	"net/http"
	"runtime"
	"syscall"
	"testing"
	"time"

	"onyxstream/internal/control"
	"onyxstream/internal/fleet"
	"onyxstream/internal/tomlfile"
)

// BenchmarkFleet measures an agent with fake instances: the time to list them, a drain of a tenth of them with a tenth of
// those unreachable, and CPU and memory when idle. The instances are in the same process, so CPU and memory include them.
//
//	go test -run '^$' -bench Fleet -benchtime 1x ./internal/agent
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := newTestFleet(b, n)
			r.cfg.PollInterval = tomlfile.Duration(time.Second)
			c, _ := r.startAgent(b, nil)
			begin := time.Now()
			for !allUp(c) {
				if time.Since(begin) > time.Minute {
					b.Fatal("not all are up")
				}
				time.Sleep(5 * time.Millisecond)
			}
			b.ReportMetric(time.Since(begin).Seconds()*1000, "ms-to-know-all")
			begin = time.Now()
			if len(views(c)) != n {
				b.Fatal("a list lacks instances")
			}
			b.ReportMetric(time.Since(begin).Seconds()*1000, "ms-list")
			cpu, at := cpuTime(), time.Now()
			time.Sleep(3 * time.Second)
			b.ReportMetric((cpuTime()-cpu).Seconds()/time.Since(at).Seconds()*100, "%-cpu-idle")
			runtime.GC()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			b.ReportMetric(float64(m.HeapInuse+m.StackInuse)/(1<<20), "MB")
			tenth := r.instances[:n/10]
			for _, x := range tenth[:n/100] {
				x.stop()
			}
			var names []string
			for _, x := range tenth {
				names = append(names, x.name)
			}
			request := drainRequest("d", names)
			request.Options.WaveSize, request.Options.MaxUnavailable = max(n/10, 1), n
			var o fleet.Operation
			begin = time.Now()
			if err := c.Call(b.Context(), http.MethodPost, "/v1/operations", request, &o); err != nil {
				b.Fatal(err)
			}
			done := func() (k int) {
				for _, s := range operation(b, c, "d").Steps {
					if s.State == fleet.StepDone {
						k++
					}
				}
				return k
			}
			for done() < len(tenth)-n/100 {
				if time.Since(begin) > time.Minute {
					b.Fatal("the drain does not end")
				}
				time.Sleep(5 * time.Millisecond)
			}
			b.ReportMetric(time.Since(begin).Seconds()*1000, "ms-drain-of-the-reachable")
		})
	}
}

// cpuTime is the CPU time of this process.
func cpuTime() time.Duration {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// BenchmarkRecovery measures the start with a store of 10,000 operations, a tenth of which have not ended.
func BenchmarkRecovery(b *testing.B) {
	r := newTestFleet(b, 10)
	s, err := OpenStore(r.cfg.Store)
	if err != nil {
		b.Fatal(err)
	}
	for at := 0; at < 10_000; at += 1000 {
		var c fleet.Change
		for i := at; i < at+1000; i++ {
			o := fleet.Operation{Request: drainRequest(fmt.Sprint("o", i), r.names()), Fence: uint64(i + 1), State: fleet.Succeeded, Steps: map[string]*fleet.Step{}}
			if i%10 == 0 {
				o.State = fleet.Paused
			}
			o.Options.Deadline = time.Hour
			for _, name := range r.names() {
				o.Steps[name] = &fleet.Step{State: fleet.StepDone}
			}
			c.Operations = append(c.Operations, o)
		}
		if err := s.Save(c); err != nil {
			b.Fatal(err)
		}
	}
	if err := s.Save(fleet.Change{Fence: 10_000, Desired: []fleet.DesiredState{{Scope: fleet.Scope{Instance: "i0"}, Command: control.Command{Operation: "o1", Fence: 2, Kind: control.Drain}}}}); err != nil {
		b.Fatal(err)
	}
	if err := s.Close(); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		s, err := OpenStore(r.cfg.Store)
		if err != nil {
			b.Fatal(err)
		}
		ops, holds, fence, err := s.Load()
		if err != nil || len(ops) != 10_000 {
			b.Fatal(len(ops), err)
		}
		f := fleet.New(fleet.DefaultConfig(), 1)
		f.Restore(ops, holds, fence)
		f.Next(time.Second)
		_ = s.Close()
	}
}
