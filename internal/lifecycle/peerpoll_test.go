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
	"onyxstream/internal/nodeconfig"
	"onyxstream/internal/pki"
)

// A peer poller must keep running when the certificate files can't be opened temporarily, because the process has no
// free descriptor.
func TestPeerPoller_KeysTemporarilyUnreadable_KeepsRunning(t *testing.T) {
	_, n := blockedNode(t, t.TempDir())
	cfg := coldstart.Config{NodeCount: 2, PollInterval: time.Second, DiscoveryName: "s"}
	scheduler := coldstart.New(cfg, rand.New(rand.NewPCG(1, 2)), 0, coldstart.NoSource, coldstart.Offer{})
	n.EnableColdStart(scheduler, "s")
	dir := t.TempDir()
	if err := pki.Create(dir, "test"); err != nil {
		t.Fatal(err)
	}
	if _, err := pki.Issue(dir, "n1", pki.RoleViewer, time.Hour); err != nil {
		t.Fatal(err)
	}
	files := &pki.Files{
		Cert:      filepath.Join(dir, "n1.crt"),
		Key:       filepath.Join(dir, "n1.key"),
		Authority: filepath.Join(dir, "authority.crt"),
	}
	poller := &peerPoller{
		options: &nodeconfig.ColdStart{Keys: files, Peers: []nodeconfig.Peer{{Addr: "127.0.0.1:1", Name: "n2"}}},
		node:    n,
		rng:     rand.New(rand.NewPCG(1, 2)),
		log:     zap.NewNop(),
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	done := make(chan error, 1)
	runWithoutDescriptors := func() {
		go func() { done <- poller.run(ctx) }()
		time.Sleep(150 * time.Millisecond)
	}
	if err := faultinject.WithDescriptors(0, runWithoutDescriptors); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-done:
		t.Errorf("the poller ended: %v", err)
		return
	case <-time.After(100 * time.Millisecond):
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
