package balancer

import "time"

// maxConcurrentListRequests is how many calls at once the endpoint list serves before callers time out.
const maxConcurrentListRequests = 25

// pollingState is what a node knows of its calls to the endpoint list.
type pollingState struct {
	pending       bool // a call is under way
	watching      bool
	requestedAt   time.Duration
	nextRequestAt time.Duration
	backoff       time.Duration
}

// schedulePolling sets the time of the first poll.
func (b *Balancer) schedulePolling() {
	spread := min(b.requestSpread(b.settings.PollInterval/20), MaxRepollDelay*8/5)
	b.polling.nextRequestAt = b.now + b.jitter(spread)
}

// requestListIfDue polls the endpoint list where no watch is open and no call is pending within the poll interval.
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

// handleListFailure schedules the next poll: exponential backoff with jitter, within MaxRepollDelay.
func (b *Balancer) handleListFailure() {
	b.polling.backoff = min(max(2*b.polling.backoff, sweepInterval), b.settings.PollInterval/4, MaxRepollDelay/2)
	maxSpread := max(MaxRepollDelay, 2*MaxRepollDelay+b.polling.requestedAt-b.now) * 2 / 3
	spread := min(b.requestSpread(b.polling.backoff), maxSpread)
	b.polling.pending = false
	b.polling.watching = false
	b.polling.nextRequestAt = b.now + b.polling.backoff/2 + b.jitter(spread)
}

// handleListSuccess resets the backoff; a cached list is no open watch.
func (b *Balancer) handleListSuccess(kind ListKind) {
	b.polling.watching = kind != ListCached
	b.polling.pending = false
	b.polling.backoff = 0
}

// requestSpread is the span over which the nodes spread polls that would be made at once, at least the given one. The
// list works through calls that time out as well, so many nodes must not repeat theirs as soon.
func (b *Balancer) requestSpread(least time.Duration) time.Duration {
	crowding := min(1, float64(b.settings.NodeCount)/maxConcurrentListRequests/2-0.5)
	return max(least, time.Duration(float64(b.settings.PollInterval)/2*crowding))
}
