// Package tomlfile reads TOML files of the project's own strictly: a key that is not known, a value that does not fit or a
// meaning that can't be is refused with file, line and key.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Error says what is wrong in a file, and where. Line is 0 where it is not known, Key "" where it is the whole file.
type Error struct {
	File string
	Line int
	Key  string
	Err  error
}

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

// FieldError is a check's complaint of one field, named by its path: "class[1].share". Decode adds file and line.
type FieldError struct {
	Path string
	Err  error
}

func (e *FieldError) Error() string { return e.Path + ": " + e.Err.Error() }

// NewFieldError makes a FieldError.
func NewFieldError(path, format string, args ...any) error {
	return &FieldError{path, fmt.Errorf(format, args...)}
}

// Checker is a value that can say what is wrong with it.
type Checker interface{ Check() error }

// maxFileBytes bounds a file: one that is larger is no configuration.
const maxFileBytes = 4 << 20

// Read reads and decodes a file; into must be a pointer, and is checked if it is a Checker. Errors are *Error.
func Read(path string, into any) (text []byte, err error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, &Error{File: path, Err: withoutPath(err)}
	}
	if info.IsDir() || info.Size() > maxFileBytes {
		return nil, &Error{File: path, Err: fmt.Errorf("no file of at most %d bytes", maxFileBytes)}
	}
	if text, err = os.ReadFile(path); err != nil {
		return nil, &Error{File: path, Err: withoutPath(err)}
	}
	return text, Decode(path, text, into)
}

// withoutPath drops the path that an error of the system repeats.
func withoutPath(err error) error {
	var p *os.PathError
	if errors.As(err, &p) {
		return p.Err
	}
	return err
}

// Decode decodes text strictly; name is the file's in errors.
func Decode(name string, text []byte, into any) error {
	dec := toml.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) && len(strict.Errors) > 0 {
			first := &strict.Errors[0]
			row, _ := first.Position()
			return &Error{name, row, strings.Join(first.Key(), "."), errors.New("no such key")}
		}
		var bad *toml.DecodeError
		if errors.As(err, &bad) {
			row, _ := bad.Position()
			return &Error{name, row, strings.Join(bad.Key(), "."), errors.New(strings.TrimPrefix(bad.Error(), "toml: "))}
		}
		return &Error{File: name, Err: err}
	}
	if c, ok := into.(Checker); ok {
		return AddLocation(name, text, c.Check())
	}
	return nil
}

// AddLocation adds file and line to a FieldError; other errors are the whole file's.
func AddLocation(name string, text []byte, err error) error {
	var field *FieldError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &field):
		return &Error{name, findLine(text, field.Path), field.Path, field.Err}
	}
	return &Error{File: name, Err: err}
}

var (
	header  = regexp.MustCompile(`^\s*(\[\[?)\s*([A-Za-z0-9_."-]+)\s*\]`)
	keyLine = regexp.MustCompile(`^\s*([A-Za-z0-9_"-]+)\s*=`)
	indexed = regexp.MustCompile(`\[(\d+)\]`)
)

// findLine finds the line of a field by its path, or that of its table where the field is not written; 0 where neither is.
func findLine(text []byte, path string) int {
	table, key := "", path
	if i := strings.LastIndexByte(path, '.'); i >= 0 {
		table, key = path[:i], path[i+1:]
	}
	if indexed.MatchString(key) && !strings.Contains(key, ".") { // the table itself
		table, key = path, ""
	}
	now, counts, at := "", map[string]int{}, 0
	for i, line := range strings.Split(string(text), "\n") {
		if m := header.FindStringSubmatch(line); m != nil {
			now = m[2]
			if m[1] == "[[" {
				now = fmt.Sprintf("%s[%d]", m[2], counts[m[2]])
				counts[m[2]]++
			}
			if now == table {
				at = i + 1
			}
		} else if m := keyLine.FindStringSubmatch(line); m != nil && now == table && strings.Trim(m[1], `"`) == key {
			return i + 1
		}
	}
	return at
}

// Duration is a time as Go writes it: "1.5s", "200ms".
type Duration time.Duration

// UnmarshalText reads a time.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no time such as \"1.5s\"", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes a time.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// AsDuration is the time as Go's.
func (d Duration) AsDuration() time.Duration { return time.Duration(d) }
