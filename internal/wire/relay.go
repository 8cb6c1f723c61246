package wire

import (
	"bytes"
	"math"
	"strconv"
)

// RelayStats describes the complete lines that one call of CompleteLines returned.
type RelayStats struct {
	Responses int     // lines other than load reports
	Load      float64 // load in the last load report; 0 if there was none
}

// Relay relays lines from a host to its client. It returns only complete lines, so that the node can insert a line of
// its own after any of them, and parses the load reports among them.
type Relay struct {
	LineBuffer
	last    Response // meaning of the last complete line
	midLine bool     // the bytes returned last end within a line
}

// CompleteLines removes and returns the bytes up to the end of the last complete line, or no bytes if no line is
// complete. It returns a line that fills the whole buffer in pieces, because waiting for its end would block the
// connection. The bytes are valid until Space is called.
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

// observe parses complete lines and returns their statistics.
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

// AtLineBoundary reports whether the bytes returned last end with a complete line.
func (r *Relay) AtLineBoundary() bool { return !r.midLine }

// Ending reports whether the host has announced the end of the connection.
func (r *Relay) Ending() bool { return r.last == ResponseClosed || r.last == ResponseMigrate }

// Last returns the meaning of the last complete line, which tells why a connection ended.
func (r *Relay) Last() Response { return r.last }

// parseLoadReport parses a load report. It does not allocate, because the converted string does not escape.
func parseLoadReport(line []byte) (float64, bool) {
	const prefix = "LOAD "
	if !bytes.HasPrefix(line, []byte(prefix)) {
		return 0, false
	}
	load, err := strconv.ParseFloat(string(line[len(prefix):]), 64)
	return load, err == nil && load >= 0 && load < math.MaxFloat64
}
