package testcluster

import (
	"time"

	"onyxstream/internal/fakeserver/capacity"
	"onyxstream/internal/tomlfile"
)

// Config describes a test cluster. Its TOML form is the table "fleet" of a scenario file.
type Config struct {
	// Size and mode.
	Nodes int      `toml:"nodes"` // 0 for hosts only, to which clients connect directly
	Hosts int      `toml:"hosts"`
	Zones []string `toml:"zones"` // assigned to nodes and to hosts round-robin
	Mode  string   `toml:"mode"`  // modePassThrough or modeProxy

	// Health checks, load reports, links and delays.
	HealthChecks    bool              `toml:"probes"`       // nodes send health checks to the hosts
	ReportsLoad     bool              `toml:"loads"`        // hosts report the load of connections
	HostLinks       bool              `toml:"links"`        // nodes connect to each host over a link that can have faults
	DiscoveryDelay  tomlfile.Duration `toml:"notice"`       // time until discovery lists the crash or restart of a host
	FrontEjectDelay tomlfile.Duration `toml:"front_notice"` // time until the front ejects a failed node
	ResumeTimeout   tomlfile.Duration `toml:"park"`         // time in which a connection that its node reset can be resumed

	// Resources of each node.
	Cores    float64 `toml:"cores"`
	MemoryMB int     `toml:"memory_mb"`
	Sockets  int     `toml:"sockets"`

	// Capacity of the hosts and of the services, and cold start.
	Host      HostConfig       `toml:"host"`
	Store     StoreConfig      `toml:"store"`
	Discovery DiscoveryConfig  `toml:"list"`
	ColdStart *ColdStartConfig `toml:"coldstart"` // nil for nodes without cold start

	// Quota and agents.
	TenantQuota float64 `toml:"quota"`  // open connections of each tenant over all nodes; 0 for no quota
	Agents      int     `toml:"agents"` // each has all nodes in its inventory, and its own links to them
}

// DiscoveryConfig describes the discovery service, how nodes use it, and what they know of the endpoint list when they
// start.
type DiscoveryConfig struct {
	RequestDuration tomlfile.Duration `toml:"cost"`        // time to serve a request; requests are served one by one
	MaxWait         tomlfile.Duration `toml:"wait"`        // a request that would wait longer is rejected; 0 for no limit
	MaxQueue        int               `toml:"queue"`       // limit of waiting requests; 0 for no limit
	RetryAfter      string            `toml:"retry_after"` // Retry-After header of rejections; "" for none
	Push            bool              `toml:"push"`        // the nodes' settings say that discovery pushes updates
	StartsUnknown   bool              `toml:"unknown"`     // nodes start without an endpoint list
	NodeLinks       bool              `toml:"links"`       // each node connects to discovery over a link that can have faults
	PollInterval    tomlfile.Duration `toml:"ask_within"`  // poll interval in the nodes' settings
	DownAtStart     tomlfile.Duration `toml:"down"`        // requests are reset for this time after the launch
}

// ColdStartConfig describes the table "coldstart" of the nodes' configuration files.
type ColdStartConfig struct {
	CacheFolder bool `toml:"folder"` // each node caches the endpoint list in a folder that outlasts restarts
	Peers       int  `toml:"peers"`  // number of peers of each node, over links that can have faults
	TLS         bool `toml:"keys"`   // peers connect over TLS with certificates of the cluster, or else over Unix sockets
}

// HostConfig describes the capacity of every host. capacity.Spec documents the fields of the same name.
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
	StartsCold        bool              `toml:"fresh"` // all hosts begin with a slow start when the cluster starts
}

// StoreConfig describes the session store, which all hosts call at each connection setup.
type StoreConfig struct {
	Latency        tomlfile.Duration `toml:"latency"`
	CallsPerSecond float64           `toml:"rate"`
}

// ClassConfig describes a request class in the nodes' settings.
type ClassConfig struct {
	Name     string
	Deadline time.Duration
	// Semantics is "safe" (idempotent), "keyed" (idempotent by key) or "unsafe" (non-idempotent); "" for "safe".
	Semantics         string
	IdempotencyWindow time.Duration // for a class that is idempotent by key; 0 for defaultIdempotencyWindow
}

// usesTLS reports whether peers connect over TLS.
func (c *Config) usesTLS() bool { return c.ColdStart != nil && c.ColdStart.TLS }

// hasPeers reports whether nodes have peers to gossip the endpoint list with.
func (c *Config) hasPeers() bool { return c.ColdStart != nil && c.ColdStart.Peers > 0 }

// zone returns the zone of the host or node with the index.
func (c *Config) zone(index int) string { return c.Zones[index%len(c.Zones)] }

// hostSpec returns the capacity of the host with the index.
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
