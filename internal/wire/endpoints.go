package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
)

// Phase is the state of a host in the endpoint list.
type Phase uint8

// The phases.
const (
	Serving Phase = iota
	Draining
	Removed
)

var phaseNames = map[string]Phase{"SERVING": Serving, "DRAINING": Draining, "DELETED": Removed}

// UnmarshalText parses the name of a phase.
func (p *Phase) UnmarshalText(text []byte) error {
	phase, known := phaseNames[string(text)]
	if !known {
		return fmt.Errorf("unknown phase %q", text)
	}
	*p = phase
	return nil
}

// MarshalText returns the name that discovery uses for the phase.
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
	maxStartedAtMS  = math.MaxInt64 / 2_000_000 // a larger value could overflow when converted to nanoseconds
)

// Endpoint is a host's entry in the endpoint list.
type Endpoint struct {
	ID          string  `json:"id"`
	Addr        string  `json:"host_port"`
	Zone        string  `json:"locality"`
	Cell        int     `json:"cell"`
	Phase       Phase   `json:"phase"`
	Size        float64 `json:"size"`        // relative capacity of the host
	StartedAtMS int64   `json:"up_since_ms"` // Unix time of the start of the host; 0 for a start long ago
}

// EndpointList is a snapshot of the endpoint list if Complete is set, or else a delta with the changed endpoints.
type EndpointList struct {
	Revision  int64      `json:"revision"`
	Complete  bool       `json:"complete"`
	Endpoints []Endpoint `json:"members"`
}

// ParseEndpointList parses and checks one JSON object sent by discovery.
func ParseEndpointList(text []byte) (EndpointList, error) {
	var list EndpointList
	if err := json.Unmarshal(text, &list); err != nil {
		return EndpointList{}, fmt.Errorf("parse endpoint list: %w", err)
	}
	return list, list.Check()
}

// Check reports the first invalid field of a list that another process sent or a file holds.
func (l *EndpointList) Check() error {
	for i, endpoint := range l.Endpoints {
		switch {
		case endpoint.ID == "":
			return fmt.Errorf("members[%d]: %w", i, errors.New("missing id"))
		case !(endpoint.Size >= 0 && endpoint.Size < maxEndpointSize):
			return fmt.Errorf("members[%d]: size %g is out of range", i, endpoint.Size)
		case endpoint.StartedAtMS < 0 || endpoint.StartedAtMS > maxStartedAtMS:
			return fmt.Errorf("members[%d]: up_since_ms %d is out of range", i, endpoint.StartedAtMS)
		}
	}
	return nil
}
