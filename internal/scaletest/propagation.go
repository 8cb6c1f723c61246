package scaletest

import (
	"bytes"
	"regexp"
	"slices"
	"strconv"
	"sync"
	"time"
)

// propagationRecorder measures how long changes of the endpoint list take to reach the nodes, based on the nodes' log
// lines. It is an io.Writer that accepts complete lines of several processes; see lineWriter.
type propagationRecorder struct {
	mu        sync.Mutex                         // guards the fields below
	changedAt map[int64]time.Time                // by revision
	latencies map[int64]map[string]time.Duration // by revision and node
}

func newPropagationRecorder() *propagationRecorder {
	return &propagationRecorder{changedAt: map[int64]time.Time{}, latencies: map[int64]map[string]time.Duration{}}
}

// watchEventLine matches the line that a node logs when it receives a revision. The groups are time, node and revision.
var watchEventLine = regexp.MustCompile(`^(\S+)\tdebug\tendpoint list received\t.*"node": "([^"]+)", "revision": (\d+)`)

// logTimeFormat is the time format of log lines.
const logTimeFormat = "2006-01-02T15:04:05.000Z0700"

// Write records the receipt of revisions that complete log lines report.
func (r *propagationRecorder) Write(text []byte) (int, error) {
	for line := range bytes.Lines(text) {
		match := watchEventLine.FindSubmatch(line)
		if match == nil {
			continue
		}
		at, timeErr := time.Parse(logTimeFormat, string(match[1]))
		revision, revisionErr := strconv.ParseInt(string(match[3]), 10, 64)
		if timeErr == nil && revisionErr == nil {
			r.recordReceived(string(match[2]), revision, at)
		}
	}
	return len(text), nil
}

// recordReceived records that a node has received a revision, and with it all earlier ones. It skips changes that are
// later than at, because the node cannot have received them yet. Changes are compared in milliseconds, the resolution of
// the times in log lines.
func (r *propagationRecorder) recordReceived(node string, revision int64, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for changed, changedAt := range r.changedAt {
		byNode := r.latencies[changed]
		_, received := byNode[node]
		if changed > revision || received || at.Before(changedAt.Truncate(time.Millisecond)) {
			continue
		}
		byNode[node] = max(at.Sub(changedAt), 0)
	}
}

// recordChange records that a revision is created now.
func (r *propagationRecorder) recordChange(revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changedAt[revision] = time.Now()
	r.latencies[revision] = map[string]time.Duration{}
}

// isComplete reports whether each revision has reached the given number of nodes.
func (r *propagationRecorder) isComplete(nodes int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, byNode := range r.latencies {
		if len(byNode) < nodes {
			return false
		}
	}
	return true
}

// Latency is the distribution of the times from a change of the endpoint list until a node receives it.
type Latency struct {
	Median   time.Duration `json:"median_ns"`
	P99      time.Duration `json:"p99_ns"`
	Max      time.Duration `json:"last_ns"`
	Received int           `json:"received"` // number of pairs of a node and a change that reached it
	Missing  int           `json:"missing"`  // number of pairs of a node and a change that did not reach it
}

// takeLatency returns the distribution for the given number of nodes, and resets the recorder.
func (r *propagationRecorder) takeLatency(nodes int) (l Latency) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []time.Duration
	for _, byNode := range r.latencies {
		l.Received += len(byNode)
		l.Missing += nodes - len(byNode)
		for _, latency := range byNode {
			all = append(all, latency)
		}
	}
	clear(r.changedAt)
	clear(r.latencies)
	if len(all) == 0 {
		return l
	}
	slices.Sort(all)
	l.Median = all[len(all)/2]
	l.P99 = all[(len(all)-1)*99/100]
	l.Max = all[len(all)-1]
	return l
}
