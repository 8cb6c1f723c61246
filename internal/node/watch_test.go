package node

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"onyxstream/internal/wire"
)

// concurrentTransport is a Transport that records list requests. It may be used while the event loop runs.
type concurrentTransport struct {
	fakeTransport
	mu       sync.Mutex
	requests []ListRequest
}

func (t *concurrentTransport) Watch(request ListRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests = append(t.requests, request)
}

func (t *concurrentTransport) last() (request ListRequest, count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.requests[len(t.requests)-1], len(t.requests)
}

// An event of the superseded watch may arrive after the list request to the new address has failed. It must not count
// as an event of the new watch, or the node would send no more list requests after the superseded watch has ended as
// well.
func TestWatchEvent_OfSupersededWatch_NewWatchStillRetried(t *testing.T) {
	for _, polled := range []bool{true, false} {
		for _, complete := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				set := testSettings()
				set.PollList = polled
				transport := &concurrentTransport{}
				known := *snapshotOf(7, endpoint("s1", wire.Serving))
				n := New(set, known, "old:1", transport, zap.NewNop())
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go func() { _ = n.Run(ctx) }()
				time.Sleep(7 * time.Second)
				first, _ := transport.last()
				n.ListReceived(first.Sequence, changesOf(8, endpoint("s2", wire.Serving)))
				n.SetDiscoveryAddr("new:1")
				synctest.Wait()
				second, requests := transport.last()
				if second.Addr != "new:1" {
					t.Fatalf("last list request %+v, want one to new:1", second)
				}
				n.WatchFailed(second.Sequence, 0)
				late := changesOf(9, endpoint("s1", wire.Serving), endpoint("s2", wire.Serving))
				late.Complete = complete
				n.ListReceived(first.Sequence, late)
				n.WatchFailed(first.Sequence, 0)
				time.Sleep(3 * time.Second) // balancer.MaxRepollDelay and MaxRewatchDelay are shorter
				synctest.Wait()
				if third, now := transport.last(); now <= requests || third.Addr != "new:1" || third.AfterRevision != NoRevision {
					t.Errorf("polled %v, complete %v: after 3 s the last of %d list requests is %+v, want a snapshot after request %d",
						polled, complete, now, third, requests)
				}
			})
		}
	}
}
