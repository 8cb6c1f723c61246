package wire

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Opening is a client's first line.
type Opening struct {
	ID, Key              string // the connection's id and the flow's key
	Class, Tenant, Group string
	Wait                 time.Duration // how long the client waits, from the line's last byte; 0 where not told
	Load                 float64       // a guess at the load, 0 where not told
	Retry, Again, Mid    bool
	At                   string // the host where the connection stood before the run, or ""

	line     string // as it came, without its end
	from, to int    // where the value of d stands in line; both 0 where there is none
}

// maxWait bounds what a client can ask for: the longest that a request is held in memory.
const maxWait = 10 * time.Minute

// Hello is what a client's first line can be.
type Hello uint8

// The first lines.
const (
	HelloPing Hello = iota
	HelloOpen
)

// ParseHello reads the first line of a client. The line may be used again afterwards.
func ParseHello(line []byte) (Hello, Opening, error) {
	if string(line) == "PING" {
		return HelloPing, Opening{}, nil
	}
	if !bytes.HasPrefix(line, []byte("OPEN ")) {
		return 0, Opening{}, errors.New("neither OPEN nor PING")
	}
	o, err := parseOpening(string(line))
	return HelloOpen, o, err
}

func parseOpening(line string) (Opening, error) {
	o := Opening{line: line}
	words := strings.SplitN(line, " ", 4)
	if len(words) < 3 || words[1] == "" || words[2] == "" {
		return o, errors.New("OPEN needs an id and a key")
	}
	o.ID, o.Key = words[1], words[2]
	if len(words) < 4 {
		return o, nil
	}
	at := len(line) - len(words[3])
	for pair := range strings.SplitSeq(words[3], ",") {
		name, value, _ := strings.Cut(pair, "=")
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
			if ms, err = strconv.ParseFloat(value, 64); err == nil && !(ms >= 0 && ms <= float64(maxWait.Milliseconds())) {
				err = errors.New("out of range")
			}
			o.Wait = time.Duration(math.Round(ms*1000)) * time.Microsecond
			o.from, o.to = at+len("d="), at+len(pair)
		case "h":
			if o.Load, err = strconv.ParseFloat(value, 64); err == nil && !(o.Load >= 0 && o.Load < math.MaxFloat64) {
				err = errors.New("out of range")
			}
		case "r":
			o.Retry = value == "1"
		case "again":
			o.Again = value == "1"
		case "mid":
			o.Mid = value == "1"
		case "at":
			o.At = value
		}
		if err != nil {
			return o, fmt.Errorf("field %q: %q is no figure: %w", name, value, err)
		}
		at += len(pair) + 1
	}
	return o, nil
}

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
	Pong = "PONG\r\n"
	Fail = "FAIL\r\n"
	Move = "MOVE\r\n"
)

// Busy writes a refusal, with advice when to come again where after is above 0.
func Busy(after time.Duration) string {
	if after <= 0 {
		return "BUSY\r\n"
	}
	return "BUSY " + strconv.FormatInt(max((after+time.Millisecond-1).Milliseconds(), 1), 10) + "\r\n"
}
