package wire

import (
	"bytes"
	"strconv"
	"time"
)

// The lines that a node sends by itself: Ping to a host, the others to a client.
const (
	Ping      = "PING\r\n"
	Pong      = "PONG\r\n"
	Failure   = "ERR\r\n"
	Migration = "MOVE\r\n"
)

// Rejection returns the line of a rejection, with a Retry-After where that is above 0.
func Rejection(retryAfter time.Duration) string {
	if retryAfter <= 0 {
		return "BUSY\r\n"
	}
	ms := (retryAfter + time.Millisecond - 1).Milliseconds()
	return "BUSY " + strconv.FormatInt(max(ms, 1), 10) + "\r\n"
}

// Response is the meaning of a line from a host.
type Response uint8

// The responses of a host.
const (
	ResponseUnknown Response = iota // not of the protocol
	ResponseEstablished
	ResponseClosed
	ResponseMigrate
	ResponseFailed
	ResponseRejected
)

// ParseResponse reads a line from a host.
func ParseResponse(line []byte) Response {
	word, receipt, _ := bytes.Cut(line, []byte(" "))
	switch string(word) {
	case "UP":
		if len(receipt) > 0 { // without a receipt it proves nothing
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
