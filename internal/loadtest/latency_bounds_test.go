package loadtest

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// latencyBounds bounds each request's latency from outside the generator: the server writes the answer after the lower and
// sees the client close after the upper bound. Both are measured from the intended time.
type latencyBounds struct {
	mu            sync.Mutex
	intendedByKey map[string]time.Duration // intended, by key
	earliestStart time.Time                // the run began no sooner than this,
	latestStart   time.Time                // and no later than this
	lower         []observation            // a lower bound each
	upper         []observation            // an upper one
}

// observation is the time of an event of the request with a key.
type observation struct {
	key string
	t   time.Time
}

func (b *latencyBounds) add(list *[]observation, line string) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	*list = append(*list, observation{strings.Fields(line)[2], now})
}

// requestSent records a request, which is never sent before its intended time.
func (b *latencyBounds) requestSent(r Request) {
	began := time.Now().Add(-r.IntendedAt)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.intendedByKey[r.Key] = r.IntendedAt
	if b.latestStart.IsZero() || began.Before(b.latestStart) {
		b.latestStart = began
	}
}

// sortedMilliseconds returns the bounds in ascending order. The run began at about began.
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
