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
	maxTimeout = 10 * time.Minute // longest timeout of a client; its request stays in memory until then
	maxName    = 256              // longest id or key in bytes
)

// The opening lines of a client, and the name of the timeout field.
const (
	healthCheckLine = "PING"
	requestPrefix   = "OPEN "
	timeoutField    = "d"
)

// OpeningKind is the kind of an opening line.
type OpeningKind uint8

// The kinds of an opening line.
const (
	OpeningHealthCheck OpeningKind = iota
	OpeningRequest
)

// Opening is a client's request for a connection.
type Opening struct {
	ID, Key string // id of the connection and key of the flow

	// The optional fields of the line. The connections of a Group share work if they are on the same host. Retry means
	// that the client repeats a request, Reconnect that it reconnects after a reset or a migration, and MidFlow that the
	// connection was established through another node and its packets now arrive here.
	Class, Tenant, Group      string
	Timeout                   time.Duration // counted from the last byte of the line; 0 if the line has none
	Load                      float64       // expected load; 0 if the line has none
	Retry, Reconnect, MidFlow bool
	CurrentHost               string // host that already had the connection before the node started, or ""

	// The line, and where Forward replaces the timeout.
	line                     string // the line as received, without its line end
	timeoutStart, timeoutEnd int    // position of the timeout value in line; both 0 if there is none
}

// ParseOpening parses the opening line of a client, without retaining the slice. A line that a host could not use is an
// error here, because a host that rejected it would count as an outlier.
func ParseOpening(line []byte) (OpeningKind, Opening, error) {
	if len(line) > MaxLine+1 {
		return 0, Opening{}, ErrTooLong
	}
	if !isPlainText(line) {
		return 0, Opening{}, errors.New("invalid text: control characters or invalid UTF-8")
	}
	if string(line) == healthCheckLine {
		return OpeningHealthCheck, Opening{}, nil
	}
	if !bytes.HasPrefix(line, []byte(requestPrefix)) {
		return 0, Opening{}, errors.New("unknown command: want OPEN or PING")
	}
	o, err := parseRequest(string(line))
	return OpeningRequest, o, err
}

// isPlainText reports whether a line is valid UTF-8 without control characters.
func isPlainText(line []byte) bool {
	for _, b := range line {
		if b < ' ' || b == 0x7f {
			return false
		}
	}
	return utf8.Valid(line)
}

// parseRequest parses a line of the form "OPEN id key name=value,name=value".
func parseRequest(line string) (Opening, error) {
	o := Opening{line: line}
	words := strings.SplitN(line, " ", 4)
	if len(words) < 3 || words[1] == "" || words[2] == "" {
		return o, errors.New("OPEN: missing id or key")
	}
	if len(words[1]) > maxName || len(words[2]) > maxName {
		return o, errors.New("OPEN: id or key too long")
	}
	o.ID, o.Key = words[1], words[2]
	if len(words) < 4 {
		return o, nil
	}
	err := o.parseFields(words[3])
	return o, err
}

// parseFields parses the fields at the end of the line. It ignores unknown fields, which are meant for the host.
func (o *Opening) parseFields(fields string) error {
	start := len(o.line) - len(fields)
	names := getNameSet()
	defer names.release()
	for field := range strings.SplitSeq(fields, ",") {
		name, value, _ := strings.Cut(field, "=")
		if !names.add(o.line, start, len(name)) {
			return fmt.Errorf("duplicate field %q", name)
		}
		if err := o.setField(name, value); err != nil {
			return fmt.Errorf("field %q: invalid value %q: %w", name, value, err)
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

// parseTimeout parses a timeout in milliseconds. It rounds up to a microsecond, since 0 stands for no timeout.
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

// parseDecimal parses a plain decimal number, without a sign or an exponent. It rejects names such as NaN and Inf.
func parseDecimal(value string) (float64, error) {
	if value == "" || strings.Trim(value, ".0123456789") != "" || value[0] == '.' {
		return 0, errors.New("not a plain decimal number")
	}
	return strconv.ParseFloat(value, 64)
}

// Line returns the line as received, without its line end.
func (o *Opening) Line() string { return o.line }

// Forward returns the line for a host: the client's line, with the value of its timeout field, if any, replaced by
// timeout in whole milliseconds, at least 1.
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
