package balancer

import "time"

// maxConcurrentListRequests is the number of concurrent list requests that discovery serves before some time out.
const maxConcurrentListRequests = 25

// pollingState is the state of a node's list requests.
type pollingState struct {
	pending       bool // a list request is in flight
	watching      bool // a watch is open
	requestedAt   time.Duration
	nextRequestAt time.Duration
	backoff       time.Duration
}

// schedulePolling sets the time of the first list request.
func (b *Balancer) schedulePolling() {
	spread := min(b.requestSpread(b.settings.PollInterval/20), MaxRepollDelay*8/5)
	b.polling.nextRequestAt = b.now + b.jitter(spread)
}

// requestListIfDue sends a list request if one is due, unless a watch is open or a request was sent within the poll
// interval and is still in flight.
func (b *Balancer) requestListIfDue() {
	if !b.settings.PollList || b.polling.watching || b.now < b.polling.nextRequestAt {
		return
	}
	if b.polling.pending && b.now <= b.polling.requestedAt+b.settings.PollInterval {
		return
	}
	b.polling.pending = true
	b.polling.requestedAt = b.now
	b.emit(WatchList{})
}

// handleListFailure schedules the next list request with exponential backoff and jitter, within MaxRepollDelay.
func (b *Balancer) handleListFailure() {
	b.polling.backoff = min(max(2*b.polling.backoff, sweepInterval), b.settings.PollInterval/4, MaxRepollDelay/2)
	maxSpread := max(MaxRepollDelay, 2*MaxRepollDelay+b.polling.requestedAt-b.now) * 2 / 3
	spread := min(b.requestSpread(b.polling.backoff), maxSpread)
	b.polling.pending = false
	b.polling.watching = false
	b.polling.nextRequestAt = b.now + b.polling.backoff/2 + b.jitter(spread)
}

// handleListSuccess resets the backoff. A watch is open unless the list came from a cache.
func (b *Balancer) handleListSuccess(kind ListKind) {
	b.polling.watching = kind != ListCached
	b.polling.pending = false
	b.polling.backoff = 0
}

// requestSpread returns the time span over which the nodes spread list requests that they would otherwise send at once;
// it is at least the given span. Discovery also processes requests that have timed out, so in a large fleet the nodes
// must repeat theirs later.
func (b *Balancer) requestSpread(least time.Duration) time.Duration {
	crowding := min(1, float64(b.settings.NodeCount)/maxConcurrentListRequests/2-0.5)
	return max(least, time.Duration(float64(b.settings.PollInterval)/2*crowding))
}
