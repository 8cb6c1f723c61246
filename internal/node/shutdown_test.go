package node

import (
	"strings"
	"testing"
	"time"

	"onyxstream/balancer"
	"onyxstream/internal/wire"
)

// A client's deadline may be after the shutdown. Each request in flight must get exactly one final answer at the
// shutdown, and no attempt may be started after it.
func TestShutdown_RequestsInFlight_EachAnsweredOnce(t *testing.T) {
	n, _, _ := newTestNode(t, endpoint("s1", wire.Serving), endpoint("s2", wire.Serving))
	established := arrive(t, n, "up")
	waiting := arrive(t, n, "waits")
	dialling := arrive(t, n, "dials")
	midFlow := &fakeConn{}
	n.handle(attemptConnected{requestRef: requestRef{id: "up"}})
	n.handle(establishedEvent("up", 0))
	n.handle(attemptConnected{requestRef: requestRef{id: "waits"}})
	n.handle(requestArrived{
		requestRef: requestRef{id: "mid", conn: midFlow},
		opening:    parseOpening(t, "OPEN mid key c=chat,t=acme,d=2000,mid=1"),
		deadline:   time.Now().Add(2 * time.Second),
	})
	n.handle(shutdownRequested{deadline: time.Now().Add(time.Hour)})
	if n.timeToShutdown(time.Now()) == 0 || n.InFlightRequests() != 3 {
		t.Fatalf("shutdown in %v, %d in flight; want it later, 3", n.timeToShutdown(time.Now()), n.InFlightRequests())
	}
	n.answerInFlight()
	n.handle(attemptConnected{requestRef: requestRef{id: "dials"}})
	for _, id := range []string{"waits", "dials", "mid"} {
		n.handle(endAttemptEvent(id, 0, balancer.Cancelled))
	}
	late := arrive(t, n, "late")
	for name, conn := range map[string]*fakeConn{"waits": waiting, "dials": dialling, "mid": midFlow, "late": late} {
		calls := conn.recorded()
		if strings.Count(calls, "reject")+strings.Count(calls, "fail") != 1 || strings.Count(calls, "send") > 1 {
			t.Errorf("request %s: calls %q, want one final answer and at most one attempt", name, calls)
		}
	}
	if !strings.Contains(dialling.recorded(), "proceed 0 false") || !strings.Contains(late.recorded(), "reject") {
		t.Errorf("dialling request: calls %q, want the write denied; late request: calls %q, want a rejection",
			dialling.recorded(), late.recorded())
	}
	if n.InFlightRequests() != 0 || n.EstablishedConnections() != 1 || strings.Contains(established.recorded(), "cancel") {
		t.Errorf("%d in flight, %d established; want 0, 1; established request: calls %q",
			n.InFlightRequests(), n.EstablishedConnections(), established.recorded())
	}
}

// At the shutdown the clients that are still established must be migrated, because the process resets them when it
// exits. In pass-through mode they stay: another node takes them over.
func TestShutdown_Established_MigratedUnlessPassThrough(t *testing.T) {
	for _, passThrough := range []bool{false, true} {
		n, _, _ := newTestNode(t, endpoint("s1", wire.Serving))
		n.settings.PassThrough = passThrough
		before := establish(t, n, "before")
		racing := arrive(t, n, "racing")
		n.handle(shutdownRequested{deadline: time.Now()})
		n.answerInFlight()
		n.handle(establishedEvent("racing", 0)) // the host has responded before its attempt could be cancelled
		migrated := countMigrations([]*fakeConn{before, racing})
		if passThrough && migrated != 0 || !passThrough && migrated != 2 {
			t.Errorf("pass-through %v: %d of 2 clients migrated; calls %q and %q",
				passThrough, migrated, before.recorded(), racing.recorded())
		}
	}
}

// The time left for a request that arrives during a graceful shutdown must end at the shutdown deadline, so that the
// node can try another host in time.
func TestArrival_NodeShuttingDown_TimeLeftIsBounded(t *testing.T) {
	n, _, _ := newTestNode(t, endpoint("s1", wire.Serving))
	n.handle(shutdownRequested{deadline: time.Now().Add(50 * time.Millisecond)})
	conn := arrive(t, n, "r")
	if len(conn.sent) != 1 || conn.sent[0].Timeout > 50*time.Millisecond {
		t.Errorf("attempts %+v, want one with a timeout of at most 50 ms", conn.sent)
	}
}
