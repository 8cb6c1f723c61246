package fakeserver

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"onyxstream/internal/fakeserver/capacity"
	"onyxstream/internal/wire"
)

// HostConfig says what a stand-in host is.
type HostConfig struct {
	ID, Zone          string
	Listen            string // address; "" for any free port of 127.0.0.1
	Spec              capacity.Spec
	Store             *SharedSessionStore
	Seed              uint64
	StartsCold        bool          // it starts cold
	ReportsLoad       bool          // connections tell their load by LOAD lines
	AnswersStats      bool          // STATS is answered with a report; else NO
	ResumeTimeout     time.Duration // how long a connection whose node broke it can be taken up again mid-flow; 0 for never
	ObeysTestCommands bool          // lines that begin with DO are commands to the connection, for tests
}

// SharedSessionStore is a session store that several hosts call.
type SharedSessionStore struct {
	mu    sync.Mutex
	model capacity.SessionStore
}

// NewSharedSessionStore makes one store for several hosts.
func NewSharedSessionStore(s capacity.SessionStore) *SharedSessionStore {
	return &SharedSessionStore{model: s}
}

// SetSlowFactor makes all calls take factor times as long; 1 ends it.
func (s *SharedSessionStore) SetSlowFactor(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.SlowFactor = factor
}

// Host is a stand-in host. Its loop owns the capacity model and all connections' state; connections send it what
// happens and are told through a channel that the loop never waits for.
type Host struct {
	config      HostConfig
	clock       *Clock
	events      *EventLog
	calls       chan func()
	quit        chan struct{}
	wg          sync.WaitGroup
	lineLatency atomic.Int64                  // what an answered line takes now, in ns
	utilization atomic.Uint64                 // demand over capacity, in millionths
	hangGate    atomic.Pointer[chan struct{}] // set while it hangs
	addr        string

	// The loop's own.
	model         *capacity.Host
	connections   map[*hostConnection]bool
	sessions      map[string]*session
	rng           *rand.Rand
	receipts      int
	draining      bool
	crashed       bool
	listener      net.Listener
	hangEnd       chan struct{} // closed when the host goes on; nil while it does not hang
	scriptedReply func(line string) string
	startedAt     time.Time // of the last start
	restarted     bool      // it has died and come back
}

// session is a connection that the host serves, or sets up; it outlives the TCP connection while it is parked.
type session struct {
	opening     wire.Opening
	receipt     string
	connection  *hostConnection // nil while parked
	established bool
	endTimer    *time.Timer
}

// NewHost starts a host. Records go to the ledger; nil keeps none.
func NewHost(cfg HostConfig, clock *Clock, ledger *EventLog) (*Host, error) {
	if field, err := cfg.Spec.Check(); err != nil {
		return nil, fmt.Errorf("host %s: %s: %w", cfg.ID, field, err)
	}
	if cfg.Listen == "" {
		cfg.Listen = "127.0.0.1:0"
	}
	if cfg.Store == nil {
		cfg.Store = NewSharedSessionStore(capacity.SessionStore{})
	}
	h := &Host{config: cfg, clock: clock, events: ledger, calls: make(chan func(), 256), quit: make(chan struct{}),
		connections: map[*hostConnection]bool{}, sessions: map[string]*session{}, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), startedAt: time.Now()}
	h.model = capacity.New(cfg.Spec, &cfg.Store.model, cfg.Seed, clock.Now(), cfg.StartsCold)
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("host %s: %w", cfg.ID, err)
	}
	h.listener, h.addr = l, l.Addr().String()
	h.accept(l)
	h.wg.Go(h.loop)
	return h, nil
}

// ID is its name in discovery.
func (h *Host) ID() string { return h.config.ID }

// Addr is where it listens.
func (h *Host) Addr() string { return h.addr }

// Endpoint is its entry in the list.
func (h *Host) Endpoint(phase wire.Phase) wire.Endpoint {
	m := wire.Endpoint{ID: h.config.ID, Addr: h.addr, Zone: h.config.Zone, Phase: phase, Size: 1}
	h.call(func() {
		if h.config.StartsCold || h.restarted {
			m.StartedAtMS = h.startedAt.UnixMilli()
		}
	})
	return m
}

// call runs f in the loop and waits for it; once the host has ended it runs nothing.
func (h *Host) call(f func()) {
	done := make(chan struct{})
	if h.post(func() { f(); close(done) }) {
		select {
		case <-done:
		case <-h.quit:
		}
	}
}

// post hands f to the loop.
func (h *Host) post(f func()) bool {
	select {
	case h.calls <- f:
		return true
	case <-h.quit:
		return false
	}
}

// loop owns the model, and moves it when something comes or is due.
func (h *Host) loop() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		wait := time.Hour
		if at, ok := h.model.Next(); ok && !h.crashed {
			wait = max(at-h.clock.Now(), 0)
		}
		timer.Reset(wait)
		select {
		case <-h.quit:
			return
		case f := <-h.calls:
			h.advance()
			f()
		case <-timer.C:
			h.advance()
		}
	}
}

func (h *Host) advance() {
	if h.crashed {
		return
	}
	h.config.Store.mu.Lock()
	events := h.model.Advance(h.clock.Now())
	h.config.Store.mu.Unlock()
	for _, e := range events {
		s := h.sessions[e.ID]
		switch {
		case e.Collapsed:
			h.record(EventFault, wire.Opening{}, "fell over")
			h.crash()
			return
		case s == nil:
		case e.Established:
			h.establish(s, e.Load)
		case h.config.ReportsLoad && s.connection != nil:
			s.connection.sendReport(loadLine(e.Load))
		}
	}
	h.lineLatency.Store(int64(h.model.LineLatency()))
	h.utilization.Store(uint64(h.model.Utilization() * 1e6))
}

func loadLine(load float64) string {
	return "LOAD " + strconv.FormatFloat(load*1e6, 'f', 0, 64) + "\r\n"
}

func (h *Host) record(what string, o wire.Opening, text string) {
	h.events.Add(Event{Source: h.config.ID, Kind: what, ID: o.ID, Key: o.Key, Class: o.Class, Tenant: o.Tenant, Detail: text})
}

// establish tells a session's node that it is up.
func (h *Host) establish(s *session, load float64) {
	s.established = true
	h.receipts++
	s.receipt = fmt.Sprintf("%s-%d", h.config.ID, h.receipts)
	h.record(EventEstablished, s.opening, s.receipt)
	if s.connection != nil {
		s.connection.send("UP "+s.receipt+"\r\n", false)
		if h.config.ReportsLoad {
			s.connection.sendReport(loadLine(load))
		}
	}
	if life := connectionDuration(s.opening.Line()); life > 0 {
		s.endTimer = time.AfterFunc(life, func() { h.post(func() { h.endSession(s, EventEnded, "BYE\r\n") }) })
	}
}

// maxConnectionDuration bounds what a client can ask a host to keep.
const maxConnectionDuration = 30 * 24 * time.Hour

// connectionDuration reads how long a connection is to stand, in milliseconds in the figure life: one of the further figures that
// a first line may have, and which nodes pass on. It is 0 where there is none.
func connectionDuration(line string) time.Duration {
	_, list, _ := strings.Cut(line, "life=")
	value, _, _ := strings.Cut(list, ",")
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms <= 0 || ms > maxConnectionDuration.Milliseconds() {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// open is an OPEN whose last byte has come.
func (h *Host) open(c *hostConnection, o wire.Opening) {
	h.record(EventOpened, o, openingDetail(o))
	if h.crashed {
		return
	}
	if h.scriptedReply != nil {
		if reply := h.scriptedReply(o.Line()); reply != "" {
			h.replyScripted(c, o, reply)
		}
		return
	}
	if o.MidFlow {
		s := h.sessions[o.ID]
		if s == nil || !s.established || s.connection != nil {
			h.record(EventReset, o, "not held here")
			c.reset()
			return
		}
		s.connection, c.session = c, s
		h.record(EventEstablished, o, s.receipt)
		c.send("UP "+s.receipt+"\r\n", false)
		return
	}
	if o.CurrentHost != "" && o.CurrentHost != h.config.ID {
		h.record(EventFailed, o, "stood at "+o.CurrentHost)
		c.send("ERR\r\n", true)
		return
	}
	if h.draining || h.sessions[o.ID] != nil {
		h.record(EventRejected, o, "draining or held already")
		c.send("BUSY\r\n", true)
		return
	}
	s := &session{opening: o, connection: c}
	weight := 1.0
	if o.Load > 0 && h.config.Spec.ConnectionLoad > 0 {
		weight = o.Load / h.config.Spec.ConnectionLoad
	}
	if o.CurrentHost != "" {
		h.model.AddEstablished(o.ID, o.Group, weight)
		h.sessions[o.ID], c.session = s, s
		h.establish(s, h.config.Spec.ConnectionLoad*weight)
		return
	}
	h.config.Store.mu.Lock()
	verdict := h.model.BeginSetup(h.clock.Now(), o.ID, o.Group, weight)
	h.config.Store.mu.Unlock()
	switch verdict {
	case capacity.Admitted:
		h.sessions[o.ID], c.session = s, s
	case capacity.Rejected:
		h.record(EventRejected, o, "full")
		c.send("BUSY\r\n", true)
	}
}

// openingDetail keeps what else of the first line a judge needs.
func openingDetail(o wire.Opening) string {
	note := ""
	for _, f := range []struct {
		set  bool
		text string
	}{{o.Retry, "r"}, {o.Reconnect, "again"}, {o.MidFlow, "mid"}, {o.CurrentHost != "", "at"}} {
		if f.set {
			note += f.text + " "
		}
	}
	return note + "d=" + strconv.FormatInt(o.Timeout.Milliseconds(), 10)
}

func (h *Host) replyScripted(c *hostConnection, o wire.Opening, reply string) {
	if wire.ParseResponse([]byte(reply[:len(reply)-2])) == wire.ResponseEstablished {
		s := &session{opening: o, connection: c, established: true, receipt: reply[3 : len(reply)-2]}
		h.sessions[o.ID], c.session = s, s
		h.record(EventEstablished, o, s.receipt)
		c.send(reply, false)
		return
	}
	c.send(reply, true)
}

// endSession ends a session from the host's side.
func (h *Host) endSession(s *session, what, line string) {
	if h.sessions[s.opening.ID] != s {
		return
	}
	if h.hangEnd != nil { // a host that hangs ends nothing; it will when it goes on
		gate := h.hangEnd
		go func() {
			<-gate
			h.post(func() { h.endSession(s, what, line) })
		}()
		return
	}
	h.record(what, s.opening, s.receipt)
	if s.connection != nil {
		s.connection.send(line, true)
	}
	h.removeSession(s)
}

// removeSession forgets a session.
func (h *Host) removeSession(s *session) {
	if h.sessions[s.opening.ID] != s {
		return
	}
	delete(h.sessions, s.opening.ID)
	if s.endTimer != nil {
		s.endTimer.Stop()
	}
	h.model.Remove(s.opening.ID)
}

// disconnected is a connection that the other side has ended.
func (h *Host) disconnected(c *hostConnection, broken bool) {
	delete(h.connections, c)
	s := c.session
	if s == nil || s.connection != c {
		return
	}
	s.connection = nil
	if broken && s.established && h.config.ResumeTimeout > 0 {
		time.AfterFunc(h.config.ResumeTimeout, func() {
			h.post(func() {
				if s.connection == nil && h.sessions[s.opening.ID] == s {
					h.record(EventDisconnected, s.opening, "parked and not taken up")
					h.removeSession(s)
				}
			})
		})
		return
	}
	if h.sessions[s.opening.ID] == s {
		h.record(EventDisconnected, s.opening, s.receipt)
		h.removeSession(s)
	}
}

// Close ends the host and resets what it holds.
func (h *Host) Close() {
	h.call(h.crash)
	select {
	case <-h.quit:
	default:
		close(h.quit)
	}
	h.wg.Wait()
}
