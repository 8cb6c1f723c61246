package node

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/wire"
)

// BenchmarkLoadReport measures how a load report of an established connection gets from the connection's goroutine
// through the event queue to the balancer. It must not allocate, because each established connection reports every
// second.
func BenchmarkLoadReport(b *testing.B) {
	known := *snapshotOf(7, endpoint("s1", wire.Serving))
	n := New(testSettings(), known, "d:1", &fakeTransport{}, zap.NewNop())
	conn := &fakeConn{}
	_, opening, err := wire.ParseOpening([]byte("OPEN r key c=chat,t=acme,d=2000"))
	if err != nil {
		b.Fatal(err)
	}
	n.RequestArrived(&opening, time.Now().Add(2*time.Second), conn)
	n.handle(<-n.events)
	n.ConnectionEstablished("r", conn, 0, time.Millisecond)
	n.handle(<-n.events)
	if n.EstablishedConnections() != 1 {
		b.Fatal("connection is not established")
	}
	b.ReportAllocs()
	for b.Loop() {
		n.ReportLoad(balancer.RequestID("r"), conn, 5)
		n.handle(<-n.events)
	}
}
