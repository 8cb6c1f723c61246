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

// blockedNode returns a node whose event loop does not run, with a shared folder.
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

// readOverrides reads the overrides of node "n1" in a shared folder, as another process does.
func readOverrides(t *testing.T, folder string) []sharedstate.HostOverride {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, "*.words"))
	if err != nil || len(files) > 1 {
		t.Fatalf("%v, %v", files, err)
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

// While the event loop is blocked, counters are returned and overrides are rejected, here and for other processes.
func TestManagement_LoopBlocked_RejectsOverrides(t *testing.T) {
	folder := t.TempDir()
	operations, n := blockedNode(t, folder)
	if err := operations.Ready(); err != nil {
		t.Error(err)
	}
	if stats := operations.Stats(); stats.Targets != 1 || len(stats.FinalAnswers) != 1 {
		t.Errorf("the counters are %+v", stats)
	}
	if err := operations.DrainHost("h1"); !errors.Is(err, node.ErrLoopBusy) {
		t.Errorf("an override: %v", err)
	}
	if overrides := readOverrides(t, folder); len(overrides) > 0 {
		t.Errorf("other processes read %+v", overrides)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = n.Run(ctx) }()
	if err := operations.DrainHost("h1"); err != nil {
		t.Errorf("asked again: %v", err)
	}
	if err := operations.ResumeHost("h2"); !errors.Is(err, node.ErrUnknownHost) {
		t.Errorf("an unknown host: %v", err)
	}
	if overrides := readOverrides(t, folder); len(overrides) != 1 || !overrides[0].Draining {
		t.Errorf("other processes read %+v", overrides)
	}
}
