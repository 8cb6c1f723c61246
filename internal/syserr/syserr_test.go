package syserr

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
)

// wrappings returns the forms in which a system error reaches a caller.
func wrappings(errno syscall.Errno) []error {
	return []error{
		errno,
		os.NewSyscallError("x", errno),
		&os.PathError{Op: "open", Path: "p", Err: errno},
		fmt.Errorf("wrapped: %w", &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", errno)}),
	}
}

func TestLacks_EachErrno_Classified(t *testing.T) {
	type classes struct{ memory, resources, address, read bool }
	for errno, want := range map[syscall.Errno]classes{
		syscall.ENOBUFS:       {memory: true, resources: true, read: true},
		syscall.ENOMEM:        {memory: true, resources: true, read: true},
		syscall.EMFILE:        {resources: true, read: true},
		syscall.ENFILE:        {resources: true, read: true},
		syscall.EADDRNOTAVAIL: {address: true},
		syscall.EADDRINUSE:    {address: true},
		syscall.EIO:           {read: true},
		syscall.ECONNREFUSED:  {},
		syscall.ENOENT:        {},
	} {
		for _, err := range wrappings(errno) {
			got := classes{LacksMemory(err), LacksResources(err), LacksAddress(err), ReadFailed(err)}
			if got != want {
				t.Errorf("%v: classified as %+v, want %+v", err, got, want)
			}
		}
	}
	if LacksMemory(nil) || ReadFailed(nil) {
		t.Error("nil error: classified as a failure, want none")
	}
}
