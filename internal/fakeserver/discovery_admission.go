package fakeserver

import (
	"net/http"
	"time"
)

// DiscoveryLimits is the capacity of a discovery service. The zero value serves any number of requests concurrently and
// without delay.
type DiscoveryLimits struct {
	RequestDuration time.Duration // time to serve a list request or to start a watch; requests are served one at a time
	MaxWait         time.Duration // a request that would wait longer is rejected after this time; 0 for no limit
	MaxQueue        int           // while this many requests wait, further ones are rejected at once; 0 for no limit
	RetryAfter      string        // Retry-After header of rejected requests, verbatim; "" for none
}

// SetLimits sets the capacity for requests that arrive from now on.
func (d *Discovery) SetLimits(limits DiscoveryLimits) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limits = limits
}

// admit waits until a request has been served and returns true, or rejects the request and returns false. A request
// whose client has disconnected also takes RequestDuration, because a service notices the disconnect only when it
// responds.
func (d *Discovery) admit(w http.ResponseWriter) bool {
	d.mu.Lock()
	limits, now := d.limits, d.clock.Now()
	if limits.RequestDuration <= 0 {
		d.mu.Unlock()
		return true
	}
	start := max(d.idleAt, now)
	queueFull := limits.MaxQueue > 0 && d.queued >= limits.MaxQueue
	tooLate := limits.MaxWait > 0 && start-now > limits.MaxWait
	if !queueFull && !tooLate {
		d.idleAt = start + limits.RequestDuration
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
	time.Sleep(start + limits.RequestDuration - now)
	return true
}

func (d *Discovery) leaveQueue() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queued--
}

// reject responds to a request with status 503.
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
