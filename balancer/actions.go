package balancer

import "time"

// Reason is why a request was rejected or failed, for logs and metrics.
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

// Action is one thing that the node is to do. Actions are carried out in order.
type Action interface{ action() }

// The actions.
type (
	// Send starts an attempt; attempts of a request count from 0.
	Send struct {
		ID      RequestID
		Server  ServerID
		Timeout time.Duration
	}
	// Reject is a final answer: a retry is harmless.
	Reject struct {
		ID         RequestID
		RetryAfter time.Duration // 0 for none
		Reason     Reason
	}
	// Fail is a final answer that promises nothing about a retry.
	Fail struct {
		ID     RequestID
		Reason Reason
	}
	// Cancel withdraws an attempt.
	Cancel struct {
		ID      RequestID
		Attempt int
	}
	// Migrate asks the client of an open connection to reconnect.
	Migrate struct{ ID RequestID }
	// SetTimer asks for a Timer event at a clock time.
	SetTimer struct {
		At    time.Duration
		Token string
	}
	// WatchList asks the endpoint list for changes from now on.
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
