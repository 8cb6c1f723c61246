package migrate

import (
	"fmt"

	"onyxstream/internal/tomlfile"
)

// Shape names what an old configuration can't know of the deployment that a node moves to. What is left out stays as it
// was. Times are in milliseconds, as in the configuration.
type Shape struct {
	List      string     `toml:"list"`      // "push": the list of hosts comes unasked; "ask": it is to be asked for
	Discovery string     `toml:"discovery"` // address and port of the new discovery; "" for the old one
	Nodes     int        `toml:"nodes"`     // how many nodes there will be; 0 for as many as before
	Gone      []string   `toml:"gone"`      // old locations that have no counterpart
	Locations []Location `toml:"location"`
	Rules     struct {
		DrainGrace   *float64 `toml:"drain_grace_ms"`
		ColdShare    *float64 `toml:"cold_share"`
		WarmWithin   *float64 `toml:"warm_within_ms"`
		FallMultiple *float64 `toml:"fall_multiple"`
		FallWindow   *float64 `toml:"fall_window_ms"`
	} `toml:"rules"`
	Limits struct {
		MaxAttempts *int  `toml:"max_attempts"`
		Probes      *bool `toml:"probes"`
	} `toml:"limits"`
	Prices struct {
		CrossZone *float64 `toml:"cross_zone"` // of a request that crosses locations, as a part of its worth
	} `toml:"prices"`
	Classes []Class  `toml:"class"`  // in place of the old ones, where there are any
	Tenants []Tenant `toml:"tenant"` // the same
}

// Location is one of the new deployment.
type Location struct {
	Name string   `toml:"name"`
	From []string `toml:"from"` // old ones that become it; a node there is in this one
}

// Class is a class of requests.
type Class struct {
	Name     string  `toml:"name"`
	Setup    float64 `toml:"setup_ms"`
	Deadline float64 `toml:"deadline_ms"`
	Message  float64 `toml:"message_ms"`
	Worth    float64 `toml:"worth"`
	Repeat   string  `toml:"repeat"` // "safe", "keyed" or "unsafe": whether a request may be sent again
}

// Tenant is a customer with its share of open connections over all nodes; 0 for none known.
type Tenant struct {
	Name        string  `toml:"name"`
	Connections float64 `toml:"connections"`
}

// Check reports what can't be meant.
func (s *Shape) Check() error {
	if s.List != "push" && s.List != "ask" {
		return tomlfile.Wrong("list", "%q is neither \"push\" nor \"ask\"", s.List)
	}
	if s.Nodes < 0 {
		return tomlfile.Wrong("nodes", "%d is out of range", s.Nodes)
	}
	if len(s.Locations) == 0 {
		return tomlfile.Wrong("location", "none is named")
	}
	names, from := map[string]bool{}, map[string]bool{}
	for _, old := range s.Gone {
		if from[old] {
			return tomlfile.Wrong("gone", "%q stands there twice", old)
		}
		from[old] = true
	}
	for i, l := range s.Locations {
		at := fmt.Sprintf("location[%d].", i)
		if l.Name == "" || names[l.Name] {
			return tomlfile.Wrong(at+"name", "%q is empty or taken", l.Name)
		}
		names[l.Name] = true
		for _, old := range l.From {
			if from[old] {
				return tomlfile.Wrong(at+"from", "%q is mapped twice", old)
			}
			from[old] = true
		}
	}
	for i, c := range s.Classes {
		at := fmt.Sprintf("class[%d].", i)
		switch {
		case c.Name == "":
			return tomlfile.Wrong(at+"name", "missing")
		case !(c.Setup > 0 && c.Deadline >= c.Setup && c.Message >= 0 && c.Worth > 0):
			return tomlfile.Wrong(at+"deadline_ms", "times and worth must be over 0, and the deadline no sooner than the set-up")
		case c.Repeat != "safe" && c.Repeat != "keyed" && c.Repeat != "unsafe":
			return tomlfile.Wrong(at+"repeat", "%q is none of \"safe\", \"keyed\", \"unsafe\"", c.Repeat)
		}
	}
	for i, t := range s.Tenants {
		if t.Name == "" || !(t.Connections >= 0) {
			return tomlfile.Wrong(fmt.Sprintf("tenant[%d].name", i), "a name and at least 0 connections are needed")
		}
	}
	return nil
}

// becomes maps each old location to the new one, "" for one that goes.
func (s *Shape) becomes() map[string]string {
	to := map[string]string{}
	for _, old := range s.Gone {
		to[old] = ""
	}
	for _, l := range s.Locations {
		for _, old := range l.From {
			to[old] = l.Name
		}
	}
	return to
}
