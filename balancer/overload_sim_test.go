package balancer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// overloadSim simulates a fleet in virtual time. All connection setups depend on one backend, which processes them one
// after the other, including those that have timed out. Clients whose requests are rejected retry until they are
// served.
type overloadSim struct {
	rng           *rand.Rand
	fleet         []*Balancer
	clients       map[RequestID]*simClient // clients with a request or a connection, by its id
	now           time.Duration
	queue         simQueue
	sequence      int
	backendFreeAt time.Duration // when the backend will have processed its queue
	setupCost     time.Duration // time that the backend takes for one setup
	meanLifetime  time.Duration // mean lifetime of a connection

	deadlines []time.Duration // by class
	times     []clientTime    // by class
	// times is complete up to accountedUntil. Later calls of accountTime add no time before accountedFrom.
	accountedUntil, accountedFrom time.Duration
}

// clientTime sums up, for a class, the time in which clients wanted a connection and the time in which they had a
// connection. A client that has a connection also counts as wanting it.
type clientTime struct {
	established, wanted         int // present number of clients with a connection, and of those that want one
	establishedTime, wantedTime time.Duration
	attempted, succeeded        int // clients that made a request, and those that got a connection
}

// served returns the fraction of wantedTime in which clients had a connection.
func (c clientTime) served() float64 { return float64(c.establishedTime) / float64(c.wantedTime) }

func newOverloadSim(seed uint64, deadlines []time.Duration) *overloadSim {
	return &overloadSim{
		rng:          rand.New(rand.NewPCG(seed, 3)),
		clients:      map[RequestID]*simClient{},
		meanLifetime: 40 * time.Second,
		deadlines:    deadlines,
		times:        make([]clientTime, len(deadlines)),
	}
}

type simClient struct {
	id          RequestID
	key         string
	class       int
	node        int
	retries     int
	attempt     int
	established bool
}

type simEvent struct {
	at       time.Duration
	sequence int
	do       func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }

func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *simQueue) Push(x any) { *q = append(*q, x.(simEvent)) }

func (q *simQueue) Pop() any {
	x := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return x
}

// maxScheduled bounds the number of scheduled events, to detect a node that sets ever more timers.
const maxScheduled = 100_000

func (sim *overloadSim) schedule(d time.Duration, do func()) {
	if sim.sequence++; len(sim.queue) > maxScheduled {
		panic(fmt.Sprintf("at %v, with %d clients, over %d timers are set", sim.now, len(sim.clients), maxScheduled))
	}
	heap.Push(&sim.queue, simEvent{sim.now + d, sim.sequence, do})
}

func (sim *overloadSim) drawDuration(from, to time.Duration) time.Duration {
	return from + time.Duration(sim.rng.Float64()*float64(to-from))
}

func (sim *overloadSim) startNode(seed uint64, i, nodes int, quota float64) *Balancer {
	s := testSettings()
	s.Seed = seed
	s.NodeIndex = i
	s.NodeCount = nodes
	s.PollList = false
	s.MaxAttempts = 3
	s.MaxRetryAfter = time.Second
	s.Classes = nil
	for _, d := range sim.deadlines {
		s.Classes = append(s.Classes, Class{
			SetupLatencyObjective:   d / 4,
			Deadline:                d,
			MessageLatencyObjective: 100 * ms,
			PriorityWeight:          1,
		})
	}
	s.Tenants = []Tenant{{ConnectionQuota: quota}}
	b := New(s)
	sim.handle(i, b, ListEvent{Kind: ListSnapshot, Revision: 1, Servers: testFleet(20)})
	return b
}

// handle passes an event to a node and carries out the resulting actions. Timers of a node that has restarted since are
// ignored.
func (sim *overloadSim) handle(i int, b *Balancer, e Event) {
	for _, a := range slices.Clone(b.Handle(sim.now, e)) {
		switch a := a.(type) {
		case SetTimer:
			sim.schedule(a.At-sim.now, func() {
				if i >= len(sim.fleet) || sim.fleet[i] == b {
					sim.handle(i, b, Timer{Token: a.Token})
				}
			})
		case Send:
			sim.send(i, b, a)
		case Reject:
			sim.retry(a.ID, a.RetryAfter)
		case Fail:
			sim.retry(a.ID, 0)
		}
	}
}

func (sim *overloadSim) send(i int, b *Balancer, a Send) {
	c := sim.clients[a.ID]
	n := c.attempt
	c.attempt++
	if sim.backendFreeAt = max(sim.backendFreeAt, sim.now); sim.now > 3*time.Second {
		sim.backendFreeAt += sim.setupCost
	}
	took := sim.backendFreeAt - sim.now + sim.drawDuration(20*ms, 40*ms)
	if took > a.Timeout {
		sim.schedule(a.Timeout, func() {
			sim.handle(i, b, AttemptEnded{ID: a.ID, Attempt: n, Server: a.Server, Took: a.Timeout, Outcome: ResponseTimeout})
		})
		return
	}
	sim.schedule(took, func() {
		if sim.clients[a.ID] != c {
			return
		}
		sim.handle(i, b, Established{ID: a.ID, Attempt: n, Server: a.Server, Took: took})
		sim.accountTime(c.class, 1, 0)
		sim.times[c.class].succeeded++
		c.established = true
		sim.schedule(time.Duration(sim.rng.ExpFloat64()*float64(sim.meanLifetime)), func() {
			if c.established && c.id == a.ID {
				c.established = false
				delete(sim.clients, a.ID)
				sim.accountTime(c.class, -1, -1)
				sim.handle(i, b, AttemptEnded{ID: a.ID, Attempt: n, Server: a.Server, Outcome: Served})
			}
		})
	})
}

// accountTime adds the client time since the last call. It then changes two counts of a class: that of the clients with
// a connection by up, and that of the clients that want one by want.
func (sim *overloadSim) accountTime(class, up, want int) {
	if span := sim.now - max(sim.accountedUntil, sim.accountedFrom); span > 0 {
		for i := range sim.times {
			sim.times[i].establishedTime += span * time.Duration(sim.times[i].established)
			sim.times[i].wantedTime += span * time.Duration(sim.times[i].wanted)
		}
	}
	sim.times[class].established += up
	sim.times[class].wanted += want
	sim.accountedUntil = sim.now
}

// total returns the sum of the client time of all classes.
func (sim *overloadSim) total() (sum clientTime) {
	for _, c := range sim.times {
		sum.establishedTime += c.establishedTime
		sum.wantedTime += c.wantedTime
	}
	return sum
}

// retry schedules the next request of a client that got a rejection or a failure. Two out of three retries follow soon
// or after the Retry-After; the third has a backoff.
func (sim *overloadSim) retry(id RequestID, retryAfter time.Duration) {
	c := sim.clients[id]
	delete(sim.clients, id)
	c.retries++
	wait := sim.drawDuration(15*ms, 120*ms)
	if round := c.retries / 3; c.retries%3 == 0 {
		wait = sim.drawDuration(150*ms, 980*ms) << min(round-1, 3)
	} else if retryAfter > 0 && sim.rng.Float64() < 0.7 {
		wait = retryAfter
	}
	sim.schedule(wait, func() { sim.connect(c) })
}

func (sim *overloadSim) connect(c *simClient) {
	sim.sequence++
	c.id, c.node, c.attempt = RequestID(fmt.Sprintf("c%07d", sim.sequence)), sim.rng.IntN(len(sim.fleet)), 0
	sim.clients[c.id] = c
	b := sim.fleet[c.node]
	sim.handle(c.node, b, Arrival{ID: c.id, Key: c.key, Class: c.class, TimeLeft: b.settings.Classes[c.class].Deadline,
		Retry: c.retries > 0, Reconnect: c.retries > 0})
}

func (sim *overloadSim) addClient() {
	sim.sequence++
	c := &simClient{key: fmt.Sprint("k", sim.sequence), class: sim.rng.IntN(len(sim.deadlines))}
	sim.accountTime(c.class, 0, 1)
	sim.times[c.class].attempted++
	sim.connect(c)
}

func (sim *overloadSim) scheduleArrivals(rate float64) {
	sim.schedule(time.Duration(sim.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		sim.addClient()
		sim.scheduleArrivals(rate)
	})
}

// resetConnections resets a random share of the connections. Their clients reconnect within a second.
func (sim *overloadSim) resetConnections(share float64) {
	var connected []RequestID
	for id, c := range sim.clients {
		if c.established {
			connected = append(connected, id)
		}
	}
	slices.Sort(connected)
	for _, id := range connected {
		if c := sim.clients[id]; sim.rng.Float64() < share {
			c.established = false
			delete(sim.clients, id)
			sim.accountTime(c.class, -1, 0)
			sim.times[c.class].attempted++
			sim.handle(c.node, sim.fleet[c.node], AttemptEnded{ID: id, Attempt: c.attempt - 1, Outcome: ConnectionReset})
			sim.schedule(sim.drawDuration(150*ms, 980*ms), func() { sim.connect(c) })
		}
	}
}

func (sim *overloadSim) run(until time.Duration) {
	for len(sim.queue) > 0 && sim.queue[0].at <= until {
		e := heap.Pop(&sim.queue).(simEvent)
		sim.now = e.at
		e.do()
	}
	sim.now = until
	sim.accountTime(0, 0, 0)
}
