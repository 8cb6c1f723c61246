// Package migrate converts a node's configuration for use in another deployment. Its input is the text of the old file
// and the Shape of the new deployment. Its output is the text of the new file and a report on each field. It does no I/O.
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

// Values of ReportLine.Status.
const (
	Carried        = "carried"     // copied unchanged
	Changed        = "changed"     // set by the shape to another value
	Added          = "set"         // set by the shape; not in the old file
	Dropped        = "not carried" // removed; ReportLine.Reason says why
	CarriedUnknown = "kept"        // copied unchanged; no node reads it
)

// ReportLine reports how the migration treated one field.
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
	root        *value                // the configuration, which is converted in place
	changes     map[string]ReportLine // by path
	changeOrder []string              // paths of the changes made by set, in order
	dropped     []ReportLine
}

// Run converts an old configuration. It returns a *tomlfile.FieldError if the shape doesn't match the configuration, and
// an *Error if the configuration is invalid. The same input always gives the same output.
func Run(old []byte, shape Shape) (out []byte, report []ReportLine, err error) {
	root, err := parse(old)
	if err != nil {
		return nil, nil, err
	}
	if root.kind != '{' || root.get("settings") == nil {
		return nil, nil, &Error{root.line, "settings", errors.New("missing: not a node configuration")}
	}
	original, err := parse(old)
	if err != nil {
		return nil, nil, err
	}
	m := &migration{shape: shape, root: root, changes: map[string]ReportLine{}}
	steps := []func() error{m.checkKeyCase, m.migrateZones, m.migrateHosts, m.migrateNodesAndDiscovery}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, nil, err
		}
	}
	m.migrateRules()
	m.migrateClassesAndTenants()
	var text bytes.Buffer
	if err := json.Indent(&text, []byte(root.text()), "", "  "); err != nil {
		return nil, nil, err
	}
	return append(text.Bytes(), '\n'), m.report(original), nil
}

// set sets a field to a value of the shape and records the change for the report.
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

// stringList returns the value of a field that must be an array of strings.
func (m *migration) stringList(path string) ([]string, error) {
	list := m.root.get(path)
	if list == nil || list.kind != '[' {
		return nil, &Error{Field: path, Err: errors.New("missing or not an array of strings")}
	}
	var names []string
	for i, item := range list.items {
		name, ok := item.scalar.(string)
		if !ok {
			return nil, &Error{item.line, fmt.Sprintf("%s[%d]", path, i), errors.New("not a string")}
		}
		names = append(names, name)
	}
	return names, nil
}

// integer returns the value of a field that must be an integer, or 0 if it is missing.
func (m *migration) integer(path string) (int, error) {
	v := m.root.get(path)
	if v == nil {
		return 0, nil
	}
	number, _ := v.scalar.(json.Number)
	n, err := strconv.Atoi(number.String())
	if err != nil {
		return 0, &Error{v.line, path, errors.New("not an integer")}
	}
	return n, nil
}

// checkKeyCase rejects keys that differ from a known one only in case. A node would read them, because encoding/json
// ignores case, but the report would call them unknown.
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
					return &Error{item.line, at, fmt.Errorf("wrong case: want %s", known)}
				}
			}
		}
		if err := checkKeyCase(at, item); err != nil {
			return err
		}
	}
	return nil
}

// shapeError returns the error for a shape that doesn't match the configuration.
func shapeError(path, format string, args ...any) error {
	return tomlfile.NewFieldError(path, format, args...)
}
