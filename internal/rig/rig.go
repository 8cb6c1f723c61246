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
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"onyxstream/internal/keys"
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

	number    int // among those of this process
	launched  time.Duration
	fleet     Fleet
	opt       Options
	store     *stand.SharedStore
	dir       string
	nodes     []*process
	agents    []*process
	listLinks []*stand.Link // of each node
	between   []*stand.Link // of a process to a node's control listener, named "n1>n2" and "a1>n2"
	faults

	mu     sync.Mutex // guards what grows while it runs
	hosts  []*stand.Host
	links  []*stand.Link
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
	clock := stand.NewClock()
	r = &Rig{Clock: clock, Ledger: stand.NewLedger(clock), fleet: f, opt: opt, number: int(rigs.Add(1)),
		store: stand.NewStore(capacity.Store{Latency: f.Store.Latency.D(), Rate: f.Store.Rate})}
	defer func() {
		if err != nil {
			r.Close()
		}
	}()
	var members []wire.Member
	for range f.Hosts {
		h, err := r.addHost(f.Host.Fresh)
		if err != nil {
			return nil, err
		}
		members = append(members, r.member(h, wire.Serving))
	}
	if r.Discovery, err = stand.NewDiscovery("", clock, r.Ledger, 1, members...); err != nil {
		return nil, err
	}
	r.Discovery.Bears(stand.Load{Cost: f.List.Cost.D(), Wait: f.List.Wait.D(), Queue: f.List.Queue, After: f.List.After})
	if r.dir, err = os.MkdirTemp("", "onyxstream-rig"); err != nil {
		return nil, err
	}
	if f.keys() {
		if err := keys.Create(r.keys(), "rig"); err != nil {
			return nil, err
		}
		if _, err := keys.Issue(r.keys(), looker, keys.Look, time.Hour); err != nil {
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
func (r *Rig) Knows(revision int64, known ...wire.Member) error {
	for i, p := range r.nodes {
		if err := r.configure(p, i, wire.Catalog{Revision: revision, Complete: true, Members: known}); err != nil {
			return err
		}
	}
	return nil
}

// KnowsOne sets the list that one node knows when it starts next.
func (r *Rig) KnowsOne(i int, revision int64, known ...wire.Member) error {
	return r.configure(r.nodes[i], i, wire.Catalog{Revision: revision, Complete: true, Members: known})
}

// Launch starts all processes at once, as far as one machine can.
func (r *Rig) Launch() error {
	var front []stand.Node
	all := append(append([]*process(nil), r.nodes...), r.agents...)
	errs := make([]error, len(all))
	r.launched = r.Clock.Now()
	if down := r.fleet.List.Down.D(); down > 0 {
		r.Discovery.Answer(stand.Resets)
		r.after(down, func() { r.Discovery.Answer(stand.Well) })
	}
	var wg sync.WaitGroup
	for i, p := range all {
		wg.Go(func() { errs[i] = p.start() })
	}
	wg.Wait()
	for _, p := range r.nodes {
		front = append(front, stand.Node{Name: p.name, Addr: p.addr, Zone: p.zone})
	}
	r.Front = stand.NewFront(r.Ledger, r.fleet.FrontNotice.D(), front...)
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
	k, err := stand.NewLinkAt("127.0.0.1:0", h.Addr(), "link-"+h.ID(), r.Ledger)
	if err != nil {
		return nil, err
	}
	r.links = append(r.links, k)
	return h, nil
}

// Member is a host's entry in the list, at the address where nodes reach it.
func (r *Rig) Member(h *stand.Host, phase wire.Phase) wire.Member { return r.member(h, phase) }

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
		"index": i, "groupSize": max(f.Nodes, 1), "zone": i % len(f.Zones), "zones": f.Zones, "registryMode": map[bool]string{false: "ask", true: "push"}[f.List.Push],
		"lanes": lanes, "customers": customers,
		"domain": map[string]any{"mode": f.Mode, "groups": f.Host.Group > 0, "messageAim": messageAim},
		"limits": map[string]any{"cancel": true, "connectTimeout": 250, "maxAttempts": 5, "maxRetryAfter": 2000,
			"probes": f.Probes, "retryAfter": true},
		"rules": map[string]any{"answerSlack": 16, "askWithin": float64(f.List.AskWithin.D().Milliseconds()), "coldShare": cold, "fallMultiple": max(f.Host.Fall, 1),
			"overloadFor": float64(f.Host.FallIn.D().Milliseconds()), "stopSendingWithin": 400,
			"warmWithin": float64(f.Host.Warm.D().Milliseconds())},
	}
}

// newNode makes a node's process, its link to the list service and its folder.
func (r *Rig) newNode(i int) error {
	f := r.fleet
	p := &process{name: fmt.Sprint("n", i+1), zone: f.Zones[i%len(f.Zones)], program: r.opt.Program, log: r.opt.Log, args: []string{"node"}}
	// An address of its own, so that neither a connection from this machine nor a node of another rig takes the port
	// while the node restarts.
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+os.Getpid()%64, 4*((os.Getpid()/64+r.number)%64)+i/250, i%250+1))
	if err != nil {
		return err
	}
	p.addr = l.Addr().String()
	_ = l.Close()
	if f.keys() {
		if l, err = net.Listen("tcp", strings.TrimSuffix(p.addr, p.addr[strings.LastIndex(p.addr, ":"):])+":0"); err != nil {
			return err
		}
		p.control = l.Addr().String()
		_ = l.Close()
	}
	p.config = filepath.Join(r.dir, p.name+".json")
	r.nodes = append(r.nodes, p)
	if f.List.Links {
		k, err := stand.NewLinkAt("127.0.0.1:0", r.Discovery.Addr(), p.name+">list", r.Ledger)
		if err != nil {
			return err
		}
		r.listLinks = append(r.listLinks, k)
	}
	if f.ColdStart == nil && f.Agents == 0 {
		return nil
	}
	p.args = append(p.args, "--config", filepath.Join(r.dir, p.name+".toml"))
	if f.ColdStart != nil && f.ColdStart.Folder {
		p.folder = filepath.Join(r.dir, p.name)
		if err := os.Mkdir(p.folder, 0o700); err != nil {
			return err
		}
	}
	return r.own(p, "")
}

// socket is where a process's control listener is.
func (r *Rig) socket(name string) string { return filepath.Join(r.dir, name+".s") }

// keys is the folder of the rig's authority, and looker the holder under whose certificate nodes ask each other.
func (r *Rig) keys() string { return filepath.Join(r.dir, "keys") }

const looker = "looker"

func (f *Fleet) keys() bool { return f.ColdStart != nil && f.ColdStart.Keys }

// keyFiles are a holder's files, as a table's fields.
func (r *Rig) keyFiles(holder string) string {
	at := func(name string) string { return filepath.Join(r.keys(), name) }
	return fmt.Sprintf("cert = %q\nkey = %q\nauthority = %q\nrevoked = %q\n", at(holder+".crt"), at(holder+".key"), at("authority.crt"), at("revoked"))
}

// own writes a node's own configuration; more follows it.
func (r *Rig) own(p *process, more string) error {
	text := fmt.Sprintf("[control]\nsocket = %q\n", r.socket(p.name))
	if p.control != "" {
		if _, err := keys.Issue(r.keys(), p.name, keys.Instance, time.Hour); err != nil {
			return err
		}
		text += fmt.Sprintf("listen = %q\n[control.keys]\n%s", p.control, r.keyFiles(p.name))
	}
	if r.fleet.ColdStart != nil {
		text += fmt.Sprintf("[coldstart]\nservice = \"rig\"\nfolder = %q\n", p.folder)
		if p.control != "" {
			text += "[coldstart.keys]\n" + r.keyFiles(looker)
		}
		text += more
	}
	return os.WriteFile(filepath.Join(r.dir, p.name+".toml"), []byte(text), 0o600)
}

// tellPeers names other nodes to a node, the same in each run: the nodes at steps of all sizes round a ring, so that what
// one knows reaches all in few steps.
func (r *Rig) tellPeers(i int) error {
	n, more := len(r.nodes), ""
	seen := map[int]bool{i: true}
	for k := 0; len(seen) <= r.fleet.ColdStart.Peers; k++ {
		j := (i + 1 + k*k*7919%max(n-1, 1)) % n
		for seen[j] {
			j = (j + 1) % n
		}
		seen[j] = true
		addr, err := r.link(r.nodes[i], r.nodes[j])
		if err != nil {
			return err
		}
		more += fmt.Sprintf("[[coldstart.peer]]\nname = %q\naddr = %q\n", r.nodes[j].name, addr)
	}
	return r.own(r.nodes[i], more)
}

// link makes the link between a process and a node's control listener.
func (r *Rig) link(from, to *process) (addr string, err error) {
	name := from.name + ">" + to.name
	if to.control != "" && from.args[0] == "node" {
		k, err := stand.NewLinkAt("127.0.0.1:0", to.control, name, r.Ledger)
		if err != nil {
			return "", err
		}
		r.between = append(r.between, k)
		return k.Addr(), nil
	}
	k, err := stand.NewLinkAt("unix:"+filepath.Join(r.dir, strings.Replace(name, ">", "-", 1)+".l"), "unix:"+r.socket(to.name), name, r.Ledger)
	if err != nil {
		return "", err
	}
	r.between = append(r.between, k)
	return k.Addr(), nil
}

// newAgent makes an agent's process, with all nodes in its inventory.
func (r *Rig) newAgent(i int) error {
	p := &process{name: fmt.Sprint("a", i+1), program: r.opt.Program, log: r.opt.Log, addr: r.socket(fmt.Sprint("a", i+1))}
	p.folder = filepath.Join(r.dir, p.name)
	p.args = []string{"agent", "--config", filepath.Join(r.dir, p.name+".toml")}
	r.agents = append(r.agents, p)
	inventory := ""
	for _, to := range r.nodes {
		addr, err := r.link(p, to)
		if err != nil {
			return err
		}
		inventory += fmt.Sprintf("[[instance]]\nname = %q\naddr = %q\nzone = %q\n", to.name, addr, to.zone)
	}
	if err := os.Mkdir(p.folder, 0o700); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(r.dir, p.name+"-inventory.toml"), []byte(inventory), 0o600); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(r.dir, p.name+".toml"), fmt.Appendf(nil, "inventory = %q\nstore = %q\nsocket = %q\n",
		filepath.Join(r.dir, p.name+"-inventory.toml"), filepath.Join(p.folder, "store"), p.addr), 0o600)
}

// AgentSocket is where an agent is called, and ControlSocket where a node is, past all links.
func (r *Rig) AgentSocket(i int) string   { return r.agents[i].addr }
func (r *Rig) ControlSocket(i int) string { return r.socket(r.nodes[i].name) }

// NodeAddress is where a node's clients connect, whatever the front knows of it.
func (r *Rig) NodeAddress(i int) string { return r.nodes[i].addr }

// Folder is what a node keeps over its starts; "" for nothing.
func (r *Rig) Folder(i int) string { return r.nodes[i].folder }

// Follow names another list service in a node's configuration and has it read again.
func (r *Rig) Follow(i int, addr string) error {
	p := r.nodes[i]
	text, err := os.ReadFile(p.config)
	if err != nil {
		return err
	}
	var all map[string]json.RawMessage
	if err := json.Unmarshal(text, &all); err != nil {
		return err
	}
	if all["discovery"], err = json.Marshal(addr); err != nil {
		return err
	}
	if text, err = json.Marshal(all); err != nil {
		return err
	}
	if err := os.WriteFile(p.config, text, 0o600); err != nil {
		return err
	}
	p.signal(syscall.SIGHUP)
	return nil
}

// configure writes a node's configuration.
func (r *Rig) configure(p *process, i int, known wire.Catalog) error {
	f := r.fleet
	discovery := r.Discovery.Addr()
	if f.List.Links {
		discovery = r.listLinks[i].Addr()
	}
	if known.Members == nil {
		known.Members, known.Revision = []wire.Member{}, 0
	}
	text, err := json.Marshal(map[string]any{"name": p.name, "listen": p.addr, "discovery": discovery,
		"seed":   fmt.Sprintf("%016x", r.opt.Seed+uint64(i)*0x9e3779b97f4a7c15),
		"limits": map[string]any{"cores": f.Cores, "memory_mb": f.MemoryMB, "sockets": f.Sockets},
		"known":  known, "settings": r.settings(i)})
	if err != nil {
		return err
	}
	return os.WriteFile(p.config, text, 0o600)
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
	for _, k := range append(append(append([]*stand.Link(nil), r.links...), r.listLinks...), r.between...) {
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
