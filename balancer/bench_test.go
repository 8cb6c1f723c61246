package balancer

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkListChange measures a change of the endpoint list. Its cost must grow with the number of entries that move,
// not with servers times entries. Compare the allocations, not the times.
func BenchmarkListChange(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			node := New(testSettings())
			node.Handle(0, ListEvent{Kind: ListCached, Revision: 1, Servers: testFleet(n)})
			for i := range b.N {
				now := time.Duration(i+1) * time.Minute
				state := Live
				if i%2 == 1 {
					state = Removed
				}
				node.Handle(now, ListEvent{Kind: ListDelta, Revision: int64(i + 2),
					Servers: []Server{{ID: "new", Weight: 1, State: state}}})
			}
		})
	}
}

// BenchmarkArrival measures a request from its arrival to the end of its connection, for fleets of different sizes.
func BenchmarkArrival(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			node := New(testSettings())
			node.Handle(0, ListEvent{Kind: ListCached, Revision: 1, Servers: testFleet(n)})
			for i := range b.N {
				id := RequestID(fmt.Sprint(i))
				now := time.Duration(i) * time.Millisecond
				node.Handle(now, Arrival{ID: id, Key: string(id), TimeLeft: time.Second})
				node.Handle(now, Established{ID: id, Took: time.Millisecond})
				node.Handle(now, AttemptEnded{ID: id, Outcome: Served, Final: true})
			}
		})
	}
}

// BenchmarkSweep measures the periodic work of an idle node, for fleets of different sizes.
func BenchmarkSweep(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			node := New(testSettings())
			node.Handle(0, ListEvent{Kind: ListCached, Revision: 1, Servers: testFleet(n)})
			for i := range b.N {
				node.Handle(time.Duration(i)*time.Second, Timer{Token: sweepToken})
			}
		})
	}
}
