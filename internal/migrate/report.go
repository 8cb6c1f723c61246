package migrate

import (
	"fmt"
	"strings"
)

// report returns a line for each field of the old file in file order, then the fields that the shape added, then the
// dropped ones.
func (m *migration) report(old *value) []ReportLine {
	w := reportWriter{migration: m, isDropped: map[string]bool{}, isReported: map[string]bool{}}
	for _, line := range m.dropped {
		w.isDropped[line.Field] = true
	}
	w.walk("", "", old)
	for _, path := range m.changeOrder {
		if !w.isReported[path] {
			w.lines = append(w.lines, m.changes[path])
		}
	}
	return append(w.lines, m.dropped...)
}

// reportWriter collects the report lines for the fields of the old file.
type reportWriter struct {
	*migration
	lines      []ReportLine
	isDropped  map[string]bool
	isReported map[string]bool // paths of changes that already have a line
}

// walk adds the lines for the value at path. pattern is the path with "[]" in place of each index, as in knownFields.
func (w *reportWriter) walk(path, pattern string, v *value) {
	change, isChanged := w.changes[path]
	isElement := strings.HasSuffix(pattern, "]")
	switch {
	case isChanged:
		w.isReported[path] = true
		w.lines = append(w.lines, change)
	case w.isDropped[path] && strings.HasSuffix(path, "]"): // report appends its line at the end
	case path != "" && !knownFields[pattern] && !isElement:
		w.lines = append(w.lines, ReportLine{Field: path, Status: CarriedUnknown, Old: v.text(), New: v.text(), Reason: "unknown field"})
	case v.kind == 0 || len(v.items) == 0 || isScalarArray(v):
		w.lines = append(w.lines, ReportLine{Field: path, Status: Carried, Old: v.text(), New: v.text()})
	default:
		for i, item := range v.items {
			if v.kind == '{' {
				w.walk(joinPath(path, v.keys[i]), joinPath(pattern, v.keys[i]), item)
			} else {
				w.walk(fmt.Sprintf("%s[%d]", path, i), pattern+"[]", item)
			}
		}
	}
}

// isScalarArray reports whether a value is an array of scalars, which gets a single line in the report.
func isScalarArray(v *value) bool {
	if v.kind != '[' {
		return false
	}
	for _, item := range v.items {
		if item.kind != 0 {
			return false
		}
	}
	return true
}
