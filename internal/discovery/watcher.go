// Package discovery follows the endpoint list of the discovery service: it fetches a snapshot, watches the changes
// after it, and passes both on to a node. The node decides when the next list request is sent.
package discovery

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"onyxstream/internal/node"
	"onyxstream/internal/wire"
)

// Watcher sends the list requests that a node schedules, and notifies the node of lists, heartbeats and failures.
type Watcher struct {
	log           *zap.Logger
	node          *node.Node
	requests      chan node.ListRequest
	slowDiscovery atomic.Bool // the last snapshot was overdue: the next one gets a longer timeout
}

// NewWatcher returns a watcher. Attach must be called before Run.
func NewWatcher(log *zap.Logger) *Watcher {
	return &Watcher{
		log:      log,
		requests: make(chan node.ListRequest, 1),
	}
}

// Attach sets the node that the watcher notifies.
func (w *Watcher) Attach(n *node.Node) { w.node = n }

// Watch queues a list request, which replaces a queued one that Run has not started yet. It does not block, and may be
// called from any goroutine.
func (w *Watcher) Watch(request node.ListRequest) {
	for {
		select {
		case w.requests <- request:
			return
		default:
		}
		select {
		case <-w.requests:
		default:
		}
	}
}

// Run sends the queued list requests until ctx ends. When a new request has delivered its first list, the previous
// request is stopped. Run notifies the node when a request is overdue or ends, unless a newer request or the end of ctx
// stopped it.
func (w *Watcher) Run(ctx context.Context) error {
	var current *listRequest
	for {
		select {
		case <-ctx.Done():
			current.stop()
			return nil
		case request := <-w.requests:
			current = w.supersede(ctx, current, request)
		}
	}
}

// supersede starts a request. If the current request has delivered a list, it continues in parallel. If the current
// request asks for the same, it is repeated by a further attempt, and the attempts in flight keep their places in the
// queue of discovery. Otherwise the current request is stopped, and the request before it continues.
func (w *Watcher) supersede(ctx context.Context, current *listRequest, requested node.ListRequest) *listRequest {
	previous := current
	if current != nil {
		if current.repeats(requested) && current.repeat(requested.Sequence) {
			w.startAttempt(ctx, current)
			return current
		}
		if !current.hasDelivered() {
			current.stopAttempts()
		}
		if !current.hasDelivered() {
			previous = current.previous
		}
	}
	next := &listRequest{ListRequest: requested, previous: previous, maxWait: minOldestWait}
	w.startAttempt(ctx, next)
	return next
}

// startAttempt starts an attempt of a request, unless the latest one is not overdue yet.
func (w *Watcher) startAttempt(ctx context.Context, request *listRequest) {
	started, attemptCtx := request.addAttempt(ctx, time.Now())
	if started == nil {
		return
	}
	w.log.Debug("list request started", zap.Int64("after_revision", request.AfterRevision),
		zap.Int("in_flight", request.inFlight()))
	go w.run(attemptCtx, started)
}

// run is the goroutine of an attempt.
func (w *Watcher) run(ctx context.Context, current *attempt) {
	defer close(current.ended)
	err := w.follow(ctx, current)
	if ctx.Err() != nil {
		return
	}
	sequence, report := current.request.endAttempt(current)
	w.log.Info("endpoint list watch ended", zap.String("discovery", current.request.Addr), zap.Bool("reported", report),
		zap.Error(err))
	if !report {
		return
	}
	var rejected *wire.StatusError
	if errors.As(err, &rejected) {
		w.node.WatchFailed(sequence, rejected.RetryAfter)
		return
	}
	w.node.WatchFailed(sequence, 0)
}

// reportOverdue notifies the node that discovery has not responded in time, so that the node repeats the request.
func (w *Watcher) reportOverdue(current *attempt) {
	sequence, report := current.request.markOverdue(current)
	if !report {
		return
	}
	w.log.Info("list request overdue", zap.String("discovery", current.request.Addr),
		zap.Duration("age", time.Since(current.startedAt)))
	w.node.WatchFailed(sequence, 0)
}

// follow fetches a snapshot if the request asks for one, and watches the changes after its revision.
func (w *Watcher) follow(ctx context.Context, current *attempt) (err error) {
	defer func() {
		if panicked := recover(); panicked != nil {
			w.log.Error("endpoint list watch panicked", zap.Any("panic", panicked))
			err = errors.New("endpoint list watch panicked")
		}
	}()
	after := current.request.AfterRevision
	if after == node.NoRevision {
		list, err := w.fetchSnapshot(ctx, current)
		if err != nil {
			return err
		}
		after = list.Revision
		if err := w.deliver(current, &list); err != nil {
			return err
		}
	}
	return w.watch(ctx, current, after)
}

// deliver notifies the node of a list. The first list of a request stops the other attempts and the previous request.
// It returns errSuperseded if another attempt has delivered a list.
func (w *Watcher) deliver(current *attempt, list *wire.EndpointList) error {
	request := current.request
	sequence, ok := request.choose(current)
	if !ok {
		return errSuperseded
	}
	w.log.Debug("endpoint list received",
		zap.Int64("revision", list.Revision),
		zap.Int("endpoints", len(list.Endpoints)),
		zap.Bool("complete", list.Complete),
		zap.Duration("age", time.Since(current.startedAt)))
	w.node.ListReceived(sequence, list)
	return nil
}
