package loadtest

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// An earlier release wrote the files in testdata. The result file has a value in every field. Both formats must stay
// readable: users compare results with those of earlier releases, and replay stored traces.

func TestStoredResult_FromEarlierRelease_RoundTripsUnchanged(t *testing.T) {
	r, err := ReadResult("testdata/result-v1.json")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "again.json")
	if err := r.Write(path); err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/result-v1.json")
	if err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile(path)
	if diff := cmp.Diff(string(want), string(got)); diff != "" || err != nil {
		t.Errorf("error %v; the result file changed (-want +got): %s", err, diff)
	}
}

func TestStoredTrace_FromEarlierRelease_RoundTripsUnchanged(t *testing.T) {
	trace, err := OpenTrace("testdata/trace-v1.csv", 1)
	if err != nil {
		t.Fatal(err)
	}
	var got []Request
	for {
		r, err := trace.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, r)
	}
	want := []Request{
		{Number: 0, IntendedAt: time.Second, Class: "chat", Tenant: "acme", Zone: "z1", Key: "k1", Group: "g1", Lifetime: time.Minute,
			MessageInterval: 250 * time.Millisecond, Load: 1.5},
		{Number: 1, IntendedAt: 1500 * time.Millisecond, Class: "chat", Tenant: "acme", Key: "k2", Lifetime: 90 * time.Second},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	want[1].Key = "" // on reading, a row without a key gets one that is derived from its id
	path := filepath.Join(t.TempDir(), "again.csv")
	w, err := CreateTrace(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range want {
		if err := w.Write(r); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	wantText, err := os.ReadFile("testdata/trace-v1.csv")
	if err != nil {
		t.Fatal(err)
	}
	gotText, err := os.ReadFile(path)
	if diff := cmp.Diff(string(wantText), string(gotText)); diff != "" || err != nil {
		t.Errorf("error %v; the trace file changed (-want +got): %s", err, diff)
	}
}
