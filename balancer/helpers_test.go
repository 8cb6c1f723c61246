package balancer

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings returns the settings of a node in pass-through mode with five classes: 0 is idempotent, 2 is
// non-idempotent, and 1, 3 and 4 are idempotent by key within a zone, everywhere and within a cell.
func testSettings() Settings {
	idempotent := Class{
		SetupLatencyObjective:   300 * ms,
		Deadline:                2 * time.Second,
		MessageLatencyObjective: 100 * ms,
		PriorityWeight:          1,
	}
	return Settings{
		Seed:          1,
		NodeCount:     3,
		PollList:      true,
		PassThrough:   true,
		MaxAttempts:   4,
		MayCancel:     true,
		MaxRetryAfter: 2 * time.Second,

		DrainGrace:        time.Second,
		SlowStartFraction: 0.25,
		SlowStartDuration: 10 * time.Second,
		CollapseMultiple:  3,
		CollapseWindow:    time.Second,
		PollInterval:      10 * time.Second,
		Classes: []Class{
			idempotent,
			keyedClass(ScopeZone),
			{SetupLatencyObjective: 300 * ms, Deadline: 2 * time.Second, Effect: NonIdempotent},
			keyedClass(ScopeAll),
			keyedClass(ScopeCell),
		},
	}
}

// keyedClass returns a class that is idempotent by key within the scope.
func keyedClass(scope Scope) Class {
	return Class{
		SetupLatencyObjective: 300 * ms,
		Deadline:              2 * time.Second,
		Effect:                IdempotentByKey,
		Scope:                 scope,
		IdempotencyWindow:     time.Second,
	}
}

// newWarmNode returns a node with n servers, none of which is in slow start.
func newWarmNode(t *testing.T, s Settings, n int) *Balancer {
	t.Helper()
	b := New(s)
	b.Handle(0, ListEvent{Kind: ListCached, Revision: 1, Servers: testFleet(n)})
	return b
}

// firstEntryOf returns the index of a request's first candidate entry.
func firstEntryOf(b *Balancer, r *request) int {
	return b.candidateEntry(b.preferredEntry(r), 0)
}

// sends returns the Send actions in order.
func sends(actions []Action) (out []Send) {
	for _, a := range actions {
		if s, ok := a.(Send); ok {
			out = append(out, s)
		}
	}
	return out
}

// finalAnswers counts the final answers to a request and reports whether one is a rejection.
func finalAnswers(actions []Action, id RequestID) (n int, rejected bool) {
	for _, a := range actions {
		switch a := a.(type) {
		case Reject:
			if a.ID == id {
				n++
				rejected = true
			}
		case Fail:
			if a.ID == id {
				n++
			}
		}
	}
	return n, rejected
}

func keyOf(i int) string { return fmt.Sprint("key-", i) }

// nodeWithConnections returns a node with n established connections of class 0 on each of its two servers, and the
// first of these servers.
func nodeWithConnections(t *testing.T, s Settings, n int) (*Balancer, *server) {
	t.Helper()
	b := New(s)
	b.Handle(0, ListEvent{Kind: ListCached, Servers: []Server{{ID: "a", Weight: 1}, {ID: "b", Weight: 1}}})
	for i := range 2 * n {
		id := RequestID(fmt.Sprint("open", i))
		on := ServerID("ab"[i%2 : i%2+1])
		b.Handle(0, Inherited{Arrival: Arrival{ID: id, Key: fmt.Sprint(i), TimeLeft: time.Hour}, Server: on})
		b.Handle(0, LoadReport{ID: id, Load: 100})
	}
	return b, b.servers["a"]
}

// migrations returns the requests of the Migrate actions in order.
func migrations(actions []Action) (out []RequestID) {
	for _, a := range actions {
		if m, ok := a.(Migrate); ok {
			out = append(out, m.ID)
		}
	}
	return out
}

// newFleetNode returns a node of a fleet with the given numbers of nodes and servers. No server is in slow start.
func newFleetNode(t *testing.T, index, nodes, servers int) *Balancer {
	s := testSettings()
	s.Seed, s.NodeIndex, s.NodeCount = uint64(index)+1, index, nodes
	return newWarmNode(t, s, servers)
}

// lowSampleNode returns a node of a large fleet whose share of the quotas is less than one connection per server.
func lowSampleNode(t *testing.T, classes ...Class) *Balancer {
	t.Helper()
	s := testSettings()
	s.NodeCount, s.Tenants = 80, []Tenant{{ConnectionQuota: 350}}
	if len(classes) > 0 {
		s.Classes = classes
	}
	b := newWarmNode(t, s, 10)
	if !b.lowSample() {
		t.Fatal("lowSample is false, want true for a quota of 350 over 80 nodes and 10 servers")
	}
	return b
}

// establishConnection sends a request and establishes its connection.
func establishConnection(t *testing.T, b *Balancer, id RequestID, at time.Duration, took time.Duration, midFlow bool) {
	t.Helper()
	sent := sends(b.Handle(at, Arrival{ID: id, Key: string(id), TimeLeft: time.Second, MidFlow: midFlow}))
	if len(sent) != 1 {
		t.Fatalf("request %s was not sent", id)
	}
	b.Handle(at+took, Established{ID: id, Server: sent[0].Server, Took: took})
}

// testFleet returns n live servers, s00 and up, with the weights 1, 2 and 3 in turn.
func testFleet(n int) (out []Server) {
	for i := range n {
		out = append(out, Server{ID: ServerID(fmt.Sprintf("s%02d", i)), Weight: 1 + float64(i%3)})
	}
	return out
}

// listDelta returns the delta after the first list.
func listDelta(servers ...Server) ListEvent {
	return ListEvent{Kind: ListDelta, Revision: 2, Servers: servers}
}

// capacityFraction returns the fraction of its capacity that a server of the given age has according to the settings.
func capacityFraction(s Settings, age time.Duration) float64 {
	return min(1, s.SlowStartFraction+(1-s.SlowStartFraction)*float64(age)/float64(s.SlowStartDuration))
}
