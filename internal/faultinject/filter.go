package faultinject

import (
	"fmt"
	"strconv"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Offsets in the kernel's struct seccomp_data.
const (
	callNumberOffset    = 0
	firstArgumentOffset = 16
)

// Operation codes of the BPF program.
const (
	loadWord    = unix.BPF_LD | unix.BPF_W | unix.BPF_ABS
	jumpIfEqual = unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K
	returnValue = unix.BPF_RET | unix.BPF_K
)

func statement(operation uint16, operand uint32) unix.SockFilter {
	return unix.SockFilter{Code: operation, K: operand}
}

// skipUnlessEqual skips the given number of statements unless the loaded word equals the operand.
func skipUnlessEqual(operand uint32, statements uint8) unix.SockFilter {
	return unix.SockFilter{Code: jumpIfEqual, Jf: statements, K: operand}
}

// filterProgram returns a BPF program that reports the given system calls to the listener and allows all others. calls
// holds the numbers of the system calls in decimal.
func filterProgram(calls []string, reportsClock bool) ([]unix.SockFilter, error) {
	program := []unix.SockFilter{statement(loadWord, callNumberOffset)}
	for _, text := range calls {
		if text == "" {
			continue
		}
		number, err := strconv.Atoi(text)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", callsVar, err)
		}
		program = append(program,
			skipUnlessEqual(uint32(number), 1),
			statement(returnValue, unix.SECCOMP_RET_USER_NOTIF))
	}
	if reportsClock { // only the wall clock, not the monotonic clock
		program = append(program,
			skipUnlessEqual(unix.SYS_CLOCK_GETTIME, 3),
			statement(loadWord, firstArgumentOffset),
			skipUnlessEqual(unix.CLOCK_REALTIME, 1),
			statement(returnValue, unix.SECCOMP_RET_USER_NOTIF))
	}
	return append(program, statement(returnValue, unix.SECCOMP_RET_ALLOW)), nil
}

// installFilter installs the filter on the calling thread and returns the descriptor of its notification listener.
func installFilter(calls []string, reportsClock bool) (listener int, err error) {
	program, err := filterProgram(calls, reportsClock)
	if err != nil {
		return 0, err
	}
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return 0, fmt.Errorf("set no_new_privs: %w", err)
	}
	kernelProgram := unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]}
	const flags = unix.SECCOMP_FILTER_FLAG_NEW_LISTENER | unix.SECCOMP_FILTER_FLAG_WAIT_KILLABLE_RECV
	fd, _, errno := unix.Syscall(
		unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, flags, uintptr(unsafe.Pointer(&kernelProgram)))
	if errno != 0 {
		return 0, fmt.Errorf("install seccomp filter: %w", errno)
	}
	return int(fd), nil
}
