package netio

import (
	"net"
	"time"

	"onyxstream/internal/syserr"
)

const (
	// lowMemoryBackoff is the pause before the retry of a call that failed because the system lacked memory.
	lowMemoryBackoff = time.Millisecond
	// lowMemoryRetryWindow bounds how long such a call is retried.
	lowMemoryRetryWindow = time.Second
	// maxImmediateRetries bounds the retries of a read or write that must not block.
	maxImmediateRetries = 8
)

// RetryLowMemory retries call while it fails because the system lacks memory, for at most lowMemoryRetryWindow (1 s),
// and returns the error of the last call. Lack of memory says nothing about the connection.
func RetryLowMemory(call func() error) error {
	var firstFailure time.Time
	for {
		err := call()
		if !syserr.LacksMemory(err) {
			return err
		}
		if firstFailure.IsZero() {
			firstFailure = time.Now()
		}
		if time.Since(firstFailure) > lowMemoryRetryWindow {
			return err
		}
		time.Sleep(lowMemoryBackoff)
	}
}

// Read calls c.Read, and retries while the system lacks memory. Deadlines of the connection apply.
func Read(c net.Conn, into []byte) (n int, err error) {
	err = RetryLowMemory(func() error {
		n, err = c.Read(into)
		if n > 0 && syserr.LacksMemory(err) {
			return nil
		}
		return err
	})
	return n, err
}

// WriteAll writes all of data to a connection, and retries while the system lacks memory. It returns the number of
// bytes written.
func WriteAll(c net.Conn, data []byte) (n int, err error) {
	err = RetryLowMemory(func() error {
		written, err := c.Write(data[n:])
		n += written
		return err
	})
	return n, err
}
