package node

import (
	"strings"
	"testing"
	"time"

	"onyxstream/balancer"
	"onyxstream/internal/wire"
)

// A client may wait for longer than a node lasts that was told to stop: whoever is owed an answer at the end has one
// from the module, and nothing new is begun for it.
func TestShutdown_RequestsInFlight_EachAnsweredOnce(t *testing.T) {
	n, _, _ := newTestNode(t, endpoint("s1", wire.Serving), endpoint("s2", wire.Serving))
	up, waits, dials, mid := arrive(t, n, "up"), arrive(t, n, "waits"), arrive(t, n, "dials"), &fakeConn{}
	n.handle(attemptConnected{requestRef: requestRef{id: "up"}})
	n.handle(opened("up", 0))
	n.handle(attemptConnected{requestRef: requestRef{id: "waits"}})
	n.handle(requestArrived{
		requestRef: requestRef{id: "mid", conn: mid},
		opening:    opening(t, "OPEN mid key c=chat,t=acme,d=2000,mid=1"),
		deadline:   time.Now().Add(2 * time.Second),
	})
	n.handle(shutdownRequested{deadline: time.Now().Add(time.Hour)})
	if n.timeToShutdown(time.Now()) == 0 || n.InFlightRequests() != 3 {
		t.Fatalf("ends in %v, %d owed", n.timeToShutdown(time.Now()), n.InFlightRequests())
	}
	n.answerInFlight()
	n.handle(attemptConnected{requestRef: requestRef{id: "dials"}})
	for _, id := range []string{"waits", "dials", "mid"} {
		n.handle(settled(id, 0, balancer.Cancelled))
	}
	late := arrive(t, n, "late")
	for name, p := range map[string]*fakeConn{"waits": waits, "dials": dials, "mid": mid, "late": late} {
		said := p.recorded()
		if strings.Count(said, "refuse")+strings.Count(said, "fail") != 1 || strings.Count(said, "send") > 1 {
			t.Errorf("%s: %s", name, said)
		}
	}
	if !strings.Contains(dials.recorded(), "go 0 false") || !strings.Contains(late.recorded(), "refuse") {
		t.Errorf("%s; %s", dials.recorded(), late.recorded())
	}
	if n.InFlightRequests() != 0 || n.EstablishedConnections() != 1 || strings.Contains(up.recorded(), "cancel") {
		t.Errorf("%d owed, %d open; %s", n.InFlightRequests(), n.EstablishedConnections(), up.recorded())
	}
}

// What comes to a node that ends soon has only as long as the node: another host is tried in time.
func TestArrival_NodeShuttingDown_TimeLeftIsBounded(t *testing.T) {
	n, _, _ := newTestNode(t, endpoint("s1", wire.Serving))
	n.handle(shutdownRequested{deadline: time.Now().Add(50 * time.Millisecond)})
	p := arrive(t, n, "r")
	if len(p.sent) != 1 || p.sent[0].Timeout > 50*time.Millisecond {
		t.Errorf("sent %+v", p.sent)
	}
}
