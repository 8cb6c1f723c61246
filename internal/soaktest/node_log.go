package soaktest

import (
	"bytes"
	"slices"
	"strings"
	"sync"

	"onyxstream/internal/invariant"
)

// clockStepMessage is the log message of a node that detects a step of its wall clock.
const clockStepMessage = "wall clock stepped"

// crashPatterns are texts in the log lines of panics, data races and other crashes.
var crashPatterns = []string{"panic", "failed badly", "could not be handled", "DATA RACE", "fatal error"}

// logBuffer collects the logs of all nodes.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write appends a part of a log. It is safe for concurrent use.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *logBuffer) bytes() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Clone(l.buf.Bytes())
}

// findErrors returns the lines of a log that report invariant violations, and the other lines that report crashes.
func findErrors(log []byte) (violations, crashes []string) {
	for line := range strings.Lines(string(log)) {
		line = strings.TrimRight(line, "\n")
		isCrash := func(pattern string) bool { return strings.Contains(line, pattern) }
		switch {
		case strings.Contains(line, invariant.LogMessage):
			violations = append(violations, line)
		case slices.ContainsFunc(crashPatterns, isCrash):
			crashes = append(crashes, line)
		}
	}
	return violations, crashes
}
