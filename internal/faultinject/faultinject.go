// Package faultinject runs a program whose system calls fail on command, and whose wall clock can be stepped, for tests.
//
// The program is started by a launcher, which is the test's own binary. The launcher installs a seccomp filter on
// itself, which needs no privileges, passes the filter's listener to the test, and executes the program. The kernel
// then notifies the test of each system call that the filter names, and the test lets it proceed or has it fail. It
// needs Linux 5.19 or newer.
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

// Call is a system call that can be made to fail.
type Call int

// The calls.
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

// Rule makes some of a program's calls fail.
type Rule struct {
	Call        Call
	Errors      []unix.Errno // one of them is drawn
	Probability float64      // that a call fails; 1 for all calls
	// OnSockets restricts the rule to sockets: Read and Write are also used on files, on pipes and by the runtime.
	OnSockets bool
	// MaxBytes makes reads and writes on sockets transfer at most this number of bytes, instead of failing; 0 for not.
	MaxBytes int
}

// onSocketsOnly reports whether the rule is restricted to sockets.
func (r *Rule) onSocketsOnly() bool { return r.OnSockets || r.MaxBytes > 0 }

// Options name what can be injected into a program. Calls that are not named run at full speed.
type Options struct {
	Calls      []Call
	StepsClock bool // the wall clock can be stepped
	Seed       uint64
	Rules      []Rule // in force from the first call on, see Process.SetRules
}

// Process is a program under fault injection. Its methods are safe for concurrent use.
type Process struct {
	listener int // descriptor of the filter's notifications
	served   sync.WaitGroup

	mu          sync.Mutex
	rng         *rand.Rand
	rules       []Rule
	clockOffset time.Duration
	injected    map[Call]int
}

const rngStream = 0x73797366

// Start starts a command under fault injection. It replaces the command's path and arguments by the launcher's: the
// TestMain of the test must call RunLauncher first.
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
	_ = launcherEnd.Close() // so that a launcher that fails ends the receive below
	listener, err := receiveListener(pair[0])
	if err != nil {
		_ = cmd.Process.Kill()
		return nil, fmt.Errorf("faultinject: the launcher set no filter: %w", err)
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

// SetRules replaces the rules. Without any, no call fails from now on.
func (p *Process) SetRules(rules ...Rule) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rules = rules
}

// StepClock sets the offset of the program's wall clock from the machine's.
func (p *Process) StepClock(offset time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clockOffset = offset
}

// Injected returns how many calls a rule has hit so far.
func (p *Process) Injected(call Call) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.injected[call]
}

// Wait waits until the program has ended and no notification is being served.
func (p *Process) Wait() { p.served.Wait() }
