package lifecycle

import (
	"context"
	"math/rand/v2"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/zap"

	"onyxstream/internal/coldstart"
	"onyxstream/internal/faultinject"
	"onyxstream/internal/pki"
)

// Asking others for their list must not end the node where its keys can't be read for a moment.
func TestPull_KeysCantBeReadForAMoment_GoesOn(t *testing.T) {
	_, n := stuck(t)
	n.EnableColdStart(coldstart.New(coldstart.Config{NodeCount: 2, PollInterval: time.Second, Service: "s"}, rand.New(rand.NewPCG(1, 2)), 0, coldstart.NoSource,
		coldstart.Offer{}), "s")
	dir := t.TempDir()
	if err := pki.Create(dir, "test"); err != nil {
		t.Fatal(err)
	}
	if _, err := pki.Issue(dir, "n1", pki.RoleViewer, time.Hour); err != nil {
		t.Fatal(err)
	}
	files := &pki.Files{Cert: filepath.Join(dir, "n1.crt"), Key: filepath.Join(dir, "n1.key"), Authority: filepath.Join(dir, "authority.crt")}
	cold := &ColdStart{Keys: files, Peers: []Other{{Addr: "127.0.0.1:1", Name: "n2"}}}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	done := make(chan error, 1)
	limit := func() {
		go func() { done <- cold.pull(ctx, n, rand.New(rand.NewPCG(1, 2)), zap.NewNop()) }()
		time.Sleep(150 * time.Millisecond)
	}
	if err := faultinject.WithDescriptors(0, limit); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-done:
		t.Errorf("it ended, and the node with it: %v", err)
		return
	case <-time.After(100 * time.Millisecond):
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
