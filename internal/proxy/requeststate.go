package proxy

import (
	"onyxstream/internal/wire"
)

// requestPhase is how far a request has progressed.
type requestPhase uint8

const (
	awaitingNode requestPhase = iota // the client has no answer; no attempt is in flight
	attempting                       // the client has no answer; the node waits for the outcome of an attempt
	answered                         // the client was given the node's final answer
	concluded                        // a host answered the client, or the client has disconnected
)

// requestState is the state of one request. The goroutine that serves the request owns it.
type requestState struct {
	phase    requestPhase
	attempts int    // that were taken up from the node
	fallback string // the reply if the request ends without an answer
}

func newRequestState() requestState { return requestState{fallback: wire.Failure} }

// isOpen reports whether the client has no answer and has not disconnected.
func (s *requestState) isOpen() bool { return s.phase == awaitingNode || s.phase == attempting }

// attemptStarted records that an attempt was taken up.
func (s *requestState) attemptStarted(number int) {
	s.phase = attempting
	s.attempts = number + 1
}

// attemptReported records that the node knows the attempt's outcome. isConcluded says that the client needs no further
// one.
func (s *requestState) attemptReported(isConcluded bool) {
	s.phase = awaitingNode
	if isConcluded {
		s.phase = concluded
	}
}

// answerStarted records that the node's final answerStarted is being written.
func (s *requestState) answerStarted() { s.phase = answered }

// conclude records that the client needs no answer of this node.
func (s *requestState) conclude() { s.phase = concluded }
