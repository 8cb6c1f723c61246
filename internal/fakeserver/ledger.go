// Package fakeserver holds stand-ins for all that a node deals with, on loopback: hosts with a capacity, discovery, the
// front, and links that fail. They speak the real protocol, obey faults by command while they run, and keep ledgers
// from which a run can be judged afterwards. Tests, the load generator and experiments use them.
package fakeserver

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"sync"
	"time"
)

// Clock is the one clock of a run: time since its start by the monotonic clock, so that ledgers of one run can be
// joined and no step of the machine's clock shows in them.
type Clock struct{ start time.Time }

// NewClock starts a clock.
func NewClock() *Clock { return &Clock{time.Now()} }

// Now is the time since the start.
func (c *Clock) Now() time.Duration { return time.Since(c.start) }

// Started is the wall clock's time of the start, for ledgers of several processes.
func (c *Clock) Started() time.Time { return c.start }

// What a record tells.
const (
	Opened  = "opened"  // host: an OPEN has come, its last byte read
	Up      = "up"      // host: set up and told; note is the receipt
	Refused = "refused" // host: BUSY
	Failed  = "failed"  // host: ERR, or SYNTAX with the reason
	Ended   = "ended"   // host: BYE, to its end
	Moved   = "moved"   // host: MOVE
	Left    = "left"    // host: the other side ended it
	Broken  = "broken"  // host: reset from this side
	Probed  = "probed"  // host: PING or STATS
	Fault   = "fault"   // any: a fault began or ended
	Told    = "told"    // discovery: a watch or a list was written; note is the revision
	Turned  = "turned"  // discovery: a call that failed, and why
	Asked   = "asked"   // discovery: a call has come; note is what it asks
	Heard   = "heard"   // client: an answer has come; note is the answer
	Dialled = "dialled" // link: a connection has come; note says where it was refused
	In      = "in"      // front: a node is dealt clients
	Out     = "out"     // front: a node is dealt none any more
)

// Record is one thing that happened, at the clock of the run.
type Record struct {
	At     time.Duration `json:"at"` // ns since the run's start
	Who    string        `json:"who"`
	What   string        `json:"what"`
	ID     string        `json:"id,omitempty"`
	Key    string        `json:"key,omitempty"`
	Class  string        `json:"class,omitempty"`
	Tenant string        `json:"tenant,omitempty"`
	Note   string        `json:"note,omitempty"`
}

// mostRecords bounds a ledger's memory, about 100 MB. What comes past it is counted and not kept.
const mostRecords = 1 << 20

// Ledger is what one stand-in, or several, saw. Nil ledgers keep nothing.
type Ledger struct {
	clock *Clock
	mu    sync.Mutex
	recs  []Record
	lost  int
}

// NewLedger makes an empty ledger by the clock of the run.
func NewLedger(c *Clock) *Ledger { return &Ledger{clock: c} }

// Add notes r now.
func (l *Ledger) Add(r Record) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.recs) >= mostRecords {
		l.lost++
		return
	}
	r.At = l.clock.Now() // under the lock, so that a ledger never goes back
	l.recs = append(l.recs, r)
}

// Records returns a copy of what was noted so far, and how much was not kept.
func (l *Ledger) Records() (recs []Record, lost int) {
	if l == nil {
		return nil, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.recs), l.lost
}

// Count counts the records that f accepts.
func (l *Ledger) Count(f func(Record) bool) int {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.recs {
		if f(r) {
			n++
		}
	}
	return n
}

// Join sets ledgers of one run in one order of time.
func Join(ledgers ...*Ledger) []Record {
	var all []Record
	for _, l := range ledgers {
		recs, _ := l.Records()
		all = append(all, recs...)
	}
	slices.SortStableFunc(all, func(a, b Record) int { return int(a.At - b.At) })
	return all
}

// WriteRecords writes records as JSON Lines, with a first line that says when the clock began and what was lost.
func WriteRecords(w io.Writer, c *Clock, recs []Record, lost int) error {
	out := bufio.NewWriter(w)
	enc := json.NewEncoder(out)
	if err := enc.Encode(map[string]any{"ledger": 1, "began": c.Started(), "records": len(recs), "lost": lost}); err != nil {
		return err
	}
	for _, r := range recs {
		if err := enc.Encode(r); err != nil {
			return err
		}
	}
	return out.Flush()
}
