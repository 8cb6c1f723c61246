// Package balancer decides, for one node, which server gets each long-lived connection. A server is a backend server,
// which other packages call a host.
//
// The package is a pure state machine: Handle takes one event and returns actions. It does no I/O, reads no clock,
// starts no goroutine and is not safe for concurrent use. The settings are in api.go, the events in events.go and the
// actions in actions.go; the other files make the decisions.
package balancer

import "time"

// ServerID and RequestID are opaque identifiers that the caller chooses.
type (
	ServerID  string
	RequestID string
)

// MaxRepollDelay bounds the time from the end of a failed list request, or of a watch, to the next WatchList action.
// After a request that failed in less than MaxRepollDelay, the bound is larger: 2*MaxRepollDelay minus the duration of
// the request. A node must know of a change of the endpoint list within 6 s after discovery becomes reachable, and a
// list request that is lost just before may take 3 of these 6 s.
const MaxRepollDelay = 2500 * time.Millisecond

// MaxSchedulingDelay is the longest scheduling delay that the drain grace covers: the time for which a node may be
// suspended after it has read its clock and before it writes.
const MaxSchedulingDelay = 150 * time.Millisecond

// Effect says how safely a request of a class may be retried.
type Effect uint8

// The effects that a class can have.
const (
	Idempotent      Effect = iota // may be retried without restriction
	IdempotentByKey               // the servers in its Scope drop repeats during its IdempotencyWindow
	NonIdempotent                 // must not be executed twice
)

// Scope says which servers drop repeats of an IdempotentByKey request that one of them has executed.
type Scope uint8

// The scopes of an IdempotentByKey class.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class is one kind of request.
type Class struct {
	SetupLatencyObjective   time.Duration // latency objective of connection setup
	Deadline                time.Duration // longest time that a client waits for its final answer
	MessageLatencyObjective time.Duration // latency objective of messages on an established connection; 0 if unknown
	PriorityWeight          float64       // value of a request in relation to other classes
	Effect                  Effect
	Scope                   Scope         // IdempotentByKey only
	IdempotencyWindow       time.Duration // IdempotentByKey only: time in which repeats are dropped
}

// Tenant is a customer of the service, with a quota.
type Tenant struct {
	ConnectionQuota float64 // established connections through all nodes; 0 if unknown
}

// Settings configures a node. The flags whose names begin with May say what the deployment allows.
type Settings struct {
	// The node and its fleet.
	Seed      uint64
	NodeIndex int // index of this node in the fleet
	NodeCount int
	Zone      int

	// Requests, and where they and the endpoint list come from.
	Classes         []Class
	Tenants         []Tenant
	OverQuotaWeight float64 // factor on the priority weight of requests whose tenant is over its quota
	PassThrough     bool    // pass-through mode: arrivals may be mid-flow
	PollList        bool    // discovery doesn't push the endpoint list: the node polls it

	// What the deployment and its clients allow.
	MaxAttempts   int           // attempts of a request; 0 for no limit
	MayCancel     bool          // pending attempts may be cancelled
	MayProbe      bool          // servers may be pinged
	MayNotify     bool          // not used by the balancer
	MaxRetryAfter time.Duration // longest Retry-After; 0 if clients don't honor it

	// Servers, discovery and zones.
	DrainGrace        time.Duration // time after which a draining server gets nothing more
	SlowStartFraction float64       // fraction of its capacity that a server has when it starts
	SlowStartDuration time.Duration // time from its start until a server has its full capacity
	CollapseMultiple  float64       // ratio of load to present capacity at which a server in slow start collapses
	CollapseWindow    time.Duration // time for which that load must last for a collapse
	PollInterval      time.Duration // longest time between list requests while no watch is open
	CrossZoneCost     float64       // cost of a request that crosses zones, as a fraction of its weight; 0 for none
	Zones             int           // number of zones; 0 if unknown
}

// ServerState is the state of a server according to the endpoint list.
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
	Weight       float64       // capacity in relation to other servers
	StartedAt    time.Duration // clock time of its last start; 0 if long ago
	AssumedStart bool          // StartedAt is an assumption because the list may be stale; a later list confirms it
	EjectFor     time.Duration // time for which to eject it because other nodes could not connect to it; 0 for no ejection
}
