// Package node runs the event loop of a balancer node. One goroutine, Run, owns the balancer, the requests, the hosts
// and the timers. Connections and discovery post events and receive commands through ClientConn and Transport, whose
// methods never block, so that neither side can wait for the other in a cycle. All placement decisions are package
// balancer's.
package node

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/invariant"
	"onyxstream/internal/settings"
	"onyxstream/internal/wire"
)

// eventQueueSize is how many events may wait for the loop.
const eventQueueSize = 1024

// Node is the in-memory state of one balancer node. Fields belong to the loop's goroutine unless they are atomic,
// channels, or set before Run.
type Node struct {
	settings  settings.Settings
	balancer  *balancer.Balancer
	transport Transport
	log       *zap.Logger
	monitor   *invariant.Monitor
	startedAt time.Time
	events    chan event
	done      chan struct{} // closed once Run has ended

	pendingEvents []balancer.Event // not handled by the balancer yet
	requests      map[balancer.RequestID]*request
	hosts         map[balancer.ServerID]*hostRecord
	classIndex    map[string]int
	tenantIndex   map[string]int
	zoneIndex     map[string]int

	discoveryAddr string
	watchSequence uint64    // of the last list request
	revision      int64     // of the list at discoveryAddr; NoRevision if that has not sent one
	watching      bool      // without polling: a watch is active or being started
	nextWatchAt   time.Time // without polling: when to watch again

	wallClock            wallClock // relates the hosts' listed start times to the node's clock
	memoryLimitMB        int       // 0 if the list is not bounded
	slowMessageThreshold time.Duration
	timers               timers
	tickCount            int
	migrateAllBy         time.Time // all clients are to be migrated by then; zero if they stay

	drainState
	overrideState
	coldStartState
	shutdownState

	inFlight      atomic.Int64 // requests without a final answer
	established   atomic.Int64 // established connections
	listedHosts   atomic.Int64
	avoidedHosts  atomic.Int64
	givenUpCounts map[balancer.Reason]int // requests that were rejected or failed, by reason
}

// slowMessageDivisor gives the latency from which messages are reported as slow: this fraction of the shortest message
// latency objective. The simulator reports from there on, too.
const slowMessageDivisor = 3

// New creates a node from its settings, the endpoint list as last known, and the address of discovery. The caller
// starts it by Run.
func New(
	set settings.Settings, known wire.EndpointList, discoveryAddr string, transport Transport, log *zap.Logger,
) *Node {
	n := &Node{
		settings:             set,
		balancer:             balancer.New(set.Settings),
		transport:            transport,
		log:                  log,
		monitor:              invariant.NewMonitor(log),
		startedAt:            time.Now(),
		events:               make(chan event, eventQueueSize),
		done:                 make(chan struct{}),
		requests:             map[balancer.RequestID]*request{},
		hosts:                map[balancer.ServerID]*hostRecord{},
		classIndex:           indexByName(set.ClassNames),
		tenantIndex:          indexByName(set.TenantNames),
		zoneIndex:            indexByName(set.ZoneNames),
		discoveryAddr:        discoveryAddr,
		slowMessageThreshold: slowMessageThreshold(set.Classes),
		overrideState: overrideState{
			overrides:   map[balancer.ServerID]bool{},
			reenabledAt: map[balancer.ServerID]time.Duration{},
		},
		coldStartState: coldStartState{
			listAvailable: make(chan struct{}),
			unreachable:   map[string]time.Time{},
		},
		givenUpCounts: map[balancer.Reason]int{},
	}
	n.applyList(&known, balancer.ListCached, false)
	n.revision = known.Revision
	return n
}

// slowMessageThreshold returns the message latency above which the balancer is notified, 0 for never.
func slowMessageThreshold(classes []balancer.Class) time.Duration {
	shortest := time.Duration(0)
	for _, class := range classes {
		threshold := class.MessageLatencyObjective / slowMessageDivisor
		if threshold > 0 && (shortest == 0 || threshold < shortest) {
			shortest = threshold
		}
	}
	return shortest
}

func indexByName(names []string) map[string]int {
	index := make(map[string]int, len(names))
	for i, name := range names {
		index[name] = i
	}
	return index
}

// now returns the node's clock: Unix time as of the start, advanced by the monotonic clock alone, so that a step of the
// machine's wall clock moves no timer.
func (n *Node) now() time.Duration { return n.clockTime(time.Now()) }

// clockTime converts a time to the node's clock.
func (n *Node) clockTime(t time.Time) time.Duration {
	return time.Duration(n.startedAt.UnixNano()) + t.Sub(n.startedAt)
}

// observeClock detects steps of the machine's wall clock. Only the listed start times of hosts depend on it.
func (n *Node) observeClock(now time.Time) {
	stepped := n.wallClock.observe(time.Duration(now.UnixNano()), n.clockTime(now))
	if stepped {
		n.log.Warn("wall clock stepped", zap.Duration("offset", n.wallClock.offsets[0]))
	}
}

// HasClassAndTenant reports whether the settings have the class and the tenant of an opening line. It may be called
// from any goroutine.
func (n *Node) HasClassAndTenant(opening *wire.Opening) bool {
	_, hasClass := n.classIndex[opening.Class]
	_, hasTenant := n.tenantIndex[opening.Tenant]
	return hasClass && (hasTenant || len(n.tenantIndex) == 0)
}

// InFlightRequests returns how many requests wait for their final answer. It may be called from any goroutine.
func (n *Node) InFlightRequests() int64 { return n.inFlight.Load() }

// EstablishedConnections returns how many connections are established. It may be called from any goroutine.
func (n *Node) EstablishedConnections() int64 { return n.established.Load() }

// HostCounts returns how many hosts the endpoint list has, and how many of them the node avoids: because they drain, by
// an operator's override, or by the balancer's decision. It may be called from any goroutine.
func (n *Node) HostCounts() (listed, avoided int64) {
	return n.listedHosts.Load(), n.avoidedHosts.Load()
}

// Monitor returns the counts of rule violations. It may be called from any goroutine.
func (n *Node) Monitor() *invariant.Monitor { return n.monitor }
