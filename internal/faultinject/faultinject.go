// Package faultinject runs a real program whose system calls fail on command, and whose wall clock can be stepped. It is for
// tests. The program is started by a launcher, which is the test's own binary: that sets a seccomp filter on itself, without
// special rights, hands the filter's listener to the test, and becomes the program. The kernel asks the test about each
// call that the filter names; the test lets it go on or has it fail. It needs Linux 5.19 or newer.
package faultinject

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Call is a system call that can be made to fail.
type Call int

// The calls.
const (
	Accept  Call = unix.SYS_ACCEPT4
	Socket  Call = unix.SYS_SOCKET
	Connect Call = unix.SYS_CONNECT
	Read    Call = unix.SYS_READ
	Write   Call = unix.SYS_WRITE
	Wait    Call = unix.SYS_EPOLL_PWAIT
	OpenAt  Call = unix.SYS_OPENAT
	Fsync   Call = unix.SYS_FSYNC
	Rename  Call = unix.SYS_RENAMEAT
)

// Rule has a share of a program's calls fail.
type Rule struct {
	Call        Call
	Errors      []unix.Errno // one of them is drawn
	Probability float64      // of the calls, 1 for all
	// OnSockets leaves calls on anything else alone: Read and Write are of files, pipes and the runtime's own too.
	OnSockets bool
	// MaxBytes has reads and writes on sockets carry so many bytes at most, in place of failing; 0 for not.
	MaxBytes int
}

// Options say what a program's process can be made to meet. What is not named here costs it nothing.
type Options struct {
	Calls      []Call
	StepsClock bool // the wall clock can be stepped
	Seed       uint64
	Rules      []Rule // that hold from the first call on, as by Fail
}

// Process is a program under faults.
type Process struct {
	listener int
	served   sync.WaitGroup

	mu          sync.Mutex
	rng         *rand.Rand
	rules       []Rule
	clockOffset time.Duration
	injected    map[Call]int
}

// Start starts a command under faults; none is on yet. Its path and arguments are replaced by the launcher's: the test's
// TestMain must call RunLauncher first.
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
	_ = launcherEnd.Close() // so that a launcher that fails is seen
	listener, err := receiveListener(pair[0])
	if err != nil {
		_ = cmd.Process.Kill()
		return nil, fmt.Errorf("faultinject: the launcher set no filter: %w", err)
	}
	p := &Process{listener: listener, rng: rand.New(rand.NewPCG(options.Seed, 0x73797366)), rules: options.Rules, injected: map[Call]int{}}
	p.served.Go(p.serve)
	return p, nil
}

// Fail has calls fail by rules from now on, in place of earlier ones; none ends that.
func (p *Process) Fail(rules ...Rule) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rules = rules
}

// StepClock sets how far the program's wall clock is from the machine's.
func (p *Process) StepClock(by time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clockOffset = by
}

// Injected tells how many calls have failed by a rule.
func (p *Process) Injected(c Call) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.injected[c]
}

// Wait waits until the program has ended and nothing of it is served any more.
func (p *Process) Wait() { p.served.Wait() }

// notification is the kernel's struct seccomp_notif.
type notification struct {
	id         uint64
	pid, flags uint32
	call       int32
	arch       uint32
	ip         uint64
	args       [6]uint64
}

// response is the kernel's struct seccomp_notif_resp.
type response struct {
	id    uint64
	value int64
	error int32
	flags uint32
}

// serve answers the kernel until the program has ended.
func (p *Process) serve() {
	defer unix.Close(p.listener)
	for {
		ready := []unix.PollFd{{Fd: int32(p.listener), Events: unix.POLLIN}}
		switch _, err := unix.Poll(ready, -1); {
		case errors.Is(err, unix.EINTR):
			continue
		case err != nil || ready[0].Revents&unix.POLLIN == 0:
			return
		}
		var request notification
		if ioctl(p.listener, unix.SECCOMP_IOCTL_NOTIF_RECV, unsafe.Pointer(&request)) != nil {
			continue // whoever asked has ended meanwhile
		}
		reply := p.decide(&request)
		reply.id = request.id
		_ = ioctl(p.listener, unix.SECCOMP_IOCTL_NOTIF_SEND, unsafe.Pointer(&reply))
	}
}

// decide says what becomes of a call.
func (p *Process) decide(request *notification) response {
	proceed := response{flags: unix.SECCOMP_USER_NOTIF_FLAG_CONTINUE}
	call := Call(request.call)
	if call == unix.SYS_CLOCK_GETTIME {
		if p.writeClock(request) != nil {
			return proceed
		}
		return response{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.rules {
		if r.Call != call || p.rng.Float64() >= r.Probability || (r.OnSockets || r.MaxBytes > 0) && !isSocket(request) {
			continue
		}
		p.injected[call]++
		if r.MaxBytes > 0 {
			return transferAtMost(request, call, r.MaxBytes)
		}
		return response{error: -int32(r.Errors[p.rng.IntN(len(r.Errors))])}
	}
	return proceed
}

// writeClock writes the program's wall clock to where it wants it.
func (p *Process) writeClock(request *notification) error {
	p.mu.Lock()
	at := time.Now().Add(p.clockOffset)
	p.mu.Unlock()
	timespec := unix.NsecToTimespec(at.UnixNano())
	size := int(unsafe.Sizeof(timespec))
	from := []unix.Iovec{{Base: (*byte)(unsafe.Pointer(&timespec)), Len: uint64(size)}}
	to := []unix.RemoteIovec{{Base: uintptr(request.args[1]), Len: size}}
	_, err := unix.ProcessVMWritev(int(request.pid), from, to, 0)
	return err
}

// isSocket reports whether a call's first argument is a socket's descriptor.
func isSocket(request *notification) bool {
	name, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%d", request.pid, request.args[0]))
	return err == nil && strings.HasPrefix(name, "socket:")
}

func ioctl(fd int, request uintptr, argument unsafe.Pointer) error {
	for {
		_, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(fd), request, uintptr(argument))
		switch errno {
		case 0:
			return nil
		case unix.EINTR:
			continue
		}
		return errno
	}
}
