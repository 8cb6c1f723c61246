package wire

import (
	"bytes"
	"math"
	"strconv"
)

// Answer is what a host says first.
type Answer uint8

// The answers of a host.
const (
	AnswerOther Answer = iota // nothing that the protocol knows
	AnswerUp
	AnswerBye
	AnswerMove
	AnswerErr
	AnswerBusy
)

// ParseAnswer reads a host's line.
func ParseAnswer(line []byte) Answer {
	word, rest, _ := bytes.Cut(line, []byte(" "))
	switch string(word) {
	case "UP":
		if len(rest) > 0 { // an UP without a receipt proves nothing
			return AnswerUp
		}
	case "BYE":
		return AnswerBye
	case "MOVE":
		return AnswerMove
	case "ERR":
		return AnswerErr
	case "BUSY":
		return AnswerBusy
	}
	return AnswerOther
}

// Seen is what a relay noticed in the lines it passed on.
type Seen struct {
	Lines int     // lines that answer something, so not the reports of load
	Load  float64 // the last report of the connection's load; 0 where there was none
}

// Relay is the machine of the way from a host to its client: it gives out whole lines only, so
// that a MOVE can stand between any two of them, and notices reports of load in passing.
type Relay struct {
	Inbox
	last Answer // of the last whole line
	torn bool   // the end of what was given out is no end of a line
}

// Whole takes the bytes up to the end of the last whole line; none while there is none. A line that
// fills the whole buffer is given out in pieces: holding it would hold the connection for ever. The
// bytes are valid until Space is called.
func (r *Relay) Whole() ([]byte, Seen) {
	var seen Seen
	rest := r.Rest()
	end := bytes.LastIndexByte(rest, '\n') + 1
	for at := 0; at < end; {
		n := bytes.IndexByte(rest[at:end], '\n')
		line := bytes.TrimSuffix(rest[at:at+n], []byte("\r"))
		at += n + 1
		if load, ok := parseLoad(line); ok && !r.torn {
			seen.Load = load
		} else {
			seen.Lines++
		}
		r.last, r.torn = ParseAnswer(line), false
	}
	if end == 0 && len(rest) == BufferSize {
		end, r.torn = len(rest), true
	}
	r.r += end
	return rest[:end], seen
}

// Between reports whether what was given out ends with a line.
func (r *Relay) Between() bool { return !r.torn }

// Ending reports whether the host has said that it ends the connection.
func (r *Relay) Ending() bool { return r.last == AnswerBye || r.last == AnswerMove }

// Last tells the last whole line: BYE or MOVE before the end say why it ended.
func (r *Relay) Last() Answer { return r.last }

func parseLoad(line []byte) (float64, bool) {
	if !bytes.HasPrefix(line, []byte("LOAD ")) {
		return 0, false
	}
	// The conversion does not escape, so it costs no memory.
	v, err := strconv.ParseFloat(string(line[len("LOAD "):]), 64)
	return v, err == nil && v >= 0 && v < math.MaxFloat64
}
