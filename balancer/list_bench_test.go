package balancer

import (
	"fmt"
	"testing"
	"time"
)

// fleetSizes are the numbers of servers that a node must support.
var fleetSizes = []int{10, 100, 350, 1024, 2000, 3200}

// BenchmarkHalfReplaced measures a list change that drains half of a fleet and adds as many servers, and the sweep in
// which the drains end. A node handles no requests in the meantime.
func BenchmarkHalfReplaced(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				b.StopTimer()
				all := testFleet(n)
				node := New(testSettings())
				node.Handle(0, ListEvent{Kind: ListSnapshot, Revision: 1, Servers: all})
				changes := []Server{}
				for i, s := range all[:n/2] {
					s.State = Draining
					changes = append(changes, s, Server{ID: ServerID(fmt.Sprint("new", i)), Weight: 1, StartedAt: time.Minute})
				}
				b.StartTimer()
				node.Handle(time.Minute, ListEvent{Kind: ListDelta, Revision: 2, Servers: changes})
				node.Handle(time.Minute+testSettings().DrainGrace, Timer{Token: sweepToken})
			}
		})
	}
}

// BenchmarkFirstList measures the first endpoint list of a node.
func BenchmarkFirstList(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				New(testSettings()).Handle(0, ListEvent{Kind: ListSnapshot, Revision: 1, Servers: testFleet(n)})
			}
		})
	}
}
