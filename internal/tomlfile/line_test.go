package tomlfile

import "testing"

// linesText has a top-level field, a table, an array of tables, a nested table and a quoted key.
const linesText = `name = "top"
# [commented]
[limits]
sockets = 3

[[class]]
share = 1
[[class]]
  share = 2
[[class]]
[class.extra]
wait = "1s"
"max-age" = "2s"
`

func TestFindLine_Paths_LineOfFieldOrTable(t *testing.T) {
	for _, test := range []struct {
		name, path string
		want       int
	}{
		{"top-level field", "name", 1},
		{"field of a table", "limits.sockets", 4},
		{"field that is not set", "limits.memory", 3},
		{"first entry of an array", "class[0].share", 7},
		{"second entry of an array", "class[1].share", 9},
		{"field that the third entry does not set", "class[2].share", 10},
		{"entry of an array", "class[1]", 8},
		{"field of a nested table", "class.extra.wait", 12},
		{"quoted key", "class.extra.max-age", 13},
		{"top-level field that is not set", "other", 0},
		{"table that is commented out", "commented.key", 0},
		{"entry that does not exist", "class[3].share", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := findLine([]byte(linesText), test.path); got != test.want {
				t.Errorf("%s: line %d, want %d", test.path, got, test.want)
			}
		})
	}
}
