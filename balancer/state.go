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
	to   *server
	at   time.Duration
	out  bool // no outcome yet
	safe bool // its outcome proves that it never ran
}

// request is one client's connection, wanted or open.
type request struct {
	Arrival
	deadline time.Duration
	attempts []attempt
	conn     *server // where it stands
	load     float64
	answered bool // has had its final answer
}

// Balancer decides for one node.
type Balancer struct {
	set          Settings
	now          time.Duration
	out          []Action
	rng          *rand.Rand
	aim, recover time.Duration // shortest message aim; time in which a limit grows back
	minDeadline  time.Duration // shortest deadline
	minSetupAim  time.Duration // shortest set-up aim
	table        table
	servers      map[ServerID]*server
	reqs         map[RequestID]*request
	walks        uint64

	load, usable, weight float64   // summed by weigh
	most                 float64   // the largest weight so far
	own                  float64   // the weight in this node's zone
	reach                int       // how many servers a group may newly stand on in a short fleet
	group                float64   // what a group costs a server that holds it
	trusting, short      bool      // most is suspect, so that is set aside; most of what is known is crowded
	unit                 float64   // mean load of a connection, 0 while no note has come
	means                []float64 // the same of each class
	quota                float64   // this node's part of what the tenants may have open
	rate, placed         float64   // set-ups a second, and in the second that runs
	came, coming         float64   // requests that came in the last whole second, and in the one that runs

	sendInterval time.Duration // least time between paced sends, 0 for none
	nextSendAt   time.Duration // when the next one may be sent
	pacedAt      time.Duration // when the interval was last set: what was sent before tells nothing of it
	setupTime    time.Duration // what a set-up takes of late, over all servers
	lastFailed   *server       // the one that failed a set-up last
	failures     int           // how many did in a row, none twice on end
	setupsOut    int           // set-ups under way
	pacingQueue  []*request    // wait for their turn
	timerAt      time.Duration // when their timer falls due
	open         int           // connections and attempts under way, and those of each group
	groups       map[string]int
	tenants      []int // open connections of each, the last for requests of none

	leaving   Drain     // the node's own drain
	returning []*server // that operators called back and that have had nothing since, the first one first

	sweeping, asking, watching bool
	askedAt, askNotBy, backoff time.Duration
	secondAt, born             time.Duration // when the second that runs began, and the first one
	total                      float64       // set-ups since
}

// server is what this node knows of one listed server, all of it from its own traffic and its list.
type server struct {
	id         ServerID
	hash       uint64
	zone, cell int
	weight     float64
	state      nodeState
	parity     int

	since, changedAt time.Duration // its start; when it began to drain or fill
	guess            bool          // since is not told, but guessed
	entries          int           // first-hop entries that it holds
	at               []int32       // which they are, in order where ordered; some may be others' by now
	ordered          bool

	conns  int            // open connections and attempts under way
	load   float64        // their summed load
	groups map[string]int // of each group, how many of them

	backAt time.Duration // when an operator called it back, until it is used again; 0 for not

	failures     int           // failures since the last success
	ejectedUntil time.Duration // skipped until then

	limit, peak        float64       // load it was last cut to, and had most: the limit grows by that
	limitAt            time.Duration // when it was cut
	lost               int           // connections that it broke at once, the last of them at lostAt
	lostAt             time.Duration
	borne              float64       // what it bore before
	message, messageAt time.Duration // how long messages took, and when that was told

	tokens float64 // cold budget left, in connections, of the window that began at refill
	// mostRecent bounds what a cold server may get in any FallWindow, 0 for no bound; sentAt is when it got it, in order.
	mostRecent int
	sentAt     []time.Duration
	refill     time.Duration
	visited    uint64 // stamp of the walk that last met it
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
	entries := min(servers*(servers/2), max(largeTable, minShare*servers))
	return 1 << bits.Len(uint(max(entries, minEntries)-1))
}

// EstimateMemory reckons the memory in bytes that a list of so many servers takes: both hops, the entries that each server
// knows as its own, at worst twice, and what is remembered of each.
func EstimateMemory(servers int) int { return tableSize(servers)*(2*8+2*4) + servers<<11 }

func (b *Balancer) emit(a Action)   { b.out = append(b.out, a) }
func (b *Balancer) log(text string) { b.emit(Log{text}) }
func (b *Balancer) jitter(span time.Duration) time.Duration {
	return time.Duration(b.rng.Float64() * float64(span))
}

// in lists the holders in a state, by id.
func (t *table) in(state nodeState) (out []*server) {
	for _, s := range t.holders {
		if s.state == state {
			out = append(out, s)
		}
	}
	return out
}

// settle goes through the second hop once for all that were taken out: for each, it would hold up a large fleet.
func (t *table) settle() {
	for i, s := range t.second {
		if s != nil && s.state == inactive {
			t.second[i] = t.first[i]
		}
	}
}

// places are the first-hop entries that a server holds, in order.
func (s *server) places(first []*server) (out []int) {
	s.order(first)
	for _, i := range s.at {
		if first[i] == s {
			out = append(out, int(i))
		}
	}
	return out
}

// lowest is the first of them; it must hold one.
func (s *server) lowest(first []*server) int {
	for s.order(first); first[s.at[0]] != s; {
		s.at = s.at[1:]
	}
	return int(s.at[0])
}

// order puts at in order and forgets what is not its own. A search of the whole table for each server's entries took a
// second of a fleet of 1,000 of which half was replaced.
func (s *server) order(first []*server) {
	if s.ordered {
		return
	}
	s.at = slices.DeleteFunc(s.at, func(i int32) bool { return first[i] != s })
	slices.Sort(s.at)
	s.at, s.ordered = slices.Compact(s.at), true
}

// Avoids reports whether a server gets nothing new now, because it fails attempts or was told to drain.
func (b *Balancer) Avoids(id ServerID) bool {
	s := b.servers[id]
	return s == nil || s.state == inactive || s.state == draining || b.ejected(s) && !b.trusting
}

// used notes that a server that was called back is in use again, or gone.
func (b *Balancer) used(s *server) {
	if s.backAt > 0 {
		s.backAt, b.returning = 0, slices.DeleteFunc(b.returning, func(o *server) bool { return o == s })
	}
}

func byID(a, b *server) int { return cmp.Compare(a.id, b.id) }

// count adds a request to its server, or takes it off again with n = -1.
func (b *Balancer) count(s *server, r *request, n int) {
	s.conns += n
	s.load += float64(n) * r.load
	b.load += float64(n) * r.load
	if b.open += n; s.conns == 0 {
		s.load = 0 // no drift from rounding
	}
	b.tenants[r.Tenant] += n
	for _, in := range []map[string]int{b.groups, s.groups} {
		if in[r.Group] += n; in[r.Group] <= 0 {
			delete(in, r.Group)
		}
	}
}

// loaded takes in a connection's load now. The first note sets the unit of all loads without one.
func (b *Balancer) loaded(r *request, load float64) {
	if r == nil || r.conn == nil || load <= 0 {
		return
	}
	if b.unit == 0 {
		b.unit = load
		for _, s := range b.servers {
			s.load = float64(s.conns) * load
		}
		for _, q := range b.reqs {
			q.load = load
		}
	}
	r.conn.load += load - r.load
	b.load += load - r.load
	r.load = load
	m := &b.means[r.Class]
	*m = cmp.Or(*m, load)
	*m += noteSmooth * (load - *m)
	b.unit += noteSmooth * (load - b.unit)
	if r.Group != "" {
		b.group = b.unit // the settings tell that a group has its price, not which: one mean load
	}
}

// setsUp reports whether its last attempt sets a connection up: the first of a mid-flow arrival goes on where it
// stands, and calls nothing that servers share.
func (r *request) setsUp() bool { return !r.MidFlow || len(r.attempts) > 1 }

// running finds an attempt that is still out; attempts of a request run one at a time.
func (b *Balancer) running(id RequestID, n int) (*request, *attempt) {
	if r := b.reqs[id]; r != nil && n >= 0 && n == len(r.attempts)-1 && r.attempts[n].out {
		return r, &r.attempts[n]
	}
	return nil, nil
}

// New starts a node that knows only its settings.
func New(s Settings) *Balancer {
	b := &Balancer{set: s, servers: map[ServerID]*server{}, reqs: map[RequestID]*request{}}
	b.rng, b.groups = rand.New(rand.NewPCG(s.Seed, uint64(s.NodeIndex))), map[string]int{}
	b.set.Tenants, b.tenants = append(slices.Clip(s.Tenants), Tenant{}), make([]int, len(s.Tenants)+1)
	b.means, b.set.Classes = make([]float64, len(s.Classes)), slices.Clone(s.Classes)
	for _, t := range s.Tenants {
		b.quota += t.ConnectionQuota / float64(max(s.NodeCount, 1))
	}
	for i, c := range s.Classes {
		b.set.Classes[i].SetupLatencyObjective = cmp.Or(c.SetupLatencyObjective, c.Deadline, time.Second) // none told: no hurry
		if p := b.set.Classes[i].SetupLatencyObjective; i == 0 || p < b.minSetupAim {
			b.minSetupAim = p
		}
		if i == 0 || c.Deadline < b.minDeadline {
			b.minDeadline = c.Deadline
		}
		b.recover = max(b.recover, recovery*c.Deadline)
		if c.MessageLatencyObjective > 0 && (b.aim == 0 || c.MessageLatencyObjective < b.aim) {
			b.aim = c.MessageLatencyObjective
		}
	}
	return b
}
