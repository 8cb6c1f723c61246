package balancer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// overloadSim is a fleet in virtual time whose set-ups all call one backend, which works through them in turn, also
// through those that timed out. Rejected clients retry until they are served.
type overloadSim struct {
	rng           *rand.Rand
	fleet         []*Balancer
	clients       map[RequestID]*simClient // with a request or connection, by its id
	now           time.Duration
	queue         simQueue
	sequence      int
	backendFreeAt time.Duration // when the backend has worked through its queue
	setupCost     time.Duration // of one set-up at the backend
	meanLifetime  time.Duration // of a connection, on average

	deadlines                     []time.Duration // of each class
	times                         []clientTime    // of each class
	accountedUntil, accountedFrom time.Duration
}

// clientTime is the client time of a class that was wanted and that was served.
type clientTime struct {
	established, wanted         int // clients at this moment
	establishedTime, wantedTime time.Duration
	attempted, succeeded        int // clients that made a request, and those that were established
}

// served is the part of the wanted time that was served.
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
	tries       int
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

// maxScheduled bounds the events that are due: a node that sets ever more timers is a fault.
const maxScheduled = 100_000

func (j *overloadSim) schedule(d time.Duration, do func()) {
	if j.sequence++; len(j.queue) > maxScheduled {
		panic(fmt.Sprintf("at %v, with %d clients, over %d timers are set", j.now, len(j.clients), maxScheduled))
	}
	heap.Push(&j.queue, simEvent{j.now + d, j.sequence, do})
}

func (j *overloadSim) drawDuration(from, to time.Duration) time.Duration {
	return from + time.Duration(j.rng.Float64()*float64(to-from))
}

func (j *overloadSim) startNode(seed uint64, i, nodes int, quota float64) *Balancer {
	s := testSettings()
	s.Seed = seed
	s.NodeIndex = i
	s.NodeCount = nodes
	s.PollList = false
	s.MaxAttempts = 3
	s.MaxRetryAfter = time.Second
	s.Classes = nil
	for _, d := range j.deadlines {
		s.Classes = append(s.Classes, Class{
			SetupLatencyObjective:   d / 4,
			Deadline:                d,
			MessageLatencyObjective: 100 * ms,
			PriorityWeight:          1,
		})
	}
	s.Tenants = []Tenant{{ConnectionQuota: quota}}
	b := New(s)
	j.handle(i, b, ListEvent{Kind: ListSnapshot, Revision: 1, Servers: testFleet(20)})
	return b
}

// handle hands a node an event and carries out its actions. Timers of a node that was restarted are dropped.
func (j *overloadSim) handle(i int, b *Balancer, e Event) {
	for _, a := range slices.Clone(b.Handle(j.now, e)) {
		switch a := a.(type) {
		case SetTimer:
			j.schedule(a.At-j.now, func() {
				if i >= len(j.fleet) || j.fleet[i] == b {
					j.handle(i, b, Timer{Token: a.Token})
				}
			})
		case Send:
			j.send(i, b, a)
		case Reject:
			j.retry(a.ID, a.RetryAfter)
		case Fail:
			j.retry(a.ID, 0)
		}
	}
}

func (j *overloadSim) send(i int, b *Balancer, a Send) {
	c := j.clients[a.ID]
	n := c.attempt
	c.attempt++
	if j.backendFreeAt = max(j.backendFreeAt, j.now); j.now > 3*time.Second {
		j.backendFreeAt += j.setupCost
	}
	took := j.backendFreeAt - j.now + j.drawDuration(20*ms, 40*ms)
	if took > a.Timeout {
		j.schedule(a.Timeout, func() {
			j.handle(i, b, AttemptEnded{ID: a.ID, Attempt: n, Server: a.Server, Took: a.Timeout, Outcome: ResponseTimeout})
		})
		return
	}
	j.schedule(took, func() {
		if j.clients[a.ID] != c {
			return
		}
		j.handle(i, b, Established{ID: a.ID, Attempt: n, Server: a.Server, Took: took})
		j.accountTime(c.class, 1, 0)
		j.times[c.class].succeeded++
		c.established = true
		j.schedule(time.Duration(j.rng.ExpFloat64()*float64(j.meanLifetime)), func() {
			if c.established && c.id == a.ID {
				c.established = false
				delete(j.clients, a.ID)
				j.accountTime(c.class, -1, -1)
				j.handle(i, b, AttemptEnded{ID: a.ID, Attempt: n, Server: a.Server, Outcome: Served})
			}
		})
	})
}

// accountTime adds the client time until now and changes the numbers of clients.
func (j *overloadSim) accountTime(class, up, want int) {
	if span := j.now - max(j.accountedUntil, j.accountedFrom); span > 0 {
		for i := range j.times {
			j.times[i].establishedTime += span * time.Duration(j.times[i].established)
			j.times[i].wantedTime += span * time.Duration(j.times[i].wanted)
		}
	}
	j.times[class].established += up
	j.times[class].wanted += want
	j.accountedUntil = j.now
}

// total is the client time of all classes.
func (j *overloadSim) total() (sum clientTime) {
	for _, c := range j.times {
		sum.establishedTime += c.establishedTime
		sum.wantedTime += c.wantedTime
	}
	return sum
}

// retry schedules the next try of a rejected client: twice soon, or after the Retry-After, then with backoff.
func (j *overloadSim) retry(id RequestID, advice time.Duration) {
	c := j.clients[id]
	delete(j.clients, id)
	c.tries++
	wait := j.drawDuration(15*ms, 120*ms)
	if round := c.tries / 3; c.tries%3 == 0 {
		wait = j.drawDuration(150*ms, 980*ms) << min(round-1, 3)
	} else if advice > 0 && j.rng.Float64() < 0.7 {
		wait = advice
	}
	j.schedule(wait, func() { j.connect(c) })
}

func (j *overloadSim) connect(c *simClient) {
	j.sequence++
	c.id, c.node, c.attempt = RequestID(fmt.Sprintf("c%07d", j.sequence)), j.rng.IntN(len(j.fleet)), 0
	j.clients[c.id] = c
	b := j.fleet[c.node]
	j.handle(c.node, b, Arrival{ID: c.id, Key: c.key, Class: c.class, TimeLeft: b.settings.Classes[c.class].Deadline,
		Retry: c.tries > 0, Reconnect: c.tries > 0})
}

func (j *overloadSim) addClient() {
	j.sequence++
	c := &simClient{key: fmt.Sprint("k", j.sequence), class: j.rng.IntN(len(j.deadlines))}
	j.accountTime(c.class, 0, 1)
	j.times[c.class].attempted++
	j.connect(c)
}

func (j *overloadSim) scheduleArrivals(rate float64) {
	j.schedule(time.Duration(j.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		j.addClient()
		j.scheduleArrivals(rate)
	})
}

// resetConnections breaks a part of the connections; their clients reconnect within a second.
func (j *overloadSim) resetConnections(share float64) {
	var standing []RequestID
	for id, c := range j.clients {
		if c.established {
			standing = append(standing, id)
		}
	}
	slices.Sort(standing)
	for _, id := range standing {
		if c := j.clients[id]; j.rng.Float64() < share {
			c.established = false
			delete(j.clients, id)
			j.accountTime(c.class, -1, 0)
			j.times[c.class].attempted++
			j.handle(c.node, j.fleet[c.node], AttemptEnded{ID: id, Attempt: c.attempt - 1, Outcome: ConnectionReset})
			j.schedule(j.drawDuration(150*ms, 980*ms), func() { j.connect(c) })
		}
	}
}

func (j *overloadSim) run(until time.Duration) {
	for len(j.queue) > 0 && j.queue[0].at <= until {
		e := heap.Pop(&j.queue).(simEvent)
		j.now = e.at
		e.do()
	}
	j.now = until
	j.accountTime(0, 0, 0)
}
