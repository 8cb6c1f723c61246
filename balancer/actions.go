package balancer

import "time"

// Reason says why a request was rejected or failed. Its text appears in logs and metrics.
type Reason string

// The reasons for a rejection or a failure.
const (
	ReasonDraining  Reason = "the node drains"
	ReasonPaced     Reason = "its turn among paced set-ups comes too late"
	ReasonSlowStart Reason = "the node has just started and its first set-ups are not up"
	ReasonNoTime    Reason = "no time is left"
	ReasonAttempts  Reason = "all attempts are used"
	ReasonNoServer  Reason = "no server may take it"
)

// Action is an instruction to the node, which carries out the actions of an event in order.
type Action interface{ action() }

// The actions that Handle returns.
type (
	// Send starts the next attempt of a request at a server. The attempts of a request are numbered from 0.
	Send struct {
		ID      RequestID
		Server  ServerID
		Timeout time.Duration
	}
	// Reject is a final answer that tells the client that a retry is harmless.
	Reject struct {
		ID         RequestID
		RetryAfter time.Duration // 0 for none
		Reason     Reason
	}
	// Fail is a final answer that does not tell the client whether a retry is harmless.
	Fail struct {
		ID     RequestID
		Reason Reason
	}
	// Cancel cancels a pending attempt.
	Cancel struct {
		ID      RequestID
		Attempt int
	}
	// Migrate asks the client of an established connection to reconnect.
	Migrate struct{ ID RequestID }
	// SetTimer asks for a Timer event at a clock time.
	SetTimer struct {
		At    time.Duration
		Token string
	}
	// WatchList sends a list request to discovery and watches for later changes of the endpoint list.
	WatchList struct{}
	// Log writes a line to the node's log.
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
