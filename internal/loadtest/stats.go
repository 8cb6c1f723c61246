package loadtest

import (
	"slices"
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is the outcome of one attempt, or of a request after its last attempt.
type Outcome uint8

// The outcomes.
const (
	Served      Outcome = iota // answered with UP
	Rejected                   // answered with BUSY
	Failed                     // answered with ERR, or with a line that is not in the protocol
	Lost                       // the connection ended without an answer
	TimedOut                   // no answer by the deadline
	Unreachable                // no TCP connection could be opened
	Unsent                     // the generator lacked the resources to send it
	Aborted                    // the run ended before the answer
	outcomeCount
)

// outcomeNames are the names of the outcomes in result files.
var outcomeNames = [outcomeCount]string{
	Served:      "served",
	Rejected:    "refused",
	Failed:      "failed",
	Lost:        "lost",
	TimedOut:    "unanswered",
	Unreachable: "unreachable",
	Unsent:      "unsent",
	Aborted:     "cut",
}

func (o Outcome) String() string { return outcomeNames[o] }

// OutcomeNames returns the names of all outcomes in the order of their values.
func OutcomeNames() []string { return slices.Clone(outcomeNames[:]) }

// classStats are the counters and histograms of one class on one path.
type classStats struct {
	// Requests.
	requests  int64
	late      int64 // served requests whose latency from the intended time exceeded the deadline
	outcomes  [outcomeCount]int64
	attempts  [outcomeCount]int64
	latency   [outcomeCount]*hdr.Histogram // from the intended time to the outcome
	service   *hdr.Histogram               // service time of the served attempt alone
	reconnect *hdr.Histogram               // from the intended reconnect until it is served
	message   *hdr.Histogram               // from a line's intended time to its echo

	// Established connections by endReason.
	completed, migrated, broken, dropped, aborted int64

	reconnects               int64
	linesSent, linesAnswered int64 // lines from clients, and their echoes
}

func newClassStats() *classStats {
	s := &classStats{
		service:   newHistogram(histogramDigits),
		reconnect: newHistogram(histogramDigits),
		message:   newHistogram(histogramDigits),
	}
	for i := range s.latency {
		s.latency[i] = newHistogram(histogramDigits)
	}
	return s
}

// bucket has the counters of one interval of the timeline. A request belongs to the interval of its intended time.
type bucket struct {
	intended, established, reconnects int64
	outcomes                          [outcomeCount]int64
	latency                           *hdr.Histogram // of served requests; nil for none
}

// maxBuckets bounds the number of buckets. Longer runs have wider buckets.
const maxBuckets = 600

// statsRecorder collects the statistics of a run. Its methods may be called from any goroutine.
type statsRecorder struct {
	mu          sync.Mutex // guards the fields below
	classes     map[classKey]*classStats
	lateness    *hdr.Histogram // of the generator: from the intended time to the start of the dial
	wakeupDelay *hdr.Histogram // how late sleeping goroutines wake up
	bucketWidth time.Duration
	timeline    []bucket
	established int64 // established connections at present
	started     int64 // requests
	finished    int64 // requests with an outcome
}

type classKey struct{ path, class string }

func newStatsRecorder(length time.Duration) *statsRecorder {
	width := time.Second
	for int64(length/width) >= maxBuckets {
		width *= 2
	}
	return &statsRecorder{
		classes:     map[classKey]*classStats{},
		lateness:    newHistogram(histogramDigits),
		wakeupDelay: newHistogram(histogramDigits),
		bucketWidth: width,
	}
}

// updateClass calls f with the statistics of a class while holding the lock.
func (r *statsRecorder) updateClass(path, class string, f func(*classStats)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := classKey{path, class}
	stats := r.classes[key]
	if stats == nil {
		stats = newClassStats()
		r.classes[key] = stats
	}
	f(stats)
}

// bucketAt returns the bucket of a time, or nil if the time is outside the timeline. The caller must hold the lock.
func (r *statsRecorder) bucketAt(d time.Duration) *bucket {
	i := int(d / r.bucketWidth)
	if d < 0 || i > maxBuckets {
		return nil
	}
	for len(r.timeline) <= i {
		r.timeline = append(r.timeline, bucket{})
	}
	return &r.timeline[i]
}

// updateBucket calls f with the bucket of a time while holding the lock, unless the time is outside the timeline.
func (r *statsRecorder) updateBucket(d time.Duration, f func(*bucket)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b := r.bucketAt(d); b != nil {
		f(b)
	}
}

// requestStarted records a request whose first attempt starts now, and how much later than intended it starts.
func (r *statsRecorder) requestStarted(request *Request, path string, lateness time.Duration) {
	r.updateClass(path, request.Class, func(stats *classStats) {
		stats.requests++
		r.started++
		record(r.lateness, lateness)
		if b := r.bucketAt(request.IntendedAt); b != nil {
			b.intended++
		}
	})
}

// requestFinished records the outcome of a request and its latency from the intended time.
func (r *statsRecorder) requestFinished(request *Request, path string, outcome Outcome, latency, deadline time.Duration) {
	r.updateClass(path, request.Class, func(stats *classStats) {
		r.finished++
		stats.outcomes[outcome]++
		record(stats.latency[outcome], latency)
		if outcome == Served && latency > deadline {
			stats.late++
		}
		if b := r.bucketAt(request.IntendedAt); b != nil {
			b.addOutcome(outcome, latency)
		}
	})
}

func (b *bucket) addOutcome(outcome Outcome, latency time.Duration) {
	b.outcomes[outcome]++
	if outcome != Served {
		return
	}
	if b.latency == nil {
		b.latency = newHistogram(bucketDigits)
	}
	record(b.latency, latency)
}
