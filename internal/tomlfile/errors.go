package tomlfile

import (
	"errors"
	"fmt"
	"os"
	"strconv"
)

// Error is an error in the content of a file, or an error in reading the file. Line is 0 if it is unknown, Key is "" if
// the error is about the whole file.
type Error struct {
	File string
	Line int
	Key  string
	Err  error
}

// Error returns "file:line: key: reason", without the parts that are unknown.
func (e *Error) Error() string {
	text := e.File
	if e.Line > 0 {
		text += ":" + strconv.Itoa(e.Line)
	}
	if e.Key != "" {
		text += ": " + e.Key
	}
	return text + ": " + e.Err.Error()
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// FieldError is returned by a Checker for an invalid field. Path is the path of the field, such as "class[1].share".
// Decode converts it into an Error with file and line.
type FieldError struct {
	Path string
	Err  error
}

// Error returns "path: reason".
func (e *FieldError) Error() string { return e.Path + ": " + e.Err.Error() }

// NewFieldError returns a *FieldError whose Err is made by fmt.Errorf.
func NewFieldError(path, format string, args ...any) error {
	return &FieldError{path, fmt.Errorf(format, args...)}
}

// AddLocation converts an error about the content of a file into an *Error. For a *FieldError it finds the line of the
// field in text; any other error is about the whole file. It returns nil for nil.
func AddLocation(name string, text []byte, err error) error {
	if err == nil {
		return nil
	}
	var field *FieldError
	if errors.As(err, &field) {
		return &Error{name, findLine(text, field.Path), field.Path, field.Err}
	}
	return &Error{File: name, Err: err}
}

// withoutPath strips the path from an *os.PathError, because Error already prints the file.
func withoutPath(err error) error {
	var pathError *os.PathError
	if errors.As(err, &pathError) {
		return pathError.Err
	}
	return err
}
