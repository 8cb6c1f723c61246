package lifecycle

import (
	"context"
	"errors"
	"testing"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/control"
	"onyxstream/internal/node"
	"onyxstream/internal/nodeconfig"
	"onyxstream/internal/proxy"
	"onyxstream/internal/settings"
	"onyxstream/internal/wire"
)

// blockedNode returns a node whose event loop does not run.
func blockedNode(t *testing.T) (*managementOperations, *node.Node) {
	t.Helper()
	return blockedNodeIn(t, t.TempDir())
}

// blockedNodeIn returns one with a shared folder.
func blockedNodeIn(t *testing.T, dir string) (*managementOperations, *node.Node) {
	t.Helper()
	log := zap.NewNop()
	cfg := nodeconfig.Config{Name: "n1", Sockets: 256, MemoryMB: 64, Management: "127.0.0.1:1"}
	t.Setenv("TMPDIR", dir)
	d, y := proxy.New(proxy.Config{MaxDescriptors: 256, Classes: []string{"chat"}}, log), proxy.NewDiscovery(log)
	set := settings.Settings{Settings: balancer.Settings{Classes: []balancer.Class{{Deadline: time.Second}}}, ClassNames: []string{"chat"}}
	known := wire.EndpointList{Complete: true, Endpoints: []wire.Endpoint{{ID: "h1", Addr: "127.0.0.1:1", Size: 1}}}
	n := node.New(set, known, "127.0.0.1:1", transport{y, d}, log)
	d.Attach(n)
	c := newCoordinator(cfg, n, d, log)
	t.Cleanup(c.close)
	instance := &controlInstance{name: cfg.Name, node: n, startedAt: time.Now(), stop: t.Context()}
	c.start(control.NewServer(instance, newIncarnation(), control.MaxConns(256), log))
	return &managementOperations{node: n, proxy: d, coordinator: c, stop: t.Context()}, n
}

// While the event loop is blocked, counters are returned and overrides are rejected, here and for other processes.
func TestManagement_LoopBlocked_RejectsOverrides(t *testing.T) {
	operations, n := blockedNode(t)
	if err := operations.Ready(); err != nil {
		t.Error(err)
	}
	if stats := operations.Stats(); stats.Targets != 1 || len(stats.Replies) != 1 {
		t.Errorf("the counters are %+v", stats)
	}
	if err := operations.DrainHost("h1"); !errors.Is(err, node.ErrLoopBusy) {
		t.Errorf("an override: %v", err)
	}
	if d, _, err := loadState(operations); err != nil || len(d.Overrides) > 0 {
		t.Errorf("the shared state is %+v, %v", d, err)
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
	if d, _, err := loadState(operations); err != nil || len(d.Overrides) != 1 || !d.Overrides[0].Draining {
		t.Errorf("the shared state is %+v, %v", d, err)
	}
}
