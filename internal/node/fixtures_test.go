package node

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"onyxstream/balancer"
	"onyxstream/internal/settings"
	"onyxstream/internal/wire"
)

// fakeConn is a ClientConn that records the event loop's method calls.
type fakeConn struct {
	mu    sync.Mutex
	calls []string
	sent  []Attempt
	stats MessageStats
}

func (c *fakeConn) record(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, text)
}

func (c *fakeConn) Send(a Attempt) {
	c.mu.Lock()
	c.sent = append(c.sent, a)
	c.mu.Unlock()
	c.record(fmt.Sprintf("send %d %s", a.Number, a.Addr))
}

func (c *fakeConn) Proceed(attempt int, ok bool) { c.record(fmt.Sprintf("proceed %d %v", attempt, ok)) }

func (c *fakeConn) Cancel(attempt int) { c.record(fmt.Sprintf("cancel %d", attempt)) }

func (c *fakeConn) Reject(retryAfter time.Duration) {
	c.record(fmt.Sprintf("reject %v", retryAfter > 0))
}

func (c *fakeConn) Fail() { c.record("fail") }

func (c *fakeConn) Migrate() { c.record("migrate") }

func (c *fakeConn) MessageStats(now time.Time) MessageStats { return c.stats }

func (c *fakeConn) recorded() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return strings.Join(c.calls, ", ")
}

// fakeTransport is a Transport that records the event loop's method calls.
type fakeTransport struct {
	watches   []ListRequest
	pings     []balancer.ServerID
	pingsFail bool
}

func (t *fakeTransport) Watch(request ListRequest) { t.watches = append(t.watches, request) }

func (t *fakeTransport) Ping(id balancer.ServerID, _ string) bool {
	if t.pingsFail {
		return false
	}
	t.pings = append(t.pings, id)
	return true
}

// testSettings returns settings with one class, one tenant and two zones.
func testSettings() settings.Settings {
	return settings.Settings{
		Settings: balancer.Settings{
			NodeCount:         1,
			PollList:          true,
			MaxAttempts:       4,
			MayCancel:         true,
			MaxRetryAfter:     time.Second,
			DrainGrace:        400 * time.Millisecond,
			SlowStartDuration: time.Second,
			SlowStartFraction: 0.5,
			CollapseMultiple:  4,
			CollapseWindow:    time.Second,
			PollInterval:      10 * time.Second,
			Classes: []balancer.Class{{
				SetupLatencyObjective:   300 * time.Millisecond,
				Deadline:                2 * time.Second,
				MessageLatencyObjective: 60 * time.Millisecond,
				PriorityWeight:          1,
			}},
		},
		ClassNames:       []string{"chat"},
		TenantNames:      []string{"acme"},
		ZoneNames:        []string{"a", "b"},
		ConnectionGroups: true,
	}
}

// endpoint returns an endpoint in zone a.
func endpoint(id string, phase wire.Phase) wire.Endpoint {
	return wire.Endpoint{ID: id, Addr: id + ":1", Zone: "a", Size: 1, Phase: phase}
}

// snapshotOf returns a complete endpoint list.
func snapshotOf(revision int64, endpoints ...wire.Endpoint) *wire.EndpointList {
	return &wire.EndpointList{Revision: revision, Complete: true, Endpoints: endpoints}
}

// changesOf returns a delta of the endpoint list.
func changesOf(revision int64, endpoints ...wire.Endpoint) *wire.EndpointList {
	return &wire.EndpointList{Revision: revision, Endpoints: endpoints}
}

// newTestNode returns a node whose event loop does not run. Tests call handle with the events.
func newTestNode(t *testing.T, known ...wire.Endpoint) (*Node, *fakeTransport, *observer.ObservedLogs) {
	t.Helper()
	core, logs := observer.New(zap.InfoLevel)
	transport := &fakeTransport{}
	return New(testSettings(), *snapshotOf(7, known...), "d:1", transport, zap.New(core)), transport, logs
}

// parseOpening parses an opening line.
func parseOpening(t *testing.T, line string) *wire.Opening {
	t.Helper()
	_, opening, err := wire.ParseOpening([]byte(line))
	if err != nil {
		t.Fatal(err)
	}
	return &opening
}

// arrive passes the opening line of a new request to the node.
func arrive(t *testing.T, n *Node, id string) *fakeConn {
	t.Helper()
	conn := &fakeConn{}
	n.handle(requestArrived{
		requestRef: requestRef{id: balancer.RequestID(id), conn: conn},
		opening:    parseOpening(t, "OPEN "+id+" key c=chat,t=acme,d=2000"),
		deadline:   time.Now().Add(2 * time.Second),
	})
	return conn
}

// endAttemptEvent returns the event for the end of an attempt.
func endAttemptEvent(id string, number int, result balancer.Outcome) event {
	return attemptEnded{
		requestRef: requestRef{id: balancer.RequestID(id)},
		attempt:    number,
		took:       time.Millisecond,
		outcome:    result,
	}
}

// establishedEvent returns the event for the establishment of a connection.
func establishedEvent(id string, number int) event {
	return connectionEstablished{
		requestRef: requestRef{id: balancer.RequestID(id)},
		attempt:    number,
		took:       time.Millisecond,
	}
}

// establish passes the opening line of a new request to the node and establishes its connection.
func establish(t *testing.T, n *Node, id string) *fakeConn {
	t.Helper()
	conn := arrive(t, n, id)
	n.handle(establishedEvent(id, 0))
	return conn
}
