package testcluster

import (
	"fmt"

	"onyxstream/internal/tomlfile"
)

// FaultSpec is one fault on a timeline.
type FaultSpec struct {
	At       tomlfile.Duration `toml:"at"`   // since the start of the timeline, which is the start of the load
	Kind     string            `toml:"what"` // see faultKinds
	Target   string            `toml:"on"`   // "h1", "n1", "discovery", "store", "link-h1", or a range such as "n3..n40"
	Duration tomlfile.Duration `toml:"for"`  // 0 for a fault that does not end
	Amount   float64           `toml:"by"`   // a factor, a fraction, or bytes per second
	Period   tomlfile.Duration `toml:"over"` // drain: time over which MOVEs are spread, 0 for no MOVE; lag, delay: the delay
}

// The kinds of faults, as in scenario files.
const (
	faultHang              = "hang"    // host: sends no responses
	faultSlow              = "slow"    // host, store: all work takes longer by a factor
	faultSteal             = "steal"   // host: a fraction of the CPU time is lost
	faultDrain             = "drain"   // host: drain, which discovery lists
	faultCrash             = "die"     // host: crash
	faultAdd               = "add"     // host: a new host is added
	faultKill              = "kill"    // process: SIGKILL
	faultStop              = "stop"    // process: graceful shutdown
	faultStall             = "stall"   // process: SIGSTOP; link: no bytes are forwarded
	faultLose              = "lose"    // process: kill, and loss of the folder
	faultLag               = "lag"     // discovery: changes are published late
	faultFreeze            = "freeze"  // discovery: no changes are published
	faultRejectRequests    = "busy"    // discovery: requests get status 503
	faultReset             = "reset"   // discovery, link: connections are reset
	faultMute              = "mute"    // link: bytes to the target are dropped; discovery: sends nothing
	faultRestart           = "restart" // discovery: restart
	faultBlackhole         = "silence" // link: bytes in both directions are dropped
	faultDelay             = "delay"   // link: bytes are delayed
	faultRate              = "limit"   // link: limit of bytes per second
	faultDeaf              = "deaf"    // link: bytes from the target are dropped
	faultRejectConnections = "refuse"  // link: existing and new connections are reset
)

// faultParameters states which optional fields of a FaultSpec a kind of fault uses.
type faultParameters struct{ amount, period bool }

var processFaults = map[string]faultParameters{faultKill: {}, faultStop: {}, faultStall: {}, faultLose: {}}

// faultKinds are the faults of each kind of target.
var faultKinds = map[targetKind]map[string]faultParameters{
	targetHost: {
		faultHang:  {},
		faultSlow:  {amount: true},
		faultSteal: {amount: true},
		faultDrain: {period: true},
		faultCrash: {},
		faultAdd:   {},
	},
	targetNode:  processFaults,
	targetAgent: processFaults,
	targetDiscovery: {
		faultLag:            {period: true},
		faultFreeze:         {},
		faultRejectRequests: {},
		faultReset:          {},
		faultMute:           {},
		faultRestart:        {},
	},
	targetStore: {faultSlow: {amount: true}},
	targetLink: {
		faultBlackhole:         {},
		faultStall:             {},
		faultReset:             {},
		faultDelay:             {period: true},
		faultRate:              {amount: true},
		faultDeaf:              {},
		faultMute:              {},
		faultRejectConnections: {},
	},
}

// CheckFaults validates a timeline. Its errors are *tomlfile.FieldError.
func (c *Config) CheckFaults(faults []FaultSpec) error {
	hosts := c.Hosts
	for i, fault := range faults {
		key := fmt.Sprintf("fault[%d].", i)
		targets, err := c.parseTargets(fault.Target)
		if err != nil {
			return tomlfile.NewFieldError(key+"on", "%w", err)
		}
		for _, t := range targets {
			if err := c.checkFault(key, fault, t); err != nil {
				return err
			}
			if err := checkHostExists(key, fault, t, &hosts); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkFault validates a fault on one target; key is the prefix of the fault's keys in errors.
func (c *Config) checkFault(key string, fault FaultSpec, t target) error {
	parameters, known := faultKinds[t.kind][fault.Kind]
	isProcess := t.kind == targetNode || t.kind == targetAgent
	switch {
	case !known:
		return tomlfile.NewFieldError(key+"what", "fault %q does not apply to a %s", fault.Kind, t.kind)
	case fault.At < 0:
		return tomlfile.NewFieldError(key+"at", "%s is negative", fault.At.AsDuration())
	case fault.Duration < 0:
		return tomlfile.NewFieldError(key+"for", "%s is negative", fault.Duration.AsDuration())
	case parameters.amount && fault.Amount <= 0:
		return tomlfile.NewFieldError(key+"by", "%s needs a number greater than 0", fault.Kind)
	case fault.Period < 0:
		return tomlfile.NewFieldError(key+"over", "%s is negative", fault.Period.AsDuration())
	case t.kind == targetLink && c.missingLinkKey(t.linkOf) != "":
		return tomlfile.NewFieldError(key+"on", "%s is off: no such link", c.missingLinkKey(t.linkOf))
	case fault.Kind == faultStall && isProcess && fault.Duration == 0:
		return tomlfile.NewFieldError(key+"for", "missing duration of a stall; use kill for a process that does not resume")
	}
	return nil
}

// missingLinkKey returns the configuration key without which the links of an owner do not exist, or "" if they exist.
func (c *Config) missingLinkKey(owner linkOwner) string {
	switch {
	case owner == linkOfHost && !c.HostLinks:
		return "fleet.links"
	case owner == linkOfNode && !c.Discovery.NodeLinks:
		return "fleet.list.links"
	case owner == linkOfPeers && !c.hasPeers():
		return "fleet.coldstart.peers"
	}
	return ""
}

// checkHostExists checks that a host exists when its fault starts. A fault that adds a host increments hosts.
func checkHostExists(key string, fault FaultSpec, t target, hosts *int) error {
	switch {
	case t.kind != targetHost:
	case fault.Kind == faultAdd && t.index != *hosts:
		return tomlfile.NewFieldError(key+"on", "invalid new host: the next host that can be added is h%d", *hosts+1)
	case fault.Kind == faultAdd:
		*hosts++
	case t.index >= *hosts:
		return tomlfile.NewFieldError(key+"on", "host h%d does not exist at that time", t.index+1)
	}
	return nil
}
