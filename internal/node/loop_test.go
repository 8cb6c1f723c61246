package node

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"onyxstream/balancer"
	"onyxstream/internal/wire"
)

// A panic in the handling of one event must not end the event loop.
func TestEvent_HandlerPanics_LoopContinues(t *testing.T) {
	n, _, logs := newTestNode(t, endpoint("s1", wire.Serving))
	n.recoverPanics(func() { n.handle(listReceived{}) }) // panics because its list is nil
	if logs.FilterMessage("panic while handling event").Len() != 1 {
		t.Error("the panic is not logged")
	}
	if conn := arrive(t, n, "r"); conn.recorded() != "send 0 s1:1" {
		t.Errorf("after the panic: calls %q, want an attempt", conn.recorded())
	}
}

// Many connections post events while the loop runs. All their requests must end. The test is meant for the race
// detector.
func TestRun_ManyConcurrentConnections_AllEnd(t *testing.T) {
	n, _, _ := newTestNode(t, endpoint("s1", wire.Serving), endpoint("s2", wire.Serving))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = n.Run(ctx)
	}()
	var clients sync.WaitGroup
	for i := range 50 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			id := balancer.RequestID(fmt.Sprint(i))
			opening := parseOpening(t, fmt.Sprintf("OPEN %d key%d c=chat,d=2000", i, i))
			conn := &fakeConn{}
			n.RequestArrived(opening, time.Now().Add(2*time.Second), conn)
			n.AttemptConnected(id, conn, 0)
			n.ConnectionEstablished(id, conn, 0, time.Millisecond)
			n.ReportLoad(id, conn, float64(i))
			n.ListReceived(1, changesOf(int64(i), endpoint(fmt.Sprint("n", i%5), wire.Serving)))
			n.AttemptEnded(id, conn, 0, time.Millisecond, balancer.Served)
		}()
	}
	clients.Wait()
	// The reply to this event shows that all earlier events have been handled.
	resumed := parseOpening(t, "OPEN resumed key c=chat,t=acme,at=s1")
	if addr, ok := n.ResumeConnection(resumed, &fakeConn{}); addr != "s1:1" || !ok {
		t.Errorf("resumed at %q, ok %v; want s1:1, true", addr, ok)
	}
	if n.InFlightRequests() != 0 || n.EstablishedConnections() != 0 {
		t.Errorf("%d in flight, %d established; want none", n.InFlightRequests(), n.EstablishedConnections())
	}
	cancel()
	<-ended
	n.ClientDisconnected("1", &fakeConn{}, 0) // must not block
	if _, ok := n.ResumeConnection(resumed, &fakeConn{}); ok {
		t.Error("a connection is resumed after the loop has ended")
	}
}
