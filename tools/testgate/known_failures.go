package main

import (
	"errors"
	"fmt"
	"strings"
)

// maxKnownFailures bounds the tests that may be listed as known to fail.
const maxKnownFailures = 3

// testID names a top-level test of a package.
type testID struct{ Package, Test string }

func (id testID) String() string { return id.Package + " " + id.Test }

// knownFailure is a test that is known to fail, with its cause and the issue that it belongs to.
type knownFailure struct {
	testID
	Cause, Issue string
}

// parseKnownFailures reads lines of the form "package test | cause | issue". Blank lines and lines that begin with #
// are ignored. Errors name the line.
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
		return nil, fmt.Errorf("%d tests are listed, %d at most", len(known), maxKnownFailures)
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
		return knownFailure{}, fmt.Errorf("%s is no top-level test", name[1])
	}
	return knownFailure{testID{name[0], name[1]}, cause, issue}, nil
}
