package balancer

import "time"

// Event is one thing that happened to the node.
type Event interface{ event() }

// ListKind says how a list event is to be read.
type ListKind uint8

// The kinds of list events.
const (
	ListDelta    ListKind = iota // changed entries only
	ListSnapshot                 // the complete list
	ListCached                   // the complete list from a cache, maybe stale
	ListFailed                   // a poll failed or the watch broke
	ListOverride                 // changed entries from operators: no sign that polls succeed
)

// The events.
type (
	// ListEvent carries a change of the endpoint list.
	ListEvent struct {
		Kind       ListKind
		Revision   int64
		Servers    []Server
		Superseded bool // of a call after which another was made: no sign that the later one succeeds
	}
	// Arrival is a new request. It gets exactly one final answer.
	Arrival struct {
		ID        RequestID
		Class     int
		Tenant    int
		Key       string // of the client
		Group     string // connections of a group share work on a server; "" for none
		TimeLeft  time.Duration
		Load      float64 // expected load, 0 where unknown
		Retry     bool
		MidFlow   bool // packets of a connection that is open elsewhere
		Reconnect bool // back after a reset or a migration
	}
	// Inherited is a connection that was open through this node at its start.
	Inherited struct {
		Arrival
		Server ServerID
	}
	// Timer is a SetTimer that has fallen due.
	Timer struct{ Token string }
	// Established says that the connection of a request is up.
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
	// LatencyReport gives the time that a message takes at a connection's server.
	LatencyReport struct {
		ID      RequestID
		Latency time.Duration
	}
	// PeerMessage comes from another node.
	PeerMessage struct {
		From int
		Data []byte
	}
	// Drain begins or, where Active is false, cancels the graceful shutdown of this node.
	Drain struct {
		Active          bool
		Deadline        time.Duration // clock time by which all connections are to be gone
		AdmissionCutoff time.Duration // clock time from which new requests are rejected
		RetryAfter      time.Duration // Retry-After of those rejections
		KeepConnections bool          // open connections stay: they go on by way of other nodes
	}
	// ClientDisconnected ends a request without an answer.
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

// Outcome is the end of an attempt or of a health check.
type Outcome uint8

// The outcomes.
const (
	Served Outcome = iota
	Errored
	Rejected        // by the server, before any work was done
	ResponseTimeout // no response in time
	ConnectFailed   // no connection in time
	ConnectionReset // the connection broke
	Cancelled       // cancelled, or the client disconnected
	NotSent         // not sent at all
)

// ProvesNotExecuted reports whether the outcome proves that the attempt never ran.
func (o Outcome) ProvesNotExecuted() bool { return o == Rejected || o == ConnectFailed || o == NotSent }
