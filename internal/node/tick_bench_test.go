package node

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/wire"
)

// The cost of a second in which nothing happens, which hangs on the hosts of the list alone.
func BenchmarkIdleSecond(b *testing.B) {
	for _, n := range []int{200, 1600, 3200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			node := New(testSettings(), wire.EndpointList{Revision: 7, Complete: true, Endpoints: endpoints(n, wire.Serving)}, "d:1", &fakeTransport{}, zap.NewNop())
			at := node.now()
			for range b.N {
				for range time.Second / tickInterval {
					node.handleTick(time.Now())
				}
				for range 5 { // sweeps of the module
					at += time.Second / 5
					node.balancer.Handle(at, balancer.Timer{Token: "sweep"})
				}
			}
		})
	}
}
