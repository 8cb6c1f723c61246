package node

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/wire"
)

// BenchmarkIdleSecond measures the work of one second without requests for different numbers of hosts.
func BenchmarkIdleSecond(b *testing.B) {
	for _, n := range []int{200, 1600, 3200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			known := *snapshotOf(7, endpoints(n, wire.Serving)...)
			node := New(testSettings(), known, "d:1", &fakeTransport{}, zap.NewNop())
			at := node.now()
			for range b.N {
				for range time.Second / tickInterval {
					node.handleTick(time.Now())
				}
				for range 5 { // the balancer's sweeps
					at += time.Second / 5
					node.balancer.Handle(at, balancer.Timer{Token: "sweep"})
				}
			}
		})
	}
}
