package rig

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"onyxstream/internal/stand"
	"onyxstream/internal/stand/capacity"
	"onyxstream/internal/wire"
)

// Options are what a rig needs of who plays it.
type Options struct {
	Program string    // the node's program; it is started with the argument "node"
	Log     io.Writer // the nodes' logs; nil for none
	Seed    uint64
	Classes []ClassSpec
	Tenants []string
}

// Rig is a fleet that runs.
type Rig struct {
	Clock     *stand.Clock
	Ledger    *stand.Ledger
	Discovery *stand.Discovery
	Front     *stand.Front

	fleet Fleet
	opt   Options
	store *stand.SharedStore
	dir   string
	nodes []*process
	faults

	mu     sync.Mutex // guards what grows while it runs
	hosts  []*stand.Host
	links  []*stand.Link
	dealt  int
	closed bool
}

// readyWithin is how long nodes may take to answer PING.
const readyWithin = 30 * time.Second

// Start plays a fleet. What was started is ended again where an error comes.
func Start(ctx context.Context, f Fleet, opt Options) (r *Rig, err error) {
	clock := stand.NewClock()
	r = &Rig{Clock: clock, Ledger: stand.NewLedger(clock), fleet: f, opt: opt,
		store: stand.NewStore(capacity.Store{Latency: f.Store.Latency.D(), Rate: f.Store.Rate})}
	defer func() {
		if err != nil {
			r.Close()
		}
	}()
	var members []wire.Member
	for range f.Hosts {
		h, err := r.addHost(false)
		if err != nil {
			return nil, err
		}
		members = append(members, r.member(h, wire.Serving))
	}
	if r.Discovery, err = stand.NewDiscovery("", clock, r.Ledger, 1, members...); err != nil {
		return nil, err
	}
	if r.dir, err = os.MkdirTemp("", "onyxstream-rig"); err != nil {
		return nil, err
	}
	var front []stand.Node
	for i := range f.Nodes {
		p, err := r.newProcess(i, members)
		if err != nil {
			return nil, err
		}
		r.nodes = append(r.nodes, p)
		if err := p.start(); err != nil {
			return nil, err
		}
		front = append(front, stand.Node{Name: p.name, Addr: p.addr, Zone: p.zone})
	}
	r.Front = stand.NewFront(r.Ledger, f.FrontNotice.D(), front...)
	ready, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	if err := r.Front.Ready(ready); err != nil {
		return nil, fmt.Errorf("the nodes are not ready: %w", errors.Join(err, r.died()))
	}
	return r, nil
}

// died says which nodes have ended by themselves.
func (r *Rig) died() (err error) {
	for _, p := range r.nodes {
		err = errors.Join(err, p.ended())
	}
	return err
}

func (r *Rig) addHost(cold bool) (*stand.Host, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := len(r.hosts)
	h, err := stand.NewHost(stand.HostConfig{ID: fmt.Sprint("h", i+1), Zone: r.fleet.Zones[i%len(r.fleet.Zones)],
		Spec: r.fleet.spec(i), Store: r.store, Seed: r.opt.Seed + uint64(i), Cold: cold, Loads: r.fleet.Loads,
		Park: r.fleet.Park.D()}, r.Clock, r.Ledger)
	if err != nil {
		return nil, err
	}
	r.hosts = append(r.hosts, h)
	if !r.fleet.Links {
		return h, nil
	}
	k, err := stand.NewLink(h.Addr())
	if err != nil {
		return nil, err
	}
	r.links = append(r.links, k)
	return h, nil
}

// member is a host's entry in the list: its link's address where it has one.
func (r *Rig) member(h *stand.Host, phase wire.Phase) wire.Member {
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
func (r *Rig) Hosts() []*stand.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*stand.Host(nil), r.hosts...)
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

// settings are what the platform would tell the nodes.
func (r *Rig) settings(i int) map[string]any {
	f := r.fleet
	var lanes, customers []map[string]any
	var messageAim []float64
	for _, c := range r.opt.Classes {
		ms := float64(c.Deadline.Milliseconds())
		lanes = append(lanes, map[string]any{"name": c.Name, "aim": ms / 4, "deadline": ms, "semantics": "safe", "group": "all",
			"worth": 1, "window": 5000})
		messageAim = append(messageAim, 1000)
	}
	for _, t := range r.opt.Tenants {
		customers = append(customers, map[string]any{"name": t})
	}
	cold := f.Host.Cold
	if cold == 0 {
		cold = 1
	}
	return map[string]any{
		"index": i, "groupSize": max(f.Nodes, 1), "zone": i % len(f.Zones), "zones": f.Zones, "registryMode": "ask",
		"lanes": lanes, "customers": customers,
		"domain": map[string]any{"mode": f.Mode, "groups": f.Host.Group > 0, "messageAim": messageAim},
		"limits": map[string]any{"cancel": true, "connectTimeout": 250, "maxAttempts": 5, "maxRetryAfter": 2000,
			"probes": f.Probes, "retryAfter": true},
		"rules": map[string]any{"answerSlack": 16, "askWithin": 10000, "coldShare": cold, "fallMultiple": max(f.Host.Fall, 1),
			"overloadFor": float64(f.Host.FallIn.D().Milliseconds()), "stopSendingWithin": 400,
			"warmWithin": float64(f.Host.Warm.D().Milliseconds())},
	}
}

// newProcess writes a node's configuration.
func (r *Rig) newProcess(i int, known []wire.Member) (*process, error) {
	f := r.fleet
	p := &process{name: fmt.Sprint("n", i+1), zone: f.Zones[i%len(f.Zones)], program: r.opt.Program, log: r.opt.Log}
	// An address of its own, so that no connection from this machine takes the port while the node restarts.
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+os.Getpid()%64, os.Getpid()/64%250, i+1))
	if err != nil {
		return nil, err
	}
	p.addr = l.Addr().String()
	_ = l.Close()
	text, err := json.Marshal(map[string]any{"name": p.name, "listen": p.addr, "discovery": r.Discovery.Addr(),
		"seed":   fmt.Sprintf("%016x", r.opt.Seed+uint64(i)*0x9e3779b97f4a7c15),
		"limits": map[string]any{"cores": f.Cores, "memory_mb": f.MemoryMB, "sockets": f.Sockets},
		"known":  wire.Catalog{Revision: 1, Complete: true, Members: known}, "settings": r.settings(i)})
	if err != nil {
		return nil, err
	}
	p.config = filepath.Join(r.dir, p.name+".json")
	return p, os.WriteFile(p.config, text, 0o600)
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
	for _, p := range r.nodes {
		p.kill()
	}
	for _, k := range r.links {
		k.Close()
	}
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
