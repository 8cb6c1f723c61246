package coldstart

import (
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"onyxstream/internal/wire"
)

// A node's data folder outlives a release: this release must read the cached list of an earlier release, and write the
// same bytes. An earlier release wrote the file in testdata.
func TestStoredList_FromEarlierRelease_RoundTripsUnchanged(t *testing.T) {
	text, err := os.ReadFile("testdata/hosts-v1.list")
	if err != nil {
		t.Fatal(err)
	}
	confirmed := time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
	got, age, err := Decode(text, "lists", confirmed.Add(time.Minute))
	if err != nil || age != time.Minute {
		t.Fatalf("age %s, error %v, want age 1m", age, err)
	}
	want := wire.EndpointList{Revision: 42, Complete: true, Endpoints: []wire.Endpoint{
		{ID: "host-a", Addr: "127.0.0.1:9001", Zone: "z1", Cell: 2, Phase: wire.Serving, Size: 1.5, StartedAtMS: 1764590000000},
		{ID: "host-b", Addr: "127.0.0.1:9002", Zone: "z2", Phase: wire.Draining, Size: 1, StartedAtMS: 1764580000000}}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	again, err := CachedList{DiscoveryName: "lists", Confirmed: confirmed.UnixMilli(), List: got}.Encode()
	if diff := cmp.Diff(string(text), string(again)); diff != "" || err != nil {
		t.Errorf("error %v, encoded list differs from that of an earlier release: %s", err, diff)
	}
}
