// Package migrate converts a node's configuration for one deployment into its counterpart for another: the old file's
// bytes and the shape of the new deployment in, the new file's bytes and a report on each field out. It is pure.
package migrate

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"onyxstream/internal/tomlfile"
)

// What became of a field.
const (
	Carried        = "carried"     // unchanged
	Changed        = "changed"     // by the shape
	Added          = "set"         // by the shape; the old file had none
	Dropped        = "not carried" // for the reason of the line
	CarriedUnknown = "kept"        // unchanged, and the program does not read it
)

// ReportLine tells what became of one field.
type ReportLine struct {
	Field  string `json:"field"`
	Status string `json:"what"`
	Old    string `json:"old,omitempty"`
	New    string `json:"new,omitempty"`
	Reason string `json:"why,omitempty"`
}

// migration is one conversion in progress.
type migration struct {
	shape       Shape
	root        *value // of the new file
	changes     map[string]ReportLine
	changeOrder []string // the paths of changes, in the order in which they were made
	dropped     []ReportLine
}

// Run converts an old configuration. A shape that does not fit it is reported as *tomlfile.FieldError, a fault of the
// configuration as *Error. The same input gives the same bytes.
func Run(old []byte, shape Shape) (out []byte, report []ReportLine, err error) {
	root, err := parse(old)
	if err != nil {
		return nil, nil, err
	}
	if root.kind != '{' || root.get("settings") == nil {
		return nil, nil, &Error{root.line, "settings", errors.New("missing: this is no configuration of a node")}
	}
	before, err := parse(old)
	if err != nil {
		return nil, nil, err
	}
	m := &migration{shape: shape, root: root, changes: map[string]ReportLine{}}
	steps := []func() error{m.checkKeyCase, m.migrateLocations, m.migrateHosts, m.migrateFleet}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, nil, err
		}
	}
	m.migrateRules()
	m.migrateTraffic()
	var text bytes.Buffer
	if err := json.Indent(&text, []byte(root.text()), "", "  "); err != nil {
		return nil, nil, err
	}
	return append(text.Bytes(), '\n'), m.report(before), nil
}

// set sets a field to what the shape says and notes the change.
func (m *migration) set(path string, to any, reason string) {
	before, after := m.root.get(path), newValue(to)
	line := ReportLine{Field: path, Status: Changed, Old: before.text(), New: after.text(), Reason: reason}
	if before == nil {
		line.Status = Added
	}
	if line.Old == line.New {
		return
	}
	m.root.put(path, after)
	m.changes[path] = line
	m.changeOrder = append(m.changeOrder, path)
}

// stringList returns a field that is an array of strings.
func (m *migration) stringList(path string) ([]string, error) {
	list := m.root.get(path)
	if list == nil || list.kind != '[' {
		return nil, &Error{Field: path, Err: errors.New("missing, or no list of names")}
	}
	var names []string
	for i, item := range list.items {
		name, ok := item.scalar.(string)
		if !ok {
			return nil, &Error{item.line, fmt.Sprintf("%s[%d]", path, i), errors.New("is no name")}
		}
		names = append(names, name)
	}
	return names, nil
}

// integer returns a field that is an integer, 0 where it is missing.
func (m *migration) integer(path string) (int, error) {
	v := m.root.get(path)
	if v == nil {
		return 0, nil
	}
	number, _ := v.scalar.(json.Number)
	n, err := strconv.Atoi(number.String())
	if err != nil {
		return 0, &Error{v.line, path, errors.New("is no whole figure")}
	}
	return n, nil
}

// checkKeyCase rejects keys that differ from a known one in case alone: the program would read them, and the report would
// call them unknown.
func (m *migration) checkKeyCase() error {
	return checkKeyCase("", m.root)
}

func checkKeyCase(path string, v *value) error {
	for i, item := range v.items {
		at := path + "[]"
		if v.kind == '{' {
			at = joinPath(path, v.keys[i])
			for known := range knownFields {
				if known != at && strings.EqualFold(known, at) {
					return &Error{item.line, at, fmt.Errorf("is to be written %s", known)}
				}
			}
		}
		if err := checkKeyCase(at, item); err != nil {
			return err
		}
	}
	return nil
}

// shapeError reports that the shape does not fit the configuration.
func shapeError(path, format string, args ...any) error {
	return tomlfile.NewFieldError(path, format, args...)
}
