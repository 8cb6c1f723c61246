package main

import (
	"strings"
	"testing"
)

func TestParseKnownFailures_BadLine_ErrorNamesLine(t *testing.T) {
	for _, test := range []struct{ name, list, want string }{
		{"no cause", "p TestA | | 1", `line 1: want "package test | cause | issue"`},
		{"no issue", "# a comment\np TestA | cause", `line 2: want "package test | cause | issue"`},
		{"a subtest", "p TestA/one | cause | 1", "line 1: TestA/one is not a top-level test"},
		{"too many tests", strings.Repeat("p TestA | cause | 1\n", 4), "4 tests listed, at most 3 allowed"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := parseKnownFailures(test.list)
			if err == nil || err.Error() != test.want {
				t.Errorf("got %v, want %s", err, test.want)
			}
		})
	}
}
