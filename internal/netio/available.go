package netio

import (
	"io"
	"net"
	"os"

	"golang.org/x/sys/unix"

	"onyxstream/internal/syserr"
)

// ReadAvailable reads what a connection has already received. It ignores the connection's deadlines and never blocks.
// It returns 0 and no error if nothing has been received, and io.EOF if the remote side is closed. If another goroutine
// is blocked in a read on the same connection, either of the two gets the bytes.
func ReadAvailable(c *net.TCPConn, into []byte) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) { n, err = ReadAvailableFD(fd, into) })
	if controlErr != nil {
		return 0, controlErr
	}
	return n, err
}

// ReadAvailableFD is ReadAvailable for a descriptor, which must be in non-blocking mode.
func ReadAvailableFD(fd uintptr, into []byte) (n int, err error) {
	for retries := 0; ; {
		n, err = unix.Read(int(fd), into)
		switch {
		case err == unix.EINTR:
			continue
		case syserr.LacksMemory(err) && retries < maxImmediateRetries:
			retries++
			continue
		case err == unix.EAGAIN:
			return 0, nil
		case err != nil:
			return 0, os.NewSyscallError("read", err)
		case n == 0:
			return 0, io.EOF
		}
		return n, nil
	}
}

// WriteAvailable writes as much of data as the connection's send buffer has space for, and returns the number of bytes
// written. It ignores the connection's deadlines and never blocks.
func WriteAvailable(c *net.TCPConn, data []byte) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) { n, err = writeAvailableFD(fd, data) })
	if controlErr != nil {
		return 0, controlErr
	}
	return n, err
}

// writeAvailableFD is WriteAvailable for a descriptor, which must be in non-blocking mode.
func writeAvailableFD(fd uintptr, data []byte) (n int, err error) {
	for retries := 0; n < len(data); {
		written, err := unix.Write(int(fd), data[n:])
		switch {
		case err == unix.EINTR:
		case syserr.LacksMemory(err) && retries < maxImmediateRetries:
			retries++
		case err == unix.EAGAIN:
			return n, nil
		case err != nil:
			return n, os.NewSyscallError("write", err)
		default:
			n += written
		}
	}
	return n, nil
}
