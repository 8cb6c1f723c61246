package capacity

import "time"

// SessionStore models the session store that connection setups call: one queue with a service rate, for all hosts that
// share the store. The zero value answers at once. It is not safe for concurrent use.
type SessionStore struct {
	Latency    time.Duration // latency of a call that does not queue
	Rate       float64       // calls served per second; 0 for no limit
	SlowFactor float64       // multiplies latency and service time; 0 and 1 for normal speed
	idleAt     time.Duration // when the queue will be empty
}

// Call adds a call at now and returns the time at which the store answers it.
func (s *SessionStore) Call(now time.Duration) time.Duration {
	slowFactor := max(s.SlowFactor, 1)
	if s.Rate > 0 {
		now = max(now, s.idleAt)
		s.idleAt = now + time.Duration(slowFactor/s.Rate*float64(time.Second))
	}
	return now + time.Duration(slowFactor*float64(s.Latency))
}
