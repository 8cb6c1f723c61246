package syserr

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
)

func TestSorting_EachError(t *testing.T) {
	for _, c := range []struct {
		errno                           syscall.Errno
		memory, resources, address, now bool
	}{
		{syscall.ENOBUFS, true, true, false, true}, {syscall.ENOMEM, true, true, false, true},
		{syscall.EMFILE, false, true, false, true}, {syscall.ENFILE, false, true, false, true},
		{syscall.EADDRNOTAVAIL, false, false, true, false}, {syscall.EADDRINUSE, false, false, true, false},
		{syscall.EIO, false, false, false, true}, {syscall.ECONNREFUSED, false, false, false, false}, {syscall.ENOENT, false, false, false, false},
	} {
		for _, err := range []error{c.errno, os.NewSyscallError("x", c.errno), &os.PathError{Op: "open", Path: "p", Err: c.errno},
			fmt.Errorf("wrapped: %w", &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", c.errno)})} {
			if LacksMemory(err) != c.memory || LacksResources(err) != c.resources || LacksAddress(err) != c.address || ReadFailed(err) != c.now {
				t.Errorf("%v: memory %v, resources %v, address %v, read %v", err, LacksMemory(err), LacksResources(err), LacksAddress(err), ReadFailed(err))
			}
		}
	}
	if LacksMemory(nil) || ReadFailed(nil) {
		t.Error("no error is sorted")
	}
}
