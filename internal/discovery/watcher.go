// Package discovery follows the endpoint list of the discovery service: it fetches a full snapshot, watches the changes
// behind it, and passes both on to a node, which decides when the next call is made.
package discovery

import (
	"context"
	"errors"
	"sync/atomic"

	"go.uber.org/zap"

	"onyxstream/internal/node"
	"onyxstream/internal/wire"
)

// Watcher makes the calls that a node asks for and notifies it of what they bring.
type Watcher struct {
	log         *zap.Logger
	node        *node.Node
	requests    chan node.ListRequest
	slowService atomic.Bool // the last snapshot timed out: the next one waits for longer
}

// NewWatcher returns a watcher. Attach must follow before Run.
func NewWatcher(log *zap.Logger) *Watcher {
	return &Watcher{
		log:      log,
		requests: make(chan node.ListRequest, 1),
	}
}

// Attach sets the node that is notified.
func (w *Watcher) Attach(n *node.Node) { w.node = n }

// Watch requests a call. It does not block, and may be called by any goroutine: a request that has not been taken up
// yet is superseded.
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

// call is a call in flight.
type call struct {
	node.ListRequest
	cancel    context.CancelFunc
	ended     chan struct{} // closed when its goroutine has ended
	delivered atomic.Bool   // the node has had a list of it
	previous  *call         // goes on until then, so that no watch event is missed between the two
}

// stop cancels a call and waits for its end, so that its events cannot arrive behind those of the next one.
func (c *call) stop() {
	if c != nil {
		c.cancel()
		<-c.ended
	}
}

// Run makes the calls that are requested until ctx ends. A new call stops the previous one once it has delivered its
// first list. The node is notified of the end of a call unless a newer call or ctx caused it.
func (w *Watcher) Run(ctx context.Context) error {
	var current *call
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

// supersede starts a call. The current one goes on beside it if it has delivered a list; otherwise it is stopped, and
// the one before it goes on.
func (w *Watcher) supersede(ctx context.Context, current *call, request node.ListRequest) *call {
	previous := current
	if current != nil && !current.delivered.Load() {
		current.stop()
		if !current.delivered.Load() {
			previous = current.previous
		}
	}
	w.log.Debug("discovery call started", zap.Int64("after_revision", request.AfterRevision))
	next := &call{
		ListRequest: request,
		ended:       make(chan struct{}),
		previous:    previous,
	}
	callCtx, cancel := context.WithCancel(ctx)
	next.cancel = cancel
	go w.run(callCtx, next)
	return next
}

// run is the goroutine of a call.
func (w *Watcher) run(ctx context.Context, c *call) {
	defer close(c.ended)
	err := w.follow(ctx, c)
	if ctx.Err() != nil {
		return
	}
	w.log.Info("endpoint list watch ended", zap.String("discovery", c.Addr), zap.Error(err))
	var rejected *wire.StatusError
	if errors.As(err, &rejected) {
		w.node.WatchFailed(c.Sequence, rejected.RetryAfter)
		return
	}
	w.node.WatchFailed(c.Sequence, 0)
}

// follow fetches a snapshot if the node has none, and watches the changes behind it.
func (w *Watcher) follow(ctx context.Context, c *call) (err error) {
	defer func() {
		if panicked := recover(); panicked != nil {
			w.log.Error("endpoint list watch panicked", zap.Any("panic", panicked))
			err = errors.New("endpoint list watch panicked")
		}
	}()
	after := c.AfterRevision
	if after == node.NoRevision {
		list, err := w.fetchSnapshot(ctx, c.Addr)
		if err != nil {
			return err
		}
		after = list.Revision
		w.deliver(c, &list)
	}
	return w.watch(ctx, c, after)
}

// deliver notifies the node of a list. The first one of a call stops the previous call.
func (w *Watcher) deliver(c *call, list *wire.EndpointList) {
	if !c.delivered.Load() {
		c.previous.stop()
		c.previous = nil
		c.delivered.Store(true)
	}
	w.log.Debug("endpoint list received",
		zap.Int64("revision", list.Revision),
		zap.Int("endpoints", len(list.Endpoints)),
		zap.Bool("complete", list.Complete))
	w.node.ListReceived(c.Sequence, list)
}
