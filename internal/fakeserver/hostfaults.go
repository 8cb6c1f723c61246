package fakeserver

import (
	"fmt"
	"net"
	"time"

	"onyxstream/internal/wire"
)

// Hang has the host answer nothing, though its machine accepts and reads on, until Resume.
func (h *Host) Hang() {
	h.ask(func() {
		if h.hung == nil {
			h.hung = make(chan struct{})
			gate := h.hung
			h.gate.Store(&gate)
			h.note(Fault, wire.Opening{}, "hangs")
		}
	})
}

// Resume ends a hang.
func (h *Host) Resume() { h.ask(h.resume) }

func (h *Host) resume() {
	if h.hung != nil {
		close(h.hung)
		h.hung = nil
		h.gate.Store(nil)
		h.note(Fault, wire.Opening{}, "goes on")
	}
}

// Slow makes its work take factor times as long; 1 ends it.
func (h *Host) Slow(factor float64) {
	h.ask(func() {
		h.model.Slow(factor)
		h.note(Fault, wire.Opening{}, fmt.Sprintf("slow by %g", factor))
	})
}

// Steal has another program take share of its cores; 0 ends it.
func (h *Host) Steal(share float64) {
	h.ask(func() {
		h.model.Steal(share)
		h.note(Fault, wire.Opening{}, fmt.Sprintf("%g of its cores stolen", share))
	})
}

// Drain has the host turn new connections away and send those it has away by MOVE, one by one in an order by its seed,
// spread over the time given; below 0 it keeps them. Discovery is not told.
func (h *Host) Drain(over time.Duration) {
	h.ask(func() {
		if h.draining || h.dead {
			return
		}
		h.draining = true
		h.note(Fault, wire.Opening{}, "drains")
		if over < 0 {
			return
		}
		var all []*session
		for _, c := range h.model.IDs() {
			if s := h.sessions[c]; s != nil && s.up {
				all = append(all, s)
			}
		}
		h.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		for i, s := range all {
			time.AfterFunc(over*time.Duration(i)/time.Duration(len(all)), func() {
				h.post(func() { h.finish(s, Moved, "MOVE\r\n") })
			})
		}
	})
}

// Undrain ends a drain for those who come from now on.
func (h *Host) Undrain() {
	h.ask(func() {
		h.draining = false
		h.note(Fault, wire.Opening{}, "drains no more")
	})
}

// Die ends the host as a killed process ends: its connections are reset, new ones refused, until Return.
func (h *Host) Die() {
	h.ask(func() {
		if !h.dead {
			h.note(Fault, wire.Opening{}, "dies")
			h.die()
		}
	})
}

func (h *Host) die() {
	h.resume()
	h.dead = true
	_ = h.l.Close()
	for c := range h.conns {
		c.breakOff()
	}
	for _, s := range h.sessions {
		if s.end != nil {
			s.end.Stop()
		}
	}
	h.sessions = map[string]*session{}
}

// Return starts a dead host anew at its address, empty, and cold where its spec has a cold start.
func (h *Host) Return() error {
	err := error(nil)
	h.ask(func() {
		if !h.dead {
			return
		}
		if h.l, err = net.Listen("tcp", h.addr); err != nil {
			err = fmt.Errorf("host %s: %w", h.cfg.ID, err)
			return
		}
		h.dead, h.draining, h.back, h.since = false, false, true, time.Now()
		h.model.Restart(h.clock.Now(), true)
		h.note(Fault, wire.Opening{}, "comes back")
		h.accept(h.l)
	})
	return err
}

// Says has every connection answered with one reply, "" for nothing, in place of what the capacity model gives; nil
// ends that. Replies end with CRLF; the reply is made from the connection's first line.
func (h *Host) Says(answer func(line string) string) { h.ask(func() { h.answer = answer }) }

// State is what a host is doing.
type State struct {
	Up, Setups, Conns          int     // connections that are up, set-ups under way, TCP connections
	Capacity, Demand           float64 // in cores of speed 1
	Draining, Dead, Hung, Fell bool
}

// State tells what the host is doing now.
func (h *Host) State() (s State) {
	h.ask(func() {
		s.Up, s.Setups = h.model.Open()
		s.Conns, s.Capacity, s.Demand = len(h.conns), h.model.Capacity(), h.model.Demand()
		s.Draining, s.Dead, s.Hung, s.Fell = h.draining, h.dead, h.hung != nil, h.model.Fallen()
	})
	return s
}
