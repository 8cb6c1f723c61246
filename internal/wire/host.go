package wire

import (
	"bytes"
	"math"
	"strconv"
)

// Response is what a host says first.
type Response uint8

// The answers of a host.
const (
	ResponseUnknown Response = iota // nothing that the protocol knows
	ResponseEstablished
	ResponseClosed
	ResponseMigrate
	AnswerErr
	ResponseRejected
)

// ParseResponse reads a host's line.
func ParseResponse(line []byte) Response {
	word, rest, _ := bytes.Cut(line, []byte(" "))
	switch string(word) {
	case "UP":
		if len(rest) > 0 { // an UP without a receipt proves nothing
			return ResponseEstablished
		}
	case "BYE":
		return ResponseClosed
	case "MOVE":
		return ResponseMigrate
	case "ERR":
		return AnswerErr
	case "BUSY":
		return ResponseRejected
	}
	return ResponseUnknown
}

// RelayStats is what a relay noticed in the lines it passed on.
type RelayStats struct {
	Responses int     // lines that answer something, so not the reports of load
	Load      float64 // the last report of the connection's load; 0 where there was none
}

// Relay is the machine of the way from a host to its client: it gives out whole lines only, so
// that a MOVE can stand between any two of them, and notices reports of load in passing.
type Relay struct {
	LineBuffer
	last Response // of the last whole line
	torn bool     // the end of what was given out is no end of a line
}

// CompleteLines takes the bytes up to the end of the last whole line; none while there is none. A line that
// fills the whole buffer is given out in pieces: holding it would hold the connection for ever. The
// bytes are valid until Space is called.
func (r *Relay) CompleteLines() ([]byte, RelayStats) {
	var seen RelayStats
	rest := r.Buffered()
	end := bytes.LastIndexByte(rest, '\n') + 1
	for at := 0; at < end; {
		n := bytes.IndexByte(rest[at:end], '\n')
		line := bytes.TrimSuffix(rest[at:at+n], []byte("\r"))
		at += n + 1
		if load, ok := parseLoad(line); ok && !r.torn {
			seen.Load = load
		} else {
			seen.Responses++
		}
		r.last, r.torn = ParseResponse(line), false
	}
	if end == 0 && len(rest) == BufferSize {
		end, r.torn = len(rest), true
	}
	r.r += end
	return rest[:end], seen
}

// AtLineBoundary reports whether what was given out ends with a line.
func (r *Relay) AtLineBoundary() bool { return !r.torn }

// Ending reports whether the host has said that it ends the connection.
func (r *Relay) Ending() bool { return r.last == ResponseClosed || r.last == ResponseMigrate }

// Last tells the last whole line: BYE or MOVE before the end say why it ended.
func (r *Relay) Last() Response { return r.last }

func parseLoad(line []byte) (float64, bool) {
	if !bytes.HasPrefix(line, []byte("LOAD ")) {
		return 0, false
	}
	// The conversion does not escape, so it costs no memory.
	v, err := strconv.ParseFloat(string(line[len("LOAD "):]), 64)
	return v, err == nil && v >= 0 && v < math.MaxFloat64
}
