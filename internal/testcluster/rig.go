package testcluster

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"time"

	"onyxstream/internal/fakeserver"
	"onyxstream/internal/fakeserver/capacity"
	"onyxstream/internal/pki"
	"onyxstream/internal/wire"
)

// Options are what a rig needs of who plays it.
type Options struct {
	Program string    // the node's program; it is started with the argument "node"
	Log     io.Writer // the nodes' logs; nil for none
	Debug   bool      // the logs have a line for every connection and every change of the list
	Seed    uint64
	Classes []ClassConfig
	Tenants []string
	// Starter starts a node's process in place of its command's Start, each time the node starts; nil for that.
	Starter func(name string, cmd *exec.Cmd) error
}

// Cluster is a fleet that runs.
type Cluster struct {
	Clock     *fakeserver.Clock
	Events    *fakeserver.EventLog
	Discovery *fakeserver.Discovery
	Frontend  *fakeserver.FrontendBalancer

	number       int // among those of this process
	launchedAt   time.Duration
	config       Config
	options      Options
	store        *fakeserver.SharedSessionStore
	dir          string
	nodes        []*process
	agents       []*process
	listLinks    []*fakeserver.Link // of each node
	controlLinks []*fakeserver.Link // of a process to a node's control listener, named "n1>n2" and "a1>n2"
	faults

	mu          sync.Mutex // guards what grows while it runs
	hosts       []*fakeserver.Host
	hostLinks   []*fakeserver.Link
	directPicks int
	closed      bool
}

var clusters atomic.Int64

// readyTimeout is how long nodes may take to answer PING.
const readyTimeout = 30 * time.Second

// Start plays a fleet and waits until all of its nodes serve. What was started is ended again where an error comes.
func Start(ctx context.Context, f Config, opt Options) (*Cluster, error) {
	r, err := Prepare(f, opt)
	if err != nil {
		return nil, err
	}
	if err = r.Launch(); err == nil {
		err = r.Ready(ctx)
	}
	if err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

// Prepare makes all that processes deal with, and their files, and starts none of them: a test may set the stage first.
func Prepare(f Config, opt Options) (r *Cluster, err error) {
	clock := fakeserver.NewClock()
	r = &Cluster{Clock: clock, Events: fakeserver.NewEventLog(clock), config: f, options: opt, number: int(clusters.Add(1)),
		store: fakeserver.NewSharedSessionStore(capacity.SessionStore{Latency: f.Store.Latency.D(), Rate: f.Store.CallsPerSecond})}
	defer func() {
		if err != nil {
			r.Close()
		}
	}()
	var members []wire.Endpoint
	for range f.Hosts {
		h, err := r.addHost(f.Host.StartsCold)
		if err != nil {
			return nil, err
		}
		members = append(members, r.member(h, wire.Serving))
	}
	if r.Discovery, err = fakeserver.NewDiscovery("", clock, r.Events, 1, members...); err != nil {
		return nil, err
	}
	r.Discovery.SetLimits(fakeserver.DiscoveryLimits{CallDuration: f.Discovery.CallDuration.D(), MaxWait: f.Discovery.MaxWait.D(), MaxQueue: f.Discovery.MaxQueue, RetryAfter: f.Discovery.RetryAfter})
	if r.dir, err = os.MkdirTemp("", "onyxstream-rig"); err != nil {
		return nil, err
	}
	if f.usesTLS() {
		if err := pki.Create(r.keyFolder(), "rig"); err != nil {
			return nil, err
		}
		if _, err := pki.Issue(r.keyFolder(), listReader, pki.Look, time.Hour); err != nil {
			return nil, err
		}
	}
	for i := range f.Nodes {
		if err := r.newNode(i); err != nil {
			return nil, err
		}
	}
	if f.ColdStart != nil {
		for i := range f.Nodes {
			if err := r.configurePeers(i); err != nil {
				return nil, err
			}
		}
	}
	for i := range f.Agents {
		if err := r.newAgent(i); err != nil {
			return nil, err
		}
	}
	known := members
	if f.Discovery.StartsUnknown {
		known = nil
	}
	return r, r.SetKnownEndpoints(1, known...)
}

// SetKnownEndpoints sets the list that nodes know when they start next.
func (r *Cluster) SetKnownEndpoints(revision int64, known ...wire.Endpoint) error {
	for i, p := range r.nodes {
		if err := r.writePlatformConfig(p, i, wire.EndpointList{Revision: revision, Complete: true, Endpoints: known}); err != nil {
			return err
		}
	}
	return nil
}

// SetKnownEndpointsOf sets the list that one node knows when it starts next.
func (r *Cluster) SetKnownEndpointsOf(i int, revision int64, known ...wire.Endpoint) error {
	return r.writePlatformConfig(r.nodes[i], i, wire.EndpointList{Revision: revision, Complete: true, Endpoints: known})
}

// Launch starts all processes at once, as far as one machine can.
func (r *Cluster) Launch() error {
	var front []fakeserver.Node
	all := append(append([]*process(nil), r.nodes...), r.agents...)
	errs := make([]error, len(all))
	r.launchedAt = r.Clock.Now()
	if down := r.config.Discovery.DownAtStart.D(); down > 0 {
		r.Discovery.SetMode(fakeserver.ModeReset)
		r.after(down, func() { r.Discovery.SetMode(fakeserver.ModeNormal) })
	}
	var wg sync.WaitGroup
	for i, p := range all {
		wg.Go(func() { errs[i] = p.start() })
	}
	wg.Wait()
	for _, p := range r.nodes {
		front = append(front, fakeserver.Node{Name: p.name, Addr: p.addr, Zone: p.zone})
	}
	r.Frontend = fakeserver.NewFrontendBalancer(r.Events, r.config.FrontendDelay.D(), front...)
	return errors.Join(errs...)
}

// LaunchedAt is when the processes were started.
func (r *Cluster) LaunchedAt() time.Duration { return r.launchedAt }

// Ready waits until all nodes serve.
func (r *Cluster) Ready(ctx context.Context) error {
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := r.Frontend.Ready(ready); err != nil {
		return fmt.Errorf("the nodes are not ready: %w", errors.Join(err, r.unexpectedExits()))
	}
	return nil
}

// unexpectedExits says which nodes have ended by themselves.
func (r *Cluster) unexpectedExits() (err error) {
	for _, p := range append(append([]*process(nil), r.nodes...), r.agents...) {
		err = errors.Join(err, p.unexpectedExit())
	}
	return err
}

func (r *Cluster) addHost(cold bool) (*fakeserver.Host, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := len(r.hosts)
	h, err := fakeserver.NewHost(fakeserver.HostConfig{ID: fmt.Sprint("h", i+1), Zone: r.config.Zones[i%len(r.config.Zones)],
		Spec: r.config.hostSpec(i), Store: r.store, Seed: r.options.Seed + uint64(i), StartsCold: cold, ReportsLoad: r.config.ReportsLoad,
		ResumeTimeout: r.config.ResumeTimeout.D()}, r.Clock, r.Events)
	if err != nil {
		return nil, err
	}
	r.hosts = append(r.hosts, h)
	if !r.config.HostLinks {
		return h, nil
	}
	k, err := fakeserver.NewLinkAt("127.0.0.1:0", h.Addr(), "link-"+h.ID(), r.Events)
	if err != nil {
		return nil, err
	}
	r.hostLinks = append(r.hostLinks, k)
	return h, nil
}

// HostEndpoint is a host's entry in the list, at the address where nodes reach it.
func (r *Cluster) HostEndpoint(h *fakeserver.Host, phase wire.Phase) wire.Endpoint {
	return r.member(h, phase)
}

// member is a host's entry in the list: its link's address where it has one.
func (r *Cluster) member(h *fakeserver.Host, phase wire.Phase) wire.Endpoint {
	m := h.Endpoint(phase)
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, k := range r.hostLinks {
		if r.hosts[i] == h {
			m.Addr = k.Addr()
		}
	}
	return m
}

// Hosts are the stand-in hosts, those that were added last.
func (r *Cluster) Hosts() []*fakeserver.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*fakeserver.Host(nil), r.hosts...)
}

// ErrNoNode says that the front has no node to deal a client to.
var ErrNoNode = errors.New("the front knows no node that serves")

// ClientAddress says where a client of a zone connects: at a node that the front deals, or at a host directly.
func (r *Cluster) ClientAddress(zone string, direct bool) (string, error) {
	if direct || r.config.Nodes == 0 {
		hosts := r.Hosts()
		r.mu.Lock()
		r.directPicks++
		h := hosts[r.directPicks%len(hosts)]
		r.mu.Unlock()
		return h.Addr(), nil
	}
	n, ok := r.Frontend.Pick(zone)
	if !ok {
		return "", ErrNoNode
	}
	return n.Addr, nil
}

// Listener is where one part of the fleet listens.
type Listener struct{ Kind, Name, Addr string }

// Listeners says where all of it listens.
func (r *Cluster) Listeners() (out []Listener) {
	out = append(out, Listener{"discovery", "discovery", r.Discovery.Addr()})
	for _, h := range r.Hosts() {
		out = append(out, Listener{"host", h.ID(), h.Addr()})
	}
	for _, p := range r.nodes {
		out = append(out, Listener{"node", p.name, p.addr})
	}
	return out
}

// Usage is what the nodes have taken so far, killed ones included.
type Usage struct {
	CPU         time.Duration `json:"cpu_ns"`
	PeakMB      float64       `json:"peak_mb"` // resident, of the largest
	Descriptors int           `json:"descriptors"`
}

// Usage adds up the nodes.
func (r *Cluster) Usage() (u Usage) {
	for _, p := range r.nodes {
		one := p.usage()
		u.CPU += one.CPU
		u.PeakMB = math.Max(u.PeakMB, one.PeakMB)
		u.Descriptors = max(u.Descriptors, one.Descriptors)
	}
	return u
}

// Close ends all that was started.
func (r *Cluster) Close() {
	r.mu.Lock()
	was := r.closed
	r.closed = true
	r.mu.Unlock()
	if was {
		return
	}
	r.faults.stop()
	if r.Frontend != nil {
		r.Frontend.Close()
	}
	var wg sync.WaitGroup
	for _, p := range append(append([]*process(nil), r.nodes...), r.agents...) {
		wg.Go(p.kill)
	}
	wg.Wait()
	for _, k := range append(append(append([]*fakeserver.Link(nil), r.hostLinks...), r.listLinks...), r.controlLinks...) {
		wg.Go(k.Close)
	}
	wg.Wait()
	for _, h := range r.hosts {
		h.Close()
	}
	if r.Discovery != nil {
		r.Discovery.Close()
	}
	if r.dir != "" {
		_ = os.RemoveAll(r.dir)
	}
}
