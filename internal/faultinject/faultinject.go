// Package faultinject runs a program under test, makes its system calls fail, and steps its wall clock.
//
// A launcher, which is the test's own binary, starts the program. The launcher installs a seccomp filter on itself
// (unprivileged processes may do so), sends the filter's notification listener to the test, and then executes the
// program. The kernel notifies the test of each system call that the filter names, and the test lets the call proceed
// or makes it fail. The package requires Linux 5.19 or newer.
package faultinject

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Call is the number of a system call that can be made to fail.
type Call int

// The system calls that rules can name.
const (
	Accept    Call = unix.SYS_ACCEPT4
	Socket    Call = unix.SYS_SOCKET
	Connect   Call = unix.SYS_CONNECT
	Read      Call = unix.SYS_READ
	Write     Call = unix.SYS_WRITE
	EpollWait Call = unix.SYS_EPOLL_PWAIT
	OpenAt    Call = unix.SYS_OPENAT
	Fsync     Call = unix.SYS_FSYNC
	Rename    Call = unix.SYS_RENAMEAT
)

// Rule makes some of a program's system calls fail.
type Rule struct {
	Call        Call
	Errors      []unix.Errno // a failing call returns one of them, drawn at random
	Probability float64      // probability that a call fails; 1 fails every call
	// OnSockets restricts the rule to sockets. Read and Write also apply to files and pipes, and the Go runtime uses
	// them too.
	OnSockets bool
	// MaxBytes, if above 0, makes reads and writes on sockets transfer at most this many bytes instead of failing.
	MaxBytes int
}

// onSocketsOnly reports whether the rule is restricted to sockets.
func (r *Rule) onSocketsOnly() bool { return r.OnSockets || r.MaxBytes > 0 }

// Options selects the faults that can be injected into a program. System calls that are not in Calls run at full speed.
type Options struct {
	Calls      []Call // system calls that rules can make fail
	StepsClock bool   // enables Process.StepClock
	Seed       uint64 // seed of the random choices
	Rules      []Rule // in force from the first system call until Process.SetRules replaces them
}

// Process is a program under fault injection. Its methods are safe for concurrent use.
type Process struct {
	listener int            // descriptor on which the kernel sends the filter's notifications
	served   sync.WaitGroup // the goroutine that handles notifications

	mu          sync.Mutex
	rng         *rand.Rand
	rules       []Rule
	clockOffset time.Duration
	injected    map[Call]int // number of system calls that a rule was applied to
}

// rngStream is the second half of the random seed of a process; the first half is Options.Seed.
const rngStream = 0x73797366

// Start starts a command under fault injection. It replaces the command's path and arguments with those of the
// launcher, so the test's TestMain must call RunLauncher before anything else.
func Start(cmd *exec.Cmd, options Options) (*Process, error) {
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_SEQPACKET|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("faultinject: %w", err)
	}
	defer unix.Close(pair[0])
	launcherEnd := os.NewFile(uintptr(pair[1]), "faultinject")
	defer launcherEnd.Close()
	if err := prepare(cmd, launcherEnd, options); err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	_ = launcherEnd.Close() // lets the receive below return if the launcher fails
	listener, err := receiveListener(pair[0])
	if err != nil {
		_ = cmd.Process.Kill()
		return nil, fmt.Errorf("faultinject: receive seccomp listener from launcher: %w", err)
	}
	p := &Process{
		listener: listener,
		rng:      rand.New(rand.NewPCG(options.Seed, rngStream)),
		rules:    options.Rules,
		injected: map[Call]int{},
	}
	p.served.Go(p.serve)
	return p, nil
}

// SetRules replaces the rules. Without arguments it ends all faults.
func (p *Process) SetRules(rules ...Rule) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rules = rules
}

// StepClock sets the offset of the program's wall clock from the machine's. It has no effect without
// Options.StepsClock.
func (p *Process) StepClock(offset time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clockOffset = offset
}

// Injected returns how many system calls of one kind a rule has been applied to so far.
func (p *Process) Injected(call Call) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.injected[call]
}

// Wait waits until the program has exited and its last notification has been handled.
func (p *Process) Wait() { p.served.Wait() }
