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

const (
	maxTimeout = 10 * time.Minute // that a client may ask for, as a request is held in memory so long
	maxName    = 256              // bytes of an id or a key
)

// The opening lines of a client, and the field of its timeout.
const (
	healthCheckLine = "PING"
	requestPrefix   = "OPEN "
	timeoutField    = "d"
)

// OpeningKind is the kind of a client's first line.
type OpeningKind uint8

// The kinds of a first line.
const (
	OpeningHealthCheck OpeningKind = iota
	OpeningRequest
)

// Opening is a client's request for a connection.
type Opening struct {
	ID, Key                   string // of the connection and of the flow
	Class, Tenant, Group      string
	Timeout                   time.Duration // from the line's last byte; 0 where the client gives none
	Load                      float64       // expected load; 0 where the client gives none
	Retry, Reconnect, MidFlow bool
	CurrentHost               string // the host of the connection before the node started, or ""

	line                     string // as it came, without its end
	timeoutStart, timeoutEnd int    // of the timeout's value in line; both 0 where there is none
}

// ParseOpening reads the first line of a client, which is not retained. What a host could not use is an error, as the
// host that rejects it would count as an outlier.
func ParseOpening(line []byte) (OpeningKind, Opening, error) {
	if !isPlainText(line) {
		return 0, Opening{}, errors.New("bytes that are no text")
	}
	if string(line) == healthCheckLine {
		return OpeningHealthCheck, Opening{}, nil
	}
	if !bytes.HasPrefix(line, []byte(requestPrefix)) {
		return 0, Opening{}, errors.New("neither OPEN nor PING")
	}
	o, err := parseRequest(string(line))
	return OpeningRequest, o, err
}

// isPlainText reports whether a line is text without control bytes.
func isPlainText(line []byte) bool {
	for _, b := range line {
		if b < ' ' || b == 0x7f {
			return false
		}
	}
	return utf8.Valid(line)
}

// parseRequest reads a line of the form "OPEN id key name=value,name=value".
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
	err := o.parseFields(words[3])
	return o, err
}

// parseFields reads the fields at the end of the line. Unknown ones are ignored, as they are for the host.
func (o *Opening) parseFields(fields string) error {
	start := len(o.line) - len(fields)
	seen := map[string]bool{}
	for field := range strings.SplitSeq(fields, ",") {
		name, value, _ := strings.Cut(field, "=")
		if seen[name] {
			return fmt.Errorf("field %q is given twice", name)
		}
		seen[name] = true
		if err := o.setField(name, value); err != nil {
			return fmt.Errorf("field %q: %q is no figure: %w", name, value, err)
		}
		end := start + len(field)
		if name == timeoutField {
			o.timeoutStart, o.timeoutEnd = end-len(value), end
		}
		start = end + 1
	}
	return nil
}

func (o *Opening) setField(name, value string) error {
	var err error
	switch name {
	case "c":
		o.Class = value
	case "t":
		o.Tenant = value
	case "g":
		o.Group = value
	case timeoutField:
		o.Timeout, err = parseTimeout(value)
	case "h":
		o.Load, err = parseLoad(value)
	case "r":
		o.Retry = value == "1"
	case "again":
		o.Reconnect = value == "1"
	case "mid":
		o.MidFlow = value == "1"
	case "at":
		o.CurrentHost = value
	}
	return err
}

// parseTimeout reads milliseconds. They are rounded up, as 0 stands for no timeout.
func parseTimeout(value string) (time.Duration, error) {
	ms, err := parseDecimal(value)
	if err != nil {
		return 0, err
	}
	if !(ms > 0 && ms <= float64(maxTimeout.Milliseconds())) {
		return 0, errors.New("out of range")
	}
	return time.Duration(math.Ceil(ms*1000)) * time.Microsecond, nil
}

func parseLoad(value string) (float64, error) {
	load, err := parseDecimal(value)
	if err == nil && !(load < math.MaxFloat64) {
		err = errors.New("out of range")
	}
	return load, err
}

// parseDecimal reads a plain decimal number: no sign, no exponent, no name of a number.
func parseDecimal(value string) (float64, error) {
	if value == "" || strings.Trim(value, ".0123456789") != "" || value[0] == '.' {
		return 0, errors.New("no plain number")
	}
	return strconv.ParseFloat(value, 64)
}

// Line returns the line as it came, without its end.
func (o *Opening) Line() string { return o.line }

// Forward returns the line for a host, as the client sent it but for the timeout, which is the node's.
func (o *Opening) Forward(timeout time.Duration) []byte {
	out := make([]byte, 0, len(o.line)+16)
	if o.timeoutEnd == 0 {
		out = append(out, o.line...)
	} else {
		out = append(out, o.line[:o.timeoutStart]...)
		out = strconv.AppendInt(out, max(timeout.Milliseconds(), 1), 10)
		out = append(out, o.line[o.timeoutEnd:]...)
	}
	return append(out, '\r', '\n')
}
