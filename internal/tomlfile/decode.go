// Package tomlfile reads the TOML files of onyxstream. It is strict: an unknown key, a value of the wrong type and a
// value that fails the target's Check are errors, which give the file, the line and the key.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Checker is implemented by targets that validate themselves after decoding. Check returns a *FieldError if a field is
// invalid, and any other error if the file as a whole is.
type Checker interface{ Check() error }

// maxFileBytes is the maximum size of a file. It is far above the size of any configuration.
const maxFileBytes = 4 << 20

// Read decodes the file at path into the value that into points to, and validates it if it is a Checker. It returns the
// text of the file even if decoding fails. Errors are *Error.
func Read(path string, into any) (text []byte, err error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, &Error{File: path, Err: withoutPath(err)}
	}
	if info.IsDir() || info.Size() > maxFileBytes {
		return nil, &Error{File: path, Err: fmt.Errorf("is a directory or larger than %d bytes", maxFileBytes)}
	}
	text, err = os.ReadFile(path)
	if err != nil {
		return nil, &Error{File: path, Err: withoutPath(err)}
	}
	return text, Decode(path, text, into)
}

// Decode decodes text into the value that into points to, and validates it if it is a Checker. Errors are *Error with
// name as the file.
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

// decodeError converts an error of the TOML decoder into an *Error. If several keys are unknown, it reports the first.
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
