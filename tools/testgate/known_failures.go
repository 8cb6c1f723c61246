package main

import (
	"errors"
	"fmt"
	"strings"
)

// maxKnownFailures is the maximum number of tests that may be listed as known to fail.
const maxKnownFailures = 3

// testID identifies a top-level test of a package, or the package itself if Test is empty.
type testID struct{ Package, Test string }

func (id testID) String() string { return id.Package + " " + id.Test }

// knownFailure is a test that is known to fail, with the cause of the failure and its issue.
type knownFailure struct {
	testID
	Cause, Issue string
}

// parseKnownFailures parses lines of the form "package test | cause | issue". It ignores blank lines and lines that begin
// with #. An error in a line gives the line number.
func parseKnownFailures(text string) ([]knownFailure, error) {
	var known []knownFailure
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		failure, err := parseKnownFailure(line)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", i+1, err)
		}
		known = append(known, failure)
	}
	if len(known) > maxKnownFailures {
		return nil, fmt.Errorf("%d tests listed, at most %d allowed", len(known), maxKnownFailures)
	}
	return known, nil
}

var errMalformedLine = errors.New(`want "package test | cause | issue"`)

func parseKnownFailure(line string) (knownFailure, error) {
	fields := strings.Split(line, "|")
	if len(fields) != 3 {
		return knownFailure{}, errMalformedLine
	}
	name := strings.Fields(fields[0])
	cause, issue := strings.TrimSpace(fields[1]), strings.TrimSpace(fields[2])
	if len(name) != 2 || cause == "" || issue == "" {
		return knownFailure{}, errMalformedLine
	}
	if strings.Contains(name[1], "/") {
		return knownFailure{}, fmt.Errorf("%s is not a top-level test", name[1])
	}
	return knownFailure{testID{name[0], name[1]}, cause, issue}, nil
}
