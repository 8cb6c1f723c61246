package lifecycle

import (
	"context"
	"errors"
	"testing"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/control"
	"onyxstream/internal/discovery"
	"onyxstream/internal/node"
	"onyxstream/internal/proxy"
	"onyxstream/internal/settings"
	"onyxstream/internal/wire"
)

// stuck is a node whose loop takes nothing in.
func stuck(t *testing.T) (*operated, *node.Node) {
	t.Helper()
	return stuckIn(t, t.TempDir())
}

// stuckIn is the same with a folder to share.
func stuckIn(t *testing.T, dir string) (*operated, *node.Node) {
	t.Helper()
	log := zap.NewNop()
	cfg := Config{Name: "n1", Sockets: 256, MemoryMB: 64, Management: "127.0.0.1:1"}
	t.Setenv("TMPDIR", dir)
	d, y := proxy.New(proxy.Config{MaxDescriptors: 256, Classes: []string{"chat"}}, log), discovery.NewWatcher(log)
	set := settings.Settings{Settings: balancer.Settings{Classes: []balancer.Class{{Deadline: time.Second}}}, ClassNames: []string{"chat"}}
	known := wire.EndpointList{Complete: true, Endpoints: []wire.Endpoint{{ID: "h1", Addr: "127.0.0.1:1", Size: 1}}}
	n := node.New(set, known, "127.0.0.1:1", outside{y, d}, log)
	d.Attach(n)
	s := newShared(cfg, n, d, log)
	t.Cleanup(s.close)
	s.begin(control.NewServer(&controlled{cfg.Name, n, time.Now(), t.Context()}, newBoot(), control.MaxConns(256), log))
	return &operated{node: n, driver: d, shared: s, stop: t.Context()}, n
}

// Figures wait for nothing, and an order says no where the loop does not take it in: it is not noted as given then, here
// or for other processes.
func TestCallsWhileTheLoopIsHeldUp(t *testing.T) {
	o, n := stuck(t)
	if err := o.Ready(); err != nil {
		t.Error(err)
	}
	if f := o.Stats(); f.Targets != 1 || len(f.Replies) != 1 {
		t.Errorf("the figures are %+v", f)
	}
	if err := o.DrainHost("h1"); !errors.Is(err, node.ErrLoopBusy) {
		t.Errorf("an order: %v", err)
	}
	if d, _, err := o.shared.store().Load(); err != nil || len(d.Overrides) > 0 {
		t.Errorf("others are told %+v, %v", d, err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = n.Run(ctx) }()
	if err := o.DrainHost("h1"); err != nil {
		t.Errorf("asked again: %v", err)
	}
	if err := o.ResumeHost("h2"); !errors.Is(err, node.ErrUnknownHost) {
		t.Errorf("an id that nobody has: %v", err)
	}
	if d, _, err := o.shared.store().Load(); err != nil || len(d.Overrides) != 1 || !d.Overrides[0].Draining {
		t.Errorf("others are told %+v, %v", d, err)
	}
}

// A node that is told to stop hands over as soon as another process is there to take over, be it late.
func TestASuccessorThatComesLate(t *testing.T) {
	_, n := stuck(t)
	d := proxy.New(proxy.Config{MaxDescriptors: 256}, zap.NewNop())
	asked, begin := 0, time.Now()
	by := time.Now().Add(20 * time.Second)
	if !drain(n, d, true, begin, by, func() bool { asked++; return asked == 5 }) || asked != 5 {
		t.Errorf("asked %d times", asked)
	}
	if drain(n, d, true, begin, by, func() bool { return false }) {
		t.Error("handed over to nobody")
	}
}
