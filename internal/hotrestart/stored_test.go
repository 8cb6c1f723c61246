package hotrestart

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"onyxstream/internal/sealedfile"
)

// The file in testdata was written by an earlier release. The fields in the code have been renamed since, but the JSON
// keys must not be: this release must read such files and write equal ones, because another process of the node, or its
// successor, may be of the earlier release.

func readFixture(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func TestStoredOffer_FromEarlierRelease_RoundTripsUnchanged(t *testing.T) {
	text := readFixture(t, "handoff-v1.offer")
	var got offer
	if err := sealedfile.Decode(offerFormat, text, &got); err != nil {
		t.Fatal(err)
	}
	want := offer{
		Node:       "n1",
		PID:        4711,
		Number:     7,
		LivenessFD: 3,
		Connections: []OfferedConn{
			{
				Line:       "OPEN id=c1 class=chat d=1000",
				Host:       "host-a",
				Client:     Socket{11, "127.0.0.1:40001"},
				HostSocket: Socket{12, "127.0.0.1:9001"},
				Partial:    []byte("half a li"),
				Load:       2.5,
			},
			{
				Line:       "OPEN id=c2 class=chat d=900",
				Host:       "host-b",
				Client:     Socket{13, "127.0.0.1:40002"},
				HostSocket: Socket{14, "127.0.0.1:9002"},
			},
		},
		PingBaselines: []PingBaseline{{"host-a", 1764590400000, 350 * time.Microsecond}},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	again, err := sealedfile.Encode(offerFormat, got)
	if diff := cmp.Diff(string(text), string(again)); diff != "" || err != nil {
		t.Errorf("encoding differs from the earlier release: error %v, diff (-want +got):\n%s", err, diff)
	}
}

// The names of the files are part of the format, because two processes of one node find each other by them.
func TestStoredFileNames_EarlierRelease_AreEqual(t *testing.T) {
	dir := t.TempDir()
	got := newExchange(t, dir).offerPath(4711, 7)
	want := filepath.Join(dir, "onyxstream-51ce9f3ef4b004a7-4711-7.offer")
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
