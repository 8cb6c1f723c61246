package multiprocess

import (
	"cmp"
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

// transport implements node.Transport.
type transport struct {
	*discovery.Watcher
	*proxy.Proxy
}

// nodeInstance implements control.Instance for host overrides only.
type nodeInstance struct{ node *node.Node }

func (i nodeInstance) Status() control.Status { return control.Status{} }

func (i nodeInstance) Apply(command control.Command) error {
	host := balancer.ServerID(command.Host)
	drain := command.Kind == control.HostDrain
	return i.node.SetHostOverride(host, drain, command.HostMustExist, cmp.Or(command.GivenAt, time.Now()))
}

// newTestCoordinator returns the coordinator of a node with host "h1". The node's event loop does not run yet.
func newTestCoordinator(t *testing.T, folder string) (*Coordinator, *node.Node) {
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
	coordinator := NewCoordinator(Config{Node: "n1", Folder: folder, Sockets: 256, MemoryMB: 64}, n, clients, log)
	t.Cleanup(coordinator.Close)
	coordinator.Start(control.NewServer(nodeInstance{n}, "incarnation", control.MaxConns(256), log))
	return coordinator, n
}
