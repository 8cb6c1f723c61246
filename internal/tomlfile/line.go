package tomlfile

import (
	"fmt"
	"regexp"
	"strings"
)

var (
	tableHeader = regexp.MustCompile(`^\s*(\[\[?)\s*([A-Za-z0-9_."-]+)\s*\]`)
	keyAndValue = regexp.MustCompile(`^\s*([A-Za-z0-9_"-]+)\s*=`)
	arrayIndex  = regexp.MustCompile(`\[(\d+)\]`)
)

// findLine returns the line, counted from 1, that sets the field at path, or that of its table's header where no line
// sets the field, or 0 where there is neither.
func findLine(text []byte, path string) int {
	table, key := splitPath(path)
	headerLine := 0
	currentTable := ""
	tableCounts := map[string]int{} // of each array of tables
	for i, line := range strings.Split(string(text), "\n") {
		if match := tableHeader.FindStringSubmatch(line); match != nil {
			isArray, name := match[1] == "[[", match[2]
			currentTable = name
			if isArray {
				currentTable = fmt.Sprintf("%s[%d]", name, tableCounts[name])
				tableCounts[name]++
			}
			if currentTable == table {
				headerLine = i + 1
			}
			continue
		}
		match := keyAndValue.FindStringSubmatch(line)
		if match != nil && currentTable == table && strings.Trim(match[1], `"`) == key {
			return i + 1
		}
	}
	return headerLine
}

// splitPath splits a field's path into that of its table, in the form of findLine, and its key. The key of a path that
// names an entry of an array of tables is empty.
func splitPath(path string) (table, key string) {
	key = path
	if dot := strings.LastIndexByte(path, '.'); dot >= 0 {
		table, key = path[:dot], path[dot+1:]
	}
	if arrayIndex.MatchString(key) {
		return path, ""
	}
	return table, key
}
