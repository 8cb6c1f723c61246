package lifecycle

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"onyxstream/internal/sharedstate"
)

// blockWrites has the writes of the shared document fail, as on a full disk, until it is called off.
func blockWrites(t *testing.T) (unblock func()) {
	t.Helper()
	locks, err := filepath.Glob(filepath.Join(os.Getenv("TMPDIR"), "*.lock"))
	if err != nil || len(locks) != 1 {
		t.Fatalf("%v, %v", locks, err)
	}
	at := locks[0][:len(locks[0])-len(".lock")] + ".words.new" // where a document is written before it takes its place
	if err := os.MkdirAll(filepath.Join(at, "full"), 0o700); err != nil {
		t.Fatal(err)
	}
	return func() {
		if err := os.RemoveAll(at); err != nil {
			t.Fatal(err)
		}
	}
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for begin := time.Now(); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Since(begin) > 10*time.Second {
			t.Fatalf("never: %s", what)
		}
	}
}

// An order that was taken on while the folder could not be written is written as soon as it can be: the next process of
// the node holds to it too.
func TestOrder_FolderFails_IsWrittenOnceItCanBe(t *testing.T) {
	o, n := stuck(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = n.Run(ctx) }()
	unblock := blockWrites(t)
	if err := o.DrainHost("h1"); err != nil {
		t.Fatal(err)
	}
	go o.shared.follow(ctx)
	time.Sleep(3 * lookAt)
	unblock()
	eventually(t, "the order is written", func() bool {
		d, _, err := o.shared.store().Load()
		return err == nil && len(d.Overrides) == 1 && d.Overrides[0].Draining
	})
}

// A folder that can't be used at the start is used once it can be, and orders given before are written then.
func TestOrder_FolderMissingAtStart_IsWrittenOnceItIsThere(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "later")
	o, n := stuckIn(t, dir)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = n.Run(ctx) }()
	if o.shared.store() != nil {
		t.Fatal("a folder that is not there is used")
	}
	if err := o.DrainHost("h1"); err != nil {
		t.Fatal(err)
	}
	go o.shared.follow(ctx)
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the order is written", func() bool {
		if o.shared.store() == nil {
			return false
		}
		d, _, err := o.shared.store().Load()
		return err == nil && len(d.Overrides) == 1 && d.Overrides[0].Draining
	})
}

// After a write that failed, the orders of other processes are taken in: the number that the failed change would have had
// is that of another one.
func TestOrder_FolderFails_OthersOrdersAreTaken(t *testing.T) {
	o, n := stuck(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = n.Run(ctx) }()
	unblock := blockWrites(t)
	if err := o.ResumeHost("h1"); err != nil {
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
	locks, _ := filepath.Glob(filepath.Join(os.Getenv("TMPDIR"), "*.lock"))
	if err := os.WriteFile(locks[0][:len(locks[0])-len(".lock")]+".words", text, 0o600); err != nil {
		t.Fatal(err)
	}
	o.shared.look()
	eventually(t, "the other's order holds", func() bool {
		_, avoided := n.HostCounts()
		return avoided == 1
	})
}

// An order that was given while the folder could not be used goes before one that a process before wrote there: the older
// one was taken in once the folder could be read, and the order that the operator had a yes for was forgotten.
func TestOrder_FolderMissingAtStart_GoesBeforeOlderOnes(t *testing.T) {
	for _, c := range []struct {
		name       string
		written    time.Duration // when the other order was given, from this one
		avoided    int64
		wantsWords bool // the host is out in the document in the end
	}{{"older", -time.Minute, 1, true}, {"later", time.Minute, 0, false}} {
		t.Run(c.name, func(t *testing.T) {
			dir := filepath.Join(t.TempDir(), "later")
			o, n := stuckIn(t, dir)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go func() { _ = n.Run(ctx) }()
			if err := o.DrainHost("h1"); err != nil {
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
			if err := earlier.Update(func(d *sharedstate.State) error { return d.SetOverride("h1", false, time.Now().Add(c.written)) }); err != nil {
				t.Fatal(err)
			}
			earlier.Close()
			if err := os.Rename(before, dir); err != nil {
				t.Fatal(err)
			}
			go o.shared.follow(ctx)
			eventually(t, "the document says which order holds", func() bool {
				if o.shared.store() == nil {
					return false
				}
				o.shared.mu.Lock()
				defer o.shared.mu.Unlock()
				d, _, err := o.shared.store().Load()
				return err == nil && len(o.shared.owed) == 0 && len(d.Overrides) == 1 && d.Overrides[0].Draining == c.wantsWords
			})
			eventually(t, "it holds in the process", func() bool {
				_, avoided := n.HostCounts()
				return avoided == c.avoided
			})
		})
	}
}
