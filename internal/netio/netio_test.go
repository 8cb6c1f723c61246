package netio

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"onyxstream/internal/netio/netiotest"
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

// WriteAvailable must write although the write deadline has passed, and must not block when the send buffer is full.
func TestWriteAvailable_DeadlinePassedOrBufferFull_DoesNotBlock(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client, server := netiotest.Connect(t, listener.(*net.TCPListener))
	_ = server.SetWriteDeadline(Expired)
	if n, err := WriteAvailable(server, []byte("line")); n != 4 || err != nil {
		t.Errorf("deadline passed: wrote %d bytes, error %v; want 4", n, err)
	}
	block := make([]byte, 1<<20)
	for n := len(block); n == len(block); {
		if n, err = WriteAvailable(server, block); err != nil {
			t.Fatal(err)
		}
	}
	if n, err := WriteAvailable(server, []byte("line")); n != 0 || err != nil {
		t.Errorf("buffer full: wrote %d bytes, error %v; want 0", n, err)
	}
	_ = client.SetLinger(0)
	_ = client.Close()
}
