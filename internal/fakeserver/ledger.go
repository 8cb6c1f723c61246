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
	EventOpened        = "opened"  // host: an OPEN has come, its last byte read
	EventEstablished   = "up"      // host: set up and told; note is the receipt
	EventRejected      = "refused" // host: BUSY
	EventFailed        = "failed"  // host: ERR, or SYNTAX with the reason
	EventEnded         = "ended"   // host: BYE, to its end
	EventMigrated      = "moved"   // host: MOVE
	EventDisconnected  = "left"    // host: the other side ended it
	EventReset         = "broken"  // host: reset from this side
	EventHealthCheck   = "probed"  // host: PING or STATS
	EventFault         = "fault"   // any: a fault began or ended
	EventListSent      = "told"    // discovery: a watch or a list was written; note is the revision
	EventCallRejected  = "turned"  // discovery: a call that failed, and why
	EventRequested     = "asked"   // discovery: a call has come; note is what it asks
	EventReceived      = "heard"   // client: an answer has come; note is the answer
	EventDialed        = "dialled" // link: a connection has come; note says where it was refused
	EventNodeHealthy   = "in"      // front: a node is dealt clients
	EventNodeUnhealthy = "out"     // front: a node is dealt none any more
)

// Event is one thing that happened, at the clock of the run.
type Event struct {
	At     time.Duration `json:"at"` // ns since the run's start
	Source string        `json:"who"`
	Kind   string        `json:"what"`
	ID     string        `json:"id,omitempty"`
	Key    string        `json:"key,omitempty"`
	Class  string        `json:"class,omitempty"`
	Tenant string        `json:"tenant,omitempty"`
	Detail string        `json:"note,omitempty"`
}

// maxEvents bounds a ledger's memory, about 100 MB. What comes past it is counted and not kept.
const maxEvents = 1 << 20

// EventLog is what one stand-in, or several, saw. Nil ledgers keep nothing.
type EventLog struct {
	clock   *Clock
	mu      sync.Mutex
	events  []Event
	dropped int
}

// NewEventLog makes an empty ledger by the clock of the run.
func NewEventLog(c *Clock) *EventLog { return &EventLog{clock: c} }

// Add notes r now.
func (l *EventLog) Add(r Event) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.events) >= maxEvents {
		l.dropped++
		return
	}
	r.At = l.clock.Now() // under the lock, so that a ledger never goes back
	l.events = append(l.events, r)
}

// Events returns a copy of what was noted so far, and how much was not kept.
func (l *EventLog) Events() (recs []Event, lost int) {
	if l == nil {
		return nil, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.events), l.dropped
}

// Count counts the records that f accepts.
func (l *EventLog) Count(f func(Event) bool) int {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.events {
		if f(r) {
			n++
		}
	}
	return n
}

// MergeEvents sets ledgers of one run in one order of time.
func MergeEvents(ledgers ...*EventLog) []Event {
	var all []Event
	for _, l := range ledgers {
		recs, _ := l.Events()
		all = append(all, recs...)
	}
	slices.SortStableFunc(all, func(a, b Event) int { return int(a.At - b.At) })
	return all
}

// WriteEvents writes records as JSON Lines, with a first line that says when the clock began and what was lost.
func WriteEvents(w io.Writer, c *Clock, recs []Event, lost int) error {
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
