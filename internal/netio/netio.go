// Package netio reads and writes TCP connections where the standard library leaves a decision to its caller: it
// retries calls that fail for want of memory, reads what has been received without blocking, and classifies the
// errors that end a connection.
package netio

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"time"
)

// Expired is a deadline in the past: a connection on which it is set wakes a blocked read or write at once.
var Expired = time.Unix(1, 0)

// IsDeadlineExceeded reports whether a deadline that this process set has passed. The system's ETIMEDOUT, a broken
// connection, also implements Timeout and is not one.
func IsDeadlineExceeded(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded)
}

// IsReset reports whether err says that the connection broke, by whatever error of the system. A peer that closed its
// side, a close by this process and a passed deadline are none.
func IsReset(err error) bool {
	return err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) && !IsDeadlineExceeded(err)
}
