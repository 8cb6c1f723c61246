package tomlfile

import (
	"errors"
	"fmt"
	"os"
	"strconv"
)

// Error is a failure to read a file, with the place in the file. Line is 0 where it is not known, Key is "" where the
// error is about the whole file.
type Error struct {
	File string
	Line int
	Key  string
	Err  error
}

// Error returns the text "file:line: key: reason", without the parts that are not known.
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

// Unwrap returns the reason.
func (e *Error) Unwrap() error { return e.Err }

// FieldError is an invalid field that a Checker found. Path names the field, as "class[1].share". Decode turns it into
// an Error with file and line.
type FieldError struct {
	Path string
	Err  error
}

// Error returns the text "path: reason".
func (e *FieldError) Error() string { return e.Path + ": " + e.Err.Error() }

// NewFieldError returns a *FieldError whose reason is formatted as by fmt.Errorf.
func NewFieldError(path, format string, args ...any) error {
	return &FieldError{path, fmt.Errorf(format, args...)}
}

// AddLocation turns an error about the content of a file into an *Error: a *FieldError gets the line of its field in
// text, any other error is about the whole file. It returns nil for nil.
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

// withoutPath drops the path that an error of the system repeats.
func withoutPath(err error) error {
	var pathError *os.PathError
	if errors.As(err, &pathError) {
		return pathError.Err
	}
	return err
}
