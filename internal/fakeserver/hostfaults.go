package fakeserver

import (
	"fmt"
	"net"
	"time"

	"onyxstream/internal/wire"
)

// Hang has the host answer nothing, though its machine accepts and reads on, until Resume.
func (h *Host) Hang() {
	h.call(func() {
		if h.hangEnd == nil {
			h.hangEnd = make(chan struct{})
			gate := h.hangEnd
			h.hangGate.Store(&gate)
			h.record(EventFault, wire.Opening{}, "hangs")
		}
	})
}

// Resume ends a hang.
func (h *Host) Resume() { h.call(h.resume) }

func (h *Host) resume() {
	if h.hangEnd != nil {
		close(h.hangEnd)
		h.hangEnd = nil
		h.hangGate.Store(nil)
		h.record(EventFault, wire.Opening{}, "goes on")
	}
}

// SetSlowFactor makes its work take factor times as long; 1 ends it.
func (h *Host) SetSlowFactor(factor float64) {
	h.call(func() {
		h.model.SetSlowFactor(factor)
		h.record(EventFault, wire.Opening{}, fmt.Sprintf("slow by %g", factor))
	})
}

// SetStolenShare has another program take share of its cores; 0 ends it.
func (h *Host) SetStolenShare(share float64) {
	h.call(func() {
		h.model.SetStolenShare(share)
		h.record(EventFault, wire.Opening{}, fmt.Sprintf("%g of its cores stolen", share))
	})
}

// Drain has the host turn new connections away and send those it has away by MOVE, one by one in an order by its seed,
// spread over the time given; below 0 it keeps them. Discovery is not told.
func (h *Host) Drain(over time.Duration) {
	h.call(func() {
		if h.draining || h.crashed {
			return
		}
		h.draining = true
		h.record(EventFault, wire.Opening{}, "drains")
		if over < 0 {
			return
		}
		var all []*session
		for _, c := range h.model.IDs() {
			if s := h.sessions[c]; s != nil && s.established {
				all = append(all, s)
			}
		}
		h.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		for i, s := range all {
			time.AfterFunc(over*time.Duration(i)/time.Duration(len(all)), func() {
				h.post(func() { h.endSession(s, EventMigrated, "MOVE\r\n") })
			})
		}
	})
}

// CancelDrain ends a drain for those who come from now on.
func (h *Host) CancelDrain() {
	h.call(func() {
		h.draining = false
		h.record(EventFault, wire.Opening{}, "drains no more")
	})
}

// Crash ends the host as a killed process ends: its connections are reset, new ones refused, until Return.
func (h *Host) Crash() {
	h.call(func() {
		if !h.crashed {
			h.record(EventFault, wire.Opening{}, "dies")
			h.crash()
		}
	})
}

func (h *Host) crash() {
	h.resume()
	h.crashed = true
	_ = h.listener.Close()
	for c := range h.connections {
		c.reset()
	}
	for _, s := range h.sessions {
		if s.endTimer != nil {
			s.endTimer.Stop()
		}
	}
	h.sessions = map[string]*session{}
}

// Restart starts a dead host anew at its address, empty, and cold where its spec has a cold start.
func (h *Host) Restart() error {
	err := error(nil)
	h.call(func() {
		if !h.crashed {
			return
		}
		if h.listener, err = net.Listen("tcp", h.addr); err != nil {
			err = fmt.Errorf("host %s: %w", h.config.ID, err)
			return
		}
		h.crashed, h.draining, h.restarted, h.startedAt = false, false, true, time.Now()
		h.model.Restart(h.clock.Now(), true)
		h.record(EventFault, wire.Opening{}, "comes back")
		h.accept(h.listener)
	})
	return err
}

// SetReply has every connection answered with one reply, "" for nothing, in place of what the capacity model gives; nil
// ends that. Replies end with CRLF; the reply is made from the connection's first line.
func (h *Host) SetReply(answer func(line string) string) { h.call(func() { h.scriptedReply = answer }) }

// HostState is what a host is doing.
type HostState struct {
	Established, Setups, Connections      int     // connections that are up, set-ups under way, TCP connections
	Capacity, Demand                      float64 // in cores of speed 1
	Draining, Crashed, Hanging, Collapsed bool
}

// State tells what the host is doing now.
func (h *Host) State() (s HostState) {
	h.call(func() {
		s.Established, s.Setups = h.model.Counts()
		s.Connections, s.Capacity, s.Demand = len(h.connections), h.model.Capacity(), h.model.Demand()
		s.Draining, s.Crashed, s.Hanging, s.Collapsed = h.draining, h.crashed, h.hangEnd != nil, h.model.Collapsed()
	})
	return s
}
