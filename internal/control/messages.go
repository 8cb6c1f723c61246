// Package control lets operators control an instance: commands to drain and resume it or a host, its status, and its
// endpoint list for other instances. It has the messages, the register that applies each command once, the server on a
// Unix socket or TLS, and the client.
package control

import (
	"errors"
	"fmt"
	"time"
)

// CommandKind says what a command asks an instance to do.
type CommandKind string

// The kinds of commands.
const (
	Drain      CommandKind = "drain"       // admit nothing new and send existing connections away
	Resume     CommandKind = "resume"      // end a drain
	HostDrain  CommandKind = "host-drain"  // set an operator's override, for this instance: the host drains
	HostResume CommandKind = "host-resume" // remove that override
)

// Command is one operator's command to an instance. Its operation identifies it, and its fence orders it: whoever issues
// commands raises the fence with each operation. Times are durations, so the clocks of issuer and instance may differ.
type Command struct {
	Operation    string        `json:"operation"`
	Fence        uint64        `json:"fence"`
	Kind         CommandKind   `json:"kind"`
	Host         string        `json:"host,omitempty"` // of HostDrain and HostResume
	DrainTimeout time.Duration `json:"within_ns,omitempty"`
	RetryAfter   time.Duration `json:"retry_after_ns,omitempty"` // sent to rejected clients
	// AdmitFor is how long a draining node still admits clients: the load balancer in front of the nodes may not have
	// noticed the drain yet.
	AdmitFor time.Duration `json:"open_ns,omitempty"`
	// KeepConnections leaves established connections alone in pass-through mode: they go on through other nodes when
	// this one ends.
	KeepConnections bool `json:"keep,omitempty"`
	// HostMustExist rejects an override of an unknown host, instead of storing it until the host appears.
	HostMustExist bool `json:"known,omitempty"`
	// GivenAt is when another process of the node received the command; zero for now.
	GivenAt time.Time `json:"-"`
}

// The bounds of a command's fields.
const (
	maxNameLength = 128 // bytes of an operation or a host id
	maxDuration   = 24 * time.Hour
	maxRetryAfter = time.Hour
)

// Check returns an error that names the first invalid field, or nil.
func (c *Command) Check() error {
	switch {
	case c.Operation == "" || len(c.Operation) > maxNameLength:
		return fmt.Errorf("operation: must have 1 to %d bytes", maxNameLength)
	case c.Fence == 0:
		return errors.New("fence: must be above 0")
	case c.DrainTimeout < 0 || c.DrainTimeout > maxDuration:
		return fmt.Errorf("within_ns: %s is not between 0 and %s", c.DrainTimeout, maxDuration)
	case c.AdmitFor < 0 || c.AdmitFor > maxDuration:
		return fmt.Errorf("open_ns: %s is not between 0 and %s", c.AdmitFor, maxDuration)
	case c.RetryAfter < 0 || c.RetryAfter > maxRetryAfter:
		return fmt.Errorf("retry_after_ns: %s is not between 0 and %s", c.RetryAfter, maxRetryAfter)
	}
	switch c.Kind {
	case Drain, Resume:
		if c.Host != "" {
			return fmt.Errorf("host: must be empty, %s applies to the instance", c.Kind)
		}
	case HostDrain, HostResume:
		if c.Host == "" || len(c.Host) > maxNameLength {
			return fmt.Errorf("host: must have 1 to %d bytes", maxNameLength)
		}
	default:
		return fmt.Errorf("kind: %q is none of %q", c.Kind, []CommandKind{Drain, Resume, HostDrain, HostResume})
	}
	return nil
}

// Verdict says whether a command was applied.
type Verdict string

// The verdicts on a command.
const (
	Done     Verdict = "done"    // applied now, or when it first arrived
	Rejected Verdict = "refused" // superseded by a command with a higher fence
)

// Response is an instance's answer to a command. One start of an instance answers repeats of a command alike, also after
// later commands.
type Response struct {
	Verdict     Verdict `json:"verdict"`
	Reason      string  `json:"why,omitempty"`
	Fence       uint64  `json:"fence"` // of the command in effect for the instance, or the host
	Incarnation string  `json:"boot"`  // of the instance that answers
}
