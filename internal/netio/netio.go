// Package netio adds to the standard library's reads and writes of TCP connections: it retries calls that fail because
// the system lacks memory, reads received bytes without blocking, and classifies the errors that end a connection.
package netio

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"time"
)

// Expired is a deadline in the past. Setting it on a connection wakes blocked reads or writes at once.
var Expired = time.Unix(1, 0)

// IsDeadlineExceeded reports whether err says that a deadline which this process set has passed. ETIMEDOUT is not such
// an error, although its Timeout method returns true: it means that the connection broke.
func IsDeadlineExceeded(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded)
}

// IsReset reports whether err means that the connection broke. Any error of the system does. A close of the remote side
// (io.EOF), a close by this process and a passed deadline do not.
func IsReset(err error) bool {
	return err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) && !IsDeadlineExceeded(err)
}
