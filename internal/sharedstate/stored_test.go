package sharedstate

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// The files in testdata were written by an earlier release. The fields in the code have been renamed since, but the
// JSON keys must not be: this release must read such files and write equal ones, because another process of the node,
// or its successor, may be of the earlier release.

func readFixture(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func TestStoredState_FromEarlierRelease_RoundTripsUnchanged(t *testing.T) {
	text := readFixture(t, "shared-v1.words")
	got, err := Decode(text, "n1")
	if err != nil {
		t.Fatal(err)
	}
	at := time.Date(2026, 12, 1, 12, 0, 0, 123456789, time.UTC)
	want := State{
		Node:   "n1",
		Serial: 4,
		Overrides: []HostOverride{
			{"host-a", false, at.Add(2 * time.Second), 3},
			{"host-b", true, at.Add(time.Second), 2},
		},
		Drain: Drain{
			Active:              true,
			Deadline:            at.Add(3 * time.Second),
			AdmissionCutoff:     at.Add(time.Second),
			RetryAfter:          1500 * time.Millisecond,
			KeepConnections:     true,
			Serial:              4,
			DeadlineBoot:        5*time.Hour + 3*time.Second,
			AdmissionCutoffBoot: 5*time.Hour + time.Second,
		},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	again, err := got.Encode()
	if diff := cmp.Diff(string(text), string(again)); diff != "" || err != nil {
		t.Errorf("encoding differs from the earlier release: error %v, diff (-want +got):\n%s", err, diff)
	}
}

func TestStoredStatus_FromEarlierRelease_RoundTripsUnchanged(t *testing.T) {
	text := readFixture(t, "process-v1.alive")
	want := ProcessStatus{Ready: true, Descriptors: 1234}
	if got := parseStatus(string(text)); got != want {
		t.Errorf("status: got %+v, want %+v", got, want)
	}
	s, err := Open(t.TempDir(), "n1")
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if err := s.Publish(want); err != nil {
		t.Fatal(err)
	}
	again, err := os.ReadFile(s.livenessFile.Name())
	if string(again) != string(text) || err != nil {
		t.Errorf("published status: error %v, got %q, want %q", err, again, text)
	}
}

// The names of the files are part of the format, because two processes of one node find each other by them.
func TestStoredFileNames_EarlierRelease_AreEqual(t *testing.T) {
	dir := t.TempDir()
	s, err := Open(dir, "n1")
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	const base = "onyxstream-51ce9f3ef4b004a7"
	got := []string{s.statePath(), s.livenessFile.Name()}
	want := []string{
		filepath.Join(dir, base+".words"),
		filepath.Join(dir, fmt.Sprintf("%s-%d.alive", base, os.Getpid())),
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if _, err := os.Stat(filepath.Join(dir, base+".lock")); err != nil {
		t.Error(err)
	}
}
