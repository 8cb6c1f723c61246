package loadtest

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	maxTraceID    = 64  // in bytes
	maxTraceField = 128 // in bytes
)

// traceRow is a request with its id and line number in the trace.
type traceRow struct {
	Request
	id   string
	line int
}

// parseRow parses a row. If the row is invalid, parseRow returns an error and the name of the invalid field, which is ""
// if the error does not concern a single field.
func (t *TraceReader) parseRow(line []byte) (r traceRow, field string, err error) {
	values, field, err := t.fieldValues(line)
	if err != nil {
		return r, field, err
	}
	for _, name := range requiredColumns {
		if values[name] == "" {
			return r, name, errors.New("missing value")
		}
	}
	if field, err = r.setNames(values); err != nil {
		return r, field, err
	}
	if field, err = r.setDurations(values); err != nil {
		return r, field, err
	}
	if text := values["load"]; text != "" {
		r.Load, err = strconv.ParseFloat(text, 64)
		if err != nil || !(r.Load >= 0 && r.Load <= maxLoad) {
			return r, "load", fmt.Errorf("%.40q is not a number from 0 to %d", text, maxLoad)
		}
	}
	return r, "", nil
}

// fieldValues returns the fields of a row as strings, by column name.
func (t *TraceReader) fieldValues(line []byte) (values map[string]string, field string, err error) {
	if t.header == nil {
		return jsonFields(line)
	}
	cells := strings.Split(string(line), ",")
	if len(cells) != len(t.header) {
		return nil, "", fmt.Errorf("%d fields, but the header has %d", len(cells), len(t.header))
	}
	values = map[string]string{}
	for i, column := range t.header {
		values[column] = cells[i]
	}
	return values, "", nil
}

func jsonFields(line []byte) (values map[string]string, field string, err error) {
	var object map[string]json.RawMessage
	if err := json.Unmarshal(line, &object); err != nil {
		return nil, "", fmt.Errorf("invalid JSON object: %w", err)
	}
	values = map[string]string{}
	for key, raw := range object {
		if !slices.Contains(columns, key) {
			return nil, key, errors.New("unknown field")
		}
		var text string
		if json.Unmarshal(raw, &text) != nil {
			text = string(raw)
		}
		values[key] = text
	}
	return values, "", nil
}

// setNames sets the id and the fields that the opening line contains.
func (r *traceRow) setNames(values map[string]string) (field string, err error) {
	r.id = values["id"]
	r.Class = values["class"]
	r.Tenant = values["tenant"]
	r.Zone = values["zone"]
	r.Key = values["key"]
	r.Group = values["group"]
	if len(r.id) > maxTraceID {
		return "id", fmt.Errorf("longer than %d bytes", maxTraceID)
	}
	if r.Key == "" {
		r.Key = "k" + r.id
	}
	for _, name := range []string{"class", "tenant", "zone", "key", "group"} {
		v := values[name]
		if strings.ContainsAny(v, " =\t\"") || len(v) > maxTraceField || !isPrintable(v) {
			return name, fmt.Errorf("invalid name %.40q", v)
		}
	}
	return "", nil
}

func (r *traceRow) setDurations(values map[string]string) (field string, err error) {
	for _, f := range []struct {
		name string
		into *time.Duration
	}{
		{"at_ms", &r.IntendedAt},
		{"life_ms", &r.Lifetime},
		{"message_ms", &r.MessageInterval},
	} {
		text := values[f.name]
		if text == "" {
			continue
		}
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil || !(ms >= 0 && ms <= float64(maxLength.Milliseconds())) {
			return f.name, fmt.Errorf("%.40q is not a number of milliseconds from 0 to one day", text)
		}
		*f.into = time.Duration(math.Round(ms * float64(time.Millisecond)))
	}
	return "", nil
}

// isPrintable reports whether a string consists of printable ASCII characters.
func isPrintable(s string) bool {
	for _, b := range []byte(s) {
		if b < ' ' || b >= 0x7f {
			return false
		}
	}
	return true
}
