package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Over random events the rules of the protocol hold, two balancers with the same events decide alike, and nothing
// is retained in the end.
func TestInvariants_RandomEvents_Hold(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 0))
		set := testSettings()
		set.Seed = seed
		servers := 8
		if seed%4 > 1 { // a large fleet behind many nodes
			servers, set.NodeCount = 100, 160
		}
		nodes := []*Balancer{New(set), New(set)}
		drainedAt := map[ServerID]time.Duration{} // when a server began to drain
		live := map[RequestID]int{}               // open attempts by request
		sent := map[RequestID]int{}
		done := map[RequestID]bool{}
		now := time.Duration(0)
		step := func(e Event) {
			out := nodes[0].Handle(now, e)
			if twin := nodes[1].Handle(now, e); fmt.Sprint(twin) != fmt.Sprint(out) {
				t.Fatalf("seed %d: the same events drew %v and %v", seed, out, twin)
			}
			for _, a := range out {
				switch a := a.(type) {
				case Send:
					if done[a.ID] {
						t.Fatalf("seed %d: a send after the final answer", seed)
					}
					if at, ok := drainedAt[a.Server]; ok && now > at+set.DrainGrace {
						t.Fatalf("seed %d: a send past the drain grace", seed)
					}
					if live[a.ID]++; live[a.ID] > 1 {
						t.Fatalf("seed %d: two attempts at once", seed)
					}
					if sent[a.ID]++; sent[a.ID] > set.MaxAttempts {
						t.Fatalf("seed %d: too many attempts", seed)
					}
				case Reject:
					if done[a.ID] {
						t.Fatalf("seed %d: two final answers", seed)
					}
					done[a.ID] = true
				case Fail:
					if done[a.ID] {
						t.Fatalf("seed %d: two final answers", seed)
					}
					done[a.ID] = true
				case Migrate:
					done[a.ID] = true
				}
			}
		}
		step(ListEvent{Kind: ListCached, Servers: testFleet(servers)})
		var ids []RequestID
		opened := map[RequestID]bool{}
		for i := range 3000 {
			now += time.Duration(rng.IntN(20)) * ms
			switch k := rng.IntN(20); {
			case k < 8:
				id := RequestID(fmt.Sprint("r", i))
				ids = append(ids, id)
				step(Arrival{ID: id, Class: rng.IntN(5), Key: fmt.Sprint(rng.IntN(40)), Group: fmt.Sprint(rng.IntN(5)),
					TimeLeft: time.Duration(rng.IntN(2000)) * ms, MidFlow: rng.IntN(9) == 0})
			case k < 14 && len(ids) > 0:
				id := ids[rng.IntN(len(ids))]
				if live[id] == 0 {
					break
				}
				if !opened[id] && rng.IntN(2) == 0 {
					opened[id] = true
					step(Established{ID: id, Attempt: sent[id] - 1, Took: 30 * ms})
					break
				}
				live[id]--
				o := Outcome(rng.IntN(8))
				final := opened[id] || done[id] || o == Served
				if final {
					done[id] = true
				}
				step(AttemptEnded{ID: id, Attempt: sent[id] - 1, Took: 100 * ms, Outcome: o, Final: final})
			case k < 16 && len(ids) > 0:
				step(LoadReport{ID: ids[rng.IntN(len(ids))], Load: 1000 * rng.Float64()})
			case k == 16 && len(ids) > 0:
				step(LatencyReport{ID: ids[rng.IntN(len(ids))], Latency: time.Duration(rng.IntN(400)) * ms})
			case k == 17:
				c := testFleet(servers)[rng.IntN(8)]
				c.State = ServerState(rng.IntN(3))
				if delete(drainedAt, c.ID); c.State == Live {
					c.StartedAt = now
				} else {
					drainedAt[c.ID] = now
				}
				if was := nodes[0].servers[c.ID]; was != nil && was.state == draining && c.State != Live {
					drainedAt[c.ID] = was.changedAt
				}
				step(ListEvent{Kind: ListDelta, Servers: []Server{c}})
			case k == 18 && len(ids) > 0:
				id := ids[rng.IntN(len(ids))]
				if !done[id] && !opened[id] {
					done[id] = true
					step(ClientDisconnected{ID: id})
				}
			default:
				step(Timer{Token: sweepToken})
				step(Timer{Token: pacingToken})
			}
		}
		// When every attempt has ended, nothing is held.
		for range 3 {
			for _, id := range ids {
				for live[id] > 0 {
					live[id]--
					done[id] = true
					step(AttemptEnded{ID: id, Attempt: sent[id] - 1, Outcome: Cancelled, Final: true})
				}
			}
			now += 3 * time.Second
			step(Timer{Token: pacingToken})
		}
		for _, n := range nodes {
			if len(n.requests) != 0 || len(n.pacing.queue) != 0 {
				t.Fatalf("seed %d: %d requests are retained", seed, len(n.requests))
			}
			for _, s := range n.servers {
				if s.connections != 0 || len(s.groups) != 0 || s.load != 0 {
					t.Fatalf("seed %d: server %s keeps %+v", seed, s.id, s)
				}
			}
		}
	}
}
