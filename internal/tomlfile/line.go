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

// findLine returns the number of the line that sets the field at path, counted from 1. If no line sets the field, it
// returns the line of the table's header, or 0 if there is no such table.
func findLine(text []byte, path string) int {
	table, key := splitPath(path)
	headerLine := 0
	currentTable := ""
	tableCounts := map[string]int{} // tables seen so far of each array of tables
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

// splitPath splits the path of a field into the path of its table, with an index as in "class[1]", and its key. If the path
// is that of an entry in an array of tables, the key is empty.
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
