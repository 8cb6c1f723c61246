package migrate

import (
	"fmt"
	"strings"
)

// report gives a line for each field of the old file in its order, then what the shape has set, then what is not carried.
func (m *move) report(old *value) (lines []Line) {
	left := map[string]bool{}
	for _, l := range m.gone {
		left[l.Field] = true
	}
	told := map[string]bool{}
	var walk func(path, kind string, v *value)
	walk = func(path, kind string, v *value) {
		l, changed := m.changed[path]
		switch {
		case changed:
			told[path] = true
			lines = append(lines, l)
		case left[path] && strings.HasSuffix(path, "]"): // told below
		case path != "" && !known[kind] && !strings.HasSuffix(kind, "]"):
			lines = append(lines, Line{Field: path, What: Unknown, Old: v.text(), New: v.text(), Why: "the program does not know it"})
		case v.kind == 0 || len(v.items) == 0 || scalars(v):
			lines = append(lines, Line{Field: path, What: Carried, Old: v.text(), New: v.text()})
		default:
			for i, item := range v.items {
				if v.kind == '{' {
					walk(join(path, v.keys[i]), join(kind, v.keys[i]), item)
				} else {
					walk(fmt.Sprintf("%s[%d]", path, i), kind+"[]", item)
				}
			}
		}
	}
	walk("", "", old)
	for _, path := range m.order {
		if !told[path] {
			lines = append(lines, m.changed[path])
		}
	}
	return append(lines, m.gone...)
}

// scalars reports whether an array holds plain values alone: it is one line of the report.
func scalars(v *value) bool {
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
