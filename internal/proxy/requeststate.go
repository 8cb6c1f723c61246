package proxy

import (
	"onyxstream/internal/wire"
)

// requestPhase is how far a request has progressed.
type requestPhase uint8

const (
	awaitingNode requestPhase = iota // the client has no answer; no attempt is in flight
	attempting                       // the client has no answer; the node waits for the outcome of an attempt
	answered                         // the node's final answer is being written or has been written
	concluded                        // a host established the connection, or the client has disconnected
)

// requestState is the state of one request. The goroutine that serves the request owns it.
type requestState struct {
	phase    requestPhase
	attempts int    // number of attempts started so far
	fallback string // the proxy's final answer if the request ends without one from the node
}

func newRequestState() requestState { return requestState{fallback: wire.Failure} }

// isOpen reports whether the client has no answer and has not disconnected.
func (s *requestState) isOpen() bool { return s.phase == awaitingNode || s.phase == attempting }

// attemptStarted records that an attempt was started.
func (s *requestState) attemptStarted(number int) {
	s.phase = attempting
	s.attempts = number + 1
}

// attemptReported records that the node knows the attempt's outcome. If isConcluded is true, the client needs no
// further attempt.
func (s *requestState) attemptReported(isConcluded bool) {
	s.phase = awaitingNode
	if isConcluded {
		s.phase = concluded
	}
}

// answerStarted records that the node's final answer is about to be written.
func (s *requestState) answerStarted() { s.phase = answered }

// conclude records that the client needs no final answer from this node.
func (s *requestState) conclude() { s.phase = concluded }
