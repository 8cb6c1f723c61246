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
		t.Errorf("an empty folder: %v, %v", changed, err)
	}
	if err := a.Update(drainHost("h")); err != nil {
		t.Fatal(err)
	}
	if _, changed, _ := a.Load(); changed {
		t.Error("its own change is reported to it as one")
	}
	b := openSecondStore(t, dir, "n1")
	state, changed, err := b.Load()
	if !changed || err != nil || len(state.Overrides) != 1 || state.Overrides[0].Host != "h" {
		t.Errorf("the other reads %+v, %v, %v", state, changed, err)
	}
	if err := b.Update(drainHost("i")); err != nil {
		t.Fatal(err)
	}
	if state, changed, err := a.Load(); !changed || err != nil || len(state.Overrides) != 2 {
		t.Errorf("and back: %+v, %v, %v", state, changed, err)
	}
	otherNode := openSecondStore(t, dir, "n2")
	if state, changed, err := otherNode.Load(); changed || err != nil || len(state.Overrides) > 0 {
		t.Errorf("another node reads %+v, %v, %v", state, changed, err)
	}
}

// openSecondStore opens the store as another process would, as far as one process can: its mark has another name.
func openSecondStore(t *testing.T, dir, node string) *Store {
	t.Helper()
	s := openStore(t, dir, node+"x")
	s.node, s.filePrefix = node, nodeFilePrefix(node)
	s.last = State{Node: node}
	t.Cleanup(s.Close)
	return s
}

// A kill in the middle of a write leaves the state as it was, and the lock is released with its holder.
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
		t.Errorf("read as %+v, %v", state, err)
	}
	if err := b.Update(drainHost("i")); err != nil {
		t.Error(err)
	}
	unlock, err := a.lock()
	if err != nil {
		t.Fatal(err)
	}
	if err := b.Update(drainHost("j")); err == nil {
		t.Error("a change goes past another one")
	}
	unlock()
	if err := b.Update(drainHost("j")); err != nil {
		t.Error(err)
	}
}

// Damage is reported once, and the next change replaces the file by the state that this process knows.
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
			t.Errorf("%.10q is read as %+v, %v, %v", text, state, changed, err)
		}
		if _, _, err := a.Load(); err != nil {
			t.Errorf("%.10q is reported again: %v", text, err)
		}
	}
	if err := a.Update(drainHost("i")); err != nil {
		t.Fatal(err)
	}
	if state, _, err := openSecondStore(t, dir, "n1").Load(); err != nil || len(state.Overrides) != 2 {
		t.Errorf("then %+v, %v", state, err)
	}
}

func TestOpen_FolderMissing_Fails(t *testing.T) {
	if _, err := Open(filepath.Join(t.TempDir(), "none"), "n1"); err == nil {
		t.Error("no error")
	}
}

// The mark of a live process is read, that of a dead one is removed with its offers.
func TestOtherProcesses_LiveAndDead_ReadAndRemoved(t *testing.T) {
	dir := t.TempDir()
	a := openStore(t, dir, "n1")
	defer a.Close()
	if others, err := a.OtherProcesses(); len(others) > 0 || err != nil {
		t.Errorf("alone: %v, %v", others, err)
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
		t.Errorf("one that has published nothing: %v, %v", others, err)
	}
	_, _ = fmt.Fprintf(f, "1 %010d\n", 77)
	if others, err := a.OtherProcesses(); len(others) != 1 || others[0] != (ProcessStatus{true, 77}) || err != nil {
		t.Errorf("one that is ready: %v, %v", others, err)
	}
	_ = f.Close()
	offer := filepath.Join(dir, nodeFilePrefix("n1")+"-1-3.offer")
	if err := os.WriteFile(offer, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if others, err := a.OtherProcesses(); len(others) > 0 || err != nil {
		t.Errorf("one that died: %v, %v", others, err)
	}
	for _, file := range []string{name, offer} {
		if _, err := os.Stat(file); err == nil {
			t.Errorf("%s is left", file)
		}
	}
}
