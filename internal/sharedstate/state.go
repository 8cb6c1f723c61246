// Package sharedstate keeps what all processes of one node share, in a folder: the operators' overrides, which hold
// for the node and not for one process of it, and a mark for each process that is alive.
package sharedstate

import (
	"fmt"
	"slices"
	"time"

	"onyxstream/internal/sealedfile"
)

const (
	// stateFormat heads the state's file; its last character is the version.
	stateFormat = "onyxstream-handover-1"
	// maxOverrides bounds the overrides in a state; more are rejected.
	maxOverrides = 1024
	// maxHostIDBytes bounds a host's id, as on the control listener.
	maxHostIDBytes = 128
	// resumeRetention is how long an override that resumed a host is kept.
	resumeRetention = 2 * time.Minute
)

// State is what holds for all processes of a node. Serial counts its changes. Each entry carries the serial of its
// own last change, by which a process knows the entries that it has not applied yet.
type State struct {
	Node      string         `json:"node"`
	Serial    uint64         `json:"serial"`
	Overrides []HostOverride `json:"words"`
	Drain     Drain          `json:"drain"`
}

// HostOverride is an operator's override of a host's state: draining, or resumed.
type HostOverride struct {
	Host     string    `json:"host"`
	Draining bool      `json:"out"`
	SetAt    time.Time `json:"at"`
	Serial   uint64    `json:"serial"`
}

// ErrOverrideLimit is returned where a state would have more overrides than it may.
var ErrOverrideLimit = fmt.Errorf("host override limit of %d reached", maxOverrides)

// SetOverride sets the override of a host, given at a time. It drops other hosts' resumptions that are past their
// retention.
func (s *State) SetOverride(host string, draining bool, at time.Time) error {
	s.dropExpiredResumptions(host, at)
	i := slices.IndexFunc(s.Overrides, func(o HostOverride) bool { return o.Host == host })
	if i < 0 && len(s.Overrides) >= maxOverrides {
		return ErrOverrideLimit
	}
	if i < 0 {
		i = len(s.Overrides)
		s.Overrides = append(s.Overrides, HostOverride{})
	}
	s.Serial++
	s.Overrides[i] = HostOverride{Host: host, Draining: draining, SetAt: at, Serial: s.Serial}
	return nil
}

func (s *State) dropExpiredResumptions(exceptHost string, now time.Time) {
	s.Overrides = slices.DeleteFunc(s.Overrides, func(o HostOverride) bool {
		return o.Host != exceptHost && !o.Draining && now.Sub(o.SetAt) > resumeRetention
	})
}

// Override returns the override of a host.
func (s *State) Override(host string) (override HostOverride, ok bool) {
	i := slices.IndexFunc(s.Overrides, func(o HostOverride) bool { return o.Host == host })
	if i < 0 {
		return HostOverride{}, false
	}
	return s.Overrides[i], true
}

// SetDrain sets the drain of the node itself; one that is not active ends it.
func (s *State) SetDrain(drain Drain) {
	s.Serial++
	drain.Serial = s.Serial
	s.Drain = drain
}

// Encode returns the content of the state's file.
func (s *State) Encode() ([]byte, error) { return sealedfile.Encode(stateFormat, s) }

// Decode reads the content of a node's state file. It returns an error for anything but what Encode returned for this
// node.
func Decode(text []byte, node string) (State, error) {
	var state State
	if err := sealedfile.Decode(stateFormat, text, &state); err != nil {
		return State{}, err
	}
	if state.Node != node {
		return State{}, fmt.Errorf("state is of node %q", state.Node)
	}
	if len(state.Overrides) > maxOverrides {
		return State{}, ErrOverrideLimit
	}
	for _, override := range state.Overrides {
		if override.Host == "" || len(override.Host) > maxHostIDBytes || override.Serial > state.Serial {
			return State{}, fmt.Errorf("invalid override of host %.40q", override.Host)
		}
	}
	return state, nil
}
