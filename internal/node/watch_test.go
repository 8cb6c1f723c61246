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

// concurrentTransport records list requests; it may be used while the loop runs.
type concurrentTransport struct {
	fakeTransport
	mu       sync.Mutex
	requests []ListRequest
}

func (t *concurrentTransport) Watch(q ListRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests = append(t.requests, q)
}

func (t *concurrentTransport) last() (q ListRequest, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.requests[len(t.requests)-1], len(t.requests)
}

// The watch at the former discovery may bring an event after the request to the new one has failed. It must not count
// as the new one's watch, or nothing would be requested once it ends too.
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
				second, calls := transport.last()
				if second.Addr != "new:1" {
					t.Fatalf("requests %+v", second)
				}
				n.WatchFailed(second.Sequence, 0)
				late := changesOf(9, endpoint("s1", wire.Serving), endpoint("s2", wire.Serving))
				late.Complete = complete
				n.ListReceived(first.Sequence, late)
				n.WatchFailed(first.Sequence, 0)
				time.Sleep(3 * time.Second) // balancer.MaxRepollDelay and MaxRewatchDelay are shorter
				synctest.Wait()
				if third, now := transport.last(); now <= calls || third.Addr != "new:1" || third.AfterRevision != NoRevision {
					t.Errorf("polled %v, complete %v: after 3 s the last of %d requests is %+v, the failed one was the %dth",
						polled, complete, now, third, calls)
				}
			})
		}
	}
}
