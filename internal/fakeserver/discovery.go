package fakeserver

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"onyxstream/internal/wire"
)

const (
	anyLoopbackPort   = "127.0.0.1:0"
	readHeaderTimeout = 10 * time.Second
	// maxQueuedRawTexts bounds the texts of SendRaw that wait to be written to one watch. SendRaw blocks beyond it.
	maxQueuedRawTexts = 64
)

// Discovery is a fake discovery service over HTTP/1.1. It serves the endpoint list and watches, which stream updates of
// the list, and injects faults on demand. It is safe for concurrent use.
type Discovery struct {
	clock  *Clock
	events *EventLog
	server *http.Server
	addr   string
	meter  meter

	mu sync.Mutex // guards the fields below

	// Injected faults.
	notifyDelay time.Duration
	frozen      bool
	mode        DiscoveryMode

	// The endpoint list.
	revision  int64          // revision of the last change, published or not
	changes   []change       // in order of revision, which is also the order of publication
	published *publishedList // replaced on each restart
	changed   chan struct{}  // closed and replaced to wake the watches

	// Requests and their admission.
	requests     []string // URIs of all requests, in order of arrival
	openRequests int
	limits       DiscoveryLimits
	idleAt       time.Duration // time at which the last admitted request will have been served
	queued       int           // requests that wait to be served

	// Raw texts set by a test.
	rawBody     string               // replaces each list and the first object of each watch; "" for none
	rawRequests map[chan string]bool // channels on which the open requests get the texts of SendRaw
}

// NewDiscovery starts a discovery service whose list holds the given endpoints at the given revision. An empty listen
// address means any free port of 127.0.0.1.
func NewDiscovery(
	listen string, clock *Clock, events *EventLog, revision int64, endpoints ...wire.Endpoint,
) (*Discovery, error) {
	if listen == "" {
		listen = anyLoopbackPort
	}
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	d := &Discovery{
		clock:       clock,
		events:      events,
		addr:        listener.Addr().String(),
		changed:     make(chan struct{}),
		rawRequests: map[chan string]bool{},
	}
	d.resetList(revision, endpoints)
	d.server = &http.Server{Handler: d, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = d.server.Serve(&meteredListener{listener, &d.meter}) }()
	return d, nil
}

// Addr returns the address at which the service listens.
func (d *Discovery) Addr() string { return d.addr }

// Close stops the service and closes its watches.
func (d *Discovery) Close() { _ = d.server.Close() }

// Requests returns the URIs of all list requests and watches so far, in order of arrival.
func (d *Discovery) Requests() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.requests...)
}

// OpenRequests returns the number of list requests and watches that are open.
func (d *Discovery) OpenRequests() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.openRequests
}

// Traffic returns the traffic with all clients so far.
func (d *Discovery) Traffic() Traffic { return d.meter.traffic() }

// record adds an event of the service to the log.
func (d *Discovery) record(kind, detail string) {
	d.events.Add(Event{Source: SourceDiscovery, Kind: kind, Detail: detail})
}

// wakeWatches makes the watches check for updates and faults. The caller must hold mu.
func (d *Discovery) wakeWatches() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// ServeHTTP serves a list request or a watch.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	rawTexts := make(chan string, maxQueuedRawTexts)
	mode, rawBody := d.beginRequest(request, rawTexts)
	defer d.endRequest(rawTexts)
	d.record(EventRequested, request.URL.RequestURI())
	switch mode {
	case ModeUnavailable:
		d.reject(w, "down")
	case ModeReset:
		d.record(EventDiscoveryRejected, "reset")
		panic(http.ErrAbortHandler)
	case ModeSilent:
		<-request.Context().Done()
	case ModeNormal:
		if d.admit(w) {
			d.respond(w, request, rawBody, rawTexts)
		}
	}
}

// beginRequest registers an open request. It returns the mode and the raw body with which to respond.
func (d *Discovery) beginRequest(request *http.Request, rawTexts chan string) (mode DiscoveryMode, rawBody string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requests = append(d.requests, request.URL.RequestURI())
	d.openRequests++
	d.rawRequests[rawTexts] = true
	return d.mode, d.rawBody
}

func (d *Discovery) endRequest(rawTexts chan string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.openRequests--
	delete(d.rawRequests, rawTexts)
}

// respond serves an admitted request.
func (d *Discovery) respond(w http.ResponseWriter, request *http.Request, rawBody string, rawTexts <-chan string) {
	query := request.URL.Query()
	isWatch := query.Get("watch") != ""
	switch {
	case rawBody != "" && isWatch:
		d.watchRaw(w, request, rawBody, rawTexts)
	case rawBody != "":
		_, _ = io.WriteString(w, rawBody)
	case isWatch:
		after, err := strconv.ParseInt(query.Get("after"), 10, 64)
		d.watch(w, request, after, err != nil)
	default:
		d.writeList(w, d.snapshot())
	}
}
