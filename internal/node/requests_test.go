package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"onyxstream/balancer"
	"onyxstream/internal/wire"
)

// The counters must follow a request from its arrival to the end of its connection. The node must then retain nothing.
func TestRequest_ServedAndEnded_IsReleased(t *testing.T) {
	n, _, _ := newTestNode(t, endpoint("s1", wire.Serving))
	conn := arrive(t, n, "r")
	if conn.recorded() != "send 0 s1:1" || n.InFlightRequests() != 1 {
		t.Fatalf("calls %q, %d in flight; want one attempt and 1", conn.recorded(), n.InFlightRequests())
	}
	n.handle(attemptConnected{requestRef: requestRef{id: "r"}})
	n.handle(establishedEvent("r", 0))
	if conn.recorded() != "send 0 s1:1, proceed 0 true" || n.InFlightRequests() != 0 || n.EstablishedConnections() != 1 {
		t.Fatalf("calls %q, %d in flight, %d established; want the write allowed, 0, 1",
			conn.recorded(), n.InFlightRequests(), n.EstablishedConnections())
	}
	n.handle(&loadReported{requestRef: requestRef{id: "r"}, load: 5})
	n.handle(endAttemptEvent("r", 0, balancer.Served))
	if n.EstablishedConnections() != 0 || len(n.requests) != 0 {
		t.Errorf("%d established, %d requests kept; want none", n.EstablishedConnections(), len(n.requests))
	}
}

// After an attempt has failed at every host, the request must be rejected at once instead of at its deadline.
func TestRequest_AllHostsFail_RejectedAtOnce(t *testing.T) {
	n, _, _ := newTestNode(t, endpoint("s1", wire.Serving), endpoint("s2", wire.Serving))
	conn := arrive(t, n, "r")
	n.handle(endAttemptEvent("r", 0, balancer.ConnectFailed))
	if len(conn.sent) != 2 || conn.sent[0].Addr == conn.sent[1].Addr {
		t.Fatalf("attempts %v, want two at different hosts", conn.sent)
	}
	n.handle(endAttemptEvent("r", 1, balancer.Rejected))
	if !strings.HasSuffix(conn.recorded(), "reject true") || n.InFlightRequests() != 0 || len(n.requests) != 0 {
		t.Errorf("calls %q, %d in flight, %d requests kept; want a rejection and none",
			conn.recorded(), n.InFlightRequests(), len(n.requests))
	}
}

// Events that are duplicates, late or for another attempt must be ignored.
func TestRequest_LateOrDuplicateEvents_Ignored(t *testing.T) {
	n, _, _ := newTestNode(t, endpoint("s1", wire.Serving), endpoint("s2", wire.Serving))
	conn := arrive(t, n, "r")
	n.handle(endAttemptEvent("r", 0, balancer.Errored))
	calls := conn.recorded()
	n.handle(endAttemptEvent("r", 0, balancer.Errored))
	n.handle(establishedEvent("r", 0))
	n.handle(endAttemptEvent("r", 7, balancer.Rejected))
	n.handle(endAttemptEvent("other", 0, balancer.Rejected))
	n.handle(&loadReported{requestRef: requestRef{id: "r"}, load: 1})
	if conn.recorded() != calls {
		t.Errorf("calls %q after events that must be ignored, want no further call", conn.recorded())
	}
	n.handle(attemptConnected{requestRef: requestRef{id: "r"}, attempt: 0})
	if !strings.HasSuffix(conn.recorded(), "proceed 0 false") {
		t.Errorf("the opening line of an ended attempt may be written: calls %q", conn.recorded())
	}
	again := arrive(t, n, "r")
	if again.recorded() != "fail" || n.InFlightRequests() != 1 {
		t.Errorf("request id in use: calls %q, %d in flight; want a failure and 1", again.recorded(), n.InFlightRequests())
	}
}

// If a client disconnects during an attempt, the attempt must be cancelled, and the request must be released without a
// final answer when the attempt has ended. Otherwise the node would retain it forever.
func TestClientDisconnected_AttemptInFlight_Released(t *testing.T) {
	n, _, _ := newTestNode(t, endpoint("s1", wire.Serving))
	conn := arrive(t, n, "r")
	n.handle(clientDisconnected{requestRef: requestRef{id: "r"}, attemptsTaken: 1})
	if !strings.HasSuffix(conn.recorded(), "cancel 0") || n.InFlightRequests() != 0 || len(n.requests) != 1 {
		t.Fatalf("calls %q, %d in flight, %d requests kept; want the attempt cancelled, 0, 1",
			conn.recorded(), n.InFlightRequests(), len(n.requests))
	}
	n.handle(endAttemptEvent("r", 0, balancer.Cancelled))
	if len(n.requests) != 0 || strings.Contains(conn.recorded(), "reject") {
		t.Errorf("calls %q, %d requests kept; want no rejection and none", conn.recorded(), len(n.requests))
	}
	// The connection has ended without receiving the attempt, so the event loop must end it.
	arrive(t, n, "q")
	n.handle(clientDisconnected{requestRef: requestRef{id: "q"}, attemptsTaken: 0})
	if len(n.requests) != 0 || n.InFlightRequests() != 0 {
		t.Errorf("%d requests kept, %d in flight; want none", len(n.requests), n.InFlightRequests())
	}
}

// A request of a class that the settings don't contain must fail at once. The balancer ignores such a request and would
// never return a final answer.
func TestArrival_UnknownClass_Failed(t *testing.T) {
	n, _, logs := newTestNode(t, endpoint("s1", wire.Serving))
	conn := &fakeConn{}
	n.handle(requestArrived{
		requestRef: requestRef{id: "r", conn: conn},
		opening:    parseOpening(t, "OPEN r key c=odd"),
		deadline:   time.Now().Add(time.Second),
	})
	if conn.recorded() != "fail" || len(n.requests) != 0 || logs.FilterMessageSnippet("class").Len() != 1 {
		t.Errorf("calls %q, %d requests kept; want a failure, none, and a log message", conn.recorded(), len(n.requests))
	}
}

// Every field of an opening line must reach the balancer. The exception is the group if connection groups are off.
func TestArrival_OpeningFields_ReachBalancer(t *testing.T) {
	n, _, _ := newTestNode(t)
	a := n.toArrival(parseOpening(t, "OPEN r key c=chat,t=acme,g=grp,mid=1,again=1,r=1"), time.Second)
	want := balancer.Arrival{
		ID:        "r",
		Key:       "key",
		Group:     "grp",
		TimeLeft:  time.Second,
		MidFlow:   true,
		Reconnect: true,
		Retry:     true,
	}
	if a != want {
		t.Errorf("arrival %+v, want %+v", a, want)
	}
	n.settings.ConnectionGroups = false
	if a := n.toArrival(parseOpening(t, "OPEN r key c=chat,g=client"), 0); a.Group != "" || a.Tenant != -1 {
		t.Errorf("without connection groups and tenant: %+v, want neither in the arrival", a)
	}
}

// A connection of an earlier process must count as established until it ends and then be released, even if the endpoint
// list no longer contains its host.
func TestInherited_ConnectionEnds_IsReleased(t *testing.T) {
	n, _, _ := newTestNode(t, endpoint("s1", wire.Serving))
	for i, host := range []string{"s1", "unlisted"} {
		id := balancer.RequestID(fmt.Sprint("r", i))
		ref := requestRef{id: id, conn: &fakeConn{}}
		line := parseOpening(t, "OPEN "+string(id)+" key c=chat,at="+host)
		reply := make(chan resumePoint, 1)
		n.handle(connectionResumed{requestRef: ref, opening: line, reply: reply})
		if got := <-reply; !got.available || (got.addr != "") != (host == "s1") {
			t.Errorf("connection to %s resumes at %+v, want it available, with an address only for s1", host, got)
		}
		n.handle(connectionInherited{requestRef: ref, opening: line})
		if n.EstablishedConnections() != 1 || n.InFlightRequests() != 0 {
			t.Errorf("at %s: %d established, %d in flight; want 1, 0", host, n.EstablishedConnections(), n.InFlightRequests())
		}
		n.handle(endAttemptEvent(string(id), 0, balancer.Served))
		if n.EstablishedConnections() != 0 || len(n.requests) != 0 {
			t.Errorf("at %s: %d established, %d requests kept after the end; want none",
				host, n.EstablishedConnections(), len(n.requests))
		}
	}
}

// Clients choose request ids, so two of them may choose the same one. The second request with the id must fail, and the
// events of its connection must not affect the first request.
func TestRequest_DuplicateID_SecondFailsFirstUnaffected(t *testing.T) {
	n, _, _ := newTestNode(t, endpoint("s1", wire.Serving))
	first := arrive(t, n, "r")
	sendDuplicate := func() {
		t.Helper()
		second := arrive(t, n, "r")
		if second.recorded() != "fail" {
			t.Errorf("second request: calls %q, want a failure", second.recorded())
		}
		line := parseOpening(t, "OPEN r key c=chat,at=s1")
		reply := make(chan resumePoint, 1)
		n.handle(connectionResumed{requestRef: requestRef{id: "r", conn: &fakeConn{}}, opening: line, reply: reply})
		if got := <-reply; got.available {
			t.Error("the request id is available to a second connection")
		}
		ref := requestRef{id: "r", conn: second}
		for _, e := range []event{
			clientDisconnected{requestRef: ref},
			attemptConnected{requestRef: ref},
			connectionEstablished{requestRef: ref, took: time.Hour},
			&loadReported{requestRef: ref, load: 5},
			connectionInherited{requestRef: ref, opening: line},
			attemptEnded{requestRef: ref, outcome: balancer.ConnectionReset},
		} {
			n.handle(e)
		}
	}
	sendDuplicate()
	if n.InFlightRequests() != 1 || first.recorded() != "send 0 s1:1" {
		t.Fatalf("%d in flight, first request: calls %q; want 1 and a single attempt", n.InFlightRequests(), first.recorded())
	}
	n.handle(connectionEstablished{requestRef: requestRef{id: "r", conn: first}, took: time.Millisecond})
	sendDuplicate()
	if n.InFlightRequests() != 0 || n.EstablishedConnections() != 1 {
		t.Errorf("%d in flight, %d established; want 0, 1", n.InFlightRequests(), n.EstablishedConnections())
	}
	n.handle(attemptEnded{requestRef: requestRef{id: "r", conn: first}, outcome: balancer.Served})
	if n.EstablishedConnections() != 0 || len(n.requests) != 0 {
		t.Errorf("%d established, %d requests kept after the end; want none", n.EstablishedConnections(), len(n.requests))
	}
}

// A connection of an earlier process that never reconnects to its host must be released.
func TestResume_HostNeverReconnected_IsReleased(t *testing.T) {
	n, _, _ := newTestNode(t, endpoint("s1", wire.Serving))
	ref := requestRef{id: "r", conn: &fakeConn{}}
	resume := connectionResumed{
		requestRef: ref,
		opening:    parseOpening(t, "OPEN r key c=chat,at=s1"),
		reply:      make(chan resumePoint, 2),
	}
	n.handle(resume)
	n.handle(resume) // repeated by the same connection
	n.handle(clientDisconnected{requestRef: ref})
	if len(n.requests) != 0 || n.InFlightRequests() != 0 || n.EstablishedConnections() != 0 {
		t.Errorf("%d requests kept, %d in flight, %d established; want none",
			len(n.requests), n.InFlightRequests(), n.EstablishedConnections())
	}
}

// If the settings contain tenants, an opening line must name a class and a tenant of the settings.
func TestHasClassAndTenant_NamesInSettings_Reported(t *testing.T) {
	n, _, _ := newTestNode(t)
	for fields, want := range map[string]bool{
		"c=chat,t=acme":  true,
		"c=chats,t=acme": false,
		"t=acme":         false,
		"c=chat,t=acne":  false,
		"c=chat":         false,
	} {
		if got := n.HasClassAndTenant(parseOpening(t, "OPEN r key "+fields)); got != want {
			t.Errorf("HasClassAndTenant with %s: %v, want %v", fields, got, want)
		}
	}
}
