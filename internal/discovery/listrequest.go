package discovery

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"onyxstream/internal/node"
)

const (
	// maxAttempts is the largest number of attempts of one list request in flight. The node repeats a request at most
	// every listRequestTimeout, so each attempt has notifyWithin for its response.
	maxAttempts = 3
	// minOldestWait is how long the oldest attempt is kept at least. Each time that it is given up, the next one is
	// kept for twice as long, so that a request is answered however long the queue of discovery is.
	minOldestWait = 30 * time.Second
)

var errSuperseded = errors.New("another attempt has delivered the list")

// listRequest is a list request in flight, with the watch that follows it. An attempt that is overdue may wait in the
// queue of discovery, or may be lost. Therefore the request is repeated by a further attempt and the earlier ones stay
// in flight. The first attempt that delivers a list is kept, and the others are stopped.
type listRequest struct {
	node.ListRequest              // as first requested; the sequence number is that of the last repetition
	previous         *listRequest // stays active until a list is delivered, so that no watch event is missed in between

	mu       sync.Mutex // guards the fields below, the sequence number, and overdue of the attempts
	attempts []*attempt // in flight, in the order of their starts
	chosen   *attempt   // has delivered a list
	maxWait  time.Duration
}

// attempt is one connection to discovery that carries a list request.
type attempt struct {
	request   *listRequest
	cancel    context.CancelFunc
	ended     chan struct{} // closed when the goroutine of the attempt has ended
	startedAt time.Time
	overdue   bool // the node was notified that the attempt is overdue, and has received no list from it since
}

// stop cancels an attempt and waits for its end, so that its events cannot arrive after those of the next request.
func (a *attempt) stop() {
	a.cancel()
	<-a.ended
}

// hasDelivered reports whether this attempt has delivered a list.
func (a *attempt) hasDelivered() bool {
	a.request.mu.Lock()
	defer a.request.mu.Unlock()
	return a.request.chosen == a
}

// stop stops all attempts of a request and of the previous one. It does nothing if the request is nil.
func (r *listRequest) stop() {
	if r == nil {
		return
	}
	r.stopAttempts()
	r.previous.stop()
}

func (r *listRequest) stopAttempts() {
	r.mu.Lock()
	attempts := slices.Clone(r.attempts)
	r.mu.Unlock()
	for _, a := range attempts {
		a.stop()
	}
}

// repeats reports whether a response to this request also answers requested.
func (r *listRequest) repeats(requested node.ListRequest) bool {
	return r.Addr == requested.Addr && r.AfterRevision == requested.AfterRevision
}

func (r *listRequest) hasDelivered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.chosen != nil
}

func (r *listRequest) latestSequence() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Sequence
}

func (r *listRequest) inFlight() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.attempts)
}

// repeat takes over the sequence number of a repetition. It reports false if an attempt has delivered a list: then the
// node has received that list as the response to an earlier request, and needs another response.
func (r *listRequest) repeat(sequence uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.chosen != nil {
		return false
	}
	r.Sequence = sequence
	return true
}

// addAttempt adds an attempt with a context of its own. It returns nil if the latest attempt is not overdue yet, or if
// an attempt has just delivered a list.
func (r *listRequest) addAttempt(ctx context.Context, now time.Time) (*attempt, context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.chosen != nil || len(r.attempts) > 0 && !r.attempts[len(r.attempts)-1].overdue {
		return nil, nil
	}
	r.giveUpSurplus(now)
	attemptCtx, cancel := context.WithCancel(ctx)
	added := &attempt{request: r, cancel: cancel, ended: make(chan struct{}), startedAt: now}
	r.attempts = append(r.attempts, added)
	return added, attemptCtx
}

// giveUpSurplus gives up an attempt if there are maxAttempts. The oldest has waited longest and is the first to get a slow
// response, so it is kept for maxWait. The caller holds mu.
func (r *listRequest) giveUpSurplus(now time.Time) {
	if len(r.attempts) < maxAttempts {
		return
	}
	surplus := 1
	if now.Sub(r.attempts[0].startedAt) > r.maxWait {
		surplus = 0
		r.maxWait *= 2
	}
	r.attempts[surplus].cancel()
	r.attempts = slices.Delete(r.attempts, surplus, surplus+1)
}

// markOverdue records that an attempt is overdue. It returns the sequence number for the node, and whether to notify
// the node: not while a later attempt is in flight.
func (r *listRequest) markOverdue(a *attempt) (sequence uint64, report bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.overdue = true
	return r.Sequence, r.isLatest(a)
}

// endAttempt removes an attempt that has failed, or whose watch has ended. It returns the sequence number for the node,
// and whether to notify the node: not if the attempt was overdue, because the node has already been notified.
func (r *listRequest) endAttempt(a *attempt) (sequence uint64, report bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	report = r.isLatest(a) && !a.overdue
	r.attempts = slices.DeleteFunc(r.attempts, func(other *attempt) bool { return other == a })
	return r.Sequence, report
}

// isLatest reports whether the request has no later attempt. The caller holds mu.
func (r *listRequest) isLatest(a *attempt) bool {
	return len(r.attempts) > 0 && r.attempts[len(r.attempts)-1] == a
}

// choose records that an attempt is about to deliver a list, and returns the sequence number for the node. The first
// one stops the other attempts and the previous request. ok is false if another attempt has delivered a list.
func (r *listRequest) choose(a *attempt) (sequence uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.chosen == nil && slices.Contains(r.attempts, a) {
		r.chosen = a
		for _, other := range r.attempts {
			if other != a {
				other.cancel()
			}
		}
		r.attempts = []*attempt{a}
		r.previous.stop()
		r.previous = nil
	}
	a.overdue = false
	return r.Sequence, r.chosen == a
}
