package sealedfile

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const testFormat = "onyxstream-test-1"

type testValue struct {
	Name string `json:"name"`
}

func TestDecode_EncodedValue_IsEqual(t *testing.T) {
	want := testValue{Name: "a"}
	text, err := Encode(testFormat, want)
	if err != nil {
		t.Fatal(err)
	}
	var got testValue
	if err := Decode(testFormat, text, &got); err != nil || got != want {
		t.Errorf("Decode of an encoded value: got %+v, error %v, want %+v", got, err, want)
	}
}

func TestDecode_InvalidFile_ReturnsItsError(t *testing.T) {
	text, err := Encode(testFormat, testValue{Name: "a"})
	if err != nil {
		t.Fatal(err)
	}
	var got testValue
	if err := Decode(testFormat, []byte("anything else"), &got); !errors.Is(err, ErrUnknownFormat) {
		t.Errorf("unknown format: got error %v, want ErrUnknownFormat", err)
	}
	if err := Decode(testFormat, text[:len(text)-1], &got); !errors.Is(err, ErrDamaged) {
		t.Errorf("truncated file: got error %v, want ErrDamaged", err)
	}
	changed := strings.Replace(string(text), `"a"`, `"b"`, 1)
	if err := Decode(testFormat, []byte(changed), &got); !errors.Is(err, ErrDamaged) {
		t.Errorf("changed file: got error %v, want ErrDamaged", err)
	}
	var version *VersionError
	if err := Decode("onyxstream-test-2", text, &got); !errors.As(err, &version) {
		t.Errorf("another version: got error %v, want a *VersionError", err)
	}
	unknown, err := Encode(testFormat, map[string]string{"other": "a"})
	if err != nil {
		t.Fatal(err)
	}
	if err := Decode(testFormat, unknown, &got); err == nil {
		t.Error("file with an unknown field: accepted, want an error")
	}
}

func TestRead_FileSizes_BoundedByMaxBytes(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	for size, want := range map[int]error{MaxBytes: nil, MaxBytes + 1: ErrTooLarge} {
		if err := Write(path, make([]byte, size)); err != nil {
			t.Fatal(err)
		}
		if _, err := Read(path); !errors.Is(err, want) {
			t.Errorf("file of %d bytes: got error %v, want %v", size, err, want)
		}
	}
	if _, err := os.Stat(path + tempSuffix); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("temporary file not removed: %v", err)
	}
}
