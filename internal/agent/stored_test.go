package agent

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	bolt "go.etcd.io/bbolt"

	"onyxstream/internal/control"
	"onyxstream/internal/fleet"
)

// openFixture opens a copy of the store in testdata, because opening a store writes to it.
func openFixture(t *testing.T) *Store {
	t.Helper()
	text, err := os.ReadFile("testdata/store-v1.db")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "store.db")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := OpenStore(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// dump returns all values of a store, by bucket and key.
func dump(t *testing.T, s *Store) map[string]string {
	t.Helper()
	all := map[string]string{}
	err := s.db.View(func(tx *bolt.Tx) error {
		return tx.ForEach(func(bucket []byte, b *bolt.Bucket) error {
			return b.ForEach(func(k, v []byte) error {
				all[string(bucket)+"/"+string(k)] = string(v)
				return nil
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return all
}

// An earlier release wrote the store in testdata. Operations outlive a change of the agent's release, in either
// direction: this release must read that store, and write the same bytes.
func TestStoredOperations_FromEarlierRelease_RoundTripUnchanged(t *testing.T) {
	s := openFixture(t)
	operations, desired, fence, err := s.Load()
	if err != nil {
		t.Fatal(err)
	}
	wantOperation := fleet.Operation{Request: fleet.Request{ID: "op-1", Kind: control.HostDrain, Host: "host-a", Targets: []string{"n1", "n2"},
		Options: fleet.Options{WaveSize: 2, MaxUnavailable: 3, MaxUnavailablePerZone: 1, AllowEmptyZone: true, DrainTimeout: 20 * time.Second, RetryAfter: time.Second,
			StepTimeout: 40 * time.Second, Deadline: time.Hour, OnFailure: "abort"}}, Fence: 7, State: fleet.Paused, Reason: "n2 is down",
		Steps: map[string]*fleet.Step{"n1": {State: fleet.StepDone, Incarnation: "b1"}, "n2": {State: fleet.StepFailed, Reason: "is down"}}, Elapsed: 90 * time.Second}
	wantDesired := fleet.DesiredState{Scope: fleet.Scope{Instance: "n1", Host: "host-a"}, Command: control.Command{Operation: "op-1", Fence: 7,
		Kind: control.HostDrain, Host: "host-a", DrainTimeout: 20 * time.Second, RetryAfter: time.Second, AdmitFor: 2 * time.Second, KeepConnections: true, HostMustExist: true}}
	unexported := cmpopts.IgnoreUnexported(fleet.Operation{}, fleet.Step{})
	if diff := cmp.Diff([]fleet.Operation{wantOperation}, operations, unexported); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]fleet.DesiredState{wantDesired}, desired); diff != "" || fence != 7 {
		t.Errorf("fence %d, want 7; desired states (-want +got): %s", fence, diff)
	}
	again, err := OpenStore(filepath.Join(t.TempDir(), "again.db"))
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	if err := again.Save(fleet.Change{Operations: operations, Desired: desired, Fence: fence}); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(dump(t, s), dump(t, again)); diff != "" {
		t.Errorf("an earlier release would not read the written store (-want +got): %s", diff)
	}
}
