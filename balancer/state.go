package balancer

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

// The types of what a node remembers, and small helpers. No decision is made here.

// attempt is one send of a request.
type attempt struct {
	server      *server
	sentAt      time.Duration
	pending     bool // no outcome yet
	notExecuted bool // its outcome proves that it never ran
}

// request is one client's connection, wanted or open.
type request struct {
	Arrival
	deadline      time.Duration
	attempts      []attempt
	establishedOn *server // where it stands
	load          float64
	answered      bool // has had its final answer
}

// Balancer decides for one node.
type Balancer struct {
	settings                           Settings
	now                                time.Duration
	actions                            []Action
	rng                                *rand.Rand
	minMessageObjective, limitRecovery time.Duration // shortest message aim; time in which a limit grows back
	minDeadline                        time.Duration // shortest deadline
	minSetupObjective                  time.Duration // shortest set-up aim
	table                              table
	servers                            map[ServerID]*server
	requests                           map[RequestID]*request
	scans                              uint64

	fleetLoad, usableCapacity, fleetWeight float64   // summed by weigh
	maxFleetWeight                         float64   // the largest weight so far
	zoneWeight                             float64   // the weight in this node's zone
	maxProbes                              int       // how many servers a group may newly stand on in a short fleet
	groupCost                              float64   // what a group costs a server that holds it
	ignoreEjections, fleetOverloaded       bool      // most is suspect, so that is set aside; most of what is known is crowded
	meanLoad                               float64   // mean load of a connection, 0 while no note has come
	classMeanLoads                         []float64 // the same of each class
	connectionQuota                        float64   // this node's part of what the tenants may have open
	setupRate, setupsThisSecond            float64   // set-ups a second, and in the second that runs
	arrivalsLastSecond, arrivalsThisSecond float64   // requests that came in the last whole second, and in the one that runs

	sendInterval        time.Duration // least time between paced sends, 0 for none
	nextSendAt          time.Duration // when the next one may be sent
	pacedAt             time.Duration // when the interval was last set: what was sent before tells nothing of it
	setupTime           time.Duration // what a set-up takes of late, over all servers
	lastFailed          *server       // the one that failed a set-up last
	consecutiveFailures int           // how many did in a row, none twice on end
	setupsInFlight      int           // set-ups under way
	pacingQueue         []*request    // wait for their turn
	timerAt             time.Duration // when their timer falls due
	connectionCount     int           // connections and attempts under way, and those of each group
	groupConnections    map[string]int
	tenantConnections   []int // open connections of each, the last for requests of none

	drain      Drain     // the node's own drain
	reinstated []*server // that operators called back and that have had nothing since, the first one first

	started, polling, watching    bool
	polledAt, nextPollAt, backoff time.Duration
	secondStartedAt, startedAt    time.Duration // when the second that runs began, and the first one
	setupsTotal                   float64       // set-ups since
}

// server is what this node knows of one listed server, all of it from its own traffic and its list.
type server struct {
	id         ServerID
	hash       uint64
	zone, cell int
	weight     float64
	state      nodeState
	parity     int

	startedAt, changedAt time.Duration // its start; when it began to drain or fill
	assumedStart         bool          // since is not told, but guessed
	entryCount           int           // first-hop entries that it holds
	entryIndexes         []int32       // which they are, in order where ordered; some may be others' by now
	entriesSorted        bool

	connections int            // open connections and attempts under way
	load        float64        // their summed load
	groups      map[string]int // of each group, how many of them

	reinstatedAt time.Duration // when an operator called it back, until it is used again; 0 for not

	consecutiveFailures int           // failures since the last success
	ejectedUntil        time.Duration // skipped until then

	loadLimit, peakLoad       float64       // load it was last cut to, and had most: the limit grows by that
	limitedAt                 time.Duration // when it was cut
	resets                    int           // connections that it broke at once, the last of them at lostAt
	lastResetAt               time.Duration
	loadBeforeResets          float64       // what it bore before
	messageLatency, latencyAt time.Duration // how long messages took, and when that was told

	tokens float64 // cold budget left, in connections, of the window that began at refill
	// maxPerWindow bounds what a cold server may get in any FallWindow, 0 for no bound; sentAt is when it got it, in order.
	maxPerWindow    int
	recentSendTimes []time.Duration
	refilledAt      time.Duration
	lastScan        uint64 // stamp of the walk that last met it
}

// nodeState is a server's state in the table (the source's four states).
type nodeState uint8

const inactive, active, draining, filling nodeState = 0, 1, 2, 3

// table holds the first and second hops. It is built and changed only from the server list, so nodes that saw
// the same changes hold the same table.
type table struct {
	first, second []*server
	holders       []*server // servers that are not inactive, by id
	changing      bool      // some of them drain or fill
	states        stateLists
}

// tableSize is how many entries each hop has for so many servers: a power of two of at least servers*floor(servers/2) and
// minEntries. That grows with the square: past largeTable entries a server has minShare entries or more instead.
func tableSize(servers int) int {
	entries := min(servers*(servers/2), max(largeTableSize, minServerEntries*servers))
	return 1 << bits.Len(uint(max(entries, minTableSize)-1))
}

// EstimateMemory reckons the memory in bytes that a list of so many servers takes: both hops, the entries that each server
// knows as its own, at worst twice, and what is remembered of each.
func EstimateMemory(servers int) int { return tableSize(servers)*(2*8+2*4) + servers<<11 }

func (b *Balancer) emit(a Action)   { b.actions = append(b.actions, a) }
func (b *Balancer) log(text string) { b.emit(Log{text}) }
func (b *Balancer) jitter(span time.Duration) time.Duration {
	return time.Duration(b.rng.Float64() * float64(span))
}

// inState lists the holders in a state, by id.
func (t *table) inState(state nodeState) (out []*server) {
	for _, s := range t.holders {
		if s.state == state {
			out = append(out, s)
		}
	}
	return out
}

// syncSecondHops goes through the second hop once for all that were taken out: for each, it would hold up a large fleet.
func (t *table) syncSecondHops() {
	for i, s := range t.second {
		if s != nil && s.state == inactive {
			t.second[i] = t.first[i]
		}
	}
}

// ownEntries are the first-hop entries that a server holds, in order.
func (s *server) ownEntries(first []*server) (out []int) {
	s.sortEntries(first)
	for _, i := range s.entryIndexes {
		if first[i] == s {
			out = append(out, int(i))
		}
	}
	return out
}

// firstEntry is the first of them; it must hold one.
func (s *server) firstEntry(first []*server) int {
	for s.sortEntries(first); first[s.entryIndexes[0]] != s; {
		s.entryIndexes = s.entryIndexes[1:]
	}
	return int(s.entryIndexes[0])
}

// sortEntries puts at in order and forgets what is not its own. A search of the whole table for each server's entries took a
// second of a fleet of 1,000 of which half was replaced.
func (s *server) sortEntries(first []*server) {
	if s.entriesSorted {
		return
	}
	s.entryIndexes = slices.DeleteFunc(s.entryIndexes, func(i int32) bool { return first[i] != s })
	slices.Sort(s.entryIndexes)
	s.entryIndexes, s.entriesSorted = slices.Compact(s.entryIndexes), true
}

// Avoids reports whether a server gets nothing new now, because it fails attempts or was told to drain.
func (b *Balancer) Avoids(id ServerID) bool {
	s := b.servers[id]
	return s == nil || s.state == inactive || s.state == draining || b.isEjected(s) && !b.ignoreEjections
}

// clearReinstated notes that a server that was called back is in use again, or gone.
func (b *Balancer) clearReinstated(s *server) {
	if s.reinstatedAt > 0 {
		s.reinstatedAt, b.reinstated = 0, slices.DeleteFunc(b.reinstated, func(o *server) bool { return o == s })
	}
}

func byID(a, b *server) int { return cmp.Compare(a.id, b.id) }

// adjustCounts adds a request to its server, or takes it off again with n = -1.
func (b *Balancer) adjustCounts(s *server, r *request, n int) {
	s.connections += n
	s.load += float64(n) * r.load
	b.fleetLoad += float64(n) * r.load
	if b.connectionCount += n; s.connections == 0 {
		s.load = 0 // no drift from rounding
	}
	b.tenantConnections[r.Tenant] += n
	for _, in := range []map[string]int{b.groupConnections, s.groups} {
		if in[r.Group] += n; in[r.Group] <= 0 {
			delete(in, r.Group)
		}
	}
}

// updateLoad takes in a connection's load now. The first note sets the unit of all loads without one.
func (b *Balancer) updateLoad(r *request, load float64) {
	if r == nil || r.establishedOn == nil || load <= 0 {
		return
	}
	if b.meanLoad == 0 {
		b.meanLoad = load
		for _, s := range b.servers {
			s.load = float64(s.connections) * load
		}
		for _, q := range b.requests {
			q.load = load
		}
	}
	r.establishedOn.load += load - r.load
	b.fleetLoad += load - r.load
	r.load = load
	m := &b.classMeanLoads[r.Class]
	*m = cmp.Or(*m, load)
	*m += loadSmoothing * (load - *m)
	b.meanLoad += loadSmoothing * (load - b.meanLoad)
	if r.Group != "" {
		b.groupCost = b.meanLoad // the settings tell that a group has its price, not which: one mean load
	}
}

// isSetup reports whether its last attempt sets a connection up: the first of a mid-flow arrival goes on where it
// stands, and calls nothing that servers share.
func (r *request) isSetup() bool { return !r.MidFlow || len(r.attempts) > 1 }

// pendingAttempt finds an attempt that is still out; attempts of a request run one at a time.
func (b *Balancer) pendingAttempt(id RequestID, n int) (*request, *attempt) {
	if r := b.requests[id]; r != nil && n >= 0 && n == len(r.attempts)-1 && r.attempts[n].pending {
		return r, &r.attempts[n]
	}
	return nil, nil
}

// New starts a node that knows only its settings.
func New(s Settings) *Balancer {
	b := &Balancer{settings: s, servers: map[ServerID]*server{}, requests: map[RequestID]*request{}}
	b.rng, b.groupConnections = rand.New(rand.NewPCG(s.Seed, uint64(s.NodeIndex))), map[string]int{}
	b.settings.Tenants, b.tenantConnections = append(slices.Clip(s.Tenants), Tenant{}), make([]int, len(s.Tenants)+1)
	b.classMeanLoads, b.settings.Classes = make([]float64, len(s.Classes)), slices.Clone(s.Classes)
	for _, t := range s.Tenants {
		b.connectionQuota += t.ConnectionQuota / float64(max(s.NodeCount, 1))
	}
	for i, c := range s.Classes {
		b.settings.Classes[i].SetupLatencyObjective = cmp.Or(c.SetupLatencyObjective, c.Deadline, time.Second) // none told: no hurry
		if p := b.settings.Classes[i].SetupLatencyObjective; i == 0 || p < b.minSetupObjective {
			b.minSetupObjective = p
		}
		if i == 0 || c.Deadline < b.minDeadline {
			b.minDeadline = c.Deadline
		}
		b.limitRecovery = max(b.limitRecovery, limitRecoveryDeadlines*c.Deadline)
		if c.MessageLatencyObjective > 0 && (b.minMessageObjective == 0 || c.MessageLatencyObjective < b.minMessageObjective) {
			b.minMessageObjective = c.MessageLatencyObjective
		}
	}
	return b
}
