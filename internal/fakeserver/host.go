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
	ID, Zone string
	Listen   string // address; "" for any free port of 127.0.0.1
	Spec     capacity.Spec
	Store    *SharedStore
	Seed     uint64
	Cold     bool          // it starts cold
	Loads    bool          // connections tell their load by LOAD lines
	Reports  bool          // STATS is answered with a report; else NO
	Park     time.Duration // how long a connection whose node broke it can be taken up again mid-flow; 0 for never
	Obeys    bool          // lines that begin with DO are commands to the connection, for tests
}

// SharedStore is a session store that several hosts call.
type SharedStore struct {
	mu sync.Mutex
	s  capacity.Store
}

// NewStore makes one store for several hosts.
func NewStore(s capacity.Store) *SharedStore { return &SharedStore{s: s} }

// Slow makes all calls take factor times as long; 1 ends it.
func (s *SharedStore) Slow(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.s.Slow = factor
}

// Host is a stand-in host. Its loop owns the capacity model and all connections' state; connections send it what
// happens and are told through a channel that the loop never waits for.
type Host struct {
	cfg    HostConfig
	clock  *Clock
	ledger *Ledger
	do     chan func()
	quit   chan struct{}
	wg     sync.WaitGroup
	line   atomic.Int64                  // what an answered line takes now, in ns
	excess atomic.Uint64                 // demand over capacity, in millionths
	gate   atomic.Pointer[chan struct{}] // set while it hangs
	addr   string

	// The loop's own.
	model    *capacity.Host
	conns    map[*hostConn]bool
	sessions map[string]*session
	rng      *rand.Rand
	serial   int
	draining bool
	dead     bool
	l        net.Listener
	hung     chan struct{} // closed when the host goes on; nil while it does not hang
	answer   func(line string) string
	since    time.Time // of the last start
	back     bool      // it has died and come back
}

// session is a connection that the host serves, or sets up; it outlives the TCP connection while it is parked.
type session struct {
	o       wire.Opening
	receipt string
	conn    *hostConn // nil while parked
	up      bool
	end     *time.Timer
}

// NewHost starts a host. Records go to the ledger; nil keeps none.
func NewHost(cfg HostConfig, clock *Clock, ledger *Ledger) (*Host, error) {
	if field, err := cfg.Spec.Check(); err != nil {
		return nil, fmt.Errorf("host %s: %s: %w", cfg.ID, field, err)
	}
	if cfg.Listen == "" {
		cfg.Listen = "127.0.0.1:0"
	}
	if cfg.Store == nil {
		cfg.Store = NewStore(capacity.Store{})
	}
	h := &Host{cfg: cfg, clock: clock, ledger: ledger, do: make(chan func(), 256), quit: make(chan struct{}),
		conns: map[*hostConn]bool{}, sessions: map[string]*session{}, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), since: time.Now()}
	h.model = capacity.New(cfg.Spec, &cfg.Store.s, cfg.Seed, clock.Now(), cfg.Cold)
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("host %s: %w", cfg.ID, err)
	}
	h.l, h.addr = l, l.Addr().String()
	h.accept(l)
	h.wg.Go(h.loop)
	return h, nil
}

// ID is its name in discovery.
func (h *Host) ID() string { return h.cfg.ID }

// Addr is where it listens.
func (h *Host) Addr() string { return h.addr }

// Member is its entry in the list.
func (h *Host) Member(phase wire.Phase) wire.Endpoint {
	m := wire.Endpoint{ID: h.cfg.ID, Addr: h.addr, Zone: h.cfg.Zone, Phase: phase, Size: 1}
	h.ask(func() {
		if h.cfg.Cold || h.back {
			m.StartedAtMS = h.since.UnixMilli()
		}
	})
	return m
}

// ask runs f in the loop and waits for it; once the host has ended it runs nothing.
func (h *Host) ask(f func()) {
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
	case h.do <- f:
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
		if at, ok := h.model.Next(); ok && !h.dead {
			wait = max(at-h.clock.Now(), 0)
		}
		timer.Reset(wait)
		select {
		case <-h.quit:
			return
		case f := <-h.do:
			h.advance()
			f()
		case <-timer.C:
			h.advance()
		}
	}
}

func (h *Host) advance() {
	if h.dead {
		return
	}
	h.cfg.Store.mu.Lock()
	events := h.model.Advance(h.clock.Now())
	h.cfg.Store.mu.Unlock()
	for _, e := range events {
		s := h.sessions[e.ID]
		switch {
		case e.Fallen:
			h.note(Fault, wire.Opening{}, "fell over")
			h.die()
			return
		case s == nil:
		case e.Up:
			h.bringUp(s, e.Load)
		case h.cfg.Loads && s.conn != nil:
			s.conn.mention(loadLine(e.Load))
		}
	}
	h.line.Store(int64(h.model.LineTime()))
	h.excess.Store(uint64(h.model.Excess() * 1e6))
}

func loadLine(load float64) string {
	return "LOAD " + strconv.FormatFloat(load*1e6, 'f', 0, 64) + "\r\n"
}

func (h *Host) note(what string, o wire.Opening, text string) {
	h.ledger.Add(Record{Who: h.cfg.ID, What: what, ID: o.ID, Key: o.Key, Class: o.Class, Tenant: o.Tenant, Note: text})
}

// bringUp tells a session's node that it is up.
func (h *Host) bringUp(s *session, load float64) {
	s.up = true
	h.serial++
	s.receipt = fmt.Sprintf("%s-%d", h.cfg.ID, h.serial)
	h.note(Up, s.o, s.receipt)
	if s.conn != nil {
		s.conn.tell("UP "+s.receipt+"\r\n", false)
		if h.cfg.Loads {
			s.conn.mention(loadLine(load))
		}
	}
	if life := lifeOf(s.o.Line()); life > 0 {
		s.end = time.AfterFunc(life, func() { h.post(func() { h.finish(s, Ended, "BYE\r\n") }) })
	}
}

// mostLife bounds what a client can ask a host to keep.
const mostLife = 30 * 24 * time.Hour

// lifeOf reads how long a connection is to stand, in milliseconds in the figure life: one of the further figures that
// a first line may have, and which nodes pass on. It is 0 where there is none.
func lifeOf(line string) time.Duration {
	_, list, _ := strings.Cut(line, "life=")
	value, _, _ := strings.Cut(list, ",")
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms <= 0 || ms > mostLife.Milliseconds() {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// begin is an OPEN whose last byte has come.
func (h *Host) begin(c *hostConn, o wire.Opening) {
	h.note(Opened, o, openNote(o))
	if h.dead {
		return
	}
	if h.answer != nil {
		if reply := h.answer(o.Line()); reply != "" {
			h.scripted(c, o, reply)
		}
		return
	}
	if o.MidFlow {
		s := h.sessions[o.ID]
		if s == nil || !s.up || s.conn != nil {
			h.note(Broken, o, "not held here")
			c.breakOff()
			return
		}
		s.conn, c.s = c, s
		h.note(Up, o, s.receipt)
		c.tell("UP "+s.receipt+"\r\n", false)
		return
	}
	if o.CurrentHost != "" && o.CurrentHost != h.cfg.ID {
		h.note(Failed, o, "stood at "+o.CurrentHost)
		c.tell("ERR\r\n", true)
		return
	}
	if h.draining || h.sessions[o.ID] != nil {
		h.note(Refused, o, "draining or held already")
		c.tell("BUSY\r\n", true)
		return
	}
	s := &session{o: o, conn: c}
	weight := 1.0
	if o.Load > 0 && h.cfg.Spec.Load > 0 {
		weight = o.Load / h.cfg.Spec.Load
	}
	if o.CurrentHost != "" {
		h.model.Stand(o.ID, o.Group, weight)
		h.sessions[o.ID], c.s = s, s
		h.bringUp(s, h.cfg.Spec.Load*weight)
		return
	}
	h.cfg.Store.mu.Lock()
	verdict := h.model.Begin(h.clock.Now(), o.ID, o.Group, weight)
	h.cfg.Store.mu.Unlock()
	switch verdict {
	case capacity.Taken:
		h.sessions[o.ID], c.s = s, s
	case capacity.Full:
		h.note(Refused, o, "full")
		c.tell("BUSY\r\n", true)
	}
}

// openNote keeps what else of the first line a judge needs.
func openNote(o wire.Opening) string {
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

func (h *Host) scripted(c *hostConn, o wire.Opening, reply string) {
	if wire.ParseResponse([]byte(reply[:len(reply)-2])) == wire.ResponseEstablished {
		s := &session{o: o, conn: c, up: true, receipt: reply[3 : len(reply)-2]}
		h.sessions[o.ID], c.s = s, s
		h.note(Up, o, s.receipt)
		c.tell(reply, false)
		return
	}
	c.tell(reply, true)
}

// finish ends a session from the host's side.
func (h *Host) finish(s *session, what, line string) {
	if h.sessions[s.o.ID] != s {
		return
	}
	if h.hung != nil { // a host that hangs ends nothing; it will when it goes on
		gate := h.hung
		go func() {
			<-gate
			h.post(func() { h.finish(s, what, line) })
		}()
		return
	}
	h.note(what, s.o, s.receipt)
	if s.conn != nil {
		s.conn.tell(line, true)
	}
	h.drop(s)
}

// drop forgets a session.
func (h *Host) drop(s *session) {
	if h.sessions[s.o.ID] != s {
		return
	}
	delete(h.sessions, s.o.ID)
	if s.end != nil {
		s.end.Stop()
	}
	h.model.End(s.o.ID)
}

// left is a connection that the other side has ended.
func (h *Host) left(c *hostConn, broken bool) {
	delete(h.conns, c)
	s := c.s
	if s == nil || s.conn != c {
		return
	}
	s.conn = nil
	if broken && s.up && h.cfg.Park > 0 {
		time.AfterFunc(h.cfg.Park, func() {
			h.post(func() {
				if s.conn == nil && h.sessions[s.o.ID] == s {
					h.note(Left, s.o, "parked and not taken up")
					h.drop(s)
				}
			})
		})
		return
	}
	if h.sessions[s.o.ID] == s {
		h.note(Left, s.o, s.receipt)
		h.drop(s)
	}
}

// Close ends the host and resets what it holds.
func (h *Host) Close() {
	h.ask(h.die)
	select {
	case <-h.quit:
	default:
		close(h.quit)
	}
	h.wg.Wait()
}
