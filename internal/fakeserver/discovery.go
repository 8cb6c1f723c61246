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
	// rawQueue is how many texts of SendRaw may wait for one call.
	rawQueue = 64
)

// Discovery is a fake discovery service over HTTP/1.1. It serves the endpoint list, and watches that stream updates of
// it, and injects faults on command. It is safe for concurrent use.
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
	revision    int64          // of the last change, published or not
	changes     []change       // in order of revision and of publication
	published   *publishedList // replaced at a restart
	changed     chan struct{}  // closed and replaced to wake the watches
	requests    []string
	openCalls   int
	limits      DiscoveryLimits
	idleAt      time.Duration // when all admitted calls are served
	queued      int           // calls that wait to be served
	rawBody     string        // replaces the start of each list and watch; "" for none
	rawCalls    map[chan string]bool
}

// NewDiscovery starts a service with a list of endpoints at a revision. An empty listen address stands for any port of
// 127.0.0.1.
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
		clock:    clock,
		events:   events,
		addr:     listener.Addr().String(),
		changed:  make(chan struct{}),
		rawCalls: map[chan string]bool{},
	}
	d.resetList(revision, endpoints)
	d.server = &http.Server{Handler: d, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = d.server.Serve(&meteredListener{listener, &d.meter}) }()
	return d, nil
}

// Addr returns the address at which the service listens.
func (d *Discovery) Addr() string { return d.addr }

// Close ends the service and its watches.
func (d *Discovery) Close() { _ = d.server.Close() }

// Requests returns the URIs of all calls so far, in order.
func (d *Discovery) Requests() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.requests...)
}

// OpenRequests returns the number of list requests and watches that are open.
func (d *Discovery) OpenRequests() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.openCalls
}

// Traffic returns the traffic with all callers so far.
func (d *Discovery) Traffic() Traffic { return d.meter.traffic() }

// record adds an event of the service.
func (d *Discovery) record(kind, detail string) {
	d.events.Add(Event{Source: SourceDiscovery, Kind: kind, Detail: detail})
}

// wakeWatches has the watches look for updates and faults; mu is held.
func (d *Discovery) wakeWatches() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// ServeHTTP answers a call.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	rawTexts := make(chan string, rawQueue)
	mode, rawBody := d.beginCall(request, rawTexts)
	defer d.endCall(rawTexts)
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
			d.answer(w, request, rawBody, rawTexts)
		}
	}
}

// beginCall registers a call and returns how to answer it.
func (d *Discovery) beginCall(request *http.Request, rawTexts chan string) (mode DiscoveryMode, rawBody string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requests = append(d.requests, request.URL.RequestURI())
	d.openCalls++
	d.rawCalls[rawTexts] = true
	return d.mode, d.rawBody
}

func (d *Discovery) endCall(rawTexts chan string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.openCalls--
	delete(d.rawCalls, rawTexts)
}

// answer serves an admitted call.
func (d *Discovery) answer(w http.ResponseWriter, request *http.Request, rawBody string, rawTexts <-chan string) {
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
