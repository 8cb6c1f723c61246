package netio

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
)

// failedRead returns the error of a read that failed with errno.
func failedRead(errno syscall.Errno) error {
	return &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", errno)}
}

// Many system errors mean that a connection broke. ETIMEDOUT is one of them, and not a passed deadline of this process,
// so such a connection must not be read again. A close of the remote side alone does not mean that the connection
// broke.
func TestConnectionError_EachKind_Classified(t *testing.T) {
	deadline := &net.OpError{Op: "read", Net: "tcp", Err: os.ErrDeadlineExceeded}
	for _, c := range []struct {
		err                     error
		deadlineExceeded, reset bool
	}{
		{deadline, true, false},
		{io.EOF, false, false},
		{failedRead(syscall.ECONNRESET), false, true},
		{failedRead(syscall.EPIPE), false, true},
		{failedRead(syscall.ETIMEDOUT), false, true},
		{failedRead(syscall.EHOSTUNREACH), false, true},
		{failedRead(syscall.ENETUNREACH), false, true},
		{failedRead(syscall.ECONNABORTED), false, true},
	} {
		if IsDeadlineExceeded(c.err) != c.deadlineExceeded || IsReset(c.err) != c.reset {
			t.Errorf("%v: deadline exceeded %v, reset %v", c.err, IsDeadlineExceeded(c.err), IsReset(c.err))
		}
	}
}
