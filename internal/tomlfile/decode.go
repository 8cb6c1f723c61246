// Package tomlfile reads the project's own TOML files. It is strict: an unknown key, a value of the wrong type and a
// value that fails the target's check are errors that name the file, the line and the key.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Checker is implemented by targets that validate themselves after decoding. Check returns a *FieldError for an invalid
// field, or another error about the whole file.
type Checker interface{ Check() error }

// maxFileBytes bounds the size of a file: no configuration is as large.
const maxFileBytes = 4 << 20

// Read reads and decodes the file at path into the value that into points to, and checks it if it is a Checker. It
// returns the file's text, also where decoding fails. Errors are *Error.
func Read(path string, into any) (text []byte, err error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, &Error{File: path, Err: withoutPath(err)}
	}
	if info.IsDir() || info.Size() > maxFileBytes {
		return nil, &Error{File: path, Err: fmt.Errorf("no file of at most %d bytes", maxFileBytes)}
	}
	text, err = os.ReadFile(path)
	if err != nil {
		return nil, &Error{File: path, Err: withoutPath(err)}
	}
	return text, Decode(path, text, into)
}

// Decode decodes text into the value that into points to, and checks it if it is a Checker. Errors are *Error with name
// as the file.
func Decode(name string, text []byte, into any) error {
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return decodeError(name, err)
	}
	checker, ok := into.(Checker)
	if !ok {
		return nil
	}
	return AddLocation(name, text, checker.Check())
}

// decodeError turns an error of the TOML decoder into an *Error. Of several unknown keys it names the first.
func decodeError(name string, err error) error {
	var unknownKeys *toml.StrictMissingError
	if errors.As(err, &unknownKeys) && len(unknownKeys.Errors) > 0 {
		first := &unknownKeys.Errors[0]
		row, _ := first.Position()
		return &Error{name, row, strings.Join(first.Key(), "."), errors.New("no such key")}
	}
	var syntaxOrType *toml.DecodeError
	if errors.As(err, &syntaxOrType) {
		row, _ := syntaxOrType.Position()
		reason := strings.TrimPrefix(syntaxOrType.Error(), "toml: ")
		return &Error{name, row, strings.Join(syntaxOrType.Key(), "."), errors.New(reason)}
	}
	return &Error{File: name, Err: err}
}
