package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
)

// Phase is what discovery says of a host.
type Phase uint8

// The phases.
const (
	Serving Phase = iota
	Draining
	Removed
)

var phases = map[string]Phase{"SERVING": Serving, "DRAINING": Draining, "DELETED": Removed}

// UnmarshalText reads a phase.
func (p *Phase) UnmarshalText(text []byte) error {
	known, ok := phases[string(text)]
	if !ok {
		return fmt.Errorf("unknown phase %q", text)
	}
	*p = known
	return nil
}

// MarshalText writes a phase as discovery does.
func (p Phase) MarshalText() ([]byte, error) {
	for name, known := range phases {
		if known == p {
			return []byte(name), nil
		}
	}
	return nil, fmt.Errorf("unknown phase %d", p)
}

// Endpoint is one entry of the list.
type Endpoint struct {
	ID          string  `json:"id"`
	Addr        string  `json:"host_port"`
	Zone        string  `json:"locality"`
	Cell        int     `json:"cell"`
	Phase       Phase   `json:"phase"`
	Size        float64 `json:"size"`
	StartedAtMS int64   `json:"up_since_ms"` // Unix time, 0 for long ago
}

// EndpointList is the list of hosts, or the part of it that changed.
type EndpointList struct {
	Revision  int64      `json:"revision"`
	Complete  bool       `json:"complete"`
	Endpoints []Endpoint `json:"members"`
}

// ParseEndpointList reads one object of discovery.
func ParseEndpointList(text []byte) (EndpointList, error) {
	var c EndpointList
	if err := json.Unmarshal(text, &c); err != nil {
		return EndpointList{}, fmt.Errorf("the list can't be read: %w", err)
	}
	return c, c.Check()
}

// Check reports what is wrong with a list that was read from elsewhere.
func (c *EndpointList) Check() error {
	for i, m := range c.Endpoints {
		switch {
		case m.ID == "":
			return fmt.Errorf("members[%d]: %w", i, errors.New("no id"))
		case !(m.Size >= 0 && m.Size < 1e9):
			return fmt.Errorf("members[%d]: size %g is out of range", i, m.Size)
		case m.StartedAtMS < 0 || m.StartedAtMS > math.MaxInt64/2_000_000:
			return fmt.Errorf("members[%d]: up_since_ms %d is out of range", i, m.StartedAtMS)
		}
	}
	return nil
}
