package fakeserver

import (
	"net/http"
	"time"
)

// DiscoveryLimits is the capacity of a discovery service. The zero value serves any number of calls at once.
type DiscoveryLimits struct {
	CallDuration time.Duration // to serve a list or the start of a watch; calls are served one by one
	MaxWait      time.Duration // a call that would wait longer is rejected after this; 0 for no limit
	MaxQueue     int           // calls past this number of waiting ones are rejected at once; 0 for no limit
	RetryAfter   string        // Retry-After header of rejected calls, verbatim; "" for none
}

// SetLimits sets the capacity for calls from now on.
func (d *Discovery) SetLimits(limits DiscoveryLimits) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limits = limits
}

// admit waits until a call is served, and reports whether it was; else it has been rejected. A call whose client has
// disconnected is served too, as a service notices that only when it answers.
func (d *Discovery) admit(w http.ResponseWriter) bool {
	d.mu.Lock()
	limits, now := d.limits, d.clock.Now()
	if limits.CallDuration <= 0 {
		d.mu.Unlock()
		return true
	}
	start := max(d.idleAt, now)
	queueFull := limits.MaxQueue > 0 && d.queued >= limits.MaxQueue
	tooLate := limits.MaxWait > 0 && start-now > limits.MaxWait
	if !queueFull && !tooLate {
		d.idleAt = start + limits.CallDuration
	}
	d.queued++
	d.mu.Unlock()
	defer d.leaveQueue()
	switch {
	case queueFull:
		d.reject(w, "the queue is full")
		return false
	case tooLate:
		time.Sleep(limits.MaxWait)
		d.reject(w, "it waited too long")
		return false
	}
	time.Sleep(start + limits.CallDuration - now)
	return true
}

func (d *Discovery) leaveQueue() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queued--
}

// reject answers a call with status 503.
func (d *Discovery) reject(w http.ResponseWriter, reason string) {
	d.mu.Lock()
	retryAfter := d.limits.RetryAfter
	d.mu.Unlock()
	if retryAfter != "" {
		w.Header().Set("Retry-After", retryAfter)
	}
	d.record(EventDiscoveryRejected, reason)
	http.Error(w, reason, http.StatusServiceUnavailable)
}
