package testcluster

import (
	"time"

	"onyxstream/internal/fakeserver/capacity"
	"onyxstream/internal/tomlfile"
)

// Config describes a cluster. Its TOML form is the table "fleet" of a scenario file.
type Config struct {
	Nodes           int               `toml:"nodes"` // 0 for hosts alone, to which clients then connect directly
	Hosts           int               `toml:"hosts"`
	Zones           []string          `toml:"zones"` // assigned to nodes and to hosts round-robin
	Mode            string            `toml:"mode"`  // modePassThrough or modeProxy
	HealthChecks    bool              `toml:"probes"`
	ReportsLoad     bool              `toml:"loads"`        // hosts report the load of connections
	HostLinks       bool              `toml:"links"`        // nodes reach each host over a link with faults
	DiscoveryDelay  tomlfile.Duration `toml:"notice"`       // until discovery lists a crash or restart of a host
	FrontEjectDelay tomlfile.Duration `toml:"front_notice"` // until the frontend balancer ejects a failed node
	ResumeTimeout   tomlfile.Duration `toml:"park"`         // how long hosts keep connections that a node reset
	Cores           float64           `toml:"cores"`        // of a node
	MemoryMB        int               `toml:"memory_mb"`    // of a node
	Sockets         int               `toml:"sockets"`      // of a node
	Host            HostConfig        `toml:"host"`
	Store           StoreConfig       `toml:"store"`
	Discovery       DiscoveryConfig   `toml:"list"`
	ColdStart       *ColdStartConfig  `toml:"coldstart"` // nil for nodes without cold start
	TenantQuota     float64           `toml:"quota"`     // open connections of each tenant over all nodes; 0 for not set
	Agents          int               `toml:"agents"`    // each with all nodes in its inventory, over links of its own
}

// DiscoveryConfig describes the discovery service, and what nodes know of the endpoint list when they start.
type DiscoveryConfig struct {
	CallDuration  tomlfile.Duration `toml:"cost"`  // calls are served one by one
	MaxWait       tomlfile.Duration `toml:"wait"`  // a call that would wait longer is rejected; 0 for no limit
	MaxQueue      int               `toml:"queue"` // 0 for no limit
	RetryAfter    string            `toml:"retry_after"`
	Push          bool              `toml:"push"`       // the settings say that updates are pushed
	StartsUnknown bool              `toml:"unknown"`    // nodes start without a list
	NodeLinks     bool              `toml:"links"`      // each node reaches the service over a link with faults
	PollInterval  tomlfile.Duration `toml:"ask_within"` // of the nodes
	DownAtStart   tomlfile.Duration `toml:"down"`       // calls are reset for this long after the launch
}

// ColdStartConfig describes the table "coldstart" of the nodes' own configuration.
type ColdStartConfig struct {
	CacheFolder bool `toml:"folder"` // each node has a folder that outlasts restarts
	Peers       int  `toml:"peers"`  // of each node, over links with faults
	TLS         bool `toml:"keys"`   // peers talk over TLS, with certificates of the cluster's authority; else Unix sockets
}

// HostConfig describes the capacity of every host, see capacity.Spec.
type HostConfig struct {
	Cores             float64           `toml:"cores"`
	Speed             float64           `toml:"speed"`
	SpeedSpread       float64           `toml:"uneven"` // speeds are spread evenly over Speed * (1 ± SpeedSpread)
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
	StartsCold        bool              `toml:"fresh"` // all hosts are in slow start when the cluster starts
}

// StoreConfig describes the session store that all hosts call at each set-up.
type StoreConfig struct {
	Latency        tomlfile.Duration `toml:"latency"`
	CallsPerSecond float64           `toml:"rate"`
}

// ClassConfig describes a request class in the nodes' settings.
type ClassConfig struct {
	Name              string
	Deadline          time.Duration
	Semantics         string        // "safe", "keyed" or "unsafe", as in the settings; "" for safe
	IdempotencyWindow time.Duration // of a keyed class; 0 for defaultIdempotencyWindow
}

// usesTLS reports whether peers talk over TLS.
func (c *Config) usesTLS() bool { return c.ColdStart != nil && c.ColdStart.TLS }

// hasPeers reports whether nodes have peers to gossip the endpoint list with.
func (c *Config) hasPeers() bool { return c.ColdStart != nil && c.ColdStart.Peers > 0 }

// zone returns the zone of the host or node with an index.
func (c *Config) zone(index int) string { return c.Zones[index%len(c.Zones)] }

// hostSpec returns the capacity of the host with an index.
func (c *Config) hostSpec(index int) capacity.Spec {
	host := c.Host
	speed := host.Speed
	if c.Hosts > 1 {
		speed *= 1 - host.SpeedSpread + 2*host.SpeedSpread*float64(index%c.Hosts)/float64(c.Hosts-1)
	}
	return capacity.Spec{
		Cores:             host.Cores,
		Speed:             speed,
		ConnectionLoad:    host.ConnectionLoad,
		LoadDrift:         host.LoadDrift,
		GroupCost:         host.GroupCost,
		SetupWork:         host.SetupWork.AsDuration().Seconds(),
		LineWork:          host.LineWork.AsDuration().Seconds(),
		MaxConnections:    host.MaxConnections,
		MaxSetups:         host.MaxSetups,
		SlowStartFraction: host.SlowStartFraction,
		SlowStartDuration: host.SlowStartDuration.AsDuration(),
		CollapseMultiple:  host.CollapseMultiple,
		CollapseAfter:     host.CollapseAfter.AsDuration(),
	}
}
