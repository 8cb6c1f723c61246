package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"onyxstream/balancer"
	"onyxstream/internal/wire"
)

// finish ends the first attempt of a request with an outcome, after its client has disconnected.
func finish(n *Node, conn ClientConn, id balancer.RequestID, outcome balancer.Outcome) {
	ref := requestRef{id: id, conn: conn}
	n.handle(clientDisconnected{requestRef: ref, attemptsTaken: 1})
	n.handle(attemptEnded{requestRef: ref, outcome: outcome})
}

// A request whose client has left may have been executed. If its id comes again, it must not be forwarded a second time.
func TestArrival_IDUsedBefore_FailedIfExecuted(t *testing.T) {
	for _, c := range []struct {
		outcome balancer.Outcome
		want    string
	}{
		{balancer.Cancelled, "fail"},
		{balancer.ConnectionReset, "fail"},
		{balancer.Served, "fail"},
		{balancer.NotSent, "send"},
		{balancer.Rejected, "send"},
	} {
		n, _, _ := newTestNode(t, endpoint("s1", wire.Serving), endpoint("s2", wire.Serving))
		first := arrive(t, n, "again")
		if !strings.HasPrefix(first.recorded(), "send") {
			t.Fatalf("first arrival: calls %q, want an attempt", first.recorded())
		}
		finish(n, first, "again", c.outcome)
		if second := arrive(t, n, "again"); !strings.HasPrefix(second.recorded(), c.want) {
			t.Errorf("second arrival after outcome %v: calls %q, want %s", c.outcome, second.recorded(), c.want)
		}
		if other := arrive(t, n, "other"); !strings.HasPrefix(other.recorded(), "send") {
			t.Errorf("another id: calls %q, want an attempt", other.recorded())
		}
	}
}

// The packets of an established connection may come back to a node under the same id.
func TestArrival_MidFlowIDUsedBefore_Forwarded(t *testing.T) {
	n, _, _ := newTestNode(t, endpoint("s1", wire.Serving))
	n.executedIDs.add("again")
	conn := &fakeConn{}
	n.handle(requestArrived{
		requestRef: requestRef{id: "again", conn: conn},
		opening:    parseOpening(t, "OPEN again key c=chat,t=acme,d=2000,mid=1"),
		deadline:   time.Now().Add(2 * time.Second),
	})
	if !strings.HasPrefix(conn.recorded(), "send") {
		t.Errorf("mid-flow arrival: calls %q, want an attempt", conn.recorded())
	}
}

// The memory for ids is bounded, and the oldest ones are forgotten first.
func TestExecutedIDs_TooMany_OldestForgotten(t *testing.T) {
	ids := newExecutedIDs()
	id := func(i int) balancer.RequestID { return balancer.RequestID(fmt.Sprint("id", i)) }
	const surplus = 10
	for i := range maxExecutedIDs + surplus {
		ids.add(id(i))
		ids.add(id(i)) // a repetition must not take another entry
	}
	if len(ids.hashes) != maxExecutedIDs || len(ids.order) != maxExecutedIDs {
		t.Errorf("%d ids in a ring of %d, want %d", len(ids.hashes), len(ids.order), maxExecutedIDs)
	}
	if ids.contains(id(surplus-1)) || !ids.contains(id(surplus)) || !ids.contains(id(maxExecutedIDs+surplus-1)) {
		t.Error("the oldest ids are not the ones that were forgotten")
	}
}
