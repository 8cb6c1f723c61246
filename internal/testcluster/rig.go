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
	Classes []ClassSpec
	Tenants []string
	// Starter starts a node's process in place of its command's Start, each time the node starts; nil for that.
	Starter func(name string, cmd *exec.Cmd) error
}

// Rig is a fleet that runs.
type Rig struct {
	Clock     *fakeserver.Clock
	Ledger    *fakeserver.Ledger
	Discovery *fakeserver.Discovery
	Front     *fakeserver.Front

	number    int // among those of this process
	launched  time.Duration
	fleet     Fleet
	opt       Options
	store     *fakeserver.SharedStore
	dir       string
	nodes     []*process
	agents    []*process
	listLinks []*fakeserver.Link // of each node
	between   []*fakeserver.Link // of a process to a node's control listener, named "n1>n2" and "a1>n2"
	faults

	mu     sync.Mutex // guards what grows while it runs
	hosts  []*fakeserver.Host
	links  []*fakeserver.Link
	dealt  int
	closed bool
}

var rigs atomic.Int64

// readyWithin is how long nodes may take to answer PING.
const readyWithin = 30 * time.Second

// Start plays a fleet and waits until all of its nodes serve. What was started is ended again where an error comes.
func Start(ctx context.Context, f Fleet, opt Options) (*Rig, error) {
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
func Prepare(f Fleet, opt Options) (r *Rig, err error) {
	clock := fakeserver.NewClock()
	r = &Rig{Clock: clock, Ledger: fakeserver.NewLedger(clock), fleet: f, opt: opt, number: int(rigs.Add(1)),
		store: fakeserver.NewStore(capacity.Store{Latency: f.Store.Latency.AsDuration(), Rate: f.Store.Rate})}
	defer func() {
		if err != nil {
			r.Close()
		}
	}()
	var members []wire.Endpoint
	for range f.Hosts {
		h, err := r.addHost(f.Host.Fresh)
		if err != nil {
			return nil, err
		}
		members = append(members, r.member(h, wire.Serving))
	}
	if r.Discovery, err = fakeserver.NewDiscovery("", clock, r.Ledger, 1, members...); err != nil {
		return nil, err
	}
	r.Discovery.Bears(fakeserver.Load{Cost: f.List.Cost.AsDuration(), Wait: f.List.Wait.AsDuration(), Queue: f.List.Queue, After: f.List.After})
	if r.dir, err = os.MkdirTemp("", "onyxstream-rig"); err != nil {
		return nil, err
	}
	if f.keys() {
		if err := pki.Create(r.keys(), "rig"); err != nil {
			return nil, err
		}
		if _, err := pki.Issue(r.keys(), looker, pki.RoleViewer, time.Hour); err != nil {
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
			if err := r.tellPeers(i); err != nil {
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
	if f.List.Unknown {
		known = nil
	}
	return r, r.Knows(1, known...)
}

// Knows sets the list that nodes know when they start next.
func (r *Rig) Knows(revision int64, known ...wire.Endpoint) error {
	for i, p := range r.nodes {
		if err := r.configure(p, i, wire.EndpointList{Revision: revision, Complete: true, Endpoints: known}); err != nil {
			return err
		}
	}
	return nil
}

// KnowsOne sets the list that one node knows when it starts next.
func (r *Rig) KnowsOne(i int, revision int64, known ...wire.Endpoint) error {
	return r.configure(r.nodes[i], i, wire.EndpointList{Revision: revision, Complete: true, Endpoints: known})
}

// Launch starts all processes at once, as far as one machine can.
func (r *Rig) Launch() error {
	var front []fakeserver.Node
	all := append(append([]*process(nil), r.nodes...), r.agents...)
	errs := make([]error, len(all))
	r.launched = r.Clock.Now()
	if down := r.fleet.List.Down.AsDuration(); down > 0 {
		r.Discovery.Answer(fakeserver.Resets)
		r.after(down, func() { r.Discovery.Answer(fakeserver.Well) })
	}
	var wg sync.WaitGroup
	for i, p := range all {
		wg.Go(func() { errs[i] = p.start() })
	}
	wg.Wait()
	for _, p := range r.nodes {
		front = append(front, fakeserver.Node{Name: p.name, Addr: p.addr, Zone: p.zone})
	}
	r.Front = fakeserver.NewFront(r.Ledger, r.fleet.FrontNotice.AsDuration(), front...)
	return errors.Join(errs...)
}

// Launched is when the processes were started.
func (r *Rig) Launched() time.Duration { return r.launched }

// Ready waits until all nodes serve.
func (r *Rig) Ready(ctx context.Context) error {
	ready, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	if err := r.Front.Ready(ready); err != nil {
		return fmt.Errorf("the nodes are not ready: %w", errors.Join(err, r.died()))
	}
	return nil
}

// died says which nodes have ended by themselves.
func (r *Rig) died() (err error) {
	for _, p := range append(append([]*process(nil), r.nodes...), r.agents...) {
		err = errors.Join(err, p.ended())
	}
	return err
}

func (r *Rig) addHost(cold bool) (*fakeserver.Host, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := len(r.hosts)
	h, err := fakeserver.NewHost(fakeserver.HostConfig{ID: fmt.Sprint("h", i+1), Zone: r.fleet.Zones[i%len(r.fleet.Zones)],
		Spec: r.fleet.spec(i), Store: r.store, Seed: r.opt.Seed + uint64(i), Cold: cold, Loads: r.fleet.Loads,
		Park: r.fleet.Park.AsDuration()}, r.Clock, r.Ledger)
	if err != nil {
		return nil, err
	}
	r.hosts = append(r.hosts, h)
	if !r.fleet.Links {
		return h, nil
	}
	k, err := fakeserver.NewLinkAt("127.0.0.1:0", h.Addr(), "link-"+h.ID(), r.Ledger)
	if err != nil {
		return nil, err
	}
	r.links = append(r.links, k)
	return h, nil
}

// Member is a host's entry in the list, at the address where nodes reach it.
func (r *Rig) Member(h *fakeserver.Host, phase wire.Phase) wire.Endpoint { return r.member(h, phase) }

// member is a host's entry in the list: its link's address where it has one.
func (r *Rig) member(h *fakeserver.Host, phase wire.Phase) wire.Endpoint {
	m := h.Member(phase)
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, k := range r.links {
		if r.hosts[i] == h {
			m.Addr = k.Addr()
		}
	}
	return m
}

// Hosts are the stand-in hosts, those that were added last.
func (r *Rig) Hosts() []*fakeserver.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*fakeserver.Host(nil), r.hosts...)
}

// ErrNoNode says that the front has no node to deal a client to.
var ErrNoNode = errors.New("the front knows no node that serves")

// Address says where a client of a zone connects: at a node that the front deals, or at a host directly.
func (r *Rig) Address(zone string, direct bool) (string, error) {
	if direct || r.fleet.Nodes == 0 {
		hosts := r.Hosts()
		r.mu.Lock()
		r.dealt++
		h := hosts[r.dealt%len(hosts)]
		r.mu.Unlock()
		return h.Addr(), nil
	}
	n, ok := r.Front.Pick(zone)
	if !ok {
		return "", ErrNoNode
	}
	return n.Addr, nil
}

// Listening is where one part of the fleet listens.
type Listening struct{ Kind, Name, Addr string }

// Addresses says where all of it listens.
func (r *Rig) Addresses() (out []Listening) {
	out = append(out, Listening{"discovery", "discovery", r.Discovery.Addr()})
	for _, h := range r.Hosts() {
		out = append(out, Listening{"host", h.ID(), h.Addr()})
	}
	for _, p := range r.nodes {
		out = append(out, Listening{"node", p.name, p.addr})
	}
	return out
}

// Usage is what the nodes have taken so far, killed ones included.
type Usage struct {
	CPU    time.Duration `json:"cpu_ns"`
	PeakMB float64       `json:"peak_mb"` // resident, of the largest
	Most   int           `json:"descriptors"`
}

// Usage adds up the nodes.
func (r *Rig) Usage() (u Usage) {
	for _, p := range r.nodes {
		one := p.usage()
		u.CPU += one.CPU
		u.PeakMB = math.Max(u.PeakMB, one.PeakMB)
		u.Most = max(u.Most, one.Most)
	}
	return u
}

// Close ends all that was started.
func (r *Rig) Close() {
	r.mu.Lock()
	was := r.closed
	r.closed = true
	r.mu.Unlock()
	if was {
		return
	}
	r.faults.stop()
	if r.Front != nil {
		r.Front.Close()
	}
	var wg sync.WaitGroup
	for _, p := range append(append([]*process(nil), r.nodes...), r.agents...) {
		wg.Go(p.kill)
	}
	wg.Wait()
	for _, k := range append(append(append([]*fakeserver.Link(nil), r.links...), r.listLinks...), r.between...) {
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
