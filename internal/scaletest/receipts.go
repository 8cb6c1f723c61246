package scaletest

import (
	"bytes"
	"io"
	"regexp"
	"slices"
	"strconv"
	"sync"
	"time"
)

// receipts collects from the log lines of nodes when each was handed which revision of the list. It is an io.Writer that
// takes the lines of many processes; a line that does not come whole counts as not received: wholeLines sees to that.
type receipts struct {
	mu       sync.Mutex
	made     map[int64]time.Time                // when each revision was made
	received map[int64]map[string]time.Duration // how long each node took to have it
}

func newReceipts() *receipts {
	return &receipts{made: map[int64]time.Time{}, received: map[int64]map[string]time.Duration{}}
}

var (
	newsLine = regexp.MustCompile(`^(\S+)\tdebug\tendpoint list received\t.*"node": "([^"]+)", "revision": (\d+)`)
	logTime  = "2006-01-02T15:04:05.000Z0700"
)

// Write takes log lines in.
func (r *receipts) Write(text []byte) (int, error) {
	for line := range bytes.Lines(text) {
		m := newsLine.FindSubmatch(line)
		if m == nil {
			continue
		}
		at, err := time.Parse(logTime, string(m[1]))
		revision, wrong := strconv.ParseInt(string(m[3]), 10, 64)
		if err == nil && wrong == nil {
			r.take(string(m[2]), revision, at)
		}
	}
	return len(text), nil
}

// maxLine bounds what wholeLines holds back.
const maxLine = 64 << 10

// wholeLines hands on the output of one process line by line, as its pipe may be read in the middle of one.
type wholeLines struct {
	to   io.Writer
	rest []byte
}

// Write hands on what is whole, and holds the rest back.
func (w *wholeLines) Write(text []byte) (int, error) {
	w.rest = append(w.rest, text...)
	end := bytes.LastIndexByte(w.rest, '\n') + 1
	if end == 0 && len(w.rest) < maxLine {
		return len(text), nil
	}
	_, err := w.to.Write(w.rest[:end])
	w.rest = append(w.rest[:0], w.rest[end:]...)
	if len(w.rest) >= maxLine {
		w.rest = w.rest[:0]
	}
	return len(text), err
}

// take notes that a node has a revision, and with it all older ones.
func (r *receipts) take(node string, revision int64, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for made, since := range r.made {
		by := r.received[made]
		if _, had := by[node]; made <= revision && !had && !at.Before(since.Truncate(time.Millisecond)) {
			by[node] = max(at.Sub(since), 0)
		}
	}
}

// change notes that a revision is made now.
func (r *receipts) change(revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.made[revision], r.received[revision] = time.Now(), map[string]time.Duration{}
}

// complete reports whether all revisions have reached so many nodes.
func (r *receipts) complete(nodes int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, by := range r.received {
		if len(by) < nodes {
			return false
		}
	}
	return true
}

// Latency is the time from a change at its source until nodes had it.
type Latency struct {
	Median   time.Duration `json:"median_ns"`
	P99      time.Duration `json:"p99_ns"`
	Last     time.Duration `json:"last_ns"`  // the longest until the last node had a change
	Received int           `json:"received"` // by a node, of a change
	Missing  int           `json:"missing"`  // the same, where it never came
}

// latency sums up, and forgets.
func (r *receipts) latency(nodes int) (l Latency) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []time.Duration
	for _, by := range r.received {
		l.Received += len(by)
		l.Missing += nodes - len(by)
		for _, took := range by {
			all = append(all, took)
		}
	}
	clear(r.made)
	clear(r.received)
	if len(all) == 0 {
		return l
	}
	slices.Sort(all)
	l.Median, l.P99, l.Last = all[len(all)/2], all[(len(all)-1)*99/100], all[len(all)-1]
	return l
}
