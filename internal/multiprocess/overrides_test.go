package multiprocess

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"onyxstream/internal/node"
	"onyxstream/internal/sharedstate"
)

// blockWrites makes writes of the shared state fail, as on a full disk, until unblock is called.
func blockWrites(t *testing.T, folder string) (unblock func()) {
	t.Helper()
	locks, err := filepath.Glob(filepath.Join(folder, "*.lock"))
	if err != nil || len(locks) != 1 {
		t.Fatalf("lock files: got %v, error %v, want one", locks, err)
	}
	temporary := locks[0][:len(locks[0])-len(".lock")] + ".words.new" // the state is written here, then renamed
	if err := os.MkdirAll(filepath.Join(temporary, "full"), 0o700); err != nil {
		t.Fatal(err)
	}
	return func() {
		if err := os.RemoveAll(temporary); err != nil {
			t.Fatal(err)
		}
	}
}

// startTestCoordinator returns the coordinator of a node with host "h1" whose event loop runs until the test ends.
func startTestCoordinator(t *testing.T, folder string) (*Coordinator, *node.Node) {
	t.Helper()
	coordinator, n := newTestCoordinator(t, folder)
	go func() { _ = n.Run(t.Context()) }()
	return coordinator, n
}

// loadState reads the shared state.
func loadState(c *Coordinator) (sharedstate.State, error) {
	state, _, err := c.store.Load().Load()
	return state, err
}

// eventually waits until a condition holds, and fails the test if it does not hold within 10 s. what describes the
// condition.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for begin := time.Now(); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Since(begin) > 10*time.Second {
			t.Fatalf("condition not met in time: %s", what)
		}
	}
}

// An override that is set while the folder is not writable must be written to it later, as soon as that is possible.
func TestOverride_FolderFails_IsWrittenLater(t *testing.T) {
	folder := t.TempDir()
	coordinator, _ := startTestCoordinator(t, folder)
	unblock := blockWrites(t, folder)
	if err := coordinator.SetHostOverride("h1", true); err != nil {
		t.Fatal(err)
	}
	go coordinator.Run(t.Context())
	time.Sleep(3 * syncInterval)
	unblock()
	eventually(t, "the override is written", func() bool {
		state, err := loadState(coordinator)
		return err == nil && len(state.Overrides) == 1 && state.Overrides[0].Draining
	})
}

// A folder that is missing at the start must be used as soon as it exists. Overrides that were set before must be
// written then.
func TestOverride_FolderMissingAtStart_IsWrittenLater(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "later")
	coordinator, _ := startTestCoordinator(t, dir)
	if coordinator.store.Load() != nil {
		t.Fatal("the store is open, but its folder does not exist")
	}
	if err := coordinator.SetHostOverride("h1", true); err != nil {
		t.Fatal(err)
	}
	go coordinator.Run(t.Context())
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the override is written", func() bool {
		if coordinator.store.Load() == nil {
			return false
		}
		state, err := loadState(coordinator)
		return err == nil && len(state.Overrides) == 1 && state.Overrides[0].Draining
	})
}

// After a failed write, the override of another process must still be applied. The failed change never reached the
// shared state, so the change of the other process has the serial that the failed change would have had.
func TestOverride_FolderFails_OthersAreApplied(t *testing.T) {
	folder := t.TempDir()
	coordinator, n := startTestCoordinator(t, folder)
	unblock := blockWrites(t, folder)
	if err := coordinator.SetHostOverride("h1", false); err != nil {
		t.Fatal(err)
	}
	unblock()
	other := sharedstate.State{Node: "n1"}
	if err := other.SetOverride("h1", true, time.Now()); err != nil {
		t.Fatal(err)
	}
	text, err := other.Encode()
	if err != nil {
		t.Fatal(err)
	}
	locks, _ := filepath.Glob(filepath.Join(folder, "*.lock"))
	if err := os.WriteFile(locks[0][:len(locks[0])-len(".lock")]+".words", text, 0o600); err != nil {
		t.Fatal(err)
	}
	coordinator.syncOverrides()
	eventually(t, "the override of the other process is in force", func() bool {
		_, avoided := n.HostCounts()
		return avoided == 1
	})
}

// An override that was set while the folder could not be used must supersede an older one that an earlier process wrote
// to the folder, but not a later one.
func TestOverride_FolderMissingAtStart_SupersedesOlder(t *testing.T) {
	for _, c := range []struct {
		name         string
		setAt        time.Duration // when the other override was set, relative to this one
		avoided      int64
		wantDraining bool // in the shared state at the end
	}{{"older", -time.Minute, 1, true}, {"later", time.Minute, 0, false}} {
		t.Run(c.name, func(t *testing.T) {
			dir := filepath.Join(t.TempDir(), "later")
			coordinator, n := startTestCoordinator(t, dir)
			if err := coordinator.SetHostOverride("h1", true); err != nil {
				t.Fatal(err)
			}
			before := filepath.Join(t.TempDir(), "before")
			if err := os.Mkdir(before, 0o700); err != nil {
				t.Fatal(err)
			}
			earlier, err := sharedstate.Open(before, "n1")
			if err != nil {
				t.Fatal(err)
			}
			err = earlier.Update(func(state *sharedstate.State) error {
				return state.SetOverride("h1", false, time.Now().Add(c.setAt))
			})
			if err != nil {
				t.Fatal(err)
			}
			earlier.Close()
			if err := os.Rename(before, dir); err != nil {
				t.Fatal(err)
			}
			go coordinator.Run(t.Context())
			eventually(t, "the shared state has the override", func() bool {
				if coordinator.store.Load() == nil {
					return false
				}
				coordinator.mu.Lock()
				defer coordinator.mu.Unlock()
				state, err := loadState(coordinator)
				written := err == nil && len(coordinator.pending) == 0
				return written && len(state.Overrides) == 1 && state.Overrides[0].Draining == c.wantDraining
			})
			eventually(t, "the process applies the override in the shared state", func() bool {
				_, avoided := n.HostCounts()
				return avoided == c.avoided
			})
		})
	}
}
