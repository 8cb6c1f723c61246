package soaktest

import (
	"os/exec"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"onyxstream/internal/ctxtime"
	"onyxstream/internal/faultinject"
)

// SyscallFault makes system calls of a node fail for Duration, or steps its wall clock.
type SyscallFault struct {
	At, Duration time.Duration
	Node         string
	Rules        []faultinject.Rule // nil for a step of the clock
	ClockStep    time.Duration      // offset of the node's wall clock from the machine's, from At on
}

// syscallFaultRules are failures of system calls that can occur in production. A SyscallFault uses the rules of one
// element.
var syscallFaultRules = [][]faultinject.Rule{
	{{
		Call:        faultinject.Accept,
		Probability: 0.5,
		Errors:      []unix.Errno{unix.ECONNABORTED, unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.EPROTO},
	}},
	{{Call: faultinject.Socket, Probability: 0.5, Errors: []unix.Errno{unix.ENFILE, unix.EMFILE, unix.ENOBUFS}}},
	{{Call: faultinject.Connect, Probability: 0.5, Errors: []unix.Errno{unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.EAGAIN}}},
	{
		{Call: faultinject.Read, Probability: 0.1, Errors: socketErrors, OnSockets: true},
		{Call: faultinject.Write, Probability: 0.1, Errors: socketErrors, OnSockets: true},
	},
	{
		{Call: faultinject.Read, Probability: 0.7, MaxBytes: 5},
		{Call: faultinject.Write, Probability: 0.7, MaxBytes: 5},
	},
}

// socketErrors are failures of reads and writes on sockets.
var socketErrors = []unix.Errno{unix.ENOMEM, unix.ENOBUFS, unix.EINTR}

// clockSteps are the possible offsets of a node's wall clock from the machine's.
var clockSteps = []time.Duration{time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second, 0}

// tracedSyscalls are the system calls that fault injection intercepts in the processes of all nodes, so that rules can
// make them fail.
var tracedSyscalls = []faultinject.Call{
	faultinject.Accept, faultinject.Socket, faultinject.Connect, faultinject.Read, faultinject.Write,
}

// drawSyscallFaults makes system calls of one to three nodes fail for 100 ms to 1 s.
func (g *planGenerator) drawSyscallFaults(at time.Duration) {
	for range 1 + g.IntN(3) {
		length := g.duration(100*time.Millisecond, time.Second)
		_, name, ok := g.reserve(syscallFaultPrefix+nodePrefix, g.options.Nodes, at, at+length)
		if !ok {
			continue
		}
		g.plan.SyscallFaults = append(g.plan.SyscallFaults, SyscallFault{
			At:       at,
			Duration: length,
			Node:     strings.TrimPrefix(name, syscallFaultPrefix),
			Rules:    syscallFaultRules[g.IntN(len(syscallFaultRules))],
		})
	}
}

// drawClockSteps steps the wall clocks of one to three nodes.
func (g *planGenerator) drawClockSteps(at time.Duration) {
	for range 1 + g.IntN(3) {
		_, name, ok := g.reserve(clockPrefix+nodePrefix, g.options.Nodes, at, at)
		if !ok {
			continue
		}
		g.plan.SyscallFaults = append(g.plan.SyscallFaults, SyscallFault{
			At:        at,
			Node:      strings.TrimPrefix(name, clockPrefix),
			ClockStep: clockSteps[g.IntN(len(clockSteps))],
		})
	}
}

// processes starts nodes under fault injection, and holds each node's current process.
type processes struct {
	seed uint64

	mu     sync.Mutex
	byNode map[string]*faultinject.Process
}

func (p *processes) start(name string, cmd *exec.Cmd) error {
	process, err := faultinject.Start(cmd, faultinject.Options{Calls: tracedSyscalls, StepsClock: true, Seed: p.seed})
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byNode[name] = process
	return nil
}

func (p *processes) process(name string) *faultinject.Process {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byNode[name]
}

// failedSyscallCount returns the number of system calls that fault injection made fail in the current processes.
func (p *processes) failedSyscallCount() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, process := range p.byNode {
		for _, call := range tracedSyscalls {
			n += process.Injected(call)
		}
	}
	return n
}

// startSyscallFaults starts the plan's system call faults. A node that restarts during a fault loses the fault.
func (r *runner) startSyscallFaults(p *processes) {
	for _, fault := range r.plan.SyscallFaults {
		r.wg.Go(func() {
			if !ctxtime.Sleep(r.ctx, fault.At) {
				return
			}
			process := p.process(fault.Node)
			if len(fault.Rules) == 0 {
				process.StepClock(fault.ClockStep)
				return
			}
			process.SetRules(fault.Rules...)
			ctxtime.Sleep(r.ctx, fault.Duration)
			process.SetRules()
		})
	}
}
