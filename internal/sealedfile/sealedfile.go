// Package sealedfile reads and writes the small files by which the processes of one machine exchange state. A file is
// one header line with the name of its format, a checksum and a length, followed by a JSON value.
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

// MaxBytes bounds a file: Read refuses a larger one.
const MaxBytes = 1 << 20

// temporarySuffix is that of a file that is being written.
const temporarySuffix = ".new"

var (
	// ErrTooLarge is returned by Read for a file of more than MaxBytes.
	ErrTooLarge = errors.New("file is too large")
	// ErrDamaged is returned by Decode where the checksum or the length does not match.
	ErrDamaged = errors.New("file is damaged: checksum or length mismatch")
	// ErrUnknownFormat is returned by Decode where the header is none of this program's.
	ErrUnknownFormat = errors.New("file is of an unknown format")
)

// VersionError is returned by Decode for a file of another version of the format.
type VersionError struct{ Header string }

func (e *VersionError) Error() string {
	return fmt.Sprintf("file is of another version: %.40q", e.Header)
}

// Encode returns a file's content: the header for the format, and value as JSON.
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

// Decode reads into value what Encode returned for the same format. A format's name ends in a version of one
// character. A content that is cut, changed or has unknown fields is an error.
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

// Read reads a file of at most MaxBytes; a larger one is ErrTooLarge.
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

// Write replaces a file atomically for other processes, and for a kill at any point. It does not sync: the file need
// not outlive the machine.
func Write(path string, text []byte) error {
	temporary := path + temporarySuffix
	if err := os.WriteFile(temporary, text, 0o600); err != nil {
		_ = os.Remove(temporary)
		return err
	}
	return os.Rename(temporary, path)
}
