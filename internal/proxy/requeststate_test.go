package proxy

import (
	"testing"

	"onyxstream/internal/wire"
)

func TestRequestState_EachChange_PhaseFollows(t *testing.T) {
	for _, c := range []struct {
		name     string
		change   func(*requestState)
		phase    requestPhase
		open     bool
		attempts int
	}{
		{"new", func(*requestState) {}, awaitingNode, true, 0},
		{"attempt in flight", func(s *requestState) { s.attemptStarted(0) }, attempting, true, 1},
		{"attempt failed", func(s *requestState) {
			s.attemptStarted(1)
			s.attemptReported(false)
		}, awaitingNode, true, 2},
		{"attempt established", func(s *requestState) {
			s.attemptStarted(0)
			s.attemptReported(true)
		}, concluded, false, 1},
		{"answered", func(s *requestState) { s.answerStarted() }, answered, false, 0},
		{"client disconnected", func(s *requestState) { s.conclude() }, concluded, false, 0},
	} {
		state := newRequestState()
		c.change(&state)
		if state.phase != c.phase || state.isOpen() != c.open || state.attempts != c.attempts ||
			state.fallback != wire.Failure {
			t.Errorf("%s: %+v, open %v; want phase %d, open %v, %d attempts",
				c.name, state, state.isOpen(), c.phase, c.open, c.attempts)
		}
	}
}
