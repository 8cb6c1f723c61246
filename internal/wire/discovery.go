package wire

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"time"
)

// maxRetryAfter is the upper limit of a parsed Retry-After. Without it, large values would overflow a time.Duration.
const maxRetryAfter = 24 * time.Hour

// StatusError reports a response of discovery with a status other than 200.
type StatusError struct {
	Code       int
	RetryAfter time.Duration // 0 if there is no valid one
}

func (e *StatusError) Error() string {
	return "discovery responded with status " + strconv.Itoa(e.Code)
}

// WatchRequest returns the HTTP request that watches the changes after a revision.
func WatchRequest(host string, after int64) []byte {
	return fmt.Appendf(nil, "GET /catalog/members?watch=1&after=%d HTTP/1.1\r\n"+
		"Host: %s\r\nAccept: application/json\r\n\r\n", after, host)
}

// ListRequest returns the HTTP request for the complete endpoint list.
func ListRequest(host string) []byte {
	return fmt.Appendf(nil, "GET /catalog/members HTTP/1.1\r\n"+
		"Host: %s\r\nAccept: application/json\r\nConnection: close\r\n\r\n", host)
}

// parseRetryAfter returns the Retry-After, in whole seconds, of the header lines that were received together with the
// status line. It does not wait for further header lines, since a silent discovery service would then keep the
// connection open. Dates are ignored, because the clocks of the two sides may differ.
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
