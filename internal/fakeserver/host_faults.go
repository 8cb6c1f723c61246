package fakeserver

import (
	"fmt"
	"net"
	"time"
)

// Hang stops all responses until Resume. While the host hangs, it accepts connections and the kernel receives their
// bytes.
func (h *Host) Hang() {
	h.runInLoop(func() {
		if h.hangEnd != nil {
			return
		}
		h.hangEnd = make(chan struct{})
		hangEnd := h.hangEnd
		h.hangGate.Store(&hangEnd)
		h.recordFault(DetailHang)
	})
}

// Resume ends a hang.
func (h *Host) Resume() { h.runInLoop(h.endHang) }

// endHang ends a hang if the host hangs. It runs in the loop.
func (h *Host) endHang() {
	if h.hangEnd == nil {
		return
	}
	close(h.hangEnd)
	h.hangEnd = nil
	h.hangGate.Store(nil)
	h.recordFault(DetailResume)
}

// SetSlowFactor multiplies the duration of all work by factor; 1 restores normal speed.
func (h *Host) SetSlowFactor(factor float64) {
	h.runInLoop(func() {
		h.model.SetSlowFactor(factor)
		h.recordFault(fmt.Sprintf("slow by %g", factor))
	})
}

// SetStolenFraction takes a fraction of the cores away from the host, like another program on the machine; 0 restores
// them.
func (h *Host) SetStolenFraction(fraction float64) {
	h.runInLoop(func() {
		h.model.SetStolenFraction(fraction)
		h.recordFault(fmt.Sprintf("%g of its cores stolen", fraction))
	})
}

// Drain rejects new connections and sends MOVE to the established connections. It sends the MOVE lines one at a time,
// evenly spread over the period, in a random order that depends on the seed. If the period is negative, the established
// connections stay. The discovery service is not notified.
func (h *Host) Drain(period time.Duration) {
	h.runInLoop(func() {
		if h.draining || h.crashed {
			return
		}
		h.draining = true
		h.recordFault(DetailDrain)
		if period >= 0 {
			h.migrateSessions(period)
		}
	})
}

// migrateSessions schedules the MOVE of all established sessions. It runs in the loop.
func (h *Host) migrateSessions(period time.Duration) {
	var established []*session
	for _, id := range h.model.IDs() {
		if s := h.sessions[id]; s != nil && s.established {
			established = append(established, s)
		}
	}
	h.rng.Shuffle(len(established), func(i, j int) {
		established[i], established[j] = established[j], established[i]
	})
	for i, s := range established {
		delay := period * time.Duration(i) / time.Duration(len(established))
		time.AfterFunc(delay, func() {
			h.post(func() { h.endSession(s, EventMigrated, "MOVE\r\n") })
		})
	}
}

// CancelDrain ends a drain: the host accepts new connections again. MOVE lines that are already scheduled are still
// sent.
func (h *Host) CancelDrain() {
	h.runInLoop(func() {
		h.draining = false
		h.recordFault(DetailCancelDrain)
	})
}

// Crash stops the host until Restart, like a killed process: its connections are reset, and new connections get
// "connection refused".
func (h *Host) Crash() {
	h.runInLoop(func() {
		if !h.crashed {
			h.recordFault(DetailCrash)
			h.crash()
		}
	})
}

// crash drops all state and connections. It runs in the loop.
func (h *Host) crash() {
	h.endHang()
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

// Restart starts a crashed host again at the same address, without connections and with a slow start if its spec has
// one.
func (h *Host) Restart() error {
	var err error
	h.runInLoop(func() {
		if h.crashed {
			err = h.restart()
		}
	})
	return err
}

// restart listens at the same address again and resets the state. If it fails, the host stays crashed. It runs in the
// loop.
func (h *Host) restart() error {
	listener, err := net.Listen("tcp", h.addr)
	if err != nil {
		return fmt.Errorf("host %s: %w", h.config.ID, err)
	}
	h.listener = listener
	h.crashed = false
	h.draining = false
	h.restarted = true
	h.startedAt = time.Now()
	h.model.Restart(h.clock.Now(), true)
	h.recordFault(DetailRestart)
	h.accept(h.listener)
	return nil
}

// SetResponse replaces the responses of the capacity model. For each opening line, the host sends the response that the
// function returns, which must end with CRLF. If the function returns "", the host sends nothing. A nil function
// restores the model. The function runs in the host's loop.
func (h *Host) SetResponse(response func(line string) string) {
	h.runInLoop(func() { h.scriptedResponse = response })
}
