package agent

import (
	"context"
	"os"
	"testing"
	"time"

	"go.uber.org/zap"

	"onyxstream/internal/faultinject"
)

// An invalid inventory, for example a partly written file, must not stop the agent or remove instances. The next valid
// file is loaded.
func TestReloadInventory_InvalidFile_KeepsPrevious(t *testing.T) {
	t.Parallel()
	r := newTestFleet(t, 2)
	c, _ := r.startAgent(t, nil)
	eventually(t, "all instances are up", func() bool { return allUp(c) })
	if err := os.WriteFile(r.cfg.Inventory, []byte("[[instance]]\nname = \"i0\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * inventoryCheckInterval)
	if n := len(views(c)); n != 2 {
		t.Errorf("%d instances after an invalid inventory, want 2", n)
	}
	r.writeInventory(t, r.instances[0])
	eventually(t, "the valid inventory is loaded", func() bool { return len(views(c)) == 1 })
}

// A changed inventory file that can't be read because of a temporary fault is read at the next check, even if the file
// has not changed again.
func TestReloadInventory_FileUnreadable_RetriesLater(t *testing.T) {
	r := newTestFleet(t, 2)
	a, err := New(r.cfg, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer a.store.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer a.wg.Wait()
	defer cancel()
	r.writeInventory(t, r.instances[0])
	if err := faultinject.WithDescriptors(0, func() { a.reloadInventory(ctx) }); err != nil {
		t.Fatal(err)
	}
	if n := len(a.fleet.Views(a.now())); n != 2 {
		t.Fatalf("%d instances while the file is unreadable, want 2", n)
	}
	a.reloadInventory(ctx)
	if n := len(a.fleet.Views(a.now())); n != 1 {
		t.Errorf("%d instances after the file is readable again, want 1", n)
	}
}
