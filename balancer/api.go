// Package balancer decides, for one balancer node, where long-lived connections
// go. It is a pure state machine: events in, actions out, with no I/O, no
// clock and no goroutines. This file is its whole interface.
package balancer

import "time"

// ServerID and RequestID are opaque names given by the outside.
type (
	ServerID  string
	RequestID string
)

// MaxRepollDelay is the longest time between the end of a call to the server list that failed, or of a watch, and the wish for the
// next one (Watch), whatever failed before and however many nodes there are; where the call took less than AskAgain, twice
// that less what it took. What the list has is to be known 6 s after it could be reached, of which 3 s may go into a call
// that is lost just then; one that was refused at once leaves more, and many nodes need it so as not to come together.
const MaxRepollDelay = 2500 * time.Millisecond

// MaxSchedulingDelay is how long a node may be held up between reading its clock and writing. The grace of a drain covers it.
const MaxSchedulingDelay = 150 * time.Millisecond

// Effect says how safely a request of a class may be repeated.
type Effect uint8

// The effects a class can have.
const (
	Idempotent      Effect = iota // may be repeated without restriction
	IdempotentByKey               // repeats are dropped by a group of servers for a time
	NonIdempotent                 // must not run twice
)

// Scope names the servers that drop repeats of a keyed request.
type Scope uint8

// The scopes of a keyed class.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class is one kind of request.
type Class struct {
	SetupLatencyObjective   time.Duration // wanted time until the connection stands
	Deadline                time.Duration // a client's whole patience
	MessageLatencyObjective time.Duration // wanted time of a message; 0 where unknown
	PriorityWeight          float64
	Effect                  Effect
	Scope                   Scope         // keyed only
	IdempotencyWindow       time.Duration // keyed only: how long repeats are dropped
}

// Settings is what a node is told at its start.
type Settings struct {
	Seed            uint64
	NodeIndex       int // this node among its peers
	NodeCount       int // how many nodes there are
	Zone            int
	Classes         []Class
	Tenants         []Tenant
	OverQuotaWeight float64 // worth of a request of a tenant over its share, as a part of its class's
	PassThrough     bool    // packets pass through: arrivals may be mid-flow
	PollList        bool    // the server list answers only when asked

	MaxAttempts   int // 0 for no limit
	MayCancel     bool
	MayProbe      bool
	MayNotify     bool
	MaxRetryAfter time.Duration // the longest that a client stays away; 0 where it can't be told

	DrainGrace        time.Duration // nothing new to a draining server after it
	SlowStartFraction float64       // a started server's first share of capacity
	SlowStartDuration time.Duration // by when it has all of it
	CollapseMultiple  float64       // work over present capacity that breaks it
	CollapseWindow    time.Duration // when it lasts this long
	PollInterval      time.Duration // longest time between questions to the list
	CrossZoneCost     float64       // cost of a request that crosses zones, as a part of one's worth; 0 for none
	Zones             int           // how many zones there are; 0 where unknown
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	ConnectionQuota float64 // open connections over all nodes within its share; 0 where unknown
}

// ServerState is what the list says of a server.
type ServerState uint8

// The states in the server list.
const (
	Live ServerState = iota
	Draining
	Removed
)

// Server is one entry of the server list.
type Server struct {
	ID           ServerID
	Zone         int
	Cell         int
	State        ServerState
	Weight       float64       // listed size against others'
	StartedAt    time.Duration // clock time of its last start; 0 for long ago
	AssumedStart bool          // Since is a guess, as the list is old; a later list tells
	EjectFor     time.Duration // for how long it gets nothing new, as other nodes could not connect to it; 0 for not
}

// Event is one thing that happened to the node.
type Event interface{ event() }

// ListKind says how a list event is to be read.
type ListKind uint8

// The kinds of list events.
const (
	ListDelta    ListKind = iota // changed entries only
	ListSnapshot                 // the complete list
	ListCached                   // the complete list as last held, maybe old
	ListFailed                   // a question failed or the watch broke
	ListOverride                 // changed entries from another source: they tell nothing of the questions to the list
)

// The events.
type (
	// ListEvent carries news of the servers.
	ListEvent struct {
		Kind       ListKind
		Revision   int64
		Servers    []Server
		Superseded bool // of a call behind which another was made: it tells nothing of that one, which may have failed
	}
	// Arrival is a new request, owed exactly one final answer.
	Arrival struct {
		ID        RequestID
		Class     int
		Tenant    int
		Key       string // the client
		Group     string // its connections share work on a server; "" for none
		TimeLeft  time.Duration
		Load      float64 // expected load, 0 where unknown
		Retry     bool
		MidFlow   bool // packets of a connection open elsewhere
		Reconnect bool // back after a break or a move
	}
	// Inherited is a connection open through this node at its start.
	Inherited struct {
		Arrival
		Server ServerID
	}
	// Timer is a Wake that has fallen due.
	Timer struct{ Token string }
	// Established says that the connection stands.
	Established struct {
		ID      RequestID
		Attempt int
		Server  ServerID
		Took    time.Duration
	}
	// AttemptEnded says how an attempt ended.
	AttemptEnded struct {
		ID      RequestID
		Attempt int
		Server  ServerID
		Took    time.Duration
		Outcome Outcome
		Final   bool // the request is concluded, now or before
	}
	// LoadReport gives the load of an open connection, in work a second.
	LoadReport struct {
		ID   RequestID
		Load float64
	}
	// LatencyReport gives the time a message takes at a connection's server.
	LatencyReport struct {
		ID      RequestID
		Latency time.Duration
	}
	// PeerMessage comes from another node.
	PeerMessage struct {
		From int
		Data []byte
	}
	// Drain says that the node itself drains, or no more: nothing new is taken in from a time on, and what stands is sent
	// away.
	Drain struct {
		Active          bool
		Deadline        time.Duration // clock time by which all of it is to be gone
		AdmissionCutoff time.Duration // clock time from which nothing new is taken
		RetryAfter      time.Duration // when those who are turned away may come again
		KeepConnections bool          // what stands stays: it goes on by way of other nodes
	}
	// ClientDisconnected ends a request: nothing more is owed for it.
	ClientDisconnected struct{ ID RequestID }
)

func (ListEvent) event()          {}
func (Arrival) event()            {}
func (Inherited) event()          {}
func (Timer) event()              {}
func (Established) event()        {}
func (AttemptEnded) event()       {}
func (LoadReport) event()         {}
func (LatencyReport) event()      {}
func (PeerMessage) event()        {}
func (Drain) event()              {}
func (ClientDisconnected) event() {}

// Outcome is the end of an attempt or a probe.
type Outcome uint8

// The outcomes.
const (
	Served Outcome = iota
	Errored
	Rejected        // turned away unseen
	ResponseTimeout // nothing came in time
	ConnectFailed   // no connection in time
	ConnectionReset // the connection broke
	Cancelled       // withdrawn, or the client left
	NotSent         // not sent at all
)

// ProvesNotExecuted reports whether the outcome proves that the attempt never ran.
func (o Outcome) ProvesNotExecuted() bool { return o == Rejected || o == ConnectFailed || o == NotSent }

// Reason is why a request was given up, for logs and figures.
type Reason string

// The reasons.
const (
	ReasonDraining  Reason = "the node drains"
	ReasonPaced     Reason = "its turn among paced set-ups comes too late"
	ReasonSlowStart Reason = "the node has just started and its first set-ups are not up"
	ReasonNoTime    Reason = "no time is left"
	ReasonAttempts  Reason = "all attempts are used"
	ReasonNoServer  Reason = "no server may take it"
)

// Action is one thing the node is to do. Actions are carried out in order.
type Action interface{ action() }

// The actions.
type (
	// Send starts an attempt; attempts of a request count from 0.
	Send struct {
		ID      RequestID
		Server  ServerID
		Timeout time.Duration
	}
	// Reject is a final answer: trying again is harmless.
	Reject struct {
		ID         RequestID
		RetryAfter time.Duration // 0 for no advice
		Reason     Reason
	}
	// Fail is a final answer that promises nothing.
	Fail struct {
		ID     RequestID
		Reason Reason
	}
	// Cancel withdraws an attempt.
	Cancel struct {
		ID      RequestID
		Attempt int
	}
	// Migrate asks the client of an open connection to come again.
	Migrate struct{ ID RequestID }
	// SetTimer asks for a Timer event at a time.
	SetTimer struct {
		At    time.Duration
		Token string
	}
	// WatchList asks the server list for changes from now on.
	WatchList struct{}
	// Log adds a line to the node's log.
	Log struct{ Text string }
)

func (Send) action()      {}
func (Reject) action()    {}
func (Fail) action()      {}
func (Cancel) action()    {}
func (Migrate) action()   {}
func (SetTimer) action()  {}
func (WatchList) action() {}
func (Log) action()       {}
