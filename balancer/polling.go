package balancer

import "time"

// concurrentPolls is how many calls at once the endpoint list serves before callers time out.
const concurrentPolls = 25

// pollingState is what a node knows of its calls to the endpoint list.
type pollingState struct {
	pending    bool // a call is under way
	watching   bool
	polledAt   time.Duration
	nextPollAt time.Duration
	backoff    time.Duration
}

// schedulePolling sets the time of the first poll.
func (b *Balancer) schedulePolling() {
	spread := min(b.pollSpread(b.settings.PollInterval/20), MaxRepollDelay*8/5)
	b.polling.nextPollAt = b.now + b.jitter(spread)
}

// pollIfDue polls the endpoint list where no watch is open and no call is pending within the poll interval.
func (b *Balancer) pollIfDue() {
	if !b.settings.PollList || b.polling.watching || b.now < b.polling.nextPollAt {
		return
	}
	if b.polling.pending && b.now <= b.polling.polledAt+b.settings.PollInterval {
		return
	}
	b.polling.pending = true
	b.polling.polledAt = b.now
	b.emit(WatchList{})
}

// handlePollFailure schedules the next poll: exponential backoff with jitter, within MaxRepollDelay.
func (b *Balancer) handlePollFailure() {
	b.polling.backoff = min(max(2*b.polling.backoff, sweepInterval), b.settings.PollInterval/4, MaxRepollDelay/2)
	maxSpread := max(MaxRepollDelay, 2*MaxRepollDelay+b.polling.polledAt-b.now) * 2 / 3
	spread := min(b.pollSpread(b.polling.backoff), maxSpread)
	b.polling.pending = false
	b.polling.watching = false
	b.polling.nextPollAt = b.now + b.polling.backoff/2 + b.jitter(spread)
}

// handlePollSuccess resets the backoff; a cached list is no open watch.
func (b *Balancer) handlePollSuccess(kind ListKind) {
	b.polling.watching = kind != ListCached
	b.polling.pending = false
	b.polling.backoff = 0
}

// pollSpread is the span over which the nodes spread polls that would be made at once, at least the given one. The
// list works through calls that time out as well, so many nodes must not repeat theirs as soon.
func (b *Balancer) pollSpread(least time.Duration) time.Duration {
	crowding := min(1, float64(b.settings.NodeCount)/concurrentPolls/2-0.5)
	return max(least, time.Duration(float64(b.settings.PollInterval)/2*crowding))
}
