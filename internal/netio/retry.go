package netio

import (
	"net"
	"time"

	"onyxstream/internal/syserr"
)

const (
	// lowMemoryBackoff is the pause before a call that failed for want of memory is retried.
	lowMemoryBackoff = time.Millisecond
	// lowMemoryRetryWindow bounds how long such a call is retried.
	lowMemoryRetryWindow = time.Second
	// maxImmediateRetries bounds the retries of a read that must not block.
	maxImmediateRetries = 8
)

// RetryLowMemory calls call until it succeeds, fails for another reason than want of memory in the system, or has
// failed so for a second. It returns the error of the last call. Such a failure says nothing of the connection.
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

// Read reads from a connection as its own Read does, and retries while the system lacks memory. Deadlines that are set
// on the connection hold.
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

// WriteAll writes all of data to a connection, and retries while the system lacks memory. It returns how many bytes
// were written.
func WriteAll(c net.Conn, data []byte) (n int, err error) {
	err = RetryLowMemory(func() error {
		written, err := c.Write(data[n:])
		n += written
		return err
	})
	return n, err
}
