package loadtest

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"onyxstream/internal/ctxtime"
)

// Config is the configuration of one run. Its callbacks are optional.
type Config struct {
	Scenario *Scenario // deadlines, client behavior, surges and limits
	Source   Source
	Length   time.Duration // at least the intended time of the last request; bounds the timeline and a closed loop
	// Address returns the address that a client of a zone connects to at this moment: the address of a host if direct is
	// set, and that of a node otherwise. It is called from many goroutines.
	Address func(zone string, direct bool) (string, error)
	// Hosts are the names of the hosts over which the scenario's initial connections are spread.
	Hosts []string
	// OnProgress is called once a second.
	OnProgress func(Progress)
	// OnRequest is called with each request in order, just before it is sent. It must not block.
	OnRequest func(Request)
	// OnReceipt is called with the id and the receipt of each established connection. It is called from many goroutines.
	OnReceipt func(id, receipt string)
	// OnStart is called after the initial connections are established, just before the first request.
	OnStart func()
}

// engine is the state of a run.
type engine struct {
	cfg       Config
	scenario  *Scenario
	recorder  *statsRecorder
	begin     time.Time
	deadlines map[string]time.Duration // by class

	clients   sync.WaitGroup
	open      atomic.Int64 // running clients, each with at most one connection
	started   atomic.Int64 // requests, including unsent ones
	dialCount atomic.Uint64

	// Start and end of the run.
	requestsBegin chan struct{}   // closed when the first request may be sent
	stop          chan struct{}   // closed when the run ends
	dialContext   context.Context // canceled when the run ends
	cancelDials   context.CancelFunc
	ended         atomic.Bool

	connectionsMu sync.Mutex // guards connections, and the change of ended
	connections   map[*clientConnection]struct{}

	sourceAddresses []net.Addr // connections are bound to them in turn; if nil, the system chooses

	localErrorOnce sync.Once
	localError     atomic.Pointer[error] // why the generator could not send the first unsent request
}

// Run sends the requests of the source until its end or until ctx ends, and returns the result. If the source cannot be
// read to its end, Run returns both an error and a result that is marked partial.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	e := newEngine(cfg)
	defer e.cancelDials()
	if err := e.openInitialConnections(ctx); err != nil {
		return nil, err
	}
	if cfg.OnStart != nil {
		cfg.OnStart()
	}
	started := time.Now()
	e.begin = started
	close(e.requestsBegin)
	backgroundCtx, cancel := context.WithCancel(ctx)
	var background sync.WaitGroup
	e.startBackground(backgroundCtx, &background)
	err := e.sendRequests(ctx)
	if err == nil && ctx.Err() == nil {
		e.awaitOutcomes(ctx)
	}
	e.terminateAll()
	e.clients.Wait()
	cancel()
	background.Wait()
	return e.result(started, ctx.Err() != nil, err), err
}

func newEngine(cfg Config) *engine {
	e := &engine{
		cfg:           cfg,
		scenario:      cfg.Scenario,
		recorder:      newStatsRecorder(cfg.Length),
		begin:         time.Now(),
		deadlines:     map[string]time.Duration{},
		requestsBegin: make(chan struct{}),
		stop:          make(chan struct{}),
		connections:   map[*clientConnection]struct{}{},
	}
	e.dialContext, e.cancelDials = context.WithCancel(context.Background())
	for _, class := range e.scenario.Classes {
		e.deadlines[class.Name] = class.Deadline.AsDuration()
	}
	if n := e.scenario.Limits.SourceAddresses; n > 1 {
		for i := range n {
			e.sourceAddresses = append(e.sourceAddresses, &net.TCPAddr{IP: net.IPv4(127, 0, 1, byte(i+1))})
		}
	}
	return e
}

// startBackground starts the samplers and the reconnect surges. They stop when ctx ends.
func (e *engine) startBackground(ctx context.Context, background *sync.WaitGroup) {
	background.Go(func() { e.sampleTimeline(ctx) })
	background.Go(func() { e.sampleWakeups(ctx) })
	for i, surge := range e.scenario.Surges {
		background.Go(func() {
			if e.sleepUntil(ctx, surge.At.AsDuration()) {
				e.dropForSurge(i)
			}
		})
	}
}

// now returns the time since the start of the run.
func (e *engine) now() time.Duration { return time.Since(e.begin) }

// sleepUntil waits until a time that is given from the start of the run. It returns false if ctx ends first.
func (e *engine) sleepUntil(ctx context.Context, at time.Duration) bool {
	return ctxtime.Sleep(ctx, at-e.now())
}

// outcomeCheckInterval is the interval at which awaitOutcomes checks whether all requests have an outcome.
const outcomeCheckInterval = 10 * time.Millisecond

// awaitOutcomes waits until all requests have an outcome, and then until no client is running. It stops waiting for
// clients when Limits.Linger has passed since the call.
func (e *engine) awaitOutcomes(ctx context.Context) {
	lingerEnd := time.Now().Add(e.scenario.Limits.Linger.AsDuration())
	for ctx.Err() == nil {
		e.recorder.mu.Lock()
		inFlight := e.started.Load() - e.recorder.finished
		e.recorder.mu.Unlock()
		if inFlight == 0 && (time.Now().After(lingerEnd) || e.open.Load() == 0) {
			return
		}
		time.Sleep(outcomeCheckInterval)
	}
}
