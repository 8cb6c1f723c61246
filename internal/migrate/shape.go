package migrate

import (
	"fmt"

	"onyxstream/internal/tomlfile"
)

// Shape describes the deployment that a node moves to, as far as its old configuration can't tell. What is left out stays
// as it was. Times are in milliseconds, as in the configuration.
type Shape struct {
	ListMode         string     `toml:"list"`      // how the endpoint list comes: "push" or "ask" (polled)
	Discovery        string     `toml:"discovery"` // address and port of the new discovery; "" for the old one
	NodeCount        int        `toml:"nodes"`     // 0 for as many as before
	RemovedLocations []string   `toml:"gone"`      // old locations without a counterpart
	Locations        []Location `toml:"location"`
	Rules            Rules      `toml:"rules"`
	Limits           Limits     `toml:"limits"`
	Prices           Prices     `toml:"prices"`
	Classes          []Class    `toml:"class"`  // replace the old ones, where there are any
	Tenants          []Tenant   `toml:"tenant"` // the same
}

// Rules are the protocol's rules in the new deployment; nil leaves one as it was.
type Rules struct {
	DrainGrace        *float64 `toml:"drain_grace_ms"`
	SlowStartFraction *float64 `toml:"cold_share"`
	SlowStartDuration *float64 `toml:"warm_within_ms"`
	CollapseMultiple  *float64 `toml:"fall_multiple"`
	CollapseWindow    *float64 `toml:"fall_window_ms"`
}

// Limits are what a node may do; nil leaves one as it was.
type Limits struct {
	MaxAttempts *int  `toml:"max_attempts"`
	Probes      *bool `toml:"probes"`
}

// Prices are costs of placement; nil leaves one as it was.
type Prices struct {
	CrossZone *float64 `toml:"cross_zone"` // of a request that crosses locations, as a fraction of its priority weight
}

// Location is a location of the new deployment.
type Location struct {
	Name string   `toml:"name"`
	From []string `toml:"from"` // old locations that become this one, with their nodes and hosts
}

// Class is a class of requests.
type Class struct {
	Name               string  `toml:"name"`
	SetupObjectiveMS   float64 `toml:"setup_ms"`
	DeadlineMS         float64 `toml:"deadline_ms"`
	MessageObjectiveMS float64 `toml:"message_ms"`
	PriorityWeight     float64 `toml:"worth"`
	Effect             string  `toml:"repeat"` // "safe", "keyed" or "unsafe": whether it is idempotent, or by key
}

// Tenant is a customer with its quota of open connections over all nodes; 0 where none is known.
type Tenant struct {
	Name            string  `toml:"name"`
	ConnectionQuota float64 `toml:"connections"`
}

// Check returns a *tomlfile.FieldError for the first field that is invalid.
func (s *Shape) Check() error {
	if s.ListMode != "push" && s.ListMode != "ask" {
		return tomlfile.NewFieldError("list", "%q is neither \"push\" nor \"ask\"", s.ListMode)
	}
	if s.NodeCount < 0 {
		return tomlfile.NewFieldError("nodes", "%d is out of range", s.NodeCount)
	}
	for _, check := range []func() error{s.checkLocations, s.checkClasses, s.checkTenants} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Shape) checkLocations() error {
	if len(s.Locations) == 0 {
		return tomlfile.NewFieldError("location", "none is named")
	}
	names, mapped := map[string]bool{}, map[string]bool{}
	for _, old := range s.RemovedLocations {
		if mapped[old] {
			return tomlfile.NewFieldError("gone", "%q stands there twice", old)
		}
		mapped[old] = true
	}
	for i, location := range s.Locations {
		path := fmt.Sprintf("location[%d].", i)
		if location.Name == "" || names[location.Name] {
			return tomlfile.NewFieldError(path+"name", "%q is empty or taken", location.Name)
		}
		names[location.Name] = true
		for _, old := range location.From {
			if mapped[old] {
				return tomlfile.NewFieldError(path+"from", "%q is mapped twice", old)
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
			return tomlfile.NewFieldError(path+"deadline_ms", "times and worth must be over 0, and the deadline no sooner than the set-up")
		case class.Effect != "safe" && class.Effect != "keyed" && class.Effect != "unsafe":
			return tomlfile.NewFieldError(path+"repeat", "%q is none of \"safe\", \"keyed\", \"unsafe\"", class.Effect)
		}
	}
	return nil
}

func (s *Shape) checkTenants() error {
	for i, tenant := range s.Tenants {
		if tenant.Name == "" || !(tenant.ConnectionQuota >= 0) {
			return tomlfile.NewFieldError(fmt.Sprintf("tenant[%d].name", i), "a name and at least 0 connections are needed")
		}
	}
	return nil
}

// newLocations maps each old location to the new one, "" for one that is removed.
func (s *Shape) newLocations() map[string]string {
	mapping := map[string]string{}
	for _, old := range s.RemovedLocations {
		mapping[old] = ""
	}
	for _, location := range s.Locations {
		for _, old := range location.From {
			mapping[old] = location.Name
		}
	}
	return mapping
}
