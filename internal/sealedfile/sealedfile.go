// Package sealedfile reads and writes small files with a checksum, through which the processes of one machine exchange
// state. A file is a header line followed by a JSON value. The header has the name of the format, the checksum and the
// length of the JSON value in bytes.
package sealedfile

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"strings"
)

// MaxBytes is the maximum size of a file. Read rejects a larger one.
const MaxBytes = 1 << 20

// tempSuffix ends the name of a file that is being written.
const tempSuffix = ".new"

var (
	// ErrTooLarge is returned by Read for a file larger than MaxBytes.
	ErrTooLarge = errors.New("file is too large")
	// ErrDamaged is returned by Decode if the checksum or the length does not match.
	ErrDamaged = errors.New("file is damaged: checksum or length mismatch")
	// ErrUnknownFormat is returned by Decode if the header does not have the expected format.
	ErrUnknownFormat = errors.New("file is of an unknown format")
)

// VersionError is returned by Decode for a file that has the expected format in another version.
type VersionError struct{ Header string }

func (e *VersionError) Error() string {
	return fmt.Sprintf("file is of another version: %.40q", e.Header)
}

// Encode returns the content of a file: the header for the format, then value as JSON. The last character of format is
// its version.
func Encode(format string, value any) ([]byte, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	header := fmt.Appendf(nil, "%s %08x %d\n", format, checksum(body), len(body))
	return append(header, body...), nil
}

func checksum(body []byte) uint32 {
	return crc32.Checksum(body, crc32.MakeTable(crc32.Castagnoli))
}

// Decode decodes into value what Encode returned for the same format. It returns an error if the content is truncated
// or changed, or has unknown fields.
func Decode(format string, text []byte, value any) error {
	header, body, hasBody := bytes.Cut(text, []byte("\n"))
	var gotFormat string
	var gotChecksum uint32
	var length int
	parsed, _ := fmt.Sscanf(string(header), "%s %x %d", &gotFormat, &gotChecksum, &length)
	if !hasBody || parsed != 3 || gotFormat != format {
		withoutVersion := format[:len(format)-1]
		if strings.HasPrefix(string(header), withoutVersion) {
			return &VersionError{string(header)}
		}
		return ErrUnknownFormat
	}
	if length != len(body) || gotChecksum != checksum(body) {
		return ErrDamaged
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	return decoder.Decode(value)
}

// Read reads a file of at most MaxBytes. It returns ErrTooLarge for a larger one.
func Read(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, MaxBytes+1))
	if err == nil && len(text) > MaxBytes {
		err = ErrTooLarge
	}
	return text, err
}

// Write replaces a file atomically: other processes see the old or the new content, even if this process is killed at
// any point. It does not sync the file, which need not survive a crash of the machine.
func Write(path string, text []byte) error {
	temporary := path + tempSuffix
	if err := os.WriteFile(temporary, text, 0o600); err != nil {
		_ = os.Remove(temporary)
		return err
	}
	return os.Rename(temporary, path)
}
