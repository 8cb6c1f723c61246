package wire

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"
)

// Opening is a client's first line.
type Opening struct {
	ID, Key                   string // the connection's id and the flow's key
	Class, Tenant, Group      string
	Timeout                   time.Duration // how long the client waits, from the line's last byte; 0 where not told
	Load                      float64       // a guess at the load, 0 where not told
	Retry, Reconnect, MidFlow bool
	CurrentHost               string // the host where the connection stood before the run, or ""

	line     string // as it came, without its end
	from, to int    // where the value of d stands in line; both 0 where there is none
}

const (
	maxWait = 10 * time.Minute // bounds what a client can ask for: the longest that a request is held in memory
	maxName = 256              // bytes of an id or a key
)

// OpeningKind is what a client's first line can be.
type OpeningKind uint8

// The first lines.
const (
	OpeningHealthCheck OpeningKind = iota
	OpeningRequest
)

// ParseOpening reads the first line of a client. The line may be used again afterwards. What a host could not use is
// an error here: a host that has to turn it away would look as if it failed.
func ParseOpening(line []byte) (OpeningKind, Opening, error) {
	if !plain(line) {
		return 0, Opening{}, errors.New("bytes that are no text")
	}
	if string(line) == "PING" {
		return OpeningHealthCheck, Opening{}, nil
	}
	if !bytes.HasPrefix(line, []byte("OPEN ")) {
		return 0, Opening{}, errors.New("neither OPEN nor PING")
	}
	o, err := parseRequest(string(line))
	return OpeningRequest, o, err
}

// plain reports whether a line is text without control bytes.
func plain(line []byte) bool {
	for _, b := range line {
		if b < ' ' || b == 0x7f {
			return false
		}
	}
	return utf8.Valid(line)
}

// figure reads a plain decimal number: no sign, no exponent, nothing that stands for a number.
func figure(value string) (float64, error) {
	if value == "" || strings.Trim(value, ".0123456789") != "" || value[0] == '.' {
		return 0, errors.New("no plain number")
	}
	return strconv.ParseFloat(value, 64)
}

func parseRequest(line string) (Opening, error) {
	o := Opening{line: line}
	words := strings.SplitN(line, " ", 4)
	if len(words) < 3 || words[1] == "" || words[2] == "" {
		return o, errors.New("OPEN needs an id and a key")
	}
	if len(words[1]) > maxName || len(words[2]) > maxName {
		return o, errors.New("an id or a key that is too long")
	}
	o.ID, o.Key = words[1], words[2]
	if len(words) < 4 {
		return o, nil
	}
	at := len(line) - len(words[3])
	given := map[string]bool{}
	for pair := range strings.SplitSeq(words[3], ",") {
		name, value, _ := strings.Cut(pair, "=")
		if given[name] {
			return o, fmt.Errorf("field %q is given twice", name)
		}
		given[name] = true
		var err error
		switch name {
		case "c":
			o.Class = value
		case "t":
			o.Tenant = value
		case "g":
			o.Group = value
		case "d":
			var ms float64
			if ms, err = figure(value); err == nil && !(ms > 0 && ms <= float64(maxWait.Milliseconds())) {
				err = errors.New("out of range")
			}
			o.Timeout = time.Duration(math.Ceil(ms*1000)) * time.Microsecond // never 0, which stands for a time that is not said
			o.from, o.to = at+len("d="), at+len(pair)
		case "h":
			if o.Load, err = figure(value); err == nil && !(o.Load < math.MaxFloat64) {
				err = errors.New("out of range")
			}
		case "r":
			o.Retry = value == "1"
		case "again":
			o.Reconnect = value == "1"
		case "mid":
			o.MidFlow = value == "1"
		case "at":
			o.CurrentHost = value
		}
		if err != nil {
			return o, fmt.Errorf("field %q: %q is no figure: %w", name, value, err)
		}
		at += len(pair) + 1
	}
	return o, nil
}

// Line is the line as it came, without its end.
func (o *Opening) Line() string { return o.line }

// Forward writes the line for a host: as the client sent it, but that d tells how long the node
// will wait.
func (o *Opening) Forward(wait time.Duration) []byte {
	out := make([]byte, 0, len(o.line)+16)
	if o.to == 0 {
		out = append(out, o.line...)
	} else {
		out = append(out, o.line[:o.from]...)
		out = strconv.AppendInt(out, max(wait.Milliseconds(), 1), 10)
		out = append(out, o.line[o.to:]...)
	}
	return append(out, '\r', '\n')
}

// The lines that a node says of its own.
const (
	Pong      = "PONG\r\n"
	Failure   = "ERR\r\n"
	Migration = "MOVE\r\n"
)

// Rejection writes a refusal, with advice when to come again where after is above 0.
func Rejection(after time.Duration) string {
	if after <= 0 {
		return "BUSY\r\n"
	}
	return "BUSY " + strconv.FormatInt(max((after+time.Millisecond-1).Milliseconds(), 1), 10) + "\r\n"
}
