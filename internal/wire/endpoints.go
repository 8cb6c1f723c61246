package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
)

// Phase is the state of a host in discovery.
type Phase uint8

// The phases.
const (
	Serving Phase = iota
	Draining
	Removed
)

var phaseNames = map[string]Phase{"SERVING": Serving, "DRAINING": Draining, "DELETED": Removed}

// UnmarshalText reads a phase.
func (p *Phase) UnmarshalText(text []byte) error {
	phase, known := phaseNames[string(text)]
	if !known {
		return fmt.Errorf("unknown phase %q", text)
	}
	*p = phase
	return nil
}

// MarshalText writes a phase as discovery does.
func (p Phase) MarshalText() ([]byte, error) {
	for name, phase := range phaseNames {
		if phase == p {
			return []byte(name), nil
		}
	}
	return nil, fmt.Errorf("unknown phase %d", p)
}

const (
	maxEndpointSize = 1e9
	maxStartedAtMS  = math.MaxInt64 / 2_000_000 // its conversion to nanoseconds does not overflow
)

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

// ParseEndpointList reads and checks one object from discovery.
func ParseEndpointList(text []byte) (EndpointList, error) {
	var list EndpointList
	if err := json.Unmarshal(text, &list); err != nil {
		return EndpointList{}, fmt.Errorf("the list can't be read: %w", err)
	}
	return list, list.Check()
}

// Check reports what is wrong with a list that was read from elsewhere.
func (l *EndpointList) Check() error {
	for i, endpoint := range l.Endpoints {
		switch {
		case endpoint.ID == "":
			return fmt.Errorf("members[%d]: %w", i, errors.New("no id"))
		case !(endpoint.Size >= 0 && endpoint.Size < maxEndpointSize):
			return fmt.Errorf("members[%d]: size %g is out of range", i, endpoint.Size)
		case endpoint.StartedAtMS < 0 || endpoint.StartedAtMS > maxStartedAtMS:
			return fmt.Errorf("members[%d]: up_since_ms %d is out of range", i, endpoint.StartedAtMS)
		}
	}
	return nil
}
