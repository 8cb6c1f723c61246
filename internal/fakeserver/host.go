package fakeserver

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"onyxstream/internal/fakeserver/capacity"
	"onyxstream/internal/wire"
)

// HostConfig describes a fake host.
type HostConfig struct {
	ID, Zone          string
	Listen            string // listen address; "" for any free port of 127.0.0.1
	Spec              capacity.Spec
	Store             *SharedSessionStore // nil for a separate store without delay
	Seed              uint64
	StartsCold        bool          // the first start is a slow start
	ReportsLoad       bool          // the host reports the load of its connections in LOAD lines
	AnswersStats      bool          // the host responds to STATS with its utilization, otherwise with NO
	ResumeTimeout     time.Duration // time in which a connection that its node reset can be resumed mid-flow; 0 for none
	ObeysTestCommands bool          // the host executes lines that begin with testCommandPrefix
}

const (
	// maxQueuedTasks bounds the tasks that wait for the loop. post blocks beyond it.
	maxQueuedTasks = 256
	// microUnits converts loads and utilization to the integers in which they are stored and reported.
	microUnits = 1e6
	// idleWait is how long the loop waits for a task while no change of the model is due.
	idleWait = time.Hour
)

// Host is a fake host. Its loop goroutine owns the capacity model and the state of all connections. The goroutines of
// a connection post tasks to the loop, and the loop queues lines for these goroutines without blocking. The methods are
// safe for concurrent use.
type Host struct {
	config      HostConfig
	clock       *Clock
	events      *EventLog
	tasks       chan func() // run by the loop
	quit        chan struct{}
	wg          sync.WaitGroup
	lineLatency atomic.Int64                  // LineLatency of the capacity model, in ns
	utilization atomic.Uint64                 // Utilization of the capacity model, in millionths
	hangGate    atomic.Pointer[chan struct{}] // closed when the hang ends; nil while the host does not hang
	addr        string

	// The fields below are owned by the loop.
	model            *capacity.Host
	connections      map[*hostConnection]bool
	sessions         map[string]*session
	rng              *rand.Rand
	receipts         int // number of receipts issued so far
	draining         bool
	crashed          bool
	restarted        bool
	startedAt        time.Time
	listener         net.Listener
	hangEnd          chan struct{} // the channel in hangGate
	scriptedResponse func(line string) string
}

// NewHost starts a host; Close stops it. events may be nil.
func NewHost(config HostConfig, clock *Clock, events *EventLog) (*Host, error) {
	if field, err := config.Spec.Check(); err != nil {
		return nil, fmt.Errorf("host %s: %s: %w", config.ID, field, err)
	}
	if config.Listen == "" {
		config.Listen = anyLoopbackPort
	}
	if config.Store == nil {
		config.Store = NewSharedSessionStore(capacity.SessionStore{})
	}
	h := &Host{
		config:      config,
		clock:       clock,
		events:      events,
		tasks:       make(chan func(), maxQueuedTasks),
		quit:        make(chan struct{}),
		connections: map[*hostConnection]bool{},
		sessions:    map[string]*session{},
		rng:         rand.New(rand.NewPCG(config.Seed, 1)),
		startedAt:   time.Now(),
	}
	h.model = capacity.New(config.Spec, &config.Store.model, config.Seed, clock.Now(), config.StartsCold)
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, fmt.Errorf("host %s: %w", config.ID, err)
	}
	h.listener = listener
	h.addr = listener.Addr().String()
	h.accept(listener)
	h.wg.Go(h.loop)
	return h, nil
}

// Close stops the host and resets its connections.
func (h *Host) Close() {
	h.runInLoop(h.crash)
	select {
	case <-h.quit:
	default:
		close(h.quit)
	}
	h.wg.Wait()
}

// ID returns the host's ID in the endpoint list.
func (h *Host) ID() string { return h.config.ID }

// Addr returns the address at which the host listens.
func (h *Host) Addr() string { return h.addr }

// Endpoint returns the host's entry in the endpoint list. The entry has a start time if the last start was a slow
// start.
func (h *Host) Endpoint(phase wire.Phase) wire.Endpoint {
	endpoint := wire.Endpoint{ID: h.config.ID, Addr: h.addr, Zone: h.config.Zone, Phase: phase, Size: 1}
	h.runInLoop(func() {
		if h.config.StartsCold || h.restarted {
			endpoint.StartedAtMS = h.startedAt.UnixMilli()
		}
	})
	return endpoint
}

// HostState is a snapshot of a host's state.
type HostState struct {
	Established int     // established connections
	Setups      int     // connection setups in progress
	Connections int     // open TCP connections
	Capacity    float64 // in cores of speed 1
	Demand      float64 // in cores of speed 1
	Draining    bool
	Crashed     bool
	Hanging     bool
	Collapsed   bool // under overload
}

// State returns the current state.
func (h *Host) State() (state HostState) {
	h.runInLoop(func() {
		state.Established, state.Setups = h.model.Counts()
		state.Connections = len(h.connections)
		state.Capacity = h.model.Capacity()
		state.Demand = h.model.Demand()
		state.Draining = h.draining
		state.Crashed = h.crashed
		state.Hanging = h.hangEnd != nil
		state.Collapsed = h.model.Collapsed()
	})
	return state
}

// runInLoop runs a task in the loop and waits until it is done. After the host is closed, runInLoop does nothing.
func (h *Host) runInLoop(task func()) {
	done := make(chan struct{})
	posted := h.post(func() {
		task()
		close(done)
	})
	if !posted {
		return
	}
	select {
	case <-done:
	case <-h.quit:
	}
}

// post queues a task for the loop. It returns false if the host is closed.
func (h *Host) post(task func()) bool {
	select {
	case h.tasks <- task:
		return true
	case <-h.quit:
		return false
	}
}

// loop runs tasks, and advances the model before each task and whenever a change of the model is due, until the host is
// closed.
func (h *Host) loop() {
	timer := time.NewTimer(idleWait)
	defer timer.Stop()
	for {
		wait := idleWait
		if at, ok := h.model.Next(); ok && !h.crashed {
			wait = max(at-h.clock.Now(), 0)
		}
		timer.Reset(wait)
		select {
		case <-h.quit:
			return
		case task := <-h.tasks:
			h.advance()
			task()
		case <-timer.C:
			h.advance()
		}
	}
}

// advance moves the model to the current time and applies the model's events. It runs in the loop.
func (h *Host) advance() {
	if h.crashed {
		return
	}
	for _, event := range h.config.Store.advance(h.model, h.clock.Now()) {
		if event.Collapsed {
			h.recordFault(DetailCollapse)
			h.crash()
			return
		}
		h.applyModelEvent(event)
	}
	h.lineLatency.Store(int64(h.model.LineLatency()))
	h.utilization.Store(uint64(h.model.Utilization() * microUnits))
}

// applyModelEvent applies a model event to the session that it concerns.
func (h *Host) applyModelEvent(event capacity.Event) {
	s := h.sessions[event.ID]
	switch {
	case s == nil:
	case event.Established:
		h.establish(s, event.Load)
	case h.config.ReportsLoad && s.connection != nil:
		s.connection.sendReport(loadLine(event.Load))
	}
}

// record adds an event of a connection to the log.
func (h *Host) record(kind string, opening wire.Opening, detail string) {
	h.events.Add(Event{
		Source: h.config.ID,
		Kind:   kind,
		ID:     opening.ID,
		Key:    opening.Key,
		Class:  opening.Class,
		Tenant: opening.Tenant,
		Detail: detail,
	})
}

// recordFault adds the start or the end of a fault to the log.
func (h *Host) recordFault(detail string) { h.record(EventFault, wire.Opening{}, detail) }
