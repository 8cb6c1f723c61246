package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// testEvent is one line of the output of "go test -json".
type testEvent struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// Values of testEvent.Action that testgate handles.
const (
	actionBuildOutput = "build-output"
	actionOutput      = "output"
	actionRun         = "run"
	actionPass        = "pass"
	actionFail        = "fail"
	actionSkip        = "skip"
)

// testResults collects the results of a test run. The testID of a package has an empty Test.
type testResults struct {
	packages map[string]string   // the last action of each package: pass, fail or skip
	tests    map[testID]string   // the last action of each top-level test: pass, fail, skip, or run if it did not finish
	panicked map[testID]bool     // tests and packages whose output has a panic
	passed   int                 // tests and subtests
	failed   int                 // tests and subtests
	output   map[testID][]string // of tests and packages that have not finished
}

func newTestResults() *testResults {
	return &testResults{
		packages: map[string]string{},
		tests:    map[testID]string{},
		panicked: map[testID]bool{},
		output:   map[testID][]string{},
	}
}

// topLevelTest returns the name of the top-level test that a test or subtest belongs to.
func topLevelTest(test string) string {
	name, _, _ := strings.Cut(test, "/")
	return name
}

// readEvents reads the output of "go test -json" to its end and records it. It writes the result lines of packages and the
// output of failed tests to out.
func (r *testResults) readEvents(in io.Reader, out io.Writer) error {
	lines := bufio.NewReader(in)
	for {
		line, err := lines.ReadBytes('\n')
		if len(line) > 0 {
			r.readLine(line, out)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// readLine records one line. It copies a line that is not JSON, such as one from a failed build, to out.
func (r *testResults) readLine(line []byte, out io.Writer) {
	var event testEvent
	if json.Unmarshal(line, &event) != nil {
		_, _ = out.Write(line)
		return
	}
	r.record(event, out)
}

func (r *testResults) record(event testEvent, out io.Writer) {
	id := testID{event.Package, topLevelTest(event.Test)}
	switch event.Action {
	case actionBuildOutput:
		fmt.Fprint(out, event.Output)
	case actionOutput:
		if strings.HasPrefix(event.Output, "panic: ") {
			r.panicked[id] = true
		}
		r.output[id] = append(r.output[id], event.Output)
	case actionRun:
		if event.Test == id.Test {
			r.tests[id] = event.Action
		}
	case actionPass, actionFail, actionSkip:
		r.recordEnd(event, id, out)
	}
}

// recordEnd records the result of a package, a test or a subtest when it ends.
func (r *testResults) recordEnd(event testEvent, id testID, out io.Writer) {
	if event.Test == "" {
		r.packages[event.Package] = event.Action
		r.printUnfinished(event.Package, out)
		r.printOutput(id, out)
		return
	}
	switch event.Action {
	case actionPass:
		r.passed++
	case actionFail:
		r.failed++
	}
	if event.Test != id.Test {
		return
	}
	r.tests[id] = event.Action
	if event.Action == actionFail {
		r.printOutput(id, out)
	}
	delete(r.output, id)
}

// printUnfinished writes the output of the tests of a package that have no result, because a goroutine panicked or the
// process was killed.
func (r *testResults) printUnfinished(name string, out io.Writer) {
	for id, action := range r.tests {
		if id.Package == name && action == actionRun {
			r.printOutput(id, out)
		}
	}
}

// printOutput writes the output of a test or package to out and discards it. For a package that did not fail it writes
// only the last line.
func (r *testResults) printOutput(id testID, out io.Writer) {
	lines := r.output[id]
	isPackage := id.Test == ""
	if isPackage && r.packages[id.Package] != actionFail && len(lines) > 0 {
		lines = lines[len(lines)-1:]
	}
	for _, line := range lines {
		fmt.Fprint(out, line)
	}
	delete(r.output, id)
}

// problems returns, in sorted order, the reasons why the run does not pass: tests that failed and are not listed, listed
// tests that did not fail, tests that panicked or did not finish, and packages that failed for another reason. It ignores
// listed tests of packages that were not run.
func (r *testResults) problems(known []knownFailure) []string {
	listed := map[testID]bool{}
	for _, failure := range known {
		listed[failure.testID] = true
	}
	problems := r.listedTestProblems(known)
	problems = append(problems, r.testProblems(listed)...)
	problems = append(problems, r.packageProblems(listed)...)
	slices.Sort(problems)
	return problems
}

func (r *testResults) listedTestProblems(known []knownFailure) (problems []string) {
	for _, failure := range known {
		if _, ran := r.packages[failure.Package]; !ran {
			continue
		}
		if action := r.tests[failure.testID]; action != actionFail {
			problems = append(problems, fmt.Sprintf(
				"%s is listed as known to fail, but did not fail (%q): remove it from the list", failure.testID, action))
		}
	}
	return problems
}

func (r *testResults) testProblems(listed map[testID]bool) (problems []string) {
	for id, action := range r.tests {
		switch {
		case r.panicked[id]:
			problems = append(problems, fmt.Sprintf("%s panicked: the tests after it did not run", id))
		case action == actionRun:
			problems = append(problems, fmt.Sprintf("%s did not finish", id))
		case action == actionFail && !listed[id]:
			problems = append(problems, fmt.Sprintf("%s failed", id))
		}
	}
	return problems
}

// packageProblems returns the packages that failed although none of their listed tests did, and those that panicked
// outside of a test.
func (r *testResults) packageProblems(listed map[testID]bool) (problems []string) {
	hasListedFailure := map[string]bool{}
	for id, action := range r.tests {
		if action == actionFail && listed[id] {
			hasListedFailure[id.Package] = true
		}
	}
	for name, action := range r.packages {
		if action == actionFail && !hasListedFailure[name] {
			problems = append(problems, fmt.Sprintf("package %s failed", name))
		}
		if r.panicked[testID{name, ""}] {
			problems = append(problems, fmt.Sprintf("package %s panicked", name))
		}
	}
	if len(r.packages) == 0 {
		problems = append(problems, "no package was tested")
	}
	return problems
}
