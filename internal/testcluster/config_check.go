package testcluster

import (
	"strings"
	"time"

	"onyxstream/internal/tomlfile"
)

// Values of Config.Mode, as in the nodes' settings.
const (
	modePassThrough = "pass"
	modeProxy       = "proxy"
)

const (
	maxNodes  = 1250 // each has its own loopback address
	maxHosts  = 4096
	maxAgents = 1024
	maxPeers  = 1024 // of a node; each needs a link, which uses descriptors of this process
)

// Defaults of Config.
const (
	defaultZone           = "a"
	defaultCores          = 1
	defaultHostCores      = 2
	defaultHostSpeed      = 1
	defaultMemoryMB       = 256
	defaultSockets        = 4096
	defaultDiscoveryDelay = tomlfile.Duration(500 * time.Millisecond)
	defaultPollInterval   = tomlfile.Duration(10 * time.Second)
)

// Check sets defaults and validates the configuration. Its errors are *tomlfile.FieldError.
func (c *Config) Check(classes []ClassConfig, tenants []string) error {
	c.setDefaults()
	if c.Mode != modePassThrough && c.Mode != modeProxy {
		return tomlfile.NewFieldError("fleet.mode", `%q is neither "pass" nor "proxy"`, c.Mode)
	}
	if err := c.checkPeers(); err != nil {
		return err
	}
	if err := c.checkRanges(); err != nil {
		return err
	}
	for i, zone := range c.Zones {
		if zone == "" || strings.ContainsAny(zone, " ,=\"\\") {
			return tomlfile.NewFieldError("fleet.zones", "invalid zone name %q (number %d)", zone, i+1)
		}
	}
	if field, err := c.hostSpec(0).Check(); err != nil {
		return tomlfile.NewFieldError("fleet.host."+field, "%w", err)
	}
	return nil
}

func (c *Config) setDefaults() {
	if len(c.Zones) == 0 {
		c.Zones = []string{defaultZone}
	}
	setDefault(&c.Mode, modeProxy)
	setDefault(&c.Cores, defaultCores)
	setDefault(&c.Host.Cores, defaultHostCores)
	setDefault(&c.Host.Speed, defaultHostSpeed)
	setDefault(&c.MemoryMB, defaultMemoryMB)
	setDefault(&c.Sockets, defaultSockets)
	setDefault(&c.DiscoveryDelay, defaultDiscoveryDelay)
	setDefault(&c.Discovery.PollInterval, defaultPollInterval)
}

// setDefault replaces a zero value with a default.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (c *Config) checkPeers() error {
	if c.ColdStart == nil {
		return nil
	}
	peers := c.ColdStart.Peers
	if peers < 0 || peers > maxPeers || peers >= max(c.Nodes, 1) {
		return tomlfile.NewFieldError("fleet.coldstart.peers", "%d is not between 0 and %d, or not less than the number of nodes", peers, maxPeers)
	}
	return nil
}

// checkRanges checks that numbers, and durations in seconds, are in their ranges.
func (c *Config) checkRanges() error {
	for _, field := range []struct {
		key             string
		value, min, max float64
	}{
		{"nodes", float64(c.Nodes), 0, maxNodes},
		{"hosts", float64(c.Hosts), 1, maxHosts},
		{"zones", float64(len(c.Zones)), 1, 100},
		{"cores", c.Cores, 0.05, 64},
		{"memory_mb", float64(c.MemoryMB), 16, 1 << 20},
		{"sockets", float64(c.Sockets), 64, 1 << 20},
		{"notice", c.DiscoveryDelay.AsDuration().Seconds(), 0, 600},
		{"front_notice", c.FrontEjectDelay.AsDuration().Seconds(), 0, 600},
		{"park", c.ResumeTimeout.AsDuration().Seconds(), 0, 600},
		{"quota", c.TenantQuota, 0, 1e9},
		{"host.uneven", c.Host.SpeedSpread, 0, 0.99},
		{"store.latency", c.Store.Latency.AsDuration().Seconds(), 0, 600},
		{"store.rate", c.Store.CallsPerSecond, 0, 1e9},
		{"agents", float64(c.Agents), 0, maxAgents},
		{"list.cost", c.Discovery.RequestDuration.AsDuration().Seconds(), 0, 60},
		{"list.wait", c.Discovery.MaxWait.AsDuration().Seconds(), 0, 600},
		{"list.queue", float64(c.Discovery.MaxQueue), 0, 1e6},
		{"list.down", c.Discovery.DownAtStart.AsDuration().Seconds(), 0, 600},
		{"list.ask_within", c.Discovery.PollInterval.AsDuration().Seconds(), 0.1, 600},
	} {
		inRange := field.value >= field.min && field.value <= field.max // false for NaN too
		if !inRange {
			return tomlfile.NewFieldError("fleet."+field.key, "%g is not between %g and %g", field.value, field.min, field.max)
		}
	}
	return nil
}
