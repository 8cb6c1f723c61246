package fakeserver

import (
	"sync"
	"time"

	"onyxstream/internal/fakeserver/capacity"
)

// SharedSessionStore is a session store that several hosts can share. It is safe for concurrent use.
type SharedSessionStore struct {
	mu    sync.Mutex
	model capacity.SessionStore
}

// NewSharedSessionStore returns a store with a capacity model.
func NewSharedSessionStore(model capacity.SessionStore) *SharedSessionStore {
	return &SharedSessionStore{model: model}
}

// SetSlowFactor multiplies the duration of all store calls by factor; 1 restores normal speed.
func (s *SharedSessionStore) SetSlowFactor(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.SlowFactor = factor
}

// advance advances the model of a host that uses the store to now.
func (s *SharedSessionStore) advance(host *capacity.Host, now time.Duration) []capacity.Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	return host.Advance(now)
}

// beginSetup requests a connection setup at a host that uses the store.
func (s *SharedSessionStore) beginSetup(
	host *capacity.Host, now time.Duration, id, group string, weight float64,
) capacity.Admission {
	s.mu.Lock()
	defer s.mu.Unlock()
	return host.BeginSetup(now, id, group, weight)
}
