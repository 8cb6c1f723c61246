// Package balancer decides, for one balancer node, which server gets each long-lived connection.
//
// It is a pure state machine: Handle takes one event and returns actions. The package does no I/O, reads no clock,
// starts no goroutine and is not safe for concurrent use. The settings are in api.go, the events in events.go and the
// actions in actions.go; the other files hold the decisions.
package balancer

import "time"

// ServerID and RequestID are opaque names given by the caller.
type (
	ServerID  string
	RequestID string
)

// MaxRepollDelay bounds the time between the end of a failed call to the endpoint list, or of a watch, and the next
// WatchList. Where the call took less than MaxRepollDelay, the bound is twice MaxRepollDelay less the time that it
// took: a change must be known 6 s after the list could be reached, of which 3 s may go into a call that is lost
// just then.
const MaxRepollDelay = 2500 * time.Millisecond

// MaxSchedulingDelay is how long a node may be held up between reading its clock and writing. The drain grace
// covers it.
const MaxSchedulingDelay = 150 * time.Millisecond

// Effect says how safely a request of a class may be retried.
type Effect uint8

// The effects that a class can have.
const (
	Idempotent      Effect = iota // may be retried without restriction
	IdempotentByKey               // a group of servers drops repeats for a time
	NonIdempotent                 // must not run twice
)

// Scope names the servers that drop repeats of an IdempotentByKey request.
type Scope uint8

// The scopes of an IdempotentByKey class.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class is one kind of request.
type Class struct {
	SetupLatencyObjective   time.Duration // until the connection is established
	Deadline                time.Duration // total time that a client waits
	MessageLatencyObjective time.Duration // of a message on an open connection; 0 where unknown
	PriorityWeight          float64
	Effect                  Effect
	Scope                   Scope         // IdempotentByKey only
	IdempotencyWindow       time.Duration // IdempotentByKey only: how long repeats are dropped
}

// Tenant is a customer with a quota of the service.
type Tenant struct {
	ConnectionQuota float64 // open connections over all nodes; 0 where unknown
}

// Settings is what a node knows at its start. Flags that begin with May say what the deployment allows.
type Settings struct {
	Seed            uint64
	NodeIndex       int // this node among its peers
	NodeCount       int
	Zone            int
	Classes         []Class
	Tenants         []Tenant
	OverQuotaWeight float64 // weight of a request of a tenant over its quota, as a fraction of its class's
	PassThrough     bool    // packets pass through: arrivals may be mid-flow
	PollList        bool    // the endpoint list answers only when it is polled

	MaxAttempts   int // 0 for no limit
	MayCancel     bool
	MayProbe      bool
	MayNotify     bool
	MaxRetryAfter time.Duration // longest Retry-After; 0 where clients take none

	DrainGrace        time.Duration // a draining server gets nothing after it
	SlowStartFraction float64       // fraction of its capacity that a server has at its start
	SlowStartDuration time.Duration // until it has all of it
	CollapseMultiple  float64       // load over present capacity at which a starting server collapses
	CollapseWindow    time.Duration // when that lasts so long
	PollInterval      time.Duration // longest time between polls of the endpoint list
	CrossZoneCost     float64       // cost of a request that crosses zones, as a fraction of its weight; 0 for none
	Zones             int           // number of zones; 0 where unknown
}

// ServerState is the state of a server in the endpoint list.
type ServerState uint8

// The states in the endpoint list.
const (
	Live ServerState = iota
	Draining
	Removed
)

// Server is one entry of the endpoint list.
type Server struct {
	ID           ServerID
	Zone         int
	Cell         int
	State        ServerState
	Weight       float64       // listed size in relation to other servers
	StartedAt    time.Duration // clock time of its last start; 0 for long ago
	AssumedStart bool          // StartedAt is an assumption, as the list is stale; a later list confirms it
	EjectFor     time.Duration // ejected for so long, as other nodes could not connect to it; 0 for not
}
