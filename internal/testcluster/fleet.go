// Package testcluster plays a fleet on one machine: real nodes as processes of their own, and stand-ins for all they deal
// with, with a time line of faults. It is what the load generator and experiments put load on.
package testcluster

import (
	"fmt"
	"strings"
	"time"

	"onyxstream/internal/fakeserver/capacity"
	"onyxstream/internal/tomlfile"
)

// Fleet says what to play.
type Fleet struct {
	Nodes       int               `toml:"nodes"` // real nodes; 0 for hosts alone, which all requests then go to directly
	Hosts       int               `toml:"hosts"`
	Zones       []string          `toml:"zones"` // nodes and hosts are dealt to them in turn
	Mode        string            `toml:"mode"`  // "pass" or "proxy", as the settings call it
	Probes      bool              `toml:"probes"`
	Loads       bool              `toml:"loads"` // hosts tell the load of connections
	Links       bool              `toml:"links"` // each host is reached over a link that can fail
	Notice      tomlfile.Duration `toml:"notice"`
	FrontNotice tomlfile.Duration `toml:"front_notice"`
	Park        tomlfile.Duration `toml:"park"`  // how long hosts keep a connection whose node broke it
	Cores       float64           `toml:"cores"` // of a node
	MemoryMB    int               `toml:"memory_mb"`
	Sockets     int               `toml:"sockets"`
	Host        Host              `toml:"host"`
	Store       Store             `toml:"store"`
	List        List              `toml:"list"`
	ColdStart   *ColdStart        `toml:"coldstart"` // of the nodes; off without it
	Quota       float64           `toml:"quota"`     // connections that each tenant may have open at all nodes within its share; 0 for not told
	Agents      int               `toml:"agents"`    // each with all nodes in its inventory, over links of its own
}

// List is the list service, and what nodes know of the list when they start.
type List struct {
	Cost      tomlfile.Duration `toml:"cost"` // of a call; calls are worked through in turn
	Wait      tomlfile.Duration `toml:"wait"` // a call that has waited so long is turned away; 0 for none is
	Queue     int               `toml:"queue"`
	After     string            `toml:"retry_after"` // of what is turned away, word for word
	Push      bool              `toml:"push"`        // the settings say that the list comes unasked
	Unknown   bool              `toml:"unknown"`     // nodes start with no list
	Links     bool              `toml:"links"`       // each node reaches it over a link that can fail
	AskWithin tomlfile.Duration `toml:"ask_within"`
	Down      tomlfile.Duration `toml:"down"` // calls are reset for so long from the start of the processes on
}

// ColdStart is what the nodes' own configuration says of their start.
type ColdStart struct {
	Folder bool `toml:"folder"` // each has a lasting folder
	Peers  int  `toml:"peers"`  // how many others each is told of, over links that can fail
	Keys   bool `toml:"keys"`   // over TLS, with certificates of an authority of the rig's, in place of Unix sockets
}

// Host is what every stand-in host can do; package capacity says what the figures mean.
type Host struct {
	Cores  float64           `toml:"cores"`
	Speed  float64           `toml:"speed"`
	Uneven float64           `toml:"uneven"` // speeds are spread evenly over 1 - uneven to 1 + uneven of speed
	Load   float64           `toml:"load"`
	Drift  float64           `toml:"drift"`
	Group  float64           `toml:"group"`
	Setup  tomlfile.Duration `toml:"setup"`
	Lines  tomlfile.Duration `toml:"lines"`
	Most   int               `toml:"most"`
	Queue  int               `toml:"queue"`
	Cold   float64           `toml:"cold"`
	Warm   tomlfile.Duration `toml:"warm"`
	Fall   float64           `toml:"fall"`
	FallIn tomlfile.Duration `toml:"fall_in"`
	Fresh  bool              `toml:"fresh"` // all have just started when the fleet does
}

// Store is the session store that all hosts call with each set-up.
type Store struct {
	Latency tomlfile.Duration `toml:"latency"`
	Rate    float64           `toml:"rate"`
}

// ClassSpec is what a node's settings say of a class.
type ClassSpec struct {
	Name      string
	Deadline  time.Duration
	Semantics string        // "safe", "keyed" or "unsafe", as the settings call it; "" for safe
	Window    time.Duration // in which repeats of a keyed class are dropped; 0 for 5 s
}

// FaultSpec is one thing that goes wrong.
type FaultSpec struct {
	At   tomlfile.Duration `toml:"at"`   // from the start of the load
	What string            `toml:"what"` // see faultKinds
	On   string            `toml:"on"`   // "h1", "n1", "discovery", "store", "link-h1"
	For  tomlfile.Duration `toml:"for"`  // when it ends; 0 for never
	By   float64           `toml:"by"`   // a factor, a share, bytes a second
	Over tomlfile.Duration `toml:"over"` // drain: clients are sent away spread over this; lag, delay: the time
}

// faultKinds names what can be broken on what, and whether By and Over mean anything.
var faultKinds = map[string]map[string]struct{ by, over bool }{
	"host":  {"hang": {}, "slow": {by: true}, "steal": {by: true}, "drain": {over: true}, "die": {}, "add": {}},
	"node":  {"kill": {}, "stop": {}, "stall": {}, "lose": {}},
	"agent": {"kill": {}, "stop": {}, "stall": {}, "lose": {}},
	"discovery": {"lag": {over: true}, "freeze": {}, "busy": {}, "reset": {}, "mute": {},
		"restart": {}},
	"store": {"slow": {by: true}},
	"link": {"silence": {}, "stall": {}, "reset": {}, "delay": {over: true}, "limit": {by: true}, "deaf": {}, "mute": {},
		"refuse": {}},
}

const (
	mostNodes  = 1250 // an address each
	mostHosts  = 4096
	mostAgents = 1024
	mostPeers  = 1024 // of a node: each is a link, and a link takes descriptors of the rig
)

// Check fills in defaults and says what is wrong, as a *tomlfile.FieldError.
func (f *Fleet) Check(classes []ClassSpec, tenants []string) error {
	if len(f.Zones) == 0 {
		f.Zones = []string{"a"}
	}
	if f.Mode == "" {
		f.Mode = "proxy"
	}
	if f.Mode != "pass" && f.Mode != "proxy" {
		return tomlfile.NewFieldError("fleet.mode", `%q is neither "pass" nor "proxy"`, f.Mode)
	}
	for _, d := range []struct {
		v   *float64
		def float64
	}{{&f.Cores, 1}, {&f.Host.Cores, 2}, {&f.Host.Speed, 1}} {
		if *d.v == 0 {
			*d.v = d.def
		}
	}
	if f.MemoryMB == 0 {
		f.MemoryMB = 256
	}
	if f.Sockets == 0 {
		f.Sockets = 4096
	}
	if f.Notice == 0 {
		f.Notice = tomlfile.Duration(500 * time.Millisecond)
	}
	if f.List.AskWithin == 0 {
		f.List.AskWithin = tomlfile.Duration(10 * time.Second)
	}
	if f.ColdStart != nil && (f.ColdStart.Peers < 0 || f.ColdStart.Peers > mostPeers || f.ColdStart.Peers >= max(f.Nodes, 1)) {
		return tomlfile.NewFieldError("fleet.coldstart.peers", "%d is not between 0 and %d, and under the nodes", f.ColdStart.Peers, mostPeers)
	}
	for _, b := range []struct {
		name        string
		v, from, to float64
	}{
		{"nodes", float64(f.Nodes), 0, mostNodes}, {"hosts", float64(f.Hosts), 1, mostHosts},
		{"zones", float64(len(f.Zones)), 1, 100}, {"cores", f.Cores, 0.05, 64}, {"memory_mb", float64(f.MemoryMB), 16, 1 << 20},
		{"sockets", float64(f.Sockets), 64, 1 << 20}, {"notice", f.Notice.AsDuration().Seconds(), 0, 600},
		{"front_notice", f.FrontNotice.AsDuration().Seconds(), 0, 600}, {"park", f.Park.AsDuration().Seconds(), 0, 600},
		{"quota", f.Quota, 0, 1e9},
		{"host.uneven", f.Host.Uneven, 0, 0.99}, {"store.latency", f.Store.Latency.AsDuration().Seconds(), 0, 600},
		{"store.rate", f.Store.Rate, 0, 1e9}, {"agents", float64(f.Agents), 0, mostAgents},
		{"list.cost", f.List.Cost.AsDuration().Seconds(), 0, 60}, {"list.wait", f.List.Wait.AsDuration().Seconds(), 0, 600},
		{"list.queue", float64(f.List.Queue), 0, 1e6}, {"list.down", f.List.Down.AsDuration().Seconds(), 0, 600},
		{"list.ask_within", f.List.AskWithin.AsDuration().Seconds(), 0.1, 600},
	} {
		if !(b.v >= b.from && b.v <= b.to) {
			return tomlfile.NewFieldError("fleet."+b.name, "%g is not between %g and %g", b.v, b.from, b.to)
		}
	}
	for i, z := range f.Zones {
		if z == "" || strings.ContainsAny(z, " ,=\"\\") {
			return tomlfile.NewFieldError("fleet.zones", "%q is no name (number %d)", z, i+1)
		}
	}
	if field, err := f.spec(0).Check(); err != nil {
		return tomlfile.NewFieldError("fleet.host."+field, "%w", err)
	}
	return nil
}

// spec is what the i-th host can do.
func (f *Fleet) spec(i int) capacity.Spec {
	h := f.Host
	speed := h.Speed
	if f.Hosts > 1 {
		speed *= 1 - h.Uneven + 2*h.Uneven*float64(i%f.Hosts)/float64(f.Hosts-1)
	}
	return capacity.Spec{Cores: h.Cores, Speed: speed, Load: h.Load, Drift: h.Drift, Group: h.Group,
		Setup: h.Setup.AsDuration().Seconds(), Lines: h.Lines.AsDuration().Seconds(), Most: h.Most, Queue: h.Queue,
		Cold: h.Cold, Warm: h.Warm.AsDuration(), Fall: h.Fall, FallIn: h.FallIn.AsDuration()}
}

// target is one thing that a fault is on.
type target struct {
	name  string
	kind  string // host, node, agent, link, discovery or store
	of    string // of links, whose: host, node, agent, or peers
	index int
}

// targetOf reads a name.
func (f *Fleet) targetOf(on string) (t target, err error) {
	if on == "discovery" || on == "store" {
		return target{name: on, kind: on}, nil
	}
	for _, k := range []struct {
		prefix, kind, of string
		most             int
	}{{"link-h", "link", "host", f.Hosts}, {"link-n", "link", "node", f.Nodes}, {"link-a", "link", "agent", f.Agents},
		{"peers-n", "link", "peers", f.Nodes}, {"h", "host", "", mostHosts}, {"n", "node", "", f.Nodes}, {"a", "agent", "", f.Agents}} {
		var n int
		if rest, ok := strings.CutPrefix(on, k.prefix); ok {
			if _, err := fmt.Sscanf(rest, "%d", &n); err == nil && on == fmt.Sprint(k.prefix, n) && n >= 1 && n <= k.most {
				return target{on, k.kind, k.of, n - 1}, nil
			}
		}
	}
	return t, fmt.Errorf("%q is neither a host h1 to h%d, a node n1 to n%d, an agent, link-h1, link-n1, link-a1, peers-n1 and so on, "+
		"\"discovery\" nor \"store\"", on, f.Hosts, f.Nodes)
}

// targets reads the names that a fault is on: one, or several of a kind as in "n3..n40", all struck in one instant.
func (f *Fleet) targets(on string) (out []target, err error) {
	first, last, several := strings.Cut(on, "..")
	a, err := f.targetOf(first)
	if err != nil || !several {
		return []target{a}, err
	}
	prefix := strings.TrimRight(first, "0123456789")
	if !strings.HasPrefix(last, prefix) { // "link-n3..n40" is "link-n3..link-n40"
		last = prefix + last[len(strings.TrimRight(last, "0123456789")):]
	}
	b, err := f.targetOf(last)
	if err != nil {
		return nil, err
	}
	if b.index < a.index || a.kind == a.name {
		return nil, fmt.Errorf("%q are not several", on)
	}
	for i := a.index; i <= b.index; i++ {
		out = append(out, target{fmt.Sprint(prefix, i+1), a.kind, a.of, i})
	}
	return out, nil
}

// CheckFaults says what is wrong with a time line.
func (f *Fleet) CheckFaults(faults []FaultSpec) error {
	hosts := f.Hosts
	for i, x := range faults {
		at := fmt.Sprintf("fault[%d].", i)
		all, err := f.targets(x.On)
		if err != nil {
			return tomlfile.NewFieldError(at+"on", "%w", err)
		}
		for _, t := range all {
			if err := f.checkFault(at, x, t, &hosts); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Fleet) checkFault(at string, x FaultSpec, t target, hosts *int) error {
	k, ok := faultKinds[t.kind][x.What]
	off := map[string]string{}
	for of, on := range map[string]bool{"host": f.Links, "node": f.List.Links, "peers": f.ColdStart != nil && f.ColdStart.Peers > 0} {
		if !on {
			off[of] = map[string]string{"host": "fleet.links", "node": "fleet.list.links", "peers": "fleet.coldstart.peers"}[of]
		}
	}
	switch {
	case !ok:
		return tomlfile.NewFieldError(at+"what", "%q can't happen to a %s", x.What, t.kind)
	case x.At < 0:
		return tomlfile.NewFieldError(at+"at", "%s is negative", x.At.AsDuration())
	case x.For < 0:
		return tomlfile.NewFieldError(at+"for", "%s is negative", x.For.AsDuration())
	case k.by && x.By <= 0:
		return tomlfile.NewFieldError(at+"by", "%s needs a figure above 0", x.What)
	case x.Over < 0:
		return tomlfile.NewFieldError(at+"over", "%s is negative", x.Over.AsDuration())
	case t.kind == "link" && off[t.of] != "":
		return tomlfile.NewFieldError(at+"on", "%s is off, so there is no link", off[t.of])
	case x.What == "stall" && (t.kind == "node" || t.kind == "agent") && x.For == 0:
		return tomlfile.NewFieldError(at+"for", "a process that stalls for ever is killed, not stalled")
	case t.kind == "host" && x.What == "add":
		if t.index != *hosts {
			return tomlfile.NewFieldError(at+"on", "the next host to add is h%d", *hosts+1)
		}
		*hosts++
	case t.kind == "host" && t.index >= *hosts:
		return tomlfile.NewFieldError(at+"on", "there is no h%d by then", t.index+1)
	}
	return nil
}
