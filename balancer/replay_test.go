package balancer

import (
	"container/heap"
	"fmt"
	"hash"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"
)

// dueTimer is a timer that the balancer has set. Its number keeps timers for the same time in order.
type dueTimer struct {
	at     time.Duration
	number int
	token  string
}

type timerHeap []dueTimer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].number < h[j].number
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *timerHeap) Push(x any) { *h = append(*h, x.(dueTimer)) }

func (h *timerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// openAttempt is a pending attempt or an established connection.
type openAttempt struct {
	id          RequestID
	number      int
	server      ServerID
	established bool
}

// replay feeds seeded random events, which depend on the balancer's actions, to a balancer and hashes the actions.
type replay struct {
	rng         *rand.Rand
	settings    Settings
	balancer    *Balancer
	digest      hash.Hash64
	now         time.Duration
	timers      timerHeap
	timerNumber int
	attempts    map[RequestID]int
	open        []openAttempt
	servers     int
	sends       int
}

func newReplay(settings Settings) *replay {
	return &replay{
		rng:      rand.New(rand.NewPCG(settings.Seed, 11)),
		settings: settings,
		balancer: New(settings),
		digest:   fnv.New64a(),
		now:      time.Hour,
		attempts: map[RequestID]int{},
		servers:  12,
	}
}

// handle passes an event to the balancer, then hashes and carries out its actions. The hash leaves out the text of log
// lines, which is not a decision.
func (r *replay) handle(event Event) {
	for _, action := range slices.Clone(r.balancer.Handle(r.now, event)) {
		switch a := action.(type) {
		case Log:
			fmt.Fprintln(r.digest, r.now, "Log")
			continue
		case SetTimer:
			r.timerNumber++
			heap.Push(&r.timers, dueTimer{max(a.At, r.now), r.timerNumber, a.Token})
		case Send:
			r.sends++
			r.open = append(r.open, openAttempt{id: a.ID, number: r.attempts[a.ID], server: a.Server})
			r.attempts[a.ID]++
		}
		fmt.Fprintf(r.digest, "%d %T %v\n", r.now, action, action)
	}
}

// advance advances the clock. Timers that expire in the meantime are handled at their time, truncated to the
// microsecond.
func (r *replay) advance(span time.Duration) {
	until := r.now + span
	for len(r.timers) > 0 && r.timers[0].at <= until {
		timer := heap.Pop(&r.timers).(dueTimer)
		r.now = max(r.now, timer.at.Truncate(time.Microsecond))
		r.handle(Timer{Token: timer.token})
	}
	r.now = until
}

// duration returns a random duration up to a bound.
func (r *replay) duration(bound time.Duration) time.Duration {
	return time.Duration(r.rng.Int64N(int64(bound)/1000)) * time.Microsecond
}

func (r *replay) server(i int) Server {
	return Server{
		ID:     ServerID(fmt.Sprintf("s%02d", i)),
		Zone:   i % 3,
		Cell:   i % 5,
		Weight: 1 + float64(i%3),
	}
}

func (r *replay) arrival(number int) Arrival {
	class := r.rng.IntN(len(r.settings.Classes))
	arrival := Arrival{
		ID:        RequestID(fmt.Sprint("r", number)),
		Class:     class,
		Tenant:    r.rng.IntN(5) - 1,
		Key:       fmt.Sprint("key", r.rng.IntN(300)),
		TimeLeft:  r.settings.Classes[class].Deadline - r.duration(600*ms),
		Retry:     r.rng.IntN(6) == 0,
		MidFlow:   r.rng.IntN(12) == 0,
		Reconnect: r.rng.IntN(5) == 0,
	}
	if r.rng.IntN(3) > 0 {
		arrival.Group = fmt.Sprint("group", int(r.rng.ExpFloat64()*4))
	}
	if r.rng.IntN(20) == 0 {
		arrival.Key = ""
	}
	return arrival
}

// listEvent returns a random change of the endpoint list.
func (r *replay) listEvent(number int) ListEvent {
	event := ListEvent{Revision: int64(number)}
	switch r.rng.IntN(12) {
	case 0:
		event.Kind = ListFailed
		return event
	case 1:
		event.Kind = ListSnapshot
		r.servers = r.rng.IntN(20)
		for i := range r.servers {
			event.Servers = append(event.Servers, r.server(i))
		}
		return event
	case 2:
		event.Kind = ListCached
		for i := range r.servers {
			server := r.server(i)
			server.StartedAt, server.AssumedStart = r.now, r.rng.IntN(4) == 0
			event.Servers = append(event.Servers, server)
		}
		return event
	case 3, 4:
		event.Kind = ListOverride
	default:
		event.Kind = ListDelta
	}
	event.Superseded = r.rng.IntN(5) == 0
	for range 1 + r.rng.IntN(3) {
		server := r.server(r.rng.IntN(r.servers + 2))
		switch r.rng.IntN(6) {
		case 0:
			server.State = Draining
		case 1:
			server.State = Removed
		case 2:
			server.StartedAt = r.now - r.duration(5*time.Second)
		case 3:
			server.EjectFor = r.duration(3 * time.Second)
		}
		event.Servers = append(event.Servers, server)
	}
	return event
}

// outcome returns a random outcome of an attempt: mostly success, but mostly faults of all servers in phase 1 and of
// server s03 in phase 2.
func (r *replay) outcome(phase int, server ServerID) Outcome {
	faulty := phase == 1 && r.rng.IntN(10) < 8 || phase == 2 && server == "s03"
	if faulty || r.rng.IntN(25) == 0 {
		return Outcome(1 + r.rng.IntN(7))
	}
	return Served
}

// step generates and handles one random event.
func (r *replay) step(number int) {
	phase := number / 1500 % 5 // normal, all servers overloaded, one faulty server, late messages, graceful shutdown
	pause := 12 * ms
	if phase == 1 {
		pause = 3 * ms
	}
	r.advance(r.duration(pause))
	pick := func() int { return r.rng.IntN(len(r.open)) }
	kind := r.rng.IntN(100)
	switch {
	case kind < 30:
		r.handle(r.arrival(number))
	case kind < 32:
		r.handle(Inherited{Arrival: r.arrival(number), Server: r.server(r.rng.IntN(r.servers + 1)).ID})
	case kind == 32 && r.rng.IntN(2) == 0:
		r.handle(r.listEvent(number))
	case kind < 34:
		r.handle(PeerMessage{From: 1, Data: []byte("x")})
	case phase == 4 && number%1500 == 750:
		r.handle(Drain{})
	case phase == 4 && number%300 == 0:
		r.handle(Drain{
			Active:          true,
			Deadline:        r.now + 4*time.Second,
			AdmissionCutoff: r.now + r.duration(time.Second),
			RetryAfter:      700 * ms,
			KeepConnections: r.rng.IntN(2) == 0,
		})
	case phase != 4 && number%1500 == 1:
		r.handle(Drain{})
	case len(r.open) == 0:
		r.handle(Timer{Token: "other"})
	case kind < 52:
		r.establish(phase, pick())
	case kind < 80:
		r.end(phase, pick())
	case kind < 90:
		r.handle(LoadReport{ID: r.open[pick()].id, Load: 20 + 400*r.rng.Float64()})
	case kind < 95:
		bound := 45 * ms
		if phase == 3 {
			bound = 400 * ms
		}
		r.handle(LatencyReport{ID: r.open[pick()].id, Latency: r.duration(bound)})
	case kind < 98:
		r.handle(ClientDisconnected{ID: r.open[pick()].id})
	default:
		r.handle(Established{ID: "unknown", Took: ms})
	}
}

// establish establishes the connection of an open attempt, slowly while all servers are overloaded.
func (r *replay) establish(phase, i int) {
	attempt := &r.open[i]
	took := 5*ms + r.duration(60*ms)
	if phase == 1 {
		took = r.duration(900 * ms)
	}
	if !attempt.established {
		attempt.established = true
		r.handle(Established{ID: attempt.id, Attempt: attempt.number, Server: attempt.server, Took: took})
	}
}

// end ends an open attempt or an established connection.
func (r *replay) end(phase, i int) {
	attempt := r.open[i]
	r.open = slices.Delete(r.open, i, i+1)
	r.handle(AttemptEnded{
		ID:      attempt.id,
		Attempt: attempt.number,
		Server:  attempt.server,
		Took:    r.duration(800 * ms),
		Outcome: r.outcome(phase, attempt.server),
		Final:   r.rng.IntN(9) == 0,
	})
}

// run handles the first endpoint list, then all random events, and returns the hash of all actions.
func (r *replay) run() uint64 {
	var fleet []Server
	for i := range r.servers {
		fleet = append(fleet, r.server(i))
	}
	r.handle(ListEvent{Kind: ListCached, Revision: 1, Servers: fleet})
	for number := range eventsPerReplay {
		r.step(number + 2)
	}
	return r.digest.Sum64()
}
