package loadtest

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// latencyBounds bounds the latency of each request from outside the generator. The lower bound ends just before the server
// writes the answer, the upper bound when the server sees the client close the connection. Both are measured from the
// intended time.
type latencyBounds struct {
	mu            sync.Mutex
	intendedByKey map[string]time.Duration // intended times by key
	earliestStart time.Time                // the run did not start before this time
	latestStart   time.Time                // the run did not start after this time
	lower         []observation            // ends of the lower bounds
	upper         []observation            // ends of the upper bounds
}

// observation is the time at which the server observed an event of a request, and the key of the request.
type observation struct {
	key string
	t   time.Time
}

// add appends the current time to list, with the key of an opening line.
func (b *latencyBounds) add(list *[]observation, line string) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	*list = append(*list, observation{strings.Fields(line)[2], now})
}

// requestSent records a request. Because no request is sent before its intended time, the record also bounds the start of
// the run.
func (b *latencyBounds) requestSent(r Request) {
	began := time.Now().Add(-r.IntendedAt)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.intendedByKey[r.Key] = r.IntendedAt
	if b.latestStart.IsZero() || began.Before(b.latestStart) {
		b.latestStart = began
	}
}

// sortedMilliseconds returns the latency bounds in ascending order, for a run that started at began.
func (b *latencyBounds) sortedMilliseconds(list []observation, began time.Time) (ms []float64) {
	for _, m := range list {
		ms = append(ms, (m.t.Sub(began)-b.intendedByKey[m.key]).Seconds()*1000)
	}
	slices.Sort(ms)
	return ms
}

// numberedKeys is a Source that gives each request a unique key.
type numberedKeys struct {
	Source
	n int
}

func (s *numberedKeys) Next() (Request, error) {
	r, err := s.Source.Next()
	s.n++
	r.Key = "k" + strconv.Itoa(s.n)
	return r, err
}
