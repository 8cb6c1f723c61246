package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/coldstart"
	"onyxstream/internal/settings"
	"onyxstream/internal/wire"
)

// firstRequestTimes is a Transport that records the time of each node's first list request.
type firstRequestTimes struct {
	mu        *sync.Mutex
	at        *[]time.Duration
	startedAt time.Time
}

func (c firstRequestTimes) Watch(request ListRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if request.Sequence == 1 {
		*c.at = append(*c.at, time.Since(c.startedAt))
	}
}

func (firstRequestTimes) Ping(balancer.ServerID, string) bool { return true }

// Nodes that start at the same time would send their first list requests in bursts if these waited for the next tick.
// They must be spread over an interval instead.
func TestColdStart_NodesStartTogether_ListRequestsSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes = 40
		var mu sync.Mutex
		var firstRequests []time.Duration
		var ended sync.WaitGroup
		ctx, cancel := context.WithCancel(t.Context())
		transport := firstRequestTimes{&mu, &firstRequests, time.Now()}
		for i := range nodes {
			set := settings.Settings{Settings: balancer.Settings{
				PollList:     true,
				PollInterval: 3 * time.Second,
				NodeCount:    nodes,
				NodeIndex:    i,
			}}
			n := New(set, wire.EndpointList{}, "disco", transport, zap.NewNop())
			cfg := coldstart.Config{NodeCount: nodes, Index: i, PollInterval: set.PollInterval, DiscoveryName: "s"}
			rng := rand.New(rand.NewPCG(7, uint64(i)))
			n.EnableColdStart(coldstart.New(cfg, rng, n.now(), coldstart.NoSource, coldstart.Offer{}), "s")
			ended.Go(func() { _ = n.Run(ctx) })
		}
		time.Sleep(3 * time.Second)
		cancel()
		ended.Wait()
		if len(firstRequests) != nodes {
			t.Fatalf("%d of %d nodes have sent a list request", len(firstRequests), nodes)
		}
		slices.Sort(firstRequests)
		const burstWindow, maxBurst = 5 * time.Millisecond, 6
		for i := range firstRequests {
			if i >= maxBurst && firstRequests[i]-firstRequests[i-maxBurst] < burstWindow {
				t.Fatalf("more than %d of %d nodes send a list request within %v: %v", maxBurst, nodes, burstWindow, firstRequests)
			}
		}
	})
}
