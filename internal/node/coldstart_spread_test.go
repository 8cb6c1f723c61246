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

// callTimes is an outside that notes when discovery is called for the first time.
type callTimes struct {
	mu    *sync.Mutex
	at    *[]time.Duration
	begun time.Time
}

func (c callTimes) Watch(call ListRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if call.Sequence == 1 {
		*c.at = append(*c.at, time.Since(c.begun))
	}
}

func (callTimes) Ping(balancer.ServerID, string) bool { return true }

// Calls to the list service that nodes started in one instant spread over a time are made when they are due. They were made
// at the next turn of each node's ticker, and all tickers had begun together: what was drawn apart came in bursts.
func TestColdStart_NodesStartTogether_CallsSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes = 40
		var mu sync.Mutex
		var at []time.Duration
		var ended sync.WaitGroup
		ctx, cancel := context.WithCancel(t.Context())
		out := callTimes{&mu, &at, time.Now()}
		for i := range nodes {
			set := settings.Settings{Settings: balancer.Settings{PollList: true, PollInterval: 3 * time.Second, NodeCount: nodes, NodeIndex: i}}
			n := New(set, wire.EndpointList{}, "disco", out, zap.NewNop())
			n.EnableColdStart(coldstart.New(coldstart.Config{NodeCount: nodes, Index: i, PollInterval: set.PollInterval, Service: "s"},
				rand.New(rand.NewPCG(7, uint64(i))), n.now(), coldstart.NoSource, coldstart.Offer{}), "s")
			ended.Go(func() { _ = n.Run(ctx) })
		}
		time.Sleep(3 * time.Second)
		cancel()
		ended.Wait()
		if len(at) != nodes {
			t.Fatalf("%d of %d nodes have called", len(at), nodes)
		}
		slices.Sort(at)
		const together, most = 5 * time.Millisecond, 6
		for i := range at {
			if i >= most && at[i]-at[i-most] < together {
				t.Fatalf("over %d of %d nodes call within %v: %v", most, nodes, together, at)
			}
		}
	})
}
