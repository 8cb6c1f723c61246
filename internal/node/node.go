// Package node runs the event loop of a node, which is one load balancer process. One goroutine, Run, owns the
// balancer, the requests, the hosts and the timers. Connections and discovery post events to the loop, and the loop
// calls them through ClientConn and Transport. The methods of these two interfaces never block, so the two sides cannot
// deadlock. Package balancer makes all placement decisions.
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

// eventQueueSize is the capacity of the event queue.
const eventQueueSize = 1024

// Node is the in-memory state of one node. Only the event loop's goroutine may use its fields, except for atomics,
// channels, and fields that do not change after Run has started.
type Node struct {
	// Fixed by New.
	settings  settings.Settings
	balancer  *balancer.Balancer
	transport Transport
	log       *zap.Logger
	monitor   *invariant.Monitor
	startedAt time.Time
	events    chan event
	done      chan struct{} // closed when Run returns

	// Requests and hosts.
	pendingEvents []balancer.Event // events that the balancer has not handled yet
	requests      map[balancer.RequestID]*request
	executedIDs   *executedIDs
	hosts         map[balancer.ServerID]*hostRecord
	classIndex    map[string]int
	tenantIndex   map[string]int
	zoneIndex     map[string]int

	// List requests to discovery.
	discoveryAddr string
	watchSequence uint64    // sequence number of the last list request
	revision      int64     // revision of the list from discoveryAddr; NoRevision until that address has sent a list
	watching      bool      // a watch is active or being started; only used without polling
	nextWatchAt   time.Time // when to start the next watch; only used without polling

	// Clocks, limits and periodic work.
	wallClock            wallClock // converts the hosts' listed start times to the node's clock
	memoryLimitMB        int       // memory available to the node; 0 for no limit on the hosts
	slowMessageThreshold time.Duration
	timers               timers
	tickCount            int

	// The node's drain, host overrides, the cold start, migrations and the shutdown; each has a file of its own.
	drainState
	overrideState
	coldStartState
	migrationState
	shutdownState

	// Counters.
	inFlight        atomic.Int64 // requests without a final answer
	established     atomic.Int64 // established connections
	listedHosts     atomic.Int64
	avoidedHosts    atomic.Int64
	abandonedCounts map[balancer.Reason]int // rejected and failed requests, by reason
}

// slowMessageDivisor determines the latency above which messages are reported as slow: the shortest message latency
// objective divided by it. The simulator uses the same threshold.
const slowMessageDivisor = 3

// New creates a node from its settings, the last known endpoint list, and the address of discovery. The caller starts
// it with Run.
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
		executedIDs:          newExecutedIDs(),
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
		abandonedCounts: map[balancer.Reason]int{},
	}
	n.applyList(&known, balancer.ListCached, false)
	n.revision = known.Revision
	return n
}

// slowMessageThreshold returns the message latency above which the balancer is notified; 0 turns notifications off.
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

// now returns the time by the node's clock: the Unix time at the node's start plus the monotonic time elapsed since
// then. A step of the machine's wall clock therefore does not move any timer.
func (n *Node) now() time.Duration { return n.clockTime(time.Now()) }

// clockTime converts a time to the node's clock.
func (n *Node) clockTime(t time.Time) time.Duration {
	return time.Duration(n.startedAt.UnixNano()) + t.Sub(n.startedAt)
}

// observeClock detects steps of the machine's wall clock. Only the conversion of the hosts' listed start times uses
// the wall clock.
func (n *Node) observeClock(now time.Time) {
	stepped := n.wallClock.observe(time.Duration(now.UnixNano()), n.clockTime(now))
	if stepped {
		n.log.Warn("wall clock stepped", zap.Duration("offset", n.wallClock.offsets[0]))
	}
}

// HasClassAndTenant reports whether the settings contain the class and the tenant of an opening line. Any tenant is
// accepted if the settings contain none. It may be called from any goroutine.
func (n *Node) HasClassAndTenant(opening *wire.Opening) bool {
	_, hasClass := n.classIndex[opening.Class]
	_, hasTenant := n.tenantIndex[opening.Tenant]
	return hasClass && (hasTenant || len(n.tenantIndex) == 0)
}

// InFlightRequests returns the number of requests without a final answer. It may be called from any goroutine.
func (n *Node) InFlightRequests() int64 { return n.inFlight.Load() }

// EstablishedConnections returns the number of established connections. It may be called from any goroutine.
func (n *Node) EstablishedConnections() int64 { return n.established.Load() }

// HostCounts returns the number of hosts in the endpoint list, and how many of them the node avoids because they are
// draining, because an operator overrides them, or because the balancer avoids them. It may be called from any
// goroutine.
func (n *Node) HostCounts() (listed, avoided int64) {
	return n.listedHosts.Load(), n.avoidedHosts.Load()
}

// Monitor returns the counts of rule violations. It may be called from any goroutine.
func (n *Node) Monitor() *invariant.Monitor { return n.monitor }
