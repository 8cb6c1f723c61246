package soaktest

import (
	"os/exec"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"onyxstream/internal/ctxtime"
	"onyxstream/internal/faultinject"
)

// CallFault is a time in which system calls of a node fail, or its wall clock is another.
type CallFault struct {
	At, For time.Duration
	Node    string
	Rules   []faultinject.Rule
	Step    time.Duration // of the wall clock, which stays stepped until another one
}

// callFaults are what the system's documents allow a node's calls for a moment.
var callFaults = [][]faultinject.Rule{
	{{Call: faultinject.Accept, Probability: 0.5, Errors: []unix.Errno{unix.ECONNABORTED, unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.EPROTO}}},
	{{Call: faultinject.Socket, Probability: 0.5, Errors: []unix.Errno{unix.ENFILE, unix.EMFILE, unix.ENOBUFS}}},
	{{Call: faultinject.Connect, Probability: 0.5, Errors: []unix.Errno{unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.EAGAIN}}},
	{{Call: faultinject.Read, Probability: 0.1, Errors: []unix.Errno{unix.ENOMEM, unix.ENOBUFS, unix.EINTR}, OnSockets: true},
		{Call: faultinject.Write, Probability: 0.1, Errors: []unix.Errno{unix.ENOMEM, unix.ENOBUFS, unix.EINTR}, OnSockets: true}},
	{{Call: faultinject.Read, Probability: 0.7, MaxBytes: 5}, {Call: faultinject.Write, Probability: 0.7, MaxBytes: 5}},
}

// clockSteps are how far a node's wall clock may be from the machine's.
var clockSteps = []time.Duration{time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second, 0}

// trapped are the calls that nodes are started to be asked for.
var trapped = []faultinject.Call{faultinject.Accept, faultinject.Socket, faultinject.Connect, faultinject.Read, faultinject.Write}

// calls has system calls of one to three nodes fail for a while.
func (d *drawer) calls(at time.Duration) {
	for range 1 + d.IntN(3) {
		length := d.span(100*time.Millisecond, time.Second)
		if _, name, ok := d.free("calls-n", d.shape.Nodes, at, at+length); ok {
			d.plan.Calls = append(d.plan.Calls, CallFault{At: at, For: length, Node: name[len("calls-"):], Rules: callFaults[d.IntN(len(callFaults))]})
		}
	}
}

// clock steps the wall clocks of one to three nodes.
func (d *drawer) clock(at time.Duration) {
	for range 1 + d.IntN(3) {
		if _, name, ok := d.free("clock-n", d.shape.Nodes, at, at); ok {
			d.plan.Calls = append(d.plan.Calls, CallFault{At: at, Node: name[len("clock-"):], Step: clockSteps[d.IntN(len(clockSteps))]})
		}
	}
}

// faulty starts nodes so that their calls can be made to fail, and knows the process that each of them is now.
type faulty struct {
	seed uint64

	mu  sync.Mutex
	now map[string]*faultinject.Process
}

func (f *faulty) start(name string, cmd *exec.Cmd) error {
	p, err := faultinject.Start(cmd, faultinject.Options{Calls: trapped, StepsClock: true, Seed: f.seed})
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now[name] = p
	return nil
}

func (f *faulty) process(name string) *faultinject.Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now[name]
}

// injected counts the calls that have failed at the processes that run now.
func (f *faulty) injected() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.now {
		for _, c := range trapped {
			n += p.Injected(c)
		}
	}
	return n
}

// calls has system calls fail, as the plan says. A node that starts meanwhile starts without.
func (x *run) calls(f *faulty) {
	for _, c := range x.plan.Calls {
		x.wg.Go(func() {
			if !ctxtime.Sleep(x.ctx, c.At) {
				return
			}
			p := f.process(c.Node)
			if len(c.Rules) == 0 {
				p.StepClock(c.Step)
				return
			}
			p.Fail(c.Rules...)
			ctxtime.Sleep(x.ctx, c.For)
			p.Fail()
		})
	}
}
