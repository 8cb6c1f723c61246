package netio

import (
	"net"
	"syscall"
)

// Buffer takes the bytes that a Reader reads.
type Buffer interface {
	Space() []byte  // free space, allocated if necessary
	Advance(n int)  // n bytes were read into Space
	ReleaseIfIdle() // nothing can be read now: the memory is free if the buffer is empty
}

// Reader reads from a connection into a buffer, and lets the buffer release its memory while the connection is idle.
// Only one goroutine at a time may use it.
type Reader struct {
	raw    syscall.RawConn
	buffer Buffer
	read   func(fd uintptr) (done bool) // tryRead, bound once because each use as a value allocates
	n      int
	err    error
}

// NewReader returns a reader that appends to buffer what it reads from c.
func NewReader(c *net.TCPConn, buffer Buffer) (*Reader, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	r := &Reader{raw: raw, buffer: buffer}
	r.read = r.tryRead
	return r, nil
}

// Read waits until bytes arrive, and reads them. It returns their number, and the same errors as the function Read.
// Deadlines of the connection apply. It retries while the system lacks memory.
func (r *Reader) Read() (n int, err error) {
	err = RetryLowMemory(func() error {
		r.n, r.err = 0, nil
		if waitErr := r.raw.Read(r.read); waitErr != nil {
			return waitErr
		}
		return r.err
	})
	return r.n, err
}

// tryRead reads what has been received. It reports false if there is nothing to read yet.
func (r *Reader) tryRead(fd uintptr) (done bool) {
	space := r.buffer.Space()
	if len(space) == 0 {
		return true
	}
	r.n, r.err = ReadAvailableFD(fd, space)
	r.buffer.Advance(r.n)
	if r.n > 0 || r.err != nil {
		return true
	}
	r.buffer.ReleaseIfIdle()
	return false
}
