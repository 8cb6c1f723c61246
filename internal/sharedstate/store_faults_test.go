package sharedstate

import (
	"testing"

	"onyxstream/internal/faultinject"
)

// withDescriptors calls f while this process can open only the given number of further descriptors.
func withDescriptors(t *testing.T, more uint64, f func()) {
	t.Helper()
	if err := faultinject.WithDescriptors(more, f); err != nil {
		t.Fatal(err)
	}
}

// If the state file can't be opened for a moment, the next Load must read it, rather than treat it as known.
func TestLoad_OpenFailsForAMoment_IsReadLater(t *testing.T) {
	dir := t.TempDir()
	writer := openStore(t, dir, "n1")
	if err := writer.Update(drainHost("h1")); err != nil {
		t.Fatal(err)
	}
	reader := openStore(t, t.TempDir(), "n1")
	reader.folder = dir // its liveness file is in another folder, because two stores of one process would share it
	withDescriptors(t, 0, func() {
		if _, _, err := reader.Load(); err == nil {
			t.Error("Load succeeded without a free descriptor")
		}
	})
	if state, changed, err := reader.Load(); err != nil || !changed || len(state.Overrides) != 1 {
		t.Errorf("next Load: got state %+v, changed %v, error %v, want a changed state with 1 override", state, changed, err)
	}
}

// If the state file can't be read for a moment, Update must fail. It would otherwise replace the changes of other
// processes by the older state that this process knows.
func TestUpdate_ReadFailsForAMoment_OthersChangesStay(t *testing.T) {
	dir := t.TempDir()
	writer := openStore(t, dir, "n1")
	if err := writer.Update(drainHost("h1")); err != nil {
		t.Fatal(err)
	}
	other := openStore(t, t.TempDir(), "n1")
	other.folder = dir
	withDescriptors(t, 1, func() { // one for the lock, none for the state
		if err := other.Update(drainHost("h2")); err == nil {
			t.Error("Update succeeded, but the state could not be read")
		}
	})
	if state, _, err := writer.Load(); err != nil || len(state.Overrides) != 1 || state.Overrides[0].Host != "h1" {
		t.Errorf("state after the failed Update: got %+v, error %v, want only the override of h1", state, err)
	}
	if err := other.Update(drainHost("h2")); err != nil {
		t.Fatal(err)
	}
	if state, _, err := writer.Load(); err != nil || len(state.Overrides) != 2 {
		t.Errorf("state after the next Update: got %+v, error %v, want 2 overrides", state, err)
	}
}
