// Package lifecycle starts and stops a node's process: listeners, event loop and servers, configuration reload, hot
// restart and graceful shutdown.
package lifecycle

import (
	"context"
	"fmt"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"onyxstream/internal/control"
	"onyxstream/internal/discovery"
	"onyxstream/internal/management"
	"onyxstream/internal/multiprocess"
	"onyxstream/internal/node"
	"onyxstream/internal/nodeconfig"
	"onyxstream/internal/proxy"
	"onyxstream/internal/wire"
)

// managementSpareDescriptors is the number of descriptors for the management listener itself (1), and for a connection
// that was accepted but is not counted as a caller yet (1).
const managementSpareDescriptors = 2

// sharedFolderVariable names the environment variable with the folder that the processes of a node share.
const sharedFolderVariable = "TMPDIR"

// process is one process of the node. During a hot restart a node has two.
type process struct {
	// What Run passes to newProcess.
	cfg     nodeconfig.Config
	options nodeconfig.Options
	log     *zap.Logger
	stop    context.Context // done as soon as the process gets a stop signal

	// The parts that run as long as the process.
	node        *node.Node
	proxy       *proxy.Proxy
	discovery   *discovery.Watcher
	coordinator *multiprocess.Coordinator

	// The listeners, which openListeners opens.
	maxControlConnections int             // limit of each control listener
	listener              *clientListener // accepts the clients
	controlListeners      []control.Listener
	management            net.Listener // nil if none is configured
}

// transport implements node.Transport: the watcher talks to discovery, and the proxy pings hosts.
type transport struct {
	*discovery.Watcher
	*proxy.Proxy
}

// Run runs the node until a stop signal, and returns nil after a graceful shutdown. The zero value of options enables
// no optional part.
func Run(options nodeconfig.Options) error {
	// This comes first, because SIGHUP ends a process that has no handler for it.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	// If a stop signal arrives during startup, the process finishes starting and then shuts down gracefully.
	stop, cancelStop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancelStop()
	// Without this, a write to a log pipe whose reader has exited ends the process.
	signal.Ignore(syscall.SIGPIPE)
	cfg, err := nodeconfig.Load()
	if err != nil {
		return err
	}
	log := newLogger(cfg.Name)
	defer func() { _ = log.Sync() }()
	runtime.GOMAXPROCS(max(int(math.Ceil(cfg.Cores)), 1))
	debug.SetMemoryLimit(nodeconfig.HeapLimit(cfg.MemoryMB, 1))

	p := newProcess(stop, cfg, options, log)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := p.openListeners(ctx); err != nil {
		return err
	}
	p.coordinator = p.newCoordinator()
	p.proxy.SetIDClaims(p.coordinator)
	defer p.coordinator.Close()
	log.Info("started",
		zap.String("listen", cfg.Listen), zap.Int("known_hosts", len(cfg.KnownEndpoints.Endpoints)))
	return p.serve(ctx, cancel, reload)
}

// newProcess creates the event loop and the proxy without starting them.
func newProcess(
	stop context.Context, cfg nodeconfig.Config, options nodeconfig.Options, log *zap.Logger,
) *process {
	maxControlConnections := control.MaxConns(cfg.DescriptorLimit())
	p := &process{
		cfg:                   cfg,
		options:               options,
		log:                   log,
		stop:                  stop,
		maxControlConnections: maxControlConnections,
		proxy:                 newProxy(cfg, controlDescriptors(options.Control, maxControlConnections), log),
		discovery:             discovery.NewWatcher(log),
	}
	if options.ColdStart != nil {
		start := newColdStart(options.ColdStart, cfg, log)
		p.newNode(start.known)
		p.node.EnableColdStart(start.scheduler, start.discoveryName)
	} else {
		p.newNode(cfg.KnownEndpoints)
	}
	p.proxy.Attach(p.node)
	p.discovery.Attach(p.node)
	return p
}

// newNode creates the event loop with the endpoint list known at the start.
func (p *process) newNode(known wire.EndpointList) {
	p.node = node.New(p.cfg.Settings, known, p.cfg.Discovery, transport{p.discovery, p.proxy}, p.log)
	p.node.SetMemoryLimit(p.cfg.MemoryMB)
}

// newProxy creates the proxy. reservedDescriptors is how many descriptors the control listeners may use.
func newProxy(cfg nodeconfig.Config, reservedDescriptors int, log *zap.Logger) *proxy.Proxy {
	if cfg.Management != "" {
		reservedDescriptors += management.MaxCallers + managementSpareDescriptors
	}
	defaultTimeout := time.Second
	for _, class := range cfg.Settings.Classes {
		defaultTimeout = max(defaultTimeout, class.Deadline)
	}
	return proxy.New(proxy.Config{
		MaxDescriptors:      cfg.DescriptorLimit(),
		ConnectTimeout:      cfg.Settings.ConnectTimeout,
		AnswerSlack:         cfg.Settings.AnswerSlack,
		DefaultTimeout:      defaultTimeout,
		MaxRetryAfter:       cfg.Settings.MaxRetryAfter,
		Classes:             cfg.Settings.ClassNames,
		ReservedDescriptors: reservedDescriptors,
	}, log)
}

func (p *process) newCoordinator() *multiprocess.Coordinator {
	cfg := multiprocess.Config{
		Node:     p.cfg.Name,
		Folder:   sharedFolder(p.cfg, p.log),
		Sockets:  p.cfg.DescriptorLimit(),
		MemoryMB: p.cfg.MemoryMB,
	}
	return multiprocess.NewCoordinator(cfg, p.node, p.proxy, p.log)
}

// sharedFolder returns the folder that the node's processes share. It returns "" if there is nothing to share, because
// the node has neither a management listener nor an inherited client listener. The platform passes on a listener if it
// may start a second process for a hot restart.
func sharedFolder(cfg nodeconfig.Config, log *zap.Logger) string {
	if cfg.Management == "" && os.Getenv(listenerVariable) == "" {
		return ""
	}
	folder := os.Getenv(sharedFolderVariable)
	if folder == "" {
		log.Warn("TMPDIR is not set: overrides apply to this process only")
	}
	return folder
}

// openListeners opens all listeners. It retries while the system lacks resources, until a stop signal.
func (p *process) openListeners(ctx context.Context) (err error) {
	p.listener, err = retryWhileExhausted(p.stop, p.log, func() (*clientListener, error) {
		return openClientListener(ctx, p.cfg.Listen)
	})
	if err != nil {
		return err
	}
	p.controlListeners, err = retryWhileExhausted(p.stop, p.log, func() ([]control.Listener, error) {
		return openControlListeners(p.options.Control, p.maxControlConnections, p.log)
	})
	if err != nil {
		p.listener.Close()
		return fmt.Errorf("control: %w", err)
	}
	if p.cfg.Management == "" {
		return nil
	}
	p.management, err = retryWhileExhausted(p.stop, p.log, func() (net.Listener, error) {
		return proxy.Listen(ctx, p.cfg.Management)
	})
	if err != nil {
		p.listener.Close()
		return fmt.Errorf("management: %w", err)
	}
	return nil
}

// serve starts all tasks and waits until they return: after a stop signal and the graceful shutdown, or after the first
// error. The tasks return when the context ends; cancel ends it after the graceful shutdown.
func (p *process) serve(ctx context.Context, cancel context.CancelFunc, reload <-chan os.Signal) error {
	group, ctx := errgroup.WithContext(ctx)
	p.startEventLoop(ctx, group)
	controlServer := p.newControlServer()
	p.coordinator.Start(controlServer) // applies the overrides of earlier processes before the first client
	p.startClientTasks(ctx, group)
	p.startServers(ctx, group, controlServer)
	group.Go(func() error {
		reloader := &reloader{cfg: p.cfg, node: p.node, log: p.log}
		reloader.run(ctx, reload)
		return nil
	})
	group.Go(func() error {
		p.awaitStop(ctx)
		cancel()
		return nil
	})
	return group.Wait()
}

func (p *process) startEventLoop(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error { return p.node.Run(ctx) })
	group.Go(func() error { return p.discovery.Run(ctx) })
}

// startClientTasks starts the tasks that bring client connections, from the listener and from the node's other
// processes, and the tasks of a cold start.
func (p *process) startClientTasks(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error { return p.listener.serve(ctx, p.proxy) })
	group.Go(func() error {
		p.coordinator.Run(ctx)
		return nil
	})
	group.Go(func() error {
		p.coordinator.AcceptConnections(ctx)
		return nil
	})
	if p.options.ColdStart != nil {
		startColdStartTasks(ctx, group, p.options.ColdStart, p.node, p.cfg.Settings.Settings, p.log)
	}
}

func (p *process) newControlServer() *control.Server {
	instance := &controlInstance{
		name:      p.cfg.Name,
		node:      p.node,
		startedAt: time.Now(),
		stop:      p.stop,
	}
	return control.NewServer(instance, newIncarnation(), p.maxControlConnections, p.log)
}

// startServers starts a server for each configured control and management listener.
func (p *process) startServers(ctx context.Context, group *errgroup.Group, controlServer *control.Server) {
	if len(p.controlListeners) > 0 {
		group.Go(func() error { return controlServer.Serve(ctx, p.controlListeners...) })
	}
	if p.management != nil {
		operations := &managementOperations{
			node:        p.node,
			proxy:       p.proxy,
			coordinator: p.coordinator,
			stop:        p.stop,
		}
		server := management.NewServer(operations, p.log)
		group.Go(func() error { return server.Serve(ctx, p.management) })
	}
}

// awaitStop waits for a stop signal and shuts down gracefully, or waits for the end of the context. Either way it then
// shuts down the proxy.
func (p *process) awaitStop(ctx context.Context) {
	select {
	case <-p.stop.Done():
		p.shutDownGracefully()
	case <-ctx.Done():
	}
	p.listener.Close()
	p.listener.awaitServeEnd() // so that the proxy also knows a client that has just been accepted
	p.proxy.Shutdown(p.cfg.Settings.PassThrough)
}
