// Package sharedstate stores the state that all processes of one node share, as files in a folder. The state consists
// of the operators' overrides, which apply to the whole node, and of a liveness file for each process.
package sharedstate

import (
	"fmt"
	"slices"
	"time"

	"onyxstream/internal/sealedfile"
)

const (
	// stateFormat begins the state file; its last character is the version.
	stateFormat = "onyxstream-handover-1"
	// maxOverrides limits the overrides in a state.
	maxOverrides = 1024
	// maxHostIDBytes limits a host's id. The control listener has the same limit.
	maxHostIDBytes = 128
	// resumeRetention is how long an override that resumes a host is kept.
	resumeRetention = 2 * time.Minute
)

// State holds the overrides and the drain that apply to all processes of a node. Serial counts the changes of the
// state. Each override and the drain record the serial of their own last change, so that a process knows which of them
// it has not applied yet.
type State struct {
	Node      string         `json:"node"`
	Serial    uint64         `json:"serial"`
	Overrides []HostOverride `json:"words"`
	Drain     Drain          `json:"drain"`
}

// HostOverride is an operator's override of a host: it drains the host, or resumes it.
type HostOverride struct {
	Host     string    `json:"host"`
	Draining bool      `json:"out"`
	SetAt    time.Time `json:"at"`
	Serial   uint64    `json:"serial"`
}

// ErrOverrideLimit is returned if a state would have more than maxOverrides overrides.
var ErrOverrideLimit = fmt.Errorf("host override limit of %d reached", maxOverrides)

// SetOverride sets the override of a host. at is when an operator gave the override. SetOverride also removes overrides
// that resume other hosts, if they are older than resumeRetention.
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

// dropExpiredResumptions removes the overrides that resume a host and are older than resumeRetention, except that of
// exceptHost.
func (s *State) dropExpiredResumptions(exceptHost string, now time.Time) {
	s.Overrides = slices.DeleteFunc(s.Overrides, func(o HostOverride) bool {
		return o.Host != exceptHost && !o.Draining && now.Sub(o.SetAt) > resumeRetention
	})
}

// Override returns the override of a host, and whether there is one.
func (s *State) Override(host string) (override HostOverride, ok bool) {
	i := slices.IndexFunc(s.Overrides, func(o HostOverride) bool { return o.Host == host })
	if i < 0 {
		return HostOverride{}, false
	}
	return s.Overrides[i], true
}

// SetDrain sets the drain of the node itself. A drain that is not active ends the current one.
func (s *State) SetDrain(drain Drain) {
	s.Serial++
	drain.Serial = s.Serial
	s.Drain = drain
}

// Encode returns the content of the state file.
func (s *State) Encode() ([]byte, error) { return sealedfile.Encode(stateFormat, s) }

// Decode decodes the content of a node's state file. It returns an error unless the content is one that Encode can
// return for this node.
func Decode(text []byte, node string) (State, error) {
	var state State
	if err := sealedfile.Decode(stateFormat, text, &state); err != nil {
		return State{}, err
	}
	if state.Node != node {
		return State{}, fmt.Errorf("file has the state of node %q", state.Node)
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
