package loadtest

import (
	"net"
	"sync/atomic"
	"time"
)

// held is a connection that is open, so that a wave or the end of the run can end it. No goroutine waits beside each:
// they are gone through when a wave comes.
type held struct {
	n    int64 // the request's number
	c    *net.TCPConn
	why  atomic.Int32 // what ended it from this side, plus one
	back atomic.Int64 // of one that dropped: how soon it comes again
	up   atomic.Bool
}

// shut ends a connection for a reason; the first one counts.
func (h *held) shut(why ending) {
	if h.why.CompareAndSwap(0, int32(why)+1) {
		_ = h.c.SetReadDeadline(time.Now())
	}
}

func (h *held) shutBy() (why ending, ok bool) {
	w := h.why.Load()
	return ending(w - 1), w != 0
}

// holdOn notes a connection; false once the run has ended.
func (e *engine) holdOn(h *held) bool {
	e.hmu.Lock()
	defer e.hmu.Unlock()
	if !e.ended.Load() {
		e.held[h] = struct{}{}
	}
	return !e.ended.Load()
}

func (e *engine) letGo(h *held) {
	e.hmu.Lock()
	defer e.hmu.Unlock()
	delete(e.held, h)
}

// drop is a wave: a share of those who stand drop in this instant.
func (e *engine) drop(wave int) {
	e.hmu.Lock()
	defer e.hmu.Unlock()
	for h := range e.held {
		if drops, back := e.s.Drops(wave, h.n); drops && h.up.Load() {
			h.back.Store(int64(back))
			h.shut(endDropped)
		}
	}
}

// end cuts all that is open.
func (e *engine) end() {
	e.hmu.Lock()
	defer e.hmu.Unlock()
	e.ended.Store(true)
	close(e.stop)
	e.cancelDials()
	for h := range e.held {
		h.shut(endCut)
	}
}
