package balancer

import "time"

// Event is an input of Handle: something that happened at the node.
type Event interface{ event() }

// ListKind says what a ListEvent contains.
type ListKind uint8

// The kinds of list events.
const (
	ListDelta    ListKind = iota // the changed entries
	ListSnapshot                 // the complete list
	ListCached                   // the complete list from a cache, possibly stale
	ListFailed                   // nothing: a list request failed or the watch broke
	ListOverride                 // entries that operators changed; says nothing about the state of discovery
)

// The events that Handle accepts.
type (
	// ListEvent carries a change of the endpoint list.
	ListEvent struct {
		Kind       ListKind
		Revision   int64
		Servers    []Server
		Superseded bool // the response to an earlier list request; says nothing about the pending one
	}
	// Arrival is a new request. It gets exactly one final answer.
	Arrival struct {
		ID        RequestID
		Class     int
		Tenant    int
		Key       string // client key
		Group     string // connections of a group share work if they are on the same server; "" for none
		TimeLeft  time.Duration
		Load      float64 // expected load; 0 if unknown
		Retry     bool    // the client repeats a request
		MidFlow   bool    // the connection was established through another node; its packets now arrive here
		Reconnect bool    // the client reconnects after a reset or a migration
	}
	// Inherited is a connection that is already established through this node when the balancer starts.
	Inherited struct {
		Arrival
		Server ServerID
	}
	// Timer reports that a timer set by SetTimer has expired.
	Timer struct{ Token string }
	// Established reports that an attempt has established its connection.
	Established struct {
		ID      RequestID
		Attempt int
		Server  ServerID
		Took    time.Duration
	}
	// AttemptEnded reports the outcome of an attempt.
	AttemptEnded struct {
		ID      RequestID
		Attempt int
		Server  ServerID
		Took    time.Duration
		Outcome Outcome
		Final   bool // the request has its final answer and gets no further attempt
	}
	// LoadReport reports the load of an established connection, in units of work per second.
	LoadReport struct {
		ID   RequestID
		Load float64
	}
	// LatencyReport reports the latency of a message at a connection's server.
	LatencyReport struct {
		ID      RequestID
		Latency time.Duration
	}
	// PeerMessage is a message from a peer. The balancer ignores it.
	PeerMessage struct {
		From int
		Data []byte
	}
	// Drain starts the graceful shutdown of this node, or cancels it if Active is false.
	Drain struct {
		Active          bool
		Deadline        time.Duration // clock time by which all connections must be migrated
		AdmissionCutoff time.Duration // clock time from which new requests are rejected
		RetryAfter      time.Duration // Retry-After of those rejections
		KeepConnections bool          // connections are not migrated; other nodes will take over their packets
	}
	// ClientDisconnected reports that a client disconnected. Its request gets no final answer.
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

// Outcome is the outcome of an attempt or of a health check.
type Outcome uint8

// The outcomes.
const (
	Served          Outcome = iota // the server served the request
	Errored                        // the server responded with an error
	Rejected                       // rejected by the server before it did any work
	ResponseTimeout                // the server did not respond in time
	ConnectFailed                  // the node could not connect to the server in time
	ConnectionReset                // the connection to the server broke
	Cancelled                      // the node cancelled the attempt, or the client disconnected
	NotSent                        // nothing was sent to the server
)

// ProvesNotExecuted reports whether the outcome proves that the server did not execute the request.
func (o Outcome) ProvesNotExecuted() bool { return o == Rejected || o == ConnectFailed || o == NotSent }
