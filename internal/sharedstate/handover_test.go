package sharedstate

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var noon = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

func sample(t *testing.T) State {
	t.Helper()
	d := State{Node: "n1"}
	for _, w := range []struct {
		host string
		out  bool
	}{{"a", true}, {"b", true}, {"a", false}} {
		if err := d.SetOverride(w.host, w.out, noon); err != nil {
			t.Fatal(err)
		}
	}
	d.SetDrain(Drain{Active: true, Deadline: noon.Add(time.Second), AdmissionCutoff: noon, KeepConnections: true})
	return d
}

func TestADocumentIsReadAsItWasWritten(t *testing.T) {
	d := sample(t)
	text, err := d.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(text, "n1")
	if diff := cmp.Diff(d, got); diff != "" || err != nil {
		t.Errorf("%v, %s", err, diff)
	}
	if d.Serial != 4 || len(d.Overrides) != 2 || d.Overrides[0].Serial != 3 || d.Overrides[0].Draining {
		t.Errorf("the words are %+v", d)
	}
}

// Nothing but a whole document of this node and this version is believed.
func TestNothingElseIsBelieved(t *testing.T) {
	d := sample(t)
	text, err := d.Encode()
	if err != nil {
		t.Fatal(err)
	}
	for i := range text { // cut anywhere, and changed anywhere
		if _, err := Decode(text[:i], "n1"); err == nil {
			t.Errorf("cut at %d, it is believed", i)
		}
		changed := bytes.Clone(text)
		changed[i] ^= 1
		if _, err := Decode(changed, "n1"); err == nil && i > len(magic) && i != len(magic)+1 {
			if got, _ := Decode(changed, "n1"); cmp.Diff(d, got) != "" {
				t.Errorf("changed at %d, it is believed", i)
			}
		}
	}
	if _, err := Decode(text, "n2"); err == nil || !strings.Contains(err.Error(), `of node "n1"`) {
		t.Errorf("another node's: %v", err)
	}
	if _, err := Decode([]byte("onyxstream-handover-9 0 0\n"), "n1"); err == nil || !strings.Contains(err.Error(), "another version") {
		t.Errorf("another version's: %v", err)
	}
}

func FuzzDecode(f *testing.F) {
	d := State{Node: "n1", Serial: 1, Overrides: []HostOverride{{"a", true, noon, 1}}}
	text, _ := d.Encode()
	f.Add(text)
	f.Add([]byte("onyxstream-handover-1 00000000 2\n{}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if d, err := Decode(text, "n1"); err == nil && (d.Node != "n1" || len(d.Overrides) > maxOverrides) {
			t.Errorf("%q is read as %+v", text, d)
		}
	})
}

func TestWordsAreBoundedAndReturnsForgotten(t *testing.T) {
	d := State{Node: "n1"}
	for i := range maxOverrides {
		if err := d.SetOverride(fmt.Sprint("h", i), i%2 == 0, noon); err != nil {
			t.Fatal(err)
		}
	}
	if err := d.SetOverride("more", true, noon); err != ErrOverrideLimit {
		t.Errorf("one more: %v", err)
	}
	if err := d.SetOverride("h0", false, noon); err != nil {
		t.Errorf("one that is held: %v", err)
	}
	if err := d.SetOverride("more", true, noon.Add(remembered+time.Second)); err != nil || len(d.Overrides) != maxOverrides/2 {
		t.Errorf("when returns are long past: %v, %d words", err, len(d.Overrides))
	}
}

func open(t *testing.T, dir, node string) *Store {
	t.Helper()
	s, err := Open(dir, node)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func out(host string) func(*State) error {
	return func(d *State) error { return d.SetOverride(host, true, noon) }
}

func TestWhatOneProcessWritesTheOtherReads(t *testing.T) {
	dir := t.TempDir()
	a := open(t, dir, "n1")
	defer a.Close()
	if _, fresh, err := a.Load(); fresh || err != nil {
		t.Errorf("an empty folder: %v, %v", fresh, err)
	}
	if err := a.Update(out("h")); err != nil {
		t.Fatal(err)
	}
	if _, fresh, _ := a.Load(); fresh {
		t.Error("its own change is news to it")
	}
	b := second(t, dir, "n1")
	if d, fresh, err := b.Load(); !fresh || err != nil || len(d.Overrides) != 1 || d.Overrides[0].Host != "h" {
		t.Errorf("the other reads %+v, %v, %v", d, fresh, err)
	}
	if err := b.Update(out("i")); err != nil {
		t.Fatal(err)
	}
	if d, fresh, err := a.Load(); !fresh || err != nil || len(d.Overrides) != 2 {
		t.Errorf("and back: %+v, %v, %v", d, fresh, err)
	}
	if other := second(t, dir, "n2"); true { // another node in the same folder
		if d, fresh, err := other.Load(); fresh || err != nil || len(d.Overrides) > 0 {
			t.Errorf("another node reads %+v, %v, %v", d, fresh, err)
		}
	}
}

// second is a store of another process, as far as one process can be two: its mark has another name.
func second(t *testing.T, dir, node string) *Store {
	t.Helper()
	s := open(t, dir, node+"x")
	s.node, s.base = node, base(node)
	s.last = State{Node: node}
	t.Cleanup(s.Close)
	return s
}

// A kill in the middle of a write leaves the document as it was, and a lock that goes with its holder.
func TestAKillInTheMiddleOfAWrite(t *testing.T) {
	dir := t.TempDir()
	a := open(t, dir, "n1")
	defer a.Close()
	if err := a.Update(out("h")); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(a.path()+".new", []byte("onyxstream-handover-1 half of it"), 0o600); err != nil {
		t.Fatal(err)
	}
	b := second(t, dir, "n1")
	if d, _, err := b.Load(); err != nil || len(d.Overrides) != 1 {
		t.Errorf("read as %+v, %v", d, err)
	}
	if err := b.Update(out("i")); err != nil {
		t.Error(err)
	}
	unlock, err := a.lock()
	if err != nil {
		t.Fatal(err)
	}
	if err := b.Update(out("j")); err == nil {
		t.Error("a change goes past another one")
	}
	unlock()
	if err := b.Update(out("j")); err != nil {
		t.Error(err)
	}
}

// What is damaged is reported once, not believed, and replaced by what this process knows.
func TestDamageIsReportedAndReplaced(t *testing.T) {
	dir := t.TempDir()
	a := open(t, dir, "n1")
	defer a.Close()
	if err := a.Update(out("h")); err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{"", "garbage", strings.Repeat("x", mostBytes+1)} {
		if err := os.WriteFile(a.path(), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if d, fresh, err := a.Load(); err == nil || fresh || len(d.Overrides) != 1 {
			t.Errorf("%.10q is read as %+v, %v, %v", text, d, fresh, err)
		}
		if _, _, err := a.Load(); err != nil {
			t.Errorf("%.10q is reported again: %v", text, err)
		}
	}
	if err := a.Update(out("i")); err != nil {
		t.Fatal(err)
	}
	if d, _, err := second(t, dir, "n1").Load(); err != nil || len(d.Overrides) != 2 {
		t.Errorf("then %+v, %v", d, err)
	}
}

func TestAFolderThatCanNotBeUsed(t *testing.T) {
	if _, err := Open(filepath.Join(t.TempDir(), "none"), "n1"); err == nil {
		t.Error("no error")
	}
}

// The mark of a process that lives is seen, that of one that died is taken away.
func TestMarksOfTheLivingAndTheDead(t *testing.T) {
	dir := t.TempDir()
	a := open(t, dir, "n1")
	defer a.Close()
	if others, err := a.OtherProcesses(); len(others) > 0 || err != nil {
		t.Errorf("alone: %v, %v", others, err)
	}
	name := filepath.Join(dir, base("n1")+"-1.alive")
	f, err := os.Create(name)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX); err != nil {
		t.Fatal(err)
	}
	if others, err := a.OtherProcesses(); len(others) != 1 || others[0].Ready || err != nil {
		t.Errorf("one that has said nothing: %v, %v", others, err)
	}
	_, _ = fmt.Fprintf(f, "1 %010d\n", 77)
	if others, err := a.OtherProcesses(); len(others) != 1 || others[0] != (ProcessStatus{true, 77}) || err != nil {
		t.Errorf("one that is ready: %v, %v", others, err)
	}
	_ = f.Close()
	left := filepath.Join(dir, base("n1")+"-1-3.offer")
	if err := os.WriteFile(left, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if others, err := a.OtherProcesses(); len(others) > 0 || err != nil {
		t.Errorf("one that died: %v, %v", others, err)
	}
	for _, file := range []string{name, left} {
		if _, err := os.Stat(file); err == nil {
			t.Errorf("%s is left", file)
		}
	}
}
