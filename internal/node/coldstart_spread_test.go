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

// firstRequestTimes is a Transport that records when discovery is first called.
type firstRequestTimes struct {
	mu    *sync.Mutex
	at    *[]time.Duration
	begun time.Time
}

func (c firstRequestTimes) Watch(call ListRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if call.Sequence == 1 {
		*c.at = append(*c.at, time.Since(c.begun))
	}
}

func (firstRequestTimes) Ping(balancer.ServerID, string) bool { return true }

// Nodes that start in the same instant call the list service spread over an interval, and not in bursts at their ticks.
func TestColdStart_NodesStartTogether_CallsSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes = 40
		var mu sync.Mutex
		var firstCalls []time.Duration
		var ended sync.WaitGroup
		ctx, cancel := context.WithCancel(t.Context())
		transport := firstRequestTimes{&mu, &firstCalls, time.Now()}
		for i := range nodes {
			set := settings.Settings{Settings: balancer.Settings{
				PollList:     true,
				PollInterval: 3 * time.Second,
				NodeCount:    nodes,
				NodeIndex:    i,
			}}
			n := New(set, wire.EndpointList{}, "disco", transport, zap.NewNop())
			cfg := coldstart.Config{NodeCount: nodes, Index: i, PollInterval: set.PollInterval, Service: "s"}
			rng := rand.New(rand.NewPCG(7, uint64(i)))
			n.EnableColdStart(coldstart.New(cfg, rng, n.now(), coldstart.NoSource, coldstart.Offer{}), "s")
			ended.Go(func() { _ = n.Run(ctx) })
		}
		time.Sleep(3 * time.Second)
		cancel()
		ended.Wait()
		if len(firstCalls) != nodes {
			t.Fatalf("%d of %d nodes have called the service", len(firstCalls), nodes)
		}
		slices.Sort(firstCalls)
		const together, most = 5 * time.Millisecond, 6
		for i := range firstCalls {
			if i >= most && firstCalls[i]-firstCalls[i-most] < together {
				t.Fatalf("over %d of %d nodes call within %v: %v", most, nodes, together, firstCalls)
			}
		}
	})
}
