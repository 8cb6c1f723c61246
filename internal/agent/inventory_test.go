package agent

import (
	"context"
	"testing"

	"go.uber.org/zap"

	"onyxstream/internal/faultinject"
)

// An inventory that can't be read as it is found to have changed is read at the next look. Its state was noted first, so
// it stayed unread until it changed again.
func TestReread_FileCantBeReadForAMoment_IsReadLater(t *testing.T) {
	r := newRig(t, 2)
	a, err := New(r.cfg, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer a.store.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer a.wg.Wait()
	defer cancel()
	r.inventory(t, r.instances[0])
	if err := faultinject.WithDescriptors(0, func() { a.reread(ctx) }); err != nil {
		t.Fatal(err)
	}
	if n := len(a.fleet.Views(a.now())); n != 2 {
		t.Fatalf("%d instances without a descriptor to read by", n)
	}
	a.reread(ctx)
	if n := len(a.fleet.Views(a.now())); n != 1 {
		t.Errorf("%d instances once it can be read, 1 wanted", n)
	}
}
