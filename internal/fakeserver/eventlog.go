package fakeserver

import (
	"bufio"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"sync"
	"time"
)

// The kinds of events. Their values are part of the format of event files.
const (
	EventOpened            = "opened"  // host: received a complete opening line
	EventEstablished       = "up"      // host: the connection is established; the detail is the receipt
	EventRejected          = "refused" // host: responded with BUSY
	EventFailed            = "failed"  // host: sent ERR or SYNTAX; client: got ERR or nothing; the detail is the reason
	EventEnded             = "ended"   // host: ended the connection with BYE
	EventMigrated          = "moved"   // host: sent MOVE; client: received it
	EventDisconnected      = "left"    // host: the client ended the connection; client: the connection ended
	EventReset             = "broken"  // host: reset the connection; client: the node ended or reset it
	EventHealthCheck       = "probed"  // host: received PING or STATS
	EventFault             = "fault"   // any source: a fault began or ended
	EventListSent          = "told"    // discovery: sent a list or an update; the detail is the revision
	EventDiscoveryRejected = "turned"  // discovery: rejected or reset a request; the detail is the reason
	EventRequested         = "asked"   // discovery: received a request; the detail is its URI; client: sent a request
	EventReceived          = "heard"   // client: received a line; the detail is the line
	EventDialed            = "dialled" // link: accepted a connection; the detail is "refused" if the link reset it
	EventNodeHealthy       = "in"      // front: sends clients to the node
	EventNodeUnhealthy     = "out"     // front: sends no clients to the node
)

// The event sources of the servers that have no configured name.
const (
	SourceDiscovery = "discovery"
	SourceFrontend  = "front"
)

// The details of a host's EventFault. Their values are part of the format of event files.
const (
	DetailHang        = "hangs"
	DetailResume      = "goes on"
	DetailDrain       = "drains"
	DetailCancelDrain = "drains no more"
	DetailCrash       = "dies"
	DetailRestart     = "comes back"
	DetailCollapse    = "fell over" // a cold host collapsed under overload
)

// Event is an event at a fake server, a link or a client.
type Event struct {
	At     time.Duration `json:"at"` // ns since the start of the run
	Source string        `json:"who"`
	Kind   string        `json:"what"`         // one of the Event constants
	ID     string        `json:"id,omitempty"` // of the connection
	Key    string        `json:"key,omitempty"`
	Class  string        `json:"class,omitempty"`
	Tenant string        `json:"tenant,omitempty"`
	Detail string        `json:"note,omitempty"`
}

// maxEvents bounds the memory of an event log to about 100 MB. Further events are counted and dropped.
const maxEvents = 1 << 20

// EventLog collects the events of one or more sources. It is safe for concurrent use. A nil log drops all events.
type EventLog struct {
	clock   *Clock
	mu      sync.Mutex
	events  []Event
	dropped int
}

// NewEventLog returns an empty log whose events get their times from a clock.
func NewEventLog(clock *Clock) *EventLog { return &EventLog{clock: clock} }

// Add appends an event with the current time.
func (l *EventLog) Add(event Event) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.events) >= maxEvents {
		l.dropped++
		return
	}
	event.At = l.clock.Now() // read under the lock, so that the times in the log never decrease
	l.events = append(l.events, event)
}

// Events returns a copy of the events so far, and the number of dropped events.
func (l *EventLog) Events() (events []Event, dropped int) {
	if l == nil {
		return nil, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.events), l.dropped
}

// Count returns the number of events that match.
func (l *EventLog) Count(match func(Event) bool) int {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, event := range l.events {
		if match(event) {
			count++
		}
	}
	return count
}

// MergeEvents returns the events of several logs of one run in order of time.
func MergeEvents(logs ...*EventLog) []Event {
	var all []Event
	for _, log := range logs {
		events, _ := log.Events()
		all = append(all, events...)
	}
	slices.SortStableFunc(all, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return all
}

// eventFileVersion is the version of the file format. It increases with each change that makes files unreadable to
// older readers.
const eventFileVersion = 1

// eventFileHeader is the first line of an event file.
type eventFileHeader struct {
	Started time.Time `json:"began"`
	Version int       `json:"ledger"`
	Dropped int       `json:"lost"`
	Events  int       `json:"records"`
}

// WriteEvents writes a header line, with the start time of the clock and the number of dropped events, and then the
// events, all as JSON Lines.
func WriteEvents(w io.Writer, clock *Clock, events []Event, dropped int) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	header := eventFileHeader{
		Started: clock.Started(),
		Version: eventFileVersion,
		Dropped: dropped,
		Events:  len(events),
	}
	if err := encoder.Encode(header); err != nil {
		return err
	}
	for _, event := range events {
		if err := encoder.Encode(event); err != nil {
			return err
		}
	}
	return buffered.Flush()
}
