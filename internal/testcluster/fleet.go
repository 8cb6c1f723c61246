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

// Config says what to play.
type Config struct {
	Nodes          int               `toml:"nodes"` // real nodes; 0 for hosts alone, which all requests then go to directly
	Hosts          int               `toml:"hosts"`
	Zones          []string          `toml:"zones"` // nodes and hosts are dealt to them in turn
	Mode           string            `toml:"mode"`  // "pass" or "proxy", as the settings call it
	HealthChecks   bool              `toml:"probes"`
	ReportsLoad    bool              `toml:"loads"` // hosts tell the load of connections
	HostLinks      bool              `toml:"links"` // each host is reached over a link that can fail
	DiscoveryDelay tomlfile.Duration `toml:"notice"`
	FrontendDelay  tomlfile.Duration `toml:"front_notice"`
	ResumeTimeout  tomlfile.Duration `toml:"park"`  // how long hosts keep a connection whose node broke it
	Cores          float64           `toml:"cores"` // of a node
	MemoryMB       int               `toml:"memory_mb"`
	Sockets        int               `toml:"sockets"`
	Host           HostConfig        `toml:"host"`
	Store          StoreConfig       `toml:"store"`
	Discovery      DiscoveryConfig   `toml:"list"`
	ColdStart      *ColdStartConfig  `toml:"coldstart"` // of the nodes; off without it
	TenantQuota    float64           `toml:"quota"`     // connections that each tenant may have open at all nodes within its share; 0 for not told
	Agents         int               `toml:"agents"`    // each with all nodes in its inventory, over links of its own
}

// DiscoveryConfig is the list service, and what nodes know of the list when they start.
type DiscoveryConfig struct {
	CallDuration  tomlfile.Duration `toml:"cost"` // of a call; calls are worked through in turn
	MaxWait       tomlfile.Duration `toml:"wait"` // a call that has waited so long is turned away; 0 for none is
	MaxQueue      int               `toml:"queue"`
	RetryAfter    string            `toml:"retry_after"` // of what is turned away, word for word
	Push          bool              `toml:"push"`        // the settings say that the list comes unasked
	StartsUnknown bool              `toml:"unknown"`     // nodes start with no list
	NodeLinks     bool              `toml:"links"`       // each node reaches it over a link that can fail
	PollInterval  tomlfile.Duration `toml:"ask_within"`
	DownAtStart   tomlfile.Duration `toml:"down"` // calls are reset for so long from the start of the processes on
}

// ColdStartConfig is what the nodes' own configuration says of their start.
type ColdStartConfig struct {
	CacheFolder bool `toml:"folder"` // each has a lasting folder
	Peers       int  `toml:"peers"`  // how many others each is told of, over links that can fail
	TLS         bool `toml:"keys"`   // over TLS, with certificates of an authority of the rig's, in place of Unix sockets
}

// HostConfig is what every stand-in host can do; package capacity says what the figures mean.
type HostConfig struct {
	Cores             float64           `toml:"cores"`
	Speed             float64           `toml:"speed"`
	SpeedSpread       float64           `toml:"uneven"` // speeds are spread evenly over 1 - uneven to 1 + uneven of speed
	ConnectionLoad    float64           `toml:"load"`
	LoadDrift         float64           `toml:"drift"`
	GroupCost         float64           `toml:"group"`
	SetupWork         tomlfile.Duration `toml:"setup"`
	LineWork          tomlfile.Duration `toml:"lines"`
	MaxConnections    int               `toml:"most"`
	MaxSetups         int               `toml:"queue"`
	SlowStartFraction float64           `toml:"cold"`
	SlowStartDuration tomlfile.Duration `toml:"warm"`
	CollapseMultiple  float64           `toml:"fall"`
	CollapseAfter     tomlfile.Duration `toml:"fall_in"`
	StartsCold        bool              `toml:"fresh"` // all have just started when the fleet does
}

// StoreConfig is the session store that all hosts call with each set-up.
type StoreConfig struct {
	Latency        tomlfile.Duration `toml:"latency"`
	CallsPerSecond float64           `toml:"rate"`
}

// ClassConfig is what a node's settings say of a class.
type ClassConfig struct {
	Name                string
	Deadline            time.Duration
	Semantics           string        // "safe", "keyed" or "unsafe", as the settings call it; "" for safe
	DeduplicationWindow time.Duration // in which repeats of a keyed class are dropped; 0 for 5 s
}

// FaultSpec is one thing that goes wrong.
type FaultSpec struct {
	At       tomlfile.Duration `toml:"at"`   // from the start of the load
	Kind     string            `toml:"what"` // see faultKinds
	Target   string            `toml:"on"`   // "h1", "n1", "discovery", "store", "link-h1"
	Duration tomlfile.Duration `toml:"for"`  // when it ends; 0 for never
	Amount   float64           `toml:"by"`   // a factor, a share, bytes a second
	Period   tomlfile.Duration `toml:"over"` // drain: clients are sent away spread over this; lag, delay: the time
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
	maxNodes  = 1250 // an address each
	maxHosts  = 4096
	maxAgents = 1024
	maxPeers  = 1024 // of a node: each is a link, and a link takes descriptors of the rig
)

// Check fills in defaults and says what is wrong, as a *tomlfile.FieldError.
func (f *Config) Check(classes []ClassConfig, tenants []string) error {
	if len(f.Zones) == 0 {
		f.Zones = []string{"a"}
	}
	if f.Mode == "" {
		f.Mode = "proxy"
	}
	if f.Mode != "pass" && f.Mode != "proxy" {
		return tomlfile.Wrong("fleet.mode", `%q is neither "pass" nor "proxy"`, f.Mode)
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
	if f.DiscoveryDelay == 0 {
		f.DiscoveryDelay = tomlfile.Duration(500 * time.Millisecond)
	}
	if f.Discovery.PollInterval == 0 {
		f.Discovery.PollInterval = tomlfile.Duration(10 * time.Second)
	}
	if f.ColdStart != nil && (f.ColdStart.Peers < 0 || f.ColdStart.Peers > maxPeers || f.ColdStart.Peers >= max(f.Nodes, 1)) {
		return tomlfile.Wrong("fleet.coldstart.peers", "%d is not between 0 and %d, and under the nodes", f.ColdStart.Peers, maxPeers)
	}
	for _, b := range []struct {
		name        string
		v, from, to float64
	}{
		{"nodes", float64(f.Nodes), 0, maxNodes}, {"hosts", float64(f.Hosts), 1, maxHosts},
		{"zones", float64(len(f.Zones)), 1, 100}, {"cores", f.Cores, 0.05, 64}, {"memory_mb", float64(f.MemoryMB), 16, 1 << 20},
		{"sockets", float64(f.Sockets), 64, 1 << 20}, {"notice", f.DiscoveryDelay.D().Seconds(), 0, 600},
		{"front_notice", f.FrontendDelay.D().Seconds(), 0, 600}, {"park", f.ResumeTimeout.D().Seconds(), 0, 600},
		{"quota", f.TenantQuota, 0, 1e9},
		{"host.uneven", f.Host.SpeedSpread, 0, 0.99}, {"store.latency", f.Store.Latency.D().Seconds(), 0, 600},
		{"store.rate", f.Store.CallsPerSecond, 0, 1e9}, {"agents", float64(f.Agents), 0, maxAgents},
		{"list.cost", f.Discovery.CallDuration.D().Seconds(), 0, 60}, {"list.wait", f.Discovery.MaxWait.D().Seconds(), 0, 600},
		{"list.queue", float64(f.Discovery.MaxQueue), 0, 1e6}, {"list.down", f.Discovery.DownAtStart.D().Seconds(), 0, 600},
		{"list.ask_within", f.Discovery.PollInterval.D().Seconds(), 0.1, 600},
	} {
		if !(b.v >= b.from && b.v <= b.to) {
			return tomlfile.Wrong("fleet."+b.name, "%g is not between %g and %g", b.v, b.from, b.to)
		}
	}
	for i, z := range f.Zones {
		if z == "" || strings.ContainsAny(z, " ,=\"\\") {
			return tomlfile.Wrong("fleet.zones", "%q is no name (number %d)", z, i+1)
		}
	}
	if field, err := f.hostSpec(0).Check(); err != nil {
		return tomlfile.Wrong("fleet.host."+field, "%w", err)
	}
	return nil
}

// hostSpec is what the i-th host can do.
func (f *Config) hostSpec(i int) capacity.Spec {
	h := f.Host
	speed := h.Speed
	if f.Hosts > 1 {
		speed *= 1 - h.SpeedSpread + 2*h.SpeedSpread*float64(i%f.Hosts)/float64(f.Hosts-1)
	}
	return capacity.Spec{Cores: h.Cores, Speed: speed, ConnectionLoad: h.ConnectionLoad, LoadDrift: h.LoadDrift, GroupCost: h.GroupCost,
		SetupWork: h.SetupWork.D().Seconds(), LineWork: h.LineWork.D().Seconds(), MaxConnections: h.MaxConnections, MaxSetups: h.MaxSetups,
		SlowStartFraction: h.SlowStartFraction, SlowStartDuration: h.SlowStartDuration.D(), CollapseMultiple: h.CollapseMultiple, CollapseAfter: h.CollapseAfter.D()}
}

// target is one thing that a fault is on.
type target struct {
	name  string
	kind  string // host, node, agent, link, discovery or store
	of    string // of links, whose: host, node, agent, or peers
	index int
}

// parseTarget reads a name.
func (f *Config) parseTarget(on string) (t target, err error) {
	if on == "discovery" || on == "store" {
		return target{name: on, kind: on}, nil
	}
	for _, k := range []struct {
		prefix, kind, of string
		most             int
	}{{"link-h", "link", "host", f.Hosts}, {"link-n", "link", "node", f.Nodes}, {"link-a", "link", "agent", f.Agents},
		{"peers-n", "link", "peers", f.Nodes}, {"h", "host", "", maxHosts}, {"n", "node", "", f.Nodes}, {"a", "agent", "", f.Agents}} {
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

// parseTargets reads the names that a fault is on: one, or several of a kind as in "n3..n40", all struck in one instant.
func (f *Config) parseTargets(on string) (out []target, err error) {
	first, last, several := strings.Cut(on, "..")
	a, err := f.parseTarget(first)
	if err != nil || !several {
		return []target{a}, err
	}
	prefix := strings.TrimRight(first, "0123456789")
	if !strings.HasPrefix(last, prefix) { // "link-n3..n40" is "link-n3..link-n40"
		last = prefix + last[len(strings.TrimRight(last, "0123456789")):]
	}
	b, err := f.parseTarget(last)
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
func (f *Config) CheckFaults(faults []FaultSpec) error {
	hosts := f.Hosts
	for i, x := range faults {
		at := fmt.Sprintf("fault[%d].", i)
		all, err := f.parseTargets(x.Target)
		if err != nil {
			return tomlfile.Wrong(at+"on", "%w", err)
		}
		for _, t := range all {
			if err := f.checkFault(at, x, t, &hosts); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Config) checkFault(at string, x FaultSpec, t target, hosts *int) error {
	k, ok := faultKinds[t.kind][x.Kind]
	off := map[string]string{}
	for of, on := range map[string]bool{"host": f.HostLinks, "node": f.Discovery.NodeLinks, "peers": f.ColdStart != nil && f.ColdStart.Peers > 0} {
		if !on {
			off[of] = map[string]string{"host": "fleet.links", "node": "fleet.list.links", "peers": "fleet.coldstart.peers"}[of]
		}
	}
	switch {
	case !ok:
		return tomlfile.Wrong(at+"what", "%q can't happen to a %s", x.Kind, t.kind)
	case x.At < 0:
		return tomlfile.Wrong(at+"at", "%s is negative", x.At.D())
	case x.Duration < 0:
		return tomlfile.Wrong(at+"for", "%s is negative", x.Duration.D())
	case k.by && x.Amount <= 0:
		return tomlfile.Wrong(at+"by", "%s needs a figure above 0", x.Kind)
	case x.Period < 0:
		return tomlfile.Wrong(at+"over", "%s is negative", x.Period.D())
	case t.kind == "link" && off[t.of] != "":
		return tomlfile.Wrong(at+"on", "%s is off, so there is no link", off[t.of])
	case x.Kind == "stall" && (t.kind == "node" || t.kind == "agent") && x.Duration == 0:
		return tomlfile.Wrong(at+"for", "a process that stalls for ever is killed, not stalled")
	case t.kind == "host" && x.Kind == "add":
		if t.index != *hosts {
			return tomlfile.Wrong(at+"on", "the next host to add is h%d", *hosts+1)
		}
		*hosts++
	case t.kind == "host" && t.index >= *hosts:
		return tomlfile.Wrong(at+"on", "there is no h%d by then", t.index+1)
	}
	return nil
}
