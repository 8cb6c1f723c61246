package main

import (
	"io"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// listedRun is a run in which TestA fails and TestB passes.
const listedRun = `{"Action":"run","Package":"p","Test":"TestA"}
{"Action":"output","Package":"p","Test":"TestA","Output":"a.go:1: wrong\n"}
{"Action":"fail","Package":"p","Test":"TestA"}
{"Action":"run","Package":"p","Test":"TestB"}
{"Action":"run","Package":"p","Test":"TestB/one"}
{"Action":"pass","Package":"p","Test":"TestB/one"}
{"Action":"pass","Package":"p","Test":"TestB"}
{"Action":"output","Package":"p","Output":"FAIL\n"}
{"Action":"fail","Package":"p"}
`

// problemsOf returns the problems of a run, given the output of "go test -json" and a list of known failures.
func problemsOf(t *testing.T, run, list string) []string {
	t.Helper()
	known, err := parseKnownFailures(list)
	if err != nil {
		t.Fatal(err)
	}
	results := newTestResults()
	if err := results.readEvents(strings.NewReader(run), io.Discard); err != nil {
		t.Fatal(err)
	}
	return results.problems(known)
}

func TestProblems_RunAndList_OnlyListedTestsMayFail(t *testing.T) {
	panicked := strings.Replace(listedRun, `"a.go:1: wrong\n"`, `"panic: wrong\n"`, 1)
	unfinished := strings.Replace(listedRun, `{"Action":"pass","Package":"p","Test":"TestB"}`+"\n", "", 1)
	for _, test := range []struct {
		name, run, list string
		want            []string
	}{
		{"a listed test fails", listedRun, "p TestA | cause | issue 1", nil},
		{"nothing is listed", listedRun, "", []string{"p TestA failed", "package p failed"}},
		{"a listed test passes", listedRun, "p TestA | cause | 1\np TestB | cause | 1",
			[]string{`p TestB is listed as known to fail, but did not fail ("pass"): remove it from the list`}},
		{"a listed test does not exist", listedRun, "p TestA | cause | 1\np TestC | cause | 1",
			[]string{`p TestC is listed as known to fail, but did not fail (""): remove it from the list`}},
		{"the package of a listed test was not run", listedRun, "p TestA | cause | 1\nq TestC | cause | 1", nil},
		{"a listed test panics", panicked, "p TestA | cause | 1", []string{"p TestA panicked: the tests after it did not run"}},
		{"a test does not finish", unfinished, "p TestA | cause | 1", []string{"p TestB did not finish"}},
		{"a build fails", `{"Action":"fail","Package":"p"}` + "\n", "", []string{"package p failed"}},
		{"no package runs", "", "", []string{"no package was tested"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, problemsOf(t, test.run, test.list)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// If a goroutine of a test panics, the package ends without a result of the test. The output of the test, which has the
// panic, must be printed then.
func TestReadEvents_TestUnfinished_OutputPrinted(t *testing.T) {
	const run = `{"Action":"run","Package":"p","Test":"TestA"}
{"Action":"run","Package":"p","Test":"TestA/one"}
{"Action":"output","Package":"p","Test":"TestA/one","Output":"panic: wrong\n"}
{"Action":"output","Package":"p","Test":"TestA/one","Output":"goroutine 7\n"}
{"Action":"output","Package":"p","Output":"FAIL\tp\n"}
{"Action":"fail","Package":"p"}
`
	var printed strings.Builder
	if err := newTestResults().readEvents(strings.NewReader(run), &printed); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("panic: wrong\ngoroutine 7\nFAIL\tp\n", printed.String()); diff != "" {
		t.Error(diff)
	}
}
