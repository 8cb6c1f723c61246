package wire

import (
	"bytes"
	"math"
	"strconv"
)

// RelayStats is what a relay saw in the lines that it returned.
type RelayStats struct {
	Responses int     // lines that answer something, so not the load reports
	Load      float64 // the last load report; 0 where there was none
}

// Relay passes lines from a host to its client. It returns complete lines only, so that the node's own line can stand
// between any two of them, and reads the load reports among them.
type Relay struct {
	LineBuffer
	last    Response // of the last complete line
	midLine bool     // what was returned last ends within a line
}

// CompleteLines takes the bytes up to the end of the last complete line; none while there is none. A line that
// fills the whole buffer is returned in pieces, as waiting for its end would block the connection. The bytes are
// valid until Space is called.
func (r *Relay) CompleteLines() ([]byte, RelayStats) {
	unread := r.Buffered()
	end := bytes.LastIndexByte(unread, '\n') + 1
	stats := r.observe(unread[:end])
	if end == 0 && len(unread) == BufferSize {
		end = len(unread)
		r.midLine = true
	}
	r.Discard(end)
	return unread[:end], stats
}

// observe reads complete lines.
func (r *Relay) observe(lines []byte) RelayStats {
	var stats RelayStats
	for len(lines) > 0 {
		end := bytes.IndexByte(lines, '\n')
		line := bytes.TrimSuffix(lines[:end], []byte("\r"))
		lines = lines[end+1:]
		load, isReport := parseLoadReport(line)
		if isReport && !r.midLine {
			stats.Load = load
		} else {
			stats.Responses++
		}
		r.last = ParseResponse(line)
		r.midLine = false
	}
	return stats
}

// AtLineBoundary reports whether what was returned ends with a line.
func (r *Relay) AtLineBoundary() bool { return !r.midLine }

// Ending reports whether the host has announced the end of the connection.
func (r *Relay) Ending() bool { return r.last == ResponseClosed || r.last == ResponseMigrate }

// Last returns the last complete line, which says why a connection ended.
func (r *Relay) Last() Response { return r.last }

// parseLoadReport reads a load report. It does not allocate: the conversion to a string does not escape.
func parseLoadReport(line []byte) (float64, bool) {
	const prefix = "LOAD "
	if !bytes.HasPrefix(line, []byte(prefix)) {
		return 0, false
	}
	load, err := strconv.ParseFloat(string(line[len(prefix):]), 64)
	return load, err == nil && load >= 0 && load < math.MaxFloat64
}
