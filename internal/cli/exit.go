package cli

import (
	"errors"

	"onyxstream/internal/loadtest"
	"onyxstream/internal/tomlfile"
)

// Exit statuses of the program.
const (
	ExitOK            = 0
	ExitFailed        = 1
	ExitUsage         = 2 // the command line, or a file that it names, is invalid
	ExitGeneratorLate = 3 // load: the generator sent requests late, so the results do not describe the nodes alone
	ExitPartial       = 4 // load, scale: stopped early with a partial result
	ExitRegression    = 5 // load compare --check: a figure is significantly worse
	ExitLimitExceeded = 6 // a drain would make more instances unavailable than its limits allow
	ExitUnhealthy     = 7 // --wait: the operation did not succeed; instances check: unhealthy instances
)

// exitStatusHelp is the part of help texts that explains the exit statuses.
const exitStatusHelp = `Exit statuses:
  0  success
  1  failure
  2  the command line, or a file that it names, is invalid
  3  load: the generator sent requests late, so the results do not describe the nodes alone
  4  load, scale: stopped early with a partial result
  5  load compare --check: a figure is significantly worse
  6  a drain would make more instances unavailable than its limits allow
  7  --wait: the operation did not succeed; instances check: there are unhealthy instances`

// exitError is an error with an exit status other than ExitFailed.
type exitError struct {
	status int
	err    error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// usageError gives an error the exit status ExitUsage. It returns nil for nil.
func usageError(err error) error {
	if err == nil {
		return nil
	}
	return &exitError{ExitUsage, err}
}

// exitStatus returns the exit status for an error.
func exitStatus(err error) int {
	var exit *exitError
	var file *tomlfile.Error
	var trace *loadtest.TraceError
	switch {
	case errors.As(err, &exit):
		return exit.status
	case errors.As(err, &file), errors.As(err, &trace):
		return ExitUsage
	}
	return ExitFailed
}
