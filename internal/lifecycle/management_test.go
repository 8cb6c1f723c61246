package lifecycle

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/control"
	"onyxstream/internal/discovery"
	"onyxstream/internal/multiprocess"
	"onyxstream/internal/node"
	"onyxstream/internal/proxy"
	"onyxstream/internal/settings"
	"onyxstream/internal/sharedstate"
	"onyxstream/internal/wire"
)

// blockedNode returns a node with a shared folder, whose event loop does not run.
func blockedNode(t *testing.T, folder string) (*managementOperations, *node.Node) {
	t.Helper()
	log := zap.NewNop()
	clients := proxy.New(proxy.Config{MaxDescriptors: 256, Classes: []string{"chat"}}, log)
	parsed := settings.Settings{
		Settings:   balancer.Settings{Classes: []balancer.Class{{Deadline: time.Second}}},
		ClassNames: []string{"chat"},
	}
	known := wire.EndpointList{Complete: true, Endpoints: []wire.Endpoint{{ID: "h1", Addr: "127.0.0.1:1", Size: 1}}}
	n := node.New(parsed, known, "127.0.0.1:1", transport{discovery.NewWatcher(log), clients}, log)
	clients.Attach(n)
	cfg := multiprocess.Config{Node: "n1", Folder: folder, Sockets: 256, MemoryMB: 64}
	coordinator := multiprocess.NewCoordinator(cfg, n, clients, log)
	t.Cleanup(coordinator.Close)
	instance := &controlInstance{name: "n1", node: n, startedAt: time.Now(), stop: t.Context()}
	coordinator.Start(control.NewServer(instance, newIncarnation(), control.MaxConns(256), log))
	operations := &managementOperations{node: n, proxy: clients, coordinator: coordinator, stop: t.Context()}
	return operations, n
}

// readOverrides reads the overrides of node "n1" from a shared folder, as another process would.
func readOverrides(t *testing.T, folder string) []sharedstate.HostOverride {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, "*.words"))
	if err != nil || len(files) > 1 {
		t.Fatalf("shared state files: got %v, error %v, want at most one", files, err)
	}
	if len(files) == 0 {
		return nil
	}
	text, err := os.ReadFile(files[0])
	if err != nil {
		t.Fatal(err)
	}
	state, err := sharedstate.Decode(text, "n1")
	if err != nil {
		t.Fatal(err)
	}
	return state.Overrides
}

// While the event loop is blocked, the node must still return its counters. It must reject a host override, and must
// not write the override to the shared state, because other processes would apply it.
func TestManagement_LoopBlocked_RejectsOverrides(t *testing.T) {
	folder := t.TempDir()
	operations, n := blockedNode(t, folder)
	if err := operations.Ready(); err != nil {
		t.Error(err)
	}
	if stats := operations.Stats(); stats.Targets != 1 || len(stats.FinalAnswers) != 1 {
		t.Errorf("stats with a blocked event loop: got %+v, want 1 target and 1 class", stats)
	}
	if err := operations.DrainHost("h1"); !errors.Is(err, node.ErrLoopBusy) {
		t.Errorf("override with a blocked event loop: got error %v, want ErrLoopBusy", err)
	}
	if overrides := readOverrides(t, folder); len(overrides) > 0 {
		t.Errorf("shared overrides after a rejected override: got %+v, want none", overrides)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = n.Run(ctx) }()
	if err := operations.DrainHost("h1"); err != nil {
		t.Errorf("override with a running event loop: %v", err)
	}
	if err := operations.ResumeHost("h2"); !errors.Is(err, node.ErrUnknownHost) {
		t.Errorf("override of an unknown host: got error %v, want ErrUnknownHost", err)
	}
	if overrides := readOverrides(t, folder); len(overrides) != 1 || !overrides[0].Draining {
		t.Errorf("shared overrides: got %+v, want one draining host", overrides)
	}
}
