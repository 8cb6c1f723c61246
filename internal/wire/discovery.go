package wire

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"time"
)

// maxRetryAfter bounds what a Retry-After is taken for: larger numbers would overflow a time.
const maxRetryAfter = 24 * time.Hour

// StatusError is a status of discovery other than 200.
type StatusError struct {
	Code       int
	RetryAfter time.Duration // 0 where there is none that can be used
}

func (e *StatusError) Error() string { return "discovery answered " + strconv.Itoa(e.Code) }

// WatchRequest returns the HTTP request for the changes after a revision.
func WatchRequest(host string, after int64) []byte {
	return fmt.Appendf(nil, "GET /catalog/members?watch=1&after=%d HTTP/1.1\r\n"+
		"Host: %s\r\nAccept: application/json\r\n\r\n", after, host)
}

// ListRequest returns the HTTP request for the complete list.
func ListRequest(host string) []byte {
	return fmt.Appendf(nil, "GET /catalog/members HTTP/1.1\r\n"+
		"Host: %s\r\nAccept: application/json\r\nConnection: close\r\n\r\n", host)
}

// parseRetryAfter reads the header of that name, in whole seconds, out of the header lines that came with the
// status line. It does not wait for the rest of a header, as a silent peer would keep the connection. Dates are not
// read: the clocks of the two sides may differ.
func parseRetryAfter(header []byte) time.Duration {
	for line := range bytes.Lines(header) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			break
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(name, []byte("retry-after")) {
			return retryAfterSeconds(string(bytes.TrimSpace(value)))
		}
	}
	return 0
}

func retryAfterSeconds(value string) time.Duration {
	seconds, err := strconv.ParseUint(value, 10, 63)
	switch {
	case errors.Is(err, strconv.ErrRange) || err == nil && seconds > uint64(maxRetryAfter/time.Second):
		return maxRetryAfter
	case err != nil:
		return 0
	}
	return time.Duration(seconds) * time.Second
}
