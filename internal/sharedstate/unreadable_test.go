package sharedstate

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"onyxstream/internal/faultinject"
)

// withDescriptors runs f while this process may open only so many more descriptors at a time.
func withDescriptors(t *testing.T, more uint64, f func()) {
	t.Helper()
	if err := faultinject.WithDescriptors(more, f); err != nil {
		t.Fatal(err)
	}
}

// A document that can't be opened for a moment is read once it can be. It passed for read: what another process was told
// never came into force here.
func TestLoad_OpenFailsForAMoment_IsReadLater(t *testing.T) {
	dir := t.TempDir()
	writer := open(t, dir, "n1")
	if err := writer.Update(out("h1")); err != nil {
		t.Fatal(err)
	}
	reader := open(t, t.TempDir(), "n1")
	reader.dir = dir // its own mark lies elsewhere: two stores of one process would share one
	withDescriptors(t, 0, func() {
		if _, _, err := reader.Load(); err == nil {
			t.Error("it was read without a descriptor")
		}
	})
	if d, fresh, err := reader.Load(); err != nil || !fresh || len(d.Overrides) != 1 {
		t.Errorf("read later: %+v, fresh %v, error %v", d, fresh, err)
	}
}

// A change made while the document can't be read must not put this process's own older knowledge in its place.
func TestUpdate_ReadFailsForAMoment_OthersOrdersStay(t *testing.T) {
	dir := t.TempDir()
	writer := open(t, dir, "n1")
	if err := writer.Update(out("h1")); err != nil {
		t.Fatal(err)
	}
	other := open(t, t.TempDir(), "n1")
	other.dir = dir
	withDescriptors(t, 1, func() { // one for the lock, none for the document
		if err := other.Update(out("h2")); err == nil {
			t.Error("the change was made on what could not be read")
		}
	})
	if d, _, err := writer.Load(); err != nil || len(d.Overrides) != 1 || d.Overrides[0].Host != "h1" {
		t.Errorf("the other process's order is gone: %+v, error %v", d, err)
	}
	if err := other.Update(out("h2")); err != nil {
		t.Fatal(err)
	}
	if d, _, err := writer.Load(); err != nil || len(d.Overrides) != 2 {
		t.Errorf("once it can be read again: %+v, error %v", d, err)
	}
}

// An offer that can't be taken back at once, as its folder takes no change for a moment, is taken back once it can be: it
// passed for taken, and the connections in it were left by both processes.
func TestGive_TakingBackFailsForAMoment_NothingCountsAsTaken(t *testing.T) {
	s := open(t, t.TempDir(), "n1")
	blocked := s.offerName(os.Getpid(), 1) + ".back"
	if err := os.MkdirAll(filepath.Join(blocked, "full"), 0o700); err != nil {
		t.Fatal(err)
	}
	go func() {
		time.Sleep(takenWithin + takenWithin/3)
		_ = os.RemoveAll(blocked)
	}()
	taken, err := s.Offer(make([]OfferedConn, 2), nil)
	if err == nil || taken[0] || taken[1] {
		t.Errorf("taken %v, error %v: there is no other process", taken, err)
	}
}
