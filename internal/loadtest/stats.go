package loadtest

import (
	"fmt"
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is what became of a request, all its tries taken together, or of one try.
type Outcome uint8

// The outcomes.
const (
	Served      Outcome = iota // UP
	Refused                    // BUSY
	Failed                     // ERR or what the protocol does not know
	Lost                       // the connection ended with no answer
	Unanswered                 // nothing came by the deadline
	Unreachable                // no connection came up
	Unsent                     // the generator could not send it: its own fault, not the node's
	Cut                        // the run was stopped before its answer
	outcomes
)

var outcomeNames = [outcomes]string{"served", "refused", "failed", "lost", "unanswered", "unreachable", "unsent", "cut"}

func (o Outcome) String() string { return outcomeNames[o] }

// Times are kept in microseconds up to ten minutes, to three digits; a second's to two.
const (
	mostMicros   = int64(10 * time.Minute / time.Microsecond)
	digits       = 3
	secondDigits = 2
	mostBuckets  = 600 // of the time line
)

func newHist(digits int) *hdr.Histogram { return hdr.New(1, mostMicros, digits) }

// record puts a time into h; what is over the range counts as its end.
func record(h *hdr.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), mostMicros))
}

// tally is what one class saw over one path.
type tally struct {
	asked, late int64 // late: served past the deadline from the intended moment
	outcomes    [outcomes]int64
	tries       [outcomes]int64
	latency     [outcomes]*hdr.Histogram // from the intended moment to the final answer
	service     *hdr.Histogram           // of the try that was served, from its first byte
	back        *hdr.Histogram           // of clients that came again, from when they meant to
	message     *hdr.Histogram           // from when a line was meant to be sent to its answer

	ended, moved, broken, dropped, cut int64 // how connections that were up ended
	returns                            int64
	sent, answered                     int64 // lines
}

func newTally() *tally {
	t := &tally{service: newHist(digits), back: newHist(digits), message: newHist(digits)}
	for i := range t.latency {
		t.latency[i] = newHist(digits)
	}
	return t
}

// bucket is a stretch of the time line, by the intended moment.
type bucket struct {
	intended, stood, back int64
	outcomes              [outcomes]int64
	latency               *hdr.Histogram
}

// stats is all that a run counts. One lock serves: a record takes under a microsecond.
type stats struct {
	mu       sync.Mutex
	tallies  map[tallyKey]*tally
	lateness *hdr.Histogram // of the generator: from the intended moment to the start of the dial
	wake     *hdr.Histogram // how late a goroutine that slept a millisecond was woken
	width    time.Duration  // of a bucket
	line     []bucket
	open     int64 // connections that are up
	started  int64
	ended    int64
}

type tallyKey struct{ path, class string }

func newStats(length time.Duration) *stats {
	width := time.Second
	for int64(length/width) >= mostBuckets {
		width *= 2
	}
	return &stats{tallies: map[tallyKey]*tally{}, lateness: newHist(digits), wake: newHist(digits), width: width}
}

// with runs f with the tally of a class, locked.
func (s *stats) with(path, class string, f func(*tally)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := tallyKey{path, class}
	t := s.tallies[k]
	if t == nil {
		t = newTally()
		s.tallies[k] = t
	}
	f(t)
}

// at is the bucket of a time, nil where the line is full; mu is held.
func (s *stats) at(d time.Duration) *bucket {
	i := int(d / s.width)
	if d < 0 || i > mostBuckets {
		return nil
	}
	for len(s.line) <= i {
		s.line = append(s.line, bucket{})
	}
	return &s.line[i]
}

func (s *stats) bucket(d time.Duration, f func(*bucket)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.at(d); b != nil {
		f(b)
	}
}

// began is a request whose dial starts now, late by so much.
func (s *stats) began(r *Request, path string, late time.Duration) {
	s.with(path, r.Class, func(t *tally) {
		t.asked++
		s.started++
		record(s.lateness, late)
		if b := s.at(r.At); b != nil {
			b.intended++
		}
	})
}

// final is a request's final answer, so long after its intended moment.
func (s *stats) final(r *Request, path string, o Outcome, latency, deadline time.Duration) {
	s.with(path, r.Class, func(t *tally) {
		s.ended++
		t.outcomes[o]++
		record(t.latency[o], latency)
		if o == Served && latency > deadline {
			t.late++
		}
		if b := s.at(r.At); b != nil {
			b.outcomes[o]++
			if o == Served {
				if b.latency == nil {
					b.latency = newHist(secondDigits)
				}
				record(b.latency, latency)
			}
		}
	})
}

// Summary is a distribution of times, in milliseconds.
type Summary struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
	Hist  string  `json:"hdr,omitempty"` // HdrHistogram's V2 form in base64, of microseconds
}

func summary(h *hdr.Histogram, whole bool) Summary {
	s := Summary{Count: h.TotalCount()}
	if s.Count == 0 {
		return s
	}
	p := h.ValueAtPercentilesSlice([]float64{50, 90, 99, 99.9, 100})
	s.Mean, s.P50, s.P90, s.P99, s.P999, s.Max = h.Mean()/1000, ms(p[0]), ms(p[1]), ms(p[2]), ms(p[3]), ms(p[4])
	if whole {
		if raw, err := h.EncodeV2(); err == nil {
			s.Hist = string(raw)
		}
	}
	return s
}

func ms(micros int64) float64 { return float64(micros) / 1000 }

// Histogram gives back the whole distribution, of microseconds.
func (s *Summary) Histogram() (*hdr.Histogram, error) {
	if s.Count == 0 || s.Hist == "" {
		return newHist(digits), nil
	}
	h, err := hdr.Decode([]byte(s.Hist))
	if err != nil {
		return nil, fmt.Errorf("a histogram can't be read: %w", err)
	}
	return h, nil
}
