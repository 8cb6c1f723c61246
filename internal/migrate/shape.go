package migrate

import (
	"fmt"

	"onyxstream/internal/tomlfile"
)

// Shape describes the deployment that a node moves to. It has the settings that cannot be derived from the node's old
// configuration. Fields that are left out keep their old values. Times are in milliseconds, as in the configuration.
type Shape struct {
	DiscoveryMode string   `toml:"list"`      // "push" (discovery pushes the endpoint list) or "ask" (nodes poll it)
	Discovery     string   `toml:"discovery"` // host:port of the new discovery; "" keeps the old one
	NodeCount     int      `toml:"nodes"`     // 0 keeps the old number
	RemovedZones  []string `toml:"gone"`      // old zones without a counterpart
	Zones         []Zone   `toml:"location"`
	Rules         Rules    `toml:"rules"`
	Limits        Limits   `toml:"limits"`
	Costs         Costs    `toml:"prices"`
	Classes       []Class  `toml:"class"`  // if any are given, they replace the old ones
	Tenants       []Tenant `toml:"tenant"` // if any are given, they replace the old ones
}

// Rules are the rules of the protocol in the new deployment. A nil field keeps the old value.
type Rules struct {
	DrainGrace        *float64 `toml:"drain_grace_ms"` // time after which a draining host gets nothing more
	SlowStartFraction *float64 `toml:"cold_share"`     // fraction of its capacity that a host has when it starts
	SlowStartDuration *float64 `toml:"warm_within_ms"` // time from its start until a host has its full capacity
	CollapseMultiple  *float64 `toml:"fall_multiple"`  // ratio of load to present capacity at which a host in slow start collapses
	CollapseWindow    *float64 `toml:"fall_window_ms"` // time for which that load must last for a collapse
}

// Limits restrict what a node may do. A nil field keeps the old value.
type Limits struct {
	MaxAttempts  *int  `toml:"max_attempts"`
	HealthChecks *bool `toml:"probes"`
}

// Costs are the costs of placement. A nil field keeps the old value.
type Costs struct {
	CrossZone *float64 `toml:"cross_zone"` // cost of a request that crosses zones, as a fraction of its priority weight
}

// Zone is a zone of the new deployment.
type Zone struct {
	Name string   `toml:"name"`
	From []string `toml:"from"` // old zones that are merged into this one, with their nodes and hosts
}

// Class is a class of requests.
type Class struct {
	Name               string  `toml:"name"`
	SetupObjectiveMS   float64 `toml:"setup_ms"` // latency objective of a connection setup
	DeadlineMS         float64 `toml:"deadline_ms"`
	MessageObjectiveMS float64 `toml:"message_ms"` // latency objective of a message
	PriorityWeight     float64 `toml:"worth"`
	Effect             string  `toml:"repeat"` // "safe" (idempotent), "keyed" (idempotent by key) or "unsafe" (non-idempotent)
}

// Tenant is a tenant with its quota of open connections over all nodes. A quota of 0 means that it is unknown.
type Tenant struct {
	Name            string  `toml:"name"`
	ConnectionQuota float64 `toml:"connections"`
}

// Check returns a *tomlfile.FieldError for the first invalid field. It implements tomlfile.Checker.
func (s *Shape) Check() error {
	if s.DiscoveryMode != "push" && s.DiscoveryMode != "ask" {
		return tomlfile.NewFieldError("list", "%q is neither \"push\" nor \"ask\"", s.DiscoveryMode)
	}
	if s.NodeCount < 0 {
		return tomlfile.NewFieldError("nodes", "%d is negative", s.NodeCount)
	}
	for _, check := range []func() error{s.checkZones, s.checkClasses, s.checkTenants} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Shape) checkZones() error {
	if len(s.Zones) == 0 {
		return tomlfile.NewFieldError("location", "missing: at least one zone is required")
	}
	names, mapped := map[string]bool{}, map[string]bool{}
	for _, old := range s.RemovedZones {
		if mapped[old] {
			return tomlfile.NewFieldError("gone", "duplicate zone %q", old)
		}
		mapped[old] = true
	}
	for i, zone := range s.Zones {
		path := fmt.Sprintf("location[%d].", i)
		if zone.Name == "" || names[zone.Name] {
			return tomlfile.NewFieldError(path+"name", "empty or duplicate name %q", zone.Name)
		}
		names[zone.Name] = true
		for _, old := range zone.From {
			if mapped[old] {
				return tomlfile.NewFieldError(path+"from", "zone %q is mapped twice, or both mapped and removed", old)
			}
			mapped[old] = true
		}
	}
	return nil
}

func (s *Shape) checkClasses() error {
	for i, class := range s.Classes {
		path := fmt.Sprintf("class[%d].", i)
		timesValid := class.SetupObjectiveMS > 0 && class.DeadlineMS >= class.SetupObjectiveMS && class.MessageObjectiveMS >= 0
		switch {
		case class.Name == "":
			return tomlfile.NewFieldError(path+"name", "missing")
		case !timesValid || !(class.PriorityWeight > 0):
			return tomlfile.NewFieldError(path+"deadline_ms", "setup_ms and worth must be positive, message_ms must not be negative, and deadline_ms must be at least setup_ms")
		case class.Effect != "safe" && class.Effect != "keyed" && class.Effect != "unsafe":
			return tomlfile.NewFieldError(path+"repeat", "unknown value %q: want \"safe\", \"keyed\" or \"unsafe\"", class.Effect)
		}
	}
	return nil
}

func (s *Shape) checkTenants() error {
	for i, tenant := range s.Tenants {
		if tenant.Name == "" || !(tenant.ConnectionQuota >= 0) {
			return tomlfile.NewFieldError(fmt.Sprintf("tenant[%d].name", i), "missing name or negative quota of connections")
		}
	}
	return nil
}

// zoneMapping maps the name of each old zone to that of the new one, or to "" if the zone is removed.
func (s *Shape) zoneMapping() map[string]string {
	mapping := map[string]string{}
	for _, old := range s.RemovedZones {
		mapping[old] = ""
	}
	for _, zone := range s.Zones {
		for _, old := range zone.From {
			mapping[old] = zone.Name
		}
	}
	return mapping
}
