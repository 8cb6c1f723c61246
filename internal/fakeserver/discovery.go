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

// Mode is how a stand-in discovery answers.
type Mode uint8

// The modes.
const (
	Well   Mode = iota
	Busy        // every call ends with 503, and watches break
	Resets      // every call is reset, and watches break
	Mute        // calls and watches stay open and nothing comes, not even the beat
)

// Load is what a stand-in discovery bears. The zero value bears any number of calls at once.
type Load struct {
	Cost  time.Duration // what one call takes, a list or the first answer of a watch; calls are worked through in turn
	Wait  time.Duration // a call that has waited so long is turned away; 0 for none is
	Queue int           // calls that may wait at one time, those past it are turned away at once; 0 for any number
	After string        // the Retry-After of what is turned away, word for word; "" for none
}

// beat is how often a watch says that it stands while nothing changes.
const beat = 500 * time.Millisecond

// mostChanges is how many changes are kept; a watch that asks for what came before them is given the whole list.
const mostChanges = 4096

// Discovery is a stand-in discovery over HTTP/1.1.
type Discovery struct {
	clock  *Clock
	ledger *Ledger
	srv    *http.Server
	addr   string
	meter  meter

	mu       sync.Mutex
	lag      time.Duration
	frozen   bool
	mode     Mode
	revision int64         // of the last change made, told or not
	changes  []change      // in order of revision and of when they are told
	shown    *list         // what is told now
	wake     chan struct{} // closed and made anew when something is to be told
	calls    []string
	watching int
	load     Load
	free     time.Duration // when it has worked through all calls that were taken
	waiting  int           // calls that wait for their turn
	raw      string        // what every list and watch begins with in place of the list; "" for none
	rawSaid  map[chan string]bool
}

type change struct {
	revision int64
	due      time.Duration
	members  []wire.Endpoint
	shown    bool
}

// list is the state that was told.
type list struct {
	revision int64
	members  map[string]wire.Endpoint
	order    []string // of first appearance, so that the same run tells the same list
}

// NewDiscovery starts a discovery that knows the members given, from revision on.
func NewDiscovery(listen string, clock *Clock, ledger *Ledger, revision int64, members ...wire.Endpoint) (*Discovery, error) {
	if listen == "" {
		listen = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	d := &Discovery{clock: clock, ledger: ledger, addr: l.Addr().String(), wake: make(chan struct{}),
		rawSaid: map[chan string]bool{}}
	d.begin(revision, members)
	d.srv = &http.Server{Handler: d, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = d.srv.Serve(&meteredListener{l, &d.meter}) }()
	return d, nil
}

// Addr is where it listens.
func (d *Discovery) Addr() string { return d.addr }

// Close ends it and its watches.
func (d *Discovery) Close() { _ = d.srv.Close() }

func (d *Discovery) begin(revision int64, members []wire.Endpoint) {
	d.revision, d.changes = revision, nil
	d.shown = &list{revision: revision, members: map[string]wire.Endpoint{}}
	for _, m := range members {
		d.shown.set(m)
	}
}

func (l *list) set(m wire.Endpoint) {
	if _, ok := l.members[m.ID]; !ok {
		l.order = append(l.order, m.ID)
	}
	l.members[m.ID] = m
}

func (l *list) catalog() wire.EndpointList {
	c := wire.EndpointList{Revision: l.revision, Complete: true, Endpoints: []wire.Endpoint{}}
	for _, id := range l.order {
		if m := l.members[id]; m.Phase != wire.Removed {
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
	due := d.clock.Now() + d.lag
	if n := len(d.changes); n > 0 {
		due = max(due, d.changes[n-1].due) // news never overtakes older news
	}
	d.changes = append(d.changes, change{revision: d.revision, due: due, members: members})
	if n := len(d.changes) - mostChanges; n > 0 && d.changes[n-1].shown {
		d.changes = d.changes[n:]
	}
	d.rouse()
	time.AfterFunc(due-d.clock.Now(), func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.rouse()
	})
}

// Lag has news from now on told so much later.
func (d *Discovery) Lag(by time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lag = by
	d.ledger.Add(Record{Who: "discovery", What: Fault, Note: "lags by " + by.String()})
}

// Freeze has the list stay as it was last told; calls are answered and watches beat.
func (d *Discovery) Freeze(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.frozen = on
	d.ledger.Add(Record{Who: "discovery", What: Fault, Note: "frozen " + strconv.FormatBool(on)})
	d.rouse()
}

// Answer sets how it answers; watches that stand are broken where it does not answer well.
func (d *Discovery) Answer(m Mode) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mode = m
	d.ledger.Add(Record{Who: "discovery", What: Fault, Note: "answers in mode " + strconv.Itoa(int(m))})
	d.rouse()
}

// Bears sets what it bears from now on.
func (d *Discovery) Bears(l Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.load = l
}

// Restart breaks all watches and counts revisions anew from the one given, with what it knows.
func (d *Discovery) Restart(revision int64) {
	d.mu.Lock()
	for i := range d.changes {
		d.show(&d.changes[i])
	}
	c := d.shown.catalog()
	d.mu.Unlock()
	d.Restore(revision, c.Endpoints...)
}

// Restore breaks all watches and has it know these members alone, from the revision given on: a service put back from
// an older state, or one that has lost what it knew.
func (d *Discovery) Restore(revision int64, members ...wire.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.begin(revision, members)
	d.ledger.Add(Record{Who: "discovery", What: Fault, Note: "restarted at revision " + strconv.FormatInt(revision, 10)})
	d.rouse()
}

// Raw has lists and watches begin with this text, whatever it means; Tell says more to all watches, and "" breaks them.
func (d *Discovery) Raw(first string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.raw = first
}

// Tell writes a text to all watches that began with Raw.
func (d *Discovery) Tell(text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for w := range d.rawSaid {
		w <- text
	}
}

// Calls returns what was asked, in order.
func (d *Discovery) Calls() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.calls...)
}

// Watching counts calls that are open.
func (d *Discovery) Watching() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watching
}

// rouse wakes those who wait for news; mu is held.
func (d *Discovery) rouse() {
	close(d.wake)
	d.wake = make(chan struct{})
}

func (d *Discovery) show(c *change) {
	if c.shown {
		return
	}
	c.shown = true
	for _, m := range c.members {
		d.shown.set(m)
	}
	d.shown.revision = c.revision
}

// due shows what has become due; mu is held.
func (d *Discovery) due() {
	now := d.clock.Now()
	for i := range d.changes {
		if !d.frozen && d.changes[i].due <= now {
			d.show(&d.changes[i])
		}
	}
}

// news is what a watch is told that knows the list up to after; ok is false where there is nothing.
func (d *Discovery) news(after int64, whole bool) (c wire.EndpointList, ok bool) {
	d.due()
	if after == d.shown.revision && !whole {
		return c, false
	}
	oldest := d.shown.revision
	for _, k := range d.changes {
		if k.shown {
			oldest = k.revision - 1
			break
		}
	}
	if whole || after < oldest || after > d.shown.revision {
		return d.shown.catalog(), true
	}
	c = wire.EndpointList{Revision: d.shown.revision, Endpoints: []wire.Endpoint{}}
	at := map[string]int{}
	for _, k := range d.changes {
		if !k.shown || k.revision <= after {
			continue
		}
		for _, m := range k.members {
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
	d.calls = append(d.calls, q.URL.RequestURI())
	mode, raw := d.mode, d.raw
	d.watching++
	d.rawSaid[said] = true
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		d.watching--
		delete(d.rawSaid, said)
		d.mu.Unlock()
	}()
	watch := q.URL.Query().Get("watch") != ""
	d.ledger.Add(Record{Who: "discovery", What: Asked, Note: q.URL.RequestURI()})
	switch {
	case mode == Busy:
		d.turn(w, "down")
	case mode == Resets:
		d.ledger.Add(Record{Who: "discovery", What: Turned, Note: "reset"})
		panic(http.ErrAbortHandler)
	case mode == Mute:
		<-q.Context().Done()
	case !d.reached(w):
	case raw != "" && watch:
		d.watchRaw(w, q, raw, said)
	case raw != "":
		_, _ = io.WriteString(w, raw)
	case watch:
		after, err := strconv.ParseInt(q.URL.Query().Get("after"), 10, 64)
		d.watch(w, q, after, err != nil)
	default:
		d.mu.Lock()
		c, _ := d.news(0, true)
		d.mu.Unlock()
		d.write(w, c)
	}
}

// turn answers a call with 503.
func (d *Discovery) turn(w http.ResponseWriter, why string) {
	d.mu.Lock()
	after := d.load.After
	d.mu.Unlock()
	if after != "" {
		w.Header().Set("Retry-After", after)
	}
	d.ledger.Add(Record{Who: "discovery", What: Turned, Note: why})
	http.Error(w, why, http.StatusServiceUnavailable)
}

// reached waits until a call's turn has come and it is worked through; where it may not wait so long it is turned away.
// One whose caller has left in the meantime has its turn too: the service learns that only when it answers.
func (d *Discovery) reached(w http.ResponseWriter) bool {
	d.mu.Lock()
	l, now := d.load, d.clock.Now()
	if l.Cost <= 0 {
		d.mu.Unlock()
		return true
	}
	begins := max(d.free, now)
	full := l.Queue > 0 && d.waiting >= l.Queue
	late := l.Wait > 0 && begins-now > l.Wait
	if !full && !late {
		d.free = begins + l.Cost
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
		d.turn(w, "the queue is full")
	case late:
		time.Sleep(l.Wait)
		d.turn(w, "it waited too long")
	default:
		time.Sleep(begins + l.Cost - now)
	}
	return !full && !late
}

func (d *Discovery) write(w io.Writer, c wire.EndpointList) bool {
	text, err := json.Marshal(c)
	if err != nil {
		return false
	}
	_, err = w.Write(append(text, '\n'))
	d.ledger.Add(Record{Who: "discovery", What: Told, Note: strconv.FormatInt(c.Revision, 10)})
	return err == nil
}

func (d *Discovery) watch(w http.ResponseWriter, q *http.Request, after int64, whole bool) {
	timer := time.NewTicker(beat)
	defer timer.Stop()
	d.mu.Lock()
	known := d.shown // a restart makes another one and ends the watch
	d.mu.Unlock()
	first := true
	for {
		d.mu.Lock()
		c, ok := d.news(after, whole)
		wake, mode, restarted := d.wake, d.mode, d.shown != known
		d.mu.Unlock()
		switch {
		case restarted || mode == Busy || mode == Resets:
			panic(http.ErrAbortHandler) // the connection breaks
		case mode == Mute:
			<-q.Context().Done()
			return
		case ok:
			if !d.write(w, c) {
				return
			}
			after, whole = c.Revision, false
		case first: // a watch begins with an object, also where nothing has changed
			if !d.write(w, wire.EndpointList{Revision: after, Endpoints: []wire.Endpoint{}}) {
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
		mode, wake := d.mode, d.wake
		d.mu.Unlock()
		switch mode {
		case Mute:
			<-q.Context().Done()
			return
		case Busy, Resets:
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
		case <-time.After(beat):
			text = "\n"
		}
	}
}
