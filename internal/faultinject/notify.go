package faultinject

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// notification is the kernel's struct seccomp_notif.
type notification struct {
	id                 uint64
	pid, flags         uint32
	call               int32
	arch               uint32
	instructionPointer uint64
	args               [6]uint64
}

// response is the kernel's struct seccomp_notif_resp.
type response struct {
	id    uint64
	value int64
	error int32
	flags uint32
}

// failWith returns the response that makes a system call fail with an error number.
func failWith(errno unix.Errno) response { return response{error: -int32(errno)} }

// serve responds to the kernel's notifications until the program has exited.
func (p *Process) serve() {
	defer unix.Close(p.listener)
	for {
		ready := []unix.PollFd{{Fd: int32(p.listener), Events: unix.POLLIN}}
		_, err := unix.Poll(ready, -1)
		if errors.Is(err, unix.EINTR) {
			continue
		}
		if err != nil || ready[0].Revents&unix.POLLIN == 0 {
			return
		}
		var request notification
		if ioctl(p.listener, unix.SECCOMP_IOCTL_NOTIF_RECV, unsafe.Pointer(&request)) != nil {
			continue // the calling thread has exited in the meantime
		}
		decision := p.decide(&request)
		decision.id = request.id
		_ = ioctl(p.listener, unix.SECCOMP_IOCTL_NOTIF_SEND, unsafe.Pointer(&decision))
	}
}

// decide returns the response to a system call. It answers clock_gettime with the stepped time. Any other system call
// gets the effect of the first rule that applies to it, or proceeds if no rule applies.
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
	for _, rule := range p.rules {
		if rule.Call != call || p.rng.Float64() >= rule.Probability {
			continue
		}
		if rule.onSocketsOnly() && !isSocket(request) {
			continue
		}
		p.injected[call]++
		if rule.MaxBytes > 0 {
			return transferAtMost(request, call, rule.MaxBytes)
		}
		return failWith(rule.Errors[p.rng.IntN(len(rule.Errors))])
	}
	return proceed
}

// writeClock writes the stepped wall-clock time into the program's memory, to the address that the program passed to
// clock_gettime.
func (p *Process) writeClock(request *notification) error {
	p.mu.Lock()
	now := time.Now().Add(p.clockOffset)
	p.mu.Unlock()
	timespec := unix.NsecToTimespec(now.UnixNano())
	size := int(unsafe.Sizeof(timespec))
	local := []unix.Iovec{{Base: (*byte)(unsafe.Pointer(&timespec)), Len: uint64(size)}}
	remote := []unix.RemoteIovec{{Base: uintptr(request.args[1]), Len: size}}
	_, err := unix.ProcessVMWritev(int(request.pid), local, remote, 0)
	return err
}

// isSocket reports whether the first argument of a system call is the descriptor of a socket.
func isSocket(request *notification) bool {
	name, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%d", request.pid, request.args[0]))
	return err == nil && strings.HasPrefix(name, "socket:")
}

// ioctl calls ioctl(2), and repeats the call if a signal interrupts it.
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
