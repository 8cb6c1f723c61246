package sharedstate

import (
	"testing"

	"onyxstream/internal/faultinject"
)

// withDescriptors calls f while this process may open only so many more descriptors.
func withDescriptors(t *testing.T, more uint64, f func()) {
	t.Helper()
	if err := faultinject.WithDescriptors(more, f); err != nil {
		t.Fatal(err)
	}
}

// A state that can't be opened for a moment counts as not read.
func TestLoad_OpenFailsForAMoment_IsReadLater(t *testing.T) {
	dir := t.TempDir()
	writer := openStore(t, dir, "n1")
	if err := writer.Update(drainHost("h1")); err != nil {
		t.Fatal(err)
	}
	reader := openStore(t, t.TempDir(), "n1")
	reader.folder = dir // its own mark lies elsewhere: two stores of one process would share one
	withDescriptors(t, 0, func() {
		if _, _, err := reader.Load(); err == nil {
			t.Error("it was read without a descriptor")
		}
	})
	if state, changed, err := reader.Load(); err != nil || !changed || len(state.Overrides) != 1 {
		t.Errorf("read later: %+v, changed %v, error %v", state, changed, err)
	}
}

// A change made while the state can't be read must not replace it by the older one that this process knows.
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
			t.Error("the change was made on what could not be read")
		}
	})
	if state, _, err := writer.Load(); err != nil || len(state.Overrides) != 1 || state.Overrides[0].Host != "h1" {
		t.Errorf("the other process's change is gone: %+v, error %v", state, err)
	}
	if err := other.Update(drainHost("h2")); err != nil {
		t.Fatal(err)
	}
	if state, _, err := writer.Load(); err != nil || len(state.Overrides) != 2 {
		t.Errorf("once it can be read again: %+v, error %v", state, err)
	}
}
