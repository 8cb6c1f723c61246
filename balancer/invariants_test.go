package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// invariantRun feeds the same random events to two balancers and checks the invariants of their actions.
type invariantRun struct {
	t         *testing.T
	seed      uint64
	rng       *rand.Rand
	settings  Settings
	servers   int
	nodes     [2]*Balancer
	now       time.Duration
	ids       []RequestID
	drainedAt map[ServerID]time.Duration // when a server began to drain
	pending   map[RequestID]int          // number of pending attempts
	sent      map[RequestID]int          // number of attempts
	opened    map[RequestID]bool         // the connection was established
	done      map[RequestID]bool         // the request needs no further answer
}

func newInvariantRun(t *testing.T, seed uint64) *invariantRun {
	settings := testSettings()
	settings.Seed = seed
	servers := 8
	if seed%4 > 1 { // a large fleet behind many nodes
		servers = 100
		settings.NodeCount = 160
	}
	return &invariantRun{
		t:         t,
		seed:      seed,
		rng:       rand.New(rand.NewPCG(seed, 0)),
		settings:  settings,
		servers:   servers,
		nodes:     [2]*Balancer{New(settings), New(settings)},
		drainedAt: map[ServerID]time.Duration{},
		pending:   map[RequestID]int{},
		sent:      map[RequestID]int{},
		opened:    map[RequestID]bool{},
		done:      map[RequestID]bool{},
	}
}

// handle passes an event to both balancers and checks their actions.
func (r *invariantRun) handle(e Event) {
	actions := r.nodes[0].Handle(r.now, e)
	if twin := r.nodes[1].Handle(r.now, e); fmt.Sprint(twin) != fmt.Sprint(actions) {
		r.t.Fatalf("seed %d: the same event resulted in %v at one balancer and %v at the other", r.seed, actions, twin)
	}
	for _, action := range actions {
		switch a := action.(type) {
		case Send:
			r.checkSend(a)
		case Reject:
			r.checkFinalAnswer(a.ID)
		case Fail:
			r.checkFinalAnswer(a.ID)
		case Migrate:
			r.done[a.ID] = true
		}
	}
}

// checkSend checks a send against the rules for final answers, drains and the number of attempts.
func (r *invariantRun) checkSend(a Send) {
	if r.done[a.ID] {
		r.t.Fatalf("seed %d: send after the final answer", r.seed)
	}
	if at, ok := r.drainedAt[a.Server]; ok && r.now > at+r.settings.DrainGrace {
		r.t.Fatalf("seed %d: send after the drain grace", r.seed)
	}
	if r.pending[a.ID]++; r.pending[a.ID] > 1 {
		r.t.Fatalf("seed %d: two concurrent attempts of a request", r.seed)
	}
	if r.sent[a.ID]++; r.sent[a.ID] > r.settings.MaxAttempts {
		r.t.Fatalf("seed %d: more than MaxAttempts attempts of a request", r.seed)
	}
}

// checkFinalAnswer checks that a request gets no second final answer.
func (r *invariantRun) checkFinalAnswer(id RequestID) {
	if r.done[id] {
		r.t.Fatalf("seed %d: two final answers", r.seed)
	}
	r.done[id] = true
}

func (r *invariantRun) drawID() RequestID { return r.ids[r.rng.IntN(len(r.ids))] }

// step generates and handles one random event.
func (r *invariantRun) step(number int) {
	r.now += time.Duration(r.rng.IntN(20)) * ms
	kind := r.rng.IntN(20)
	switch {
	case kind < 8:
		r.arrive(RequestID(fmt.Sprint("r", number)))
	case kind < 14 && len(r.ids) > 0:
		r.endAttempt(r.drawID())
	case kind < 16 && len(r.ids) > 0:
		r.handle(LoadReport{ID: r.drawID(), Load: 1000 * r.rng.Float64()})
	case kind == 16 && len(r.ids) > 0:
		r.handle(LatencyReport{ID: r.drawID(), Latency: time.Duration(r.rng.IntN(400)) * ms})
	case kind == 17:
		r.changeServer()
	case kind == 18 && len(r.ids) > 0:
		id := r.drawID()
		if !r.done[id] && !r.opened[id] {
			r.done[id] = true
			r.handle(ClientDisconnected{ID: id})
		}
	default:
		r.handle(Timer{Token: sweepToken})
		r.handle(Timer{Token: pacingToken})
	}
}

func (r *invariantRun) arrive(id RequestID) {
	r.ids = append(r.ids, id)
	r.handle(Arrival{
		ID:       id,
		Class:    r.rng.IntN(5),
		Key:      fmt.Sprint(r.rng.IntN(40)),
		Group:    fmt.Sprint(r.rng.IntN(5)),
		TimeLeft: time.Duration(r.rng.IntN(2000)) * ms,
		MidFlow:  r.rng.IntN(9) == 0,
	})
}

// endAttempt establishes the connection of a pending attempt or ends the attempt.
func (r *invariantRun) endAttempt(id RequestID) {
	if r.pending[id] == 0 {
		return
	}
	if !r.opened[id] && r.rng.IntN(2) == 0 {
		r.opened[id] = true
		r.handle(Established{ID: id, Attempt: r.sent[id] - 1, Took: 30 * ms})
		return
	}
	r.pending[id]--
	outcome := Outcome(r.rng.IntN(8))
	final := r.opened[id] || r.done[id] || outcome == Served
	if final {
		r.done[id] = true
	}
	r.handle(AttemptEnded{ID: id, Attempt: r.sent[id] - 1, Took: 100 * ms, Outcome: outcome, Final: final})
}

// changeServer changes the state of a server in the endpoint list.
func (r *invariantRun) changeServer() {
	entry := testFleet(r.servers)[r.rng.IntN(8)]
	entry.State = ServerState(r.rng.IntN(3))
	delete(r.drainedAt, entry.ID)
	if entry.State == Live {
		entry.StartedAt = r.now
	} else {
		r.drainedAt[entry.ID] = r.now
	}
	srv := r.nodes[0].servers[entry.ID]
	if srv != nil && srv.state == draining && entry.State != Live {
		r.drainedAt[entry.ID] = srv.changedAt
	}
	r.handle(ListEvent{Kind: ListDelta, Servers: []Server{entry}})
}

// endAll ends all pending attempts.
func (r *invariantRun) endAll() {
	for range 3 {
		for _, id := range r.ids {
			for r.pending[id] > 0 {
				r.pending[id]--
				r.done[id] = true
				r.handle(AttemptEnded{ID: id, Attempt: r.sent[id] - 1, Outcome: Cancelled, Final: true})
			}
		}
		r.now += 3 * time.Second
		r.handle(Timer{Token: pacingToken})
	}
}

// checkNothingRetained checks that the balancers retain no state of requests after all attempts have ended.
func (r *invariantRun) checkNothingRetained() {
	for _, n := range r.nodes {
		if len(n.requests) != 0 || len(n.pacing.queue) != 0 {
			r.t.Fatalf("seed %d: %d requests retained", r.seed, len(n.requests))
		}
		for _, s := range n.servers {
			if s.connections != 0 || len(s.groups) != 0 || s.load != 0 {
				r.t.Fatalf("seed %d: server %s retains state: %+v", r.seed, s.id, s)
			}
		}
	}
}

// For any sequence of events, the rules of the protocol hold, two balancers with the same events make the same
// decisions, and no state of a request is retained after its end.
func TestInvariants_RandomEvents_Hold(t *testing.T) {
	for seed := range uint64(40) {
		r := newInvariantRun(t, seed)
		r.handle(ListEvent{Kind: ListCached, Servers: testFleet(r.servers)})
		for number := range 3000 {
			r.step(number)
		}
		r.endAll()
		r.checkNothingRetained()
	}
}
