package testcluster

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"onyxstream/internal/fakeserver"
	"onyxstream/internal/fakeserver/capacity"
	"onyxstream/internal/pki"
	"onyxstream/internal/wire"
)

// Options are the parameters of a cluster that are not part of its Config.
type Options struct {
	Program string    // path of the onyxstream program
	Log     io.Writer // receives the logs of all processes; nil for none
	Debug   bool      // nodes log every connection and every change of the endpoint list
	Seed    uint64
	Classes []ClassConfig
	Tenants []string
	// Starter starts a node's process at each start of the node; nil for cmd.Start.
	Starter func(name string, cmd *exec.Cmd) error
}

// Cluster is a test cluster. After Launch, its methods other than Close are safe for concurrent use.
type Cluster struct {
	Clock     *fakeserver.Clock
	EventLog  *fakeserver.EventLog
	Discovery *fakeserver.Discovery
	Front     *fakeserver.FrontendBalancer // nil before the launch

	// Configuration and launch.
	number     int           // number of the cluster in this process, from 1
	launchedAt time.Duration // time by Clock
	config     Config
	options    Options

	// Processes, fake servers and links.
	store          *fakeserver.SharedSessionStore
	dir            string // directory for the files of the processes
	nodes          []*process
	agents         []*process
	discoveryLinks []*fakeserver.Link // index is that of the node
	controlLinks   []*fakeserver.Link // from a node or agent to a node's control listener, named "n1>n2" or "a1>n2"
	timeline       timeline

	probeRequests atomic.Int64 // number of requests that probe clients have sent; part of their ids

	mu          sync.Mutex // guards the fields below
	hosts       []*fakeserver.Host
	hostLinks   []*fakeserver.Link // index is that of the host
	directPicks int
	closed      bool
}

// clusterCount is the number of clusters that this process has created. It gives each cluster its own number, so that
// nodes of different clusters do not share an address.
var clusterCount atomic.Int64

const (
	// readyTimeout bounds the time until nodes pass their health checks.
	readyTimeout = 30 * time.Second
	// certificateLifetime also limits how long a cluster with TLS can run.
	certificateLifetime = time.Hour
	authorityName       = "rig"
	temporaryPrefix     = "onyxstream-rig"
)

// Start starts a cluster and waits until all of its nodes pass their health checks. On an error it closes the cluster.
func Start(ctx context.Context, config Config, options Options) (*Cluster, error) {
	c, err := Prepare(config, options)
	if err != nil {
		return nil, err
	}
	if err = c.Launch(); err == nil {
		err = c.Ready(ctx)
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// Prepare starts the fake servers and links and writes the files of the processes. It does not start the processes, so
// that the caller can start faults first. On an error it closes the cluster.
func Prepare(config Config, options Options) (*Cluster, error) {
	clock := fakeserver.NewClock()
	store := capacity.SessionStore{Latency: config.Store.Latency.AsDuration(), Rate: config.Store.CallsPerSecond}
	c := &Cluster{
		Clock:    clock,
		EventLog: fakeserver.NewEventLog(clock),
		config:   config,
		options:  options,
		number:   int(clusterCount.Add(1)),
		store:    fakeserver.NewSharedSessionStore(store),
	}
	if err := c.prepare(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) prepare() error {
	endpoints, err := c.startServers()
	if err != nil {
		return err
	}
	if c.dir, err = os.MkdirTemp("", temporaryPrefix); err != nil {
		return err
	}
	if err := c.createKeys(); err != nil {
		return err
	}
	if err := c.createProcesses(); err != nil {
		return err
	}
	if c.config.Discovery.StartsUnknown {
		endpoints = nil
	}
	return c.SetKnownEndpoints(1, endpoints...)
}

// startServers starts the hosts and the discovery service, and returns the endpoint list.
func (c *Cluster) startServers() (endpoints []wire.Endpoint, err error) {
	for range c.config.Hosts {
		host, err := c.addHost(c.config.Host.StartsCold)
		if err != nil {
			return nil, err
		}
		endpoints = append(endpoints, c.HostEndpoint(host, wire.Serving))
	}
	c.Discovery, err = fakeserver.NewDiscovery("", c.Clock, c.EventLog, 1, endpoints...)
	if err != nil {
		return nil, err
	}
	c.Discovery.SetLimits(fakeserver.DiscoveryLimits{
		RequestDuration: c.config.Discovery.RequestDuration.AsDuration(),
		MaxWait:         c.config.Discovery.MaxWait.AsDuration(),
		MaxQueue:        c.config.Discovery.MaxQueue,
		RetryAfter:      c.config.Discovery.RetryAfter,
	})
	return endpoints, nil
}

// createKeys creates the certificate authority of a cluster that uses TLS, and the certificate with which nodes read
// each other's endpoint lists.
func (c *Cluster) createKeys() error {
	if !c.config.usesTLS() {
		return nil
	}
	if err := pki.Create(c.keyFolder(), authorityName); err != nil {
		return err
	}
	_, err := pki.Issue(c.keyFolder(), listReaderName, pki.RoleViewer, certificateLifetime)
	return err
}

// createProcesses creates the nodes and agents, their files and their links, without starting them.
func (c *Cluster) createProcesses() error {
	for i := range c.config.Nodes {
		if err := c.newNode(i); err != nil {
			return err
		}
	}
	if c.config.ColdStart != nil {
		for i := range c.config.Nodes {
			if err := c.configurePeers(i); err != nil {
				return err
			}
		}
	}
	for i := range c.config.Agents {
		if err := c.newAgent(i); err != nil {
			return err
		}
	}
	return nil
}

// Launch starts all processes concurrently, and then the front.
func (c *Cluster) Launch() error {
	processes := c.processes()
	errs := make([]error, len(processes))
	c.launchedAt = c.Clock.Now()
	if down := c.config.Discovery.DownAtStart.AsDuration(); down > 0 {
		c.Discovery.SetMode(fakeserver.ModeReset)
		c.runAfter(down, func() { c.Discovery.SetMode(fakeserver.ModeNormal) })
	}
	var wg sync.WaitGroup
	for i, p := range processes {
		wg.Go(func() { errs[i] = p.start() })
	}
	wg.Wait()
	var nodes []fakeserver.Node
	for _, p := range c.nodes {
		nodes = append(nodes, fakeserver.Node{Name: p.name, Addr: p.addr, Zone: p.zone})
	}
	c.Front = fakeserver.NewFrontendBalancer(c.EventLog, c.config.FrontEjectDelay.AsDuration(), nodes...)
	return errors.Join(errs...)
}

// LaunchedAt returns when the processes were started, by the cluster's clock.
func (c *Cluster) LaunchedAt() time.Duration { return c.launchedAt }

// Ready waits until all nodes pass their health checks.
func (c *Cluster) Ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := c.Front.Ready(ctx); err != nil {
		return fmt.Errorf("wait for nodes to become ready: %w", errors.Join(err, c.unexpectedExits()))
	}
	return nil
}

// processes returns the nodes and agents.
func (c *Cluster) processes() []*process { return slices.Concat(c.nodes, c.agents) }

// unexpectedExits returns an error that names the processes that exited without being stopped, or nil if there are
// none.
func (c *Cluster) unexpectedExits() (err error) {
	for _, p := range c.processes() {
		err = errors.Join(err, p.unexpectedExit())
	}
	return err
}

// runAfter runs a function after a delay, unless the cluster has been closed.
func (c *Cluster) runAfter(delay time.Duration, f func()) {
	time.AfterFunc(delay, func() {
		c.mu.Lock()
		closed := c.closed
		c.mu.Unlock()
		if !closed {
			f()
		}
	})
}

// Close kills the processes, closes the fake servers and links, and removes all files. Further calls do nothing.
func (c *Cluster) Close() {
	c.mu.Lock()
	wasClosed := c.closed
	c.closed = true
	c.mu.Unlock()
	if wasClosed {
		return
	}
	c.timeline.stop()
	if c.Front != nil {
		c.Front.Close()
	}
	var wg sync.WaitGroup
	for _, p := range c.processes() {
		wg.Go(p.kill)
	}
	wg.Wait()
	for _, link := range slices.Concat(c.hostLinks, c.discoveryLinks, c.controlLinks) {
		wg.Go(link.Close)
	}
	wg.Wait()
	for _, host := range c.hosts {
		host.Close()
	}
	if c.Discovery != nil {
		c.Discovery.Close()
	}
	if c.dir != "" {
		_ = os.RemoveAll(c.dir)
	}
}
