package fakeserver

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"onyxstream/internal/wire"
)

// DiscoveryMode is how a stand-in discovery answers.
type DiscoveryMode uint8

// The modes.
const (
	ModeNormal      DiscoveryMode = iota
	ModeUnavailable               // every call ends with 503, and watches break
	ModeReset                     // every call is reset, and watches break
	ModeSilent                    // calls and watches stay open and nothing comes, not even the beat
)

// DiscoveryLimits is what a stand-in discovery bears. The zero value bears any number of calls at once.
type DiscoveryLimits struct {
	CallDuration time.Duration // what one call takes, a list or the first answer of a watch; calls are worked through in turn
	MaxWait      time.Duration // a call that has waited so long is turned away; 0 for none is
	MaxQueue     int           // calls that may wait at one time, those past it are turned away at once; 0 for any number
	RetryAfter   string        // the Retry-After of what is turned away, word for word; "" for none
}

// heartbeatInterval is how often a watch says that it stands while nothing changes.
const heartbeatInterval = 500 * time.Millisecond

// maxChanges is how many changes are kept; a watch that asks for what came before them is given the whole list.
const maxChanges = 4096

// Discovery is a stand-in discovery over HTTP/1.1.
type Discovery struct {
	clock  *Clock
	events *EventLog
	server *http.Server
	addr   string
	meter  meter

	mu          sync.Mutex
	notifyDelay time.Duration
	frozen      bool
	mode        DiscoveryMode
	revision    int64          // of the last change made, told or not
	changes     []change       // in order of revision and of when they are told
	published   *publishedList // what is told now
	changed     chan struct{}  // closed and made anew when something is to be told
	requests    []string
	openCalls   int
	limits      DiscoveryLimits
	idleAt      time.Duration // when it has worked through all calls that were taken
	waiting     int           // calls that wait for their turn
	rawBody     string        // what every list and watch begins with in place of the list; "" for none
	rawWatches  map[chan string]bool
}

type change struct {
	revision  int64
	due       time.Duration
	endpoints []wire.Endpoint
	published bool
}

// publishedList is the state that was told.
type publishedList struct {
	revision  int64
	endpoints map[string]wire.Endpoint
	order     []string // of first appearance, so that the same run tells the same list
}

// NewDiscovery starts a discovery that knows the members given, from revision on.
func NewDiscovery(listen string, clock *Clock, ledger *EventLog, revision int64, members ...wire.Endpoint) (*Discovery, error) {
	if listen == "" {
		listen = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	d := &Discovery{clock: clock, events: ledger, addr: l.Addr().String(), changed: make(chan struct{}),
		rawWatches: map[chan string]bool{}}
	d.resetList(revision, members)
	d.server = &http.Server{Handler: d, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = d.server.Serve(&meteredListener{l, &d.meter}) }()
	return d, nil
}

// Addr is where it listens.
func (d *Discovery) Addr() string { return d.addr }

// Close ends it and its watches.
func (d *Discovery) Close() { _ = d.server.Close() }

func (d *Discovery) resetList(revision int64, members []wire.Endpoint) {
	d.revision, d.changes = revision, nil
	d.published = &publishedList{revision: revision, endpoints: map[string]wire.Endpoint{}}
	for _, m := range members {
		d.published.set(m)
	}
}

func (l *publishedList) set(m wire.Endpoint) {
	if _, ok := l.endpoints[m.ID]; !ok {
		l.order = append(l.order, m.ID)
	}
	l.endpoints[m.ID] = m
}

func (l *publishedList) snapshot() wire.EndpointList {
	c := wire.EndpointList{Revision: l.revision, Complete: true, Endpoints: []wire.Endpoint{}}
	for _, id := range l.order {
		if m := l.endpoints[id]; m.Phase != wire.Removed {
			c.Endpoints = append(c.Endpoints, m)
		}
	}
	return c
}

// Set changes members as one revision, told after the lag of now. A member that is gone has the phase Deleted.
func (d *Discovery) Set(members ...wire.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	due := d.clock.Now() + d.notifyDelay
	if n := len(d.changes); n > 0 {
		due = max(due, d.changes[n-1].due) // news never overtakes older news
	}
	d.changes = append(d.changes, change{revision: d.revision, due: due, endpoints: members})
	if n := len(d.changes) - maxChanges; n > 0 && d.changes[n-1].published {
		d.changes = d.changes[n:]
	}
	d.wakeWatches()
	time.AfterFunc(due-d.clock.Now(), func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.wakeWatches()
	})
}

// SetNotifyDelay has news from now on told so much later.
func (d *Discovery) SetNotifyDelay(by time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.notifyDelay = by
	d.events.Add(Event{Source: "discovery", Kind: EventFault, Detail: "lags by " + by.String()})
}

// SetFrozen has the list stay as it was last told; calls are answered and watches beat.
func (d *Discovery) SetFrozen(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.frozen = on
	d.events.Add(Event{Source: "discovery", Kind: EventFault, Detail: "frozen " + strconv.FormatBool(on)})
	d.wakeWatches()
}

// SetMode sets how it answers; watches that stand are broken where it does not answer well.
func (d *Discovery) SetMode(m DiscoveryMode) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mode = m
	d.events.Add(Event{Source: "discovery", Kind: EventFault, Detail: "answers in mode " + strconv.Itoa(int(m))})
	d.wakeWatches()
}

// SetLimits sets what it bears from now on.
func (d *Discovery) SetLimits(l DiscoveryLimits) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limits = l
}

// Restart breaks all watches and counts revisions anew from the one given, with what it knows.
func (d *Discovery) Restart(revision int64) {
	d.mu.Lock()
	for i := range d.changes {
		d.publish(&d.changes[i])
	}
	c := d.published.snapshot()
	d.mu.Unlock()
	d.Restore(revision, c.Endpoints...)
}

// Restore breaks all watches and has it know these members alone, from the revision given on: a service put back from
// an older state, or one that has lost what it knew.
func (d *Discovery) Restore(revision int64, members ...wire.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.resetList(revision, members)
	d.events.Add(Event{Source: "discovery", Kind: EventFault, Detail: "restarted at revision " + strconv.FormatInt(revision, 10)})
	d.wakeWatches()
}

// SetRawBody has lists and watches begin with this text, whatever it means; Tell says more to all watches, and "" breaks them.
func (d *Discovery) SetRawBody(first string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rawBody = first
}

// SendRaw writes a text to all watches that began with Raw.
func (d *Discovery) SendRaw(text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for w := range d.rawWatches {
		w <- text
	}
}

// Requests returns what was asked, in order.
func (d *Discovery) Requests() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.requests...)
}

// OpenCalls counts calls that are open.
func (d *Discovery) OpenCalls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.openCalls
}

// wakeWatches wakes those who wait for news; mu is held.
func (d *Discovery) wakeWatches() {
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Discovery) publish(c *change) {
	if c.published {
		return
	}
	c.published = true
	for _, m := range c.endpoints {
		d.published.set(m)
	}
	d.published.revision = c.revision
}

// publishDue shows what has become due; mu is held.
func (d *Discovery) publishDue() {
	now := d.clock.Now()
	for i := range d.changes {
		if !d.frozen && d.changes[i].due <= now {
			d.publish(&d.changes[i])
		}
	}
}

// updateSince is what a watch is told that knows the list up to after; ok is false where there is nothing.
func (d *Discovery) updateSince(after int64, whole bool) (c wire.EndpointList, ok bool) {
	d.publishDue()
	if after == d.published.revision && !whole {
		return c, false
	}
	oldest := d.published.revision
	for _, k := range d.changes {
		if k.published {
			oldest = k.revision - 1
			break
		}
	}
	if whole || after < oldest || after > d.published.revision {
		return d.published.snapshot(), true
	}
	c = wire.EndpointList{Revision: d.published.revision, Endpoints: []wire.Endpoint{}}
	at := map[string]int{}
	for _, k := range d.changes {
		if !k.published || k.revision <= after {
			continue
		}
		for _, m := range k.endpoints {
			if i, seen := at[m.ID]; seen {
				c.Endpoints[i] = m
				continue
			}
			at[m.ID] = len(c.Endpoints)
			c.Endpoints = append(c.Endpoints, m)
		}
	}
	return c, true
}

// ServeHTTP answers a call.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	said := make(chan string, 64)
	d.mu.Lock()
	d.requests = append(d.requests, q.URL.RequestURI())
	mode, raw := d.mode, d.rawBody
	d.openCalls++
	d.rawWatches[said] = true
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		d.openCalls--
		delete(d.rawWatches, said)
		d.mu.Unlock()
	}()
	watch := q.URL.Query().Get("watch") != ""
	d.events.Add(Event{Source: "discovery", Kind: EventRequested, Detail: q.URL.RequestURI()})
	switch {
	case mode == ModeUnavailable:
		d.reject(w, "down")
	case mode == ModeReset:
		d.events.Add(Event{Source: "discovery", Kind: EventCallRejected, Detail: "reset"})
		panic(http.ErrAbortHandler)
	case mode == ModeSilent:
		<-q.Context().Done()
	case !d.admit(w):
	case raw != "" && watch:
		d.watchRaw(w, q, raw, said)
	case raw != "":
		_, _ = io.WriteString(w, raw)
	case watch:
		after, err := strconv.ParseInt(q.URL.Query().Get("after"), 10, 64)
		d.watch(w, q, after, err != nil)
	default:
		d.mu.Lock()
		c, _ := d.updateSince(0, true)
		d.mu.Unlock()
		d.writeList(w, c)
	}
}

// reject answers a call with 503.
func (d *Discovery) reject(w http.ResponseWriter, why string) {
	d.mu.Lock()
	after := d.limits.RetryAfter
	d.mu.Unlock()
	if after != "" {
		w.Header().Set("Retry-After", after)
	}
	d.events.Add(Event{Source: "discovery", Kind: EventCallRejected, Detail: why})
	http.Error(w, why, http.StatusServiceUnavailable)
}

// admit waits until a call's turn has come and it is worked through; where it may not wait so long it is turned away.
// One whose caller has left in the meantime has its turn too: the service learns that only when it answers.
func (d *Discovery) admit(w http.ResponseWriter) bool {
	d.mu.Lock()
	l, now := d.limits, d.clock.Now()
	if l.CallDuration <= 0 {
		d.mu.Unlock()
		return true
	}
	begins := max(d.idleAt, now)
	full := l.MaxQueue > 0 && d.waiting >= l.MaxQueue
	late := l.MaxWait > 0 && begins-now > l.MaxWait
	if !full && !late {
		d.idleAt = begins + l.CallDuration
	}
	d.waiting++
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.waiting--
	}()
	switch {
	case full:
		d.reject(w, "the queue is full")
	case late:
		time.Sleep(l.MaxWait)
		d.reject(w, "it waited too long")
	default:
		time.Sleep(begins + l.CallDuration - now)
	}
	return !full && !late
}

func (d *Discovery) writeList(w io.Writer, c wire.EndpointList) bool {
	text, err := json.Marshal(c)
	if err != nil {
		return false
	}
	_, err = w.Write(append(text, '\n'))
	d.events.Add(Event{Source: "discovery", Kind: EventListSent, Detail: strconv.FormatInt(c.Revision, 10)})
	return err == nil
}

func (d *Discovery) watch(w http.ResponseWriter, q *http.Request, after int64, whole bool) {
	timer := time.NewTicker(heartbeatInterval)
	defer timer.Stop()
	d.mu.Lock()
	known := d.published // a restart makes another one and ends the watch
	d.mu.Unlock()
	first := true
	for {
		d.mu.Lock()
		c, ok := d.updateSince(after, whole)
		wake, mode, restarted := d.changed, d.mode, d.published != known
		d.mu.Unlock()
		switch {
		case restarted || mode == ModeUnavailable || mode == ModeReset:
			panic(http.ErrAbortHandler) // the connection breaks
		case mode == ModeSilent:
			<-q.Context().Done()
			return
		case ok:
			if !d.writeList(w, c) {
				return
			}
			after, whole = c.Revision, false
		case first: // a watch begins with an object, also where nothing has changed
			if !d.writeList(w, wire.EndpointList{Revision: after, Endpoints: []wire.Endpoint{}}) {
				return
			}
		}
		first = false
		w.(http.Flusher).Flush()
		select {
		case <-q.Context().Done():
			return
		case <-wake:
		case <-timer.C:
			if _, err := io.WriteString(w, "\n"); err != nil {
				return
			}
		}
	}
}

func (d *Discovery) watchRaw(w http.ResponseWriter, q *http.Request, text string, said <-chan string) {
	for text += "\n"; ; {
		d.mu.Lock()
		mode, wake := d.mode, d.changed
		d.mu.Unlock()
		switch mode {
		case ModeSilent:
			<-q.Context().Done()
			return
		case ModeUnavailable, ModeReset:
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, text); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-q.Context().Done():
			return
		case text = <-said:
			if text == "" {
				panic(http.ErrAbortHandler)
			}
			text += "\n"
		case <-wake:
			text = "\n"
		case <-time.After(heartbeatInterval):
			text = "\n"
		}
	}
}
