package sharedstate

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"onyxstream/internal/sealedfile"
)

func openStore(t *testing.T, dir, node string) *Store {
	t.Helper()
	s, err := Open(dir, node)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func drainHost(host string) func(*State) error {
	return func(state *State) error { return state.SetOverride(host, true, noon) }
}

func TestStore_OneProcessUpdates_OtherLoads(t *testing.T) {
	dir := t.TempDir()
	a := openStore(t, dir, "n1")
	defer a.Close()
	if _, changed, err := a.Load(); changed || err != nil {
		t.Errorf("Load from an empty folder: got changed %v, error %v", changed, err)
	}
	if err := a.Update(drainHost("h")); err != nil {
		t.Fatal(err)
	}
	if _, changed, _ := a.Load(); changed {
		t.Error("Load reports the store's own update as a change")
	}
	b := openSecondStore(t, dir, "n1")
	state, changed, err := b.Load()
	if !changed || err != nil || len(state.Overrides) != 1 || state.Overrides[0].Host != "h" {
		t.Errorf("Load by the other process: got %+v, changed %v, error %v", state, changed, err)
	}
	if err := b.Update(drainHost("i")); err != nil {
		t.Fatal(err)
	}
	if state, changed, err := a.Load(); !changed || err != nil || len(state.Overrides) != 2 {
		t.Errorf("Load after the other process's update: got %+v, changed %v, error %v", state, changed, err)
	}
	otherNode := openSecondStore(t, dir, "n2")
	if state, changed, err := otherNode.Load(); changed || err != nil || len(state.Overrides) > 0 {
		t.Errorf("Load for another node: got %+v, changed %v, error %v, want an empty state", state, changed, err)
	}
}

// openSecondStore opens a second store, to stand in for another process of the node. Its liveness file has another name
// than the first store's, which has the same process id.
func openSecondStore(t *testing.T, dir, node string) *Store {
	t.Helper()
	s := openStore(t, dir, node+"x")
	s.node, s.filePrefix = node, nodeFilePrefix(node)
	s.last = State{Node: node}
	t.Cleanup(s.Close)
	return s
}

// If a process is killed while it writes the state, the old state must stay readable. While one store holds the lock,
// another must not change the state; after the release it can.
func TestStore_KilledWhileWriting_StateStays(t *testing.T) {
	dir := t.TempDir()
	a := openStore(t, dir, "n1")
	defer a.Close()
	if err := a.Update(drainHost("h")); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(a.statePath()+".new", []byte("onyxstream-handover-1 half of it"), 0o600); err != nil {
		t.Fatal(err)
	}
	b := openSecondStore(t, dir, "n1")
	if state, _, err := b.Load(); err != nil || len(state.Overrides) != 1 {
		t.Errorf("state after an interrupted write: got %+v, error %v, want 1 override", state, err)
	}
	if err := b.Update(drainHost("i")); err != nil {
		t.Error(err)
	}
	unlock, err := a.lock()
	if err != nil {
		t.Fatal(err)
	}
	if err := b.Update(drainHost("j")); err == nil {
		t.Error("Update succeeded while another store held the lock")
	}
	unlock()
	if err := b.Update(drainHost("j")); err != nil {
		t.Error(err)
	}
}

// Load must report a damaged file once and keep the last state known. The next Update must replace the file by that
// state with the change.
func TestLoad_DamagedFile_IsReportedOnceAndReplaced(t *testing.T) {
	dir := t.TempDir()
	a := openStore(t, dir, "n1")
	defer a.Close()
	if err := a.Update(drainHost("h")); err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{"", "garbage", strings.Repeat("x", sealedfile.MaxBytes+1)} {
		if err := os.WriteFile(a.statePath(), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if state, changed, err := a.Load(); err == nil || changed || len(state.Overrides) != 1 {
			t.Errorf("Load of %.10q: got %+v, changed %v, error %v, want an error and the last state", text, state, changed, err)
		}
		if _, _, err := a.Load(); err != nil {
			t.Errorf("second Load of %.10q: got error %v, want none", text, err)
		}
	}
	if err := a.Update(drainHost("i")); err != nil {
		t.Fatal(err)
	}
	if state, _, err := openSecondStore(t, dir, "n1").Load(); err != nil || len(state.Overrides) != 2 {
		t.Errorf("state after Update: got %+v, error %v, want 2 overrides", state, err)
	}
}

func TestOpen_FolderMissing_Fails(t *testing.T) {
	if _, err := Open(filepath.Join(t.TempDir(), "none"), "n1"); err == nil {
		t.Error("Open succeeded, but the folder does not exist")
	}
}

// OtherProcesses must read the liveness file of a live process, and remove that of a dead one together with its offers.
func TestOtherProcesses_LiveAndDead_ReadAndRemoved(t *testing.T) {
	dir := t.TempDir()
	a := openStore(t, dir, "n1")
	defer a.Close()
	if others, err := a.OtherProcesses(); len(others) > 0 || err != nil {
		t.Errorf("without other processes: got %v, error %v", others, err)
	}
	name := filepath.Join(dir, nodeFilePrefix("n1")+"-1.alive")
	f, err := os.Create(name)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX); err != nil {
		t.Fatal(err)
	}
	if others, err := a.OtherProcesses(); len(others) != 1 || others[0].Ready || err != nil {
		t.Errorf("process without a published status: got %v, error %v", others, err)
	}
	_, _ = fmt.Fprintf(f, "1 %010d\n", 77)
	if others, err := a.OtherProcesses(); len(others) != 1 || others[0] != (ProcessStatus{true, 77}) || err != nil {
		t.Errorf("ready process: got %v, error %v", others, err)
	}
	_ = f.Close()
	offer := filepath.Join(dir, nodeFilePrefix("n1")+"-1-3.offer")
	if err := os.WriteFile(offer, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if others, err := a.OtherProcesses(); len(others) > 0 || err != nil {
		t.Errorf("dead process: got %v, error %v, want none", others, err)
	}
	for _, file := range []string{name, offer} {
		if _, err := os.Stat(file); err == nil {
			t.Errorf("file of the dead process not removed: %s", file)
		}
	}
}
