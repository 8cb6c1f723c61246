// Package control implements the control listener of an instance and its client, which speak JSON over HTTP on a Unix
// socket or over TLS. Operators send commands that drain or resume the instance or a host, and read its status; peers
// request its endpoint list. The package defines the messages, the register that applies each command once, the server
// and the client.
package control

import (
	"errors"
	"fmt"
	"time"
)

// CommandKind is what a command tells an instance to do.
type CommandKind string

// The kinds of commands.
const (
	Drain      CommandKind = "drain"       // admit no new requests, and migrate or close the established connections
	Resume     CommandKind = "resume"      // end a drain
	HostDrain  CommandKind = "host-drain"  // override the state of a host, for this instance only: the host drains
	HostResume CommandKind = "host-resume" // remove the override of a host
)

// Command is one operator's command to an instance. Operation and Host identify the command. Fence orders commands: the
// issuer raises it with each operation. Times are durations, so that the clocks of issuer and instance may differ.
type Command struct {
	Operation    string        `json:"operation"`
	Fence        uint64        `json:"fence"`
	Kind         CommandKind   `json:"kind"`
	Host         string        `json:"host,omitempty"`           // set for HostDrain and HostResume only
	DrainTimeout time.Duration `json:"within_ns,omitempty"`      // until a draining instance closes its connections
	RetryAfter   time.Duration `json:"retry_after_ns,omitempty"` // sent to rejected clients while the instance drains
	// AdmitFor is how long a draining node still admits clients, because the front may not have noticed the drain yet.
	AdmitFor time.Duration `json:"open_ns,omitempty"`
	// KeepConnections keeps established connections open in pass-through mode: they continue through other nodes when
	// this node exits.
	KeepConnections bool `json:"keep,omitempty"`
	// HostMustExist makes the override of an unknown host fail. Otherwise the instance stores it until the host appears.
	HostMustExist bool `json:"known,omitempty"`
	// GivenAt is when another process of the node received the command; zero means now.
	GivenAt time.Time `json:"-"`
}

// The limits of a command's fields.
const (
	maxNameLength = 128 // bytes, of an operation or a host ID
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

// Verdict is the result of a command.
type Verdict string

// The verdicts.
const (
	Done     Verdict = "done"    // the command was applied, now or when it first arrived
	Rejected Verdict = "refused" // a command with a higher fence superseded it
)

// Response is an instance's response to a command. Within one incarnation, an instance gives a repeated command the same
// response as the first time, even after later commands.
type Response struct {
	Verdict     Verdict `json:"verdict"`
	Reason      string  `json:"why,omitempty"`
	Fence       uint64  `json:"fence"` // of the command in effect for the instance or the host
	Incarnation string  `json:"boot"`  // of the instance that responds
}
