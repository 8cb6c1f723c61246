package wire

import (
	"bytes"
	"strconv"
	"time"
)

// Lines that a node sends: Ping to a host, the others to a client.
const (
	Ping      = "PING\r\n"
	Pong      = "PONG\r\n"
	Failure   = "ERR\r\n"
	Migration = "MOVE\r\n"
)

// Rejection returns the line that rejects a request, with a Retry-After in milliseconds if retryAfter is positive.
func Rejection(retryAfter time.Duration) string {
	if retryAfter <= 0 {
		return "BUSY\r\n"
	}
	ms := (retryAfter + time.Millisecond - 1).Milliseconds()
	return "BUSY " + strconv.FormatInt(max(ms, 1), 10) + "\r\n"
}

// Response is the meaning of a line from a host.
type Response uint8

// The meanings of a line from a host.
const (
	ResponseUnknown Response = iota // not a line of the protocol
	ResponseEstablished
	ResponseClosed
	ResponseMigrate
	ResponseFailed
	ResponseRejected
)

// ParseResponse parses a line from a host.
func ParseResponse(line []byte) Response {
	word, receipt, _ := bytes.Cut(line, []byte(" "))
	switch string(word) {
	case "UP":
		if len(receipt) > 0 { // without a receipt, nothing proves that the host established the connection
			return ResponseEstablished
		}
	case "BYE":
		return ResponseClosed
	case "MOVE":
		return ResponseMigrate
	case "ERR":
		return ResponseFailed
	case "BUSY":
		return ResponseRejected
	}
	return ResponseUnknown
}
