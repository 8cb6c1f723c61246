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

// concurrentTransport notes the calls to discovery of a loop that runs.
type concurrentTransport struct {
	fakeTransport
	mu    sync.Mutex
	calls []ListRequest
}

func (a *concurrentTransport) Watch(q ListRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls = append(a.calls, q)
}

func (a *concurrentTransport) last() (q ListRequest, n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls[len(a.calls)-1], len(a.calls)
}

// A watch that goes on at the discovery that was left may bring news after the call to the new one was refused. It is not
// that one's watch: when it ended too, nobody asked any more, and all that came to the list from then on was not heard of.
func TestWatchEvent_OfSupersededWatch_NewWatchStillRetried(t *testing.T) {
	for _, ask := range []bool{true, false} {
		for _, complete := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				set := testSettings()
				set.PollList = ask
				a := &concurrentTransport{}
				known := wire.EndpointList{Revision: 7, Complete: true, Endpoints: []wire.Endpoint{endpoint("s1", wire.Serving)}}
				n := New(set, known, "old:1", a, zap.NewNop())
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go func() { _ = n.Run(ctx) }()
				time.Sleep(7 * time.Second)
				first, _ := a.last()
				n.ListReceived(first.Sequence, &wire.EndpointList{Revision: 8, Endpoints: []wire.Endpoint{endpoint("s2", wire.Serving)}})
				n.SetDiscoveryAddr("new:1")
				synctest.Wait()
				second, calls := a.last()
				if second.Addr != "new:1" {
					t.Fatalf("asks %+v", second)
				}
				n.WatchFailed(second.Sequence, 0)
				n.ListReceived(first.Sequence, &wire.EndpointList{Revision: 9, Complete: complete, Endpoints: []wire.Endpoint{endpoint("s1", wire.Serving), endpoint("s2", wire.Serving)}})
				n.WatchFailed(first.Sequence, 0)
				time.Sleep(3 * time.Second) // balancer.MaxRepollDelay and MaxRewatchDelay are shorter
				synctest.Wait()
				if third, now := a.last(); now <= calls || third.Addr != "new:1" || third.AfterRevision != NoRevision {
					t.Errorf("asked for %v, complete %v: after 3 s the last of %d calls is %+v, the one refused was the %dth", ask, complete, now, third, calls)
				}
			})
		}
	}
}
