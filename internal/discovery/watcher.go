// Package discovery follows the endpoint list of the discovery service: it fetches a snapshot, watches the changes
// after it, and passes both on to a node. The node decides when the next list request is sent.
package discovery

import (
	"context"
	"errors"
	"sync/atomic"

	"go.uber.org/zap"

	"onyxstream/internal/node"
	"onyxstream/internal/wire"
)

// Watcher sends the list requests that a node schedules, and notifies the node of lists, heartbeats and failures.
type Watcher struct {
	log           *zap.Logger
	node          *node.Node
	requests      chan node.ListRequest
	slowDiscovery atomic.Bool // the last snapshot timed out: the next one gets a longer timeout
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

// activeRequest is a list request in flight, with the watch that follows it.
type activeRequest struct {
	node.ListRequest
	cancel    context.CancelFunc
	ended     chan struct{}  // closed when the goroutine of the request has ended
	delivered atomic.Bool    // the node has received a list from this request
	previous  *activeRequest // stays active until delivered is set, so that no watch event is missed in between
}

// stop cancels a request and waits for its end, so that its events cannot arrive after those of the next request. It
// does nothing if the request is nil.
func (r *activeRequest) stop() {
	if r != nil {
		r.cancel()
		<-r.ended
	}
}

// Run sends the queued list requests until ctx ends. When a new request has delivered its first list, the previous
// request is stopped. Run notifies the node when a request ends, unless a newer request or the end of ctx stopped it.
func (w *Watcher) Run(ctx context.Context) error {
	var current *activeRequest
	for {
		select {
		case <-ctx.Done():
			if current != nil {
				current.stop()
				current.previous.stop()
			}
			return nil
		case request := <-w.requests:
			current = w.supersede(ctx, current, request)
		}
	}
}

// supersede starts a request. If the current request has delivered a list, it continues in parallel. Otherwise it is
// stopped, and the request before the current one continues.
func (w *Watcher) supersede(ctx context.Context, current *activeRequest, request node.ListRequest) *activeRequest {
	previous := current
	if current != nil && !current.delivered.Load() {
		current.stop()
		if !current.delivered.Load() {
			previous = current.previous
		}
	}
	w.log.Debug("list request started", zap.Int64("after_revision", request.AfterRevision))
	next := &activeRequest{
		ListRequest: request,
		ended:       make(chan struct{}),
		previous:    previous,
	}
	requestCtx, cancel := context.WithCancel(ctx)
	next.cancel = cancel
	go w.run(requestCtx, next)
	return next
}

// run is the goroutine of a request.
func (w *Watcher) run(ctx context.Context, request *activeRequest) {
	defer close(request.ended)
	err := w.follow(ctx, request)
	if ctx.Err() != nil {
		return
	}
	w.log.Info("endpoint list watch ended", zap.String("discovery", request.Addr), zap.Error(err))
	var rejected *wire.StatusError
	if errors.As(err, &rejected) {
		w.node.WatchFailed(request.Sequence, rejected.RetryAfter)
		return
	}
	w.node.WatchFailed(request.Sequence, 0)
}

// follow fetches a snapshot if the request asks for one, and watches the changes after its revision.
func (w *Watcher) follow(ctx context.Context, request *activeRequest) (err error) {
	defer func() {
		if panicked := recover(); panicked != nil {
			w.log.Error("endpoint list watch panicked", zap.Any("panic", panicked))
			err = errors.New("endpoint list watch panicked")
		}
	}()
	after := request.AfterRevision
	if after == node.NoRevision {
		list, err := w.fetchSnapshot(ctx, request.Addr)
		if err != nil {
			return err
		}
		after = list.Revision
		w.deliver(request, &list)
	}
	return w.watch(ctx, request, after)
}

// deliver notifies the node of a list. The first list of a request stops the previous request.
func (w *Watcher) deliver(request *activeRequest, list *wire.EndpointList) {
	if !request.delivered.Load() {
		request.previous.stop()
		request.previous = nil
		request.delivered.Store(true)
	}
	w.log.Debug("endpoint list received",
		zap.Int64("revision", list.Revision),
		zap.Int("endpoints", len(list.Endpoints)),
		zap.Bool("complete", list.Complete))
	w.node.ListReceived(request.Sequence, list)
}
