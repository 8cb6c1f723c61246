package proxy

import (
	"net"
	"time"

	"onyxstream/internal/syserr"
)

// A read or a write may fail for want of memory in the system, and succeed a moment later: the connection is whole. Who took
// that for its end dropped what a client had asked for, or its answer.

const (
	// retryPause is how long a read or write that failed for want of memory waits before it is made again.
	retryPause = time.Millisecond
	// retryWithin bounds how long it is made again.
	retryWithin = time.Second
	// retriesAtOnce bounds how often a read that may not wait is made again.
	retriesAtOnce = 8
)

// retrying makes a call again while it fails for want of memory.
func retrying(call func() error) error {
	var begin time.Time
	for {
		err := call()
		if !syserr.LacksMemory(err) {
			return err
		}
		if begin.IsZero() {
			begin = time.Now()
		}
		if time.Since(begin) > retryWithin {
			return err
		}
		time.Sleep(retryPause)
	}
}

// readSome reads from a connection. A deadline that is set on it ends that like any read.
func readSome(c net.Conn, into []byte) (n int, err error) {
	err = retrying(func() error {
		n, err = c.Read(into)
		if n > 0 && syserr.LacksMemory(err) {
			return nil
		}
		return err
	})
	return n, err
}

// writeAll writes all of a text to a connection, or tells how far it came.
func writeAll(c net.Conn, text []byte) (n int, err error) {
	err = retrying(func() error {
		wrote, err := c.Write(text[n:])
		n += wrote
		return err
	})
	return n, err
}
