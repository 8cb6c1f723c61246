package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// rollingRestart is a play in which a release of the servers sends a part of the clients away every 1.3 s, while
// all nodes are restarted, a tenth at a time.
type rollingRestart struct {
	nodes     int
	rate      float64 // new clients a second, over all nodes
	room      float64 // what the store bears, as a multiple of that
	first     float64 // share of the clients that come again as the release begins
	step      float64 // the same of each later step
	deadlines []time.Duration
}

// play returns the part of the wanted client time that is served in the half minute from the release on, and of
// each class the part of the clients that asked while it lasted and came up.
func (p rollingRestart) play(seed uint64) (served float64, cameUp []float64) {
	const (
		begin, length  = 10 * time.Second, 12 * time.Second
		steps, batches = 9, 10
	)
	j := newJam(seed, p.deadlines)
	j.each = time.Duration(float64(time.Second) / (p.rate * p.room))
	stands := p.rate * j.life.Seconds()
	for i := range p.nodes {
		j.fleet = append(j.fleet, j.node(seed, i, p.nodes, 1.5*stands))
	}
	j.arrivals(p.rate)
	for range int(stands) {
		j.after(j.between(0, 3*time.Second), j.newcomer)
	}
	j.after(begin, func() { j.drop(p.first) })
	for i := range steps {
		j.after(begin+time.Duration(i+1)*length/steps, func() { j.drop(p.step) })
	}
	for batch := range batches {
		j.after(begin+time.Duration(batch)*length/batches, func() { j.restart(seed, batch, batches) })
	}
	j.run(begin)
	j.since = begin
	for i := range j.times {
		j.times[i].asked, j.times[i].cameUp = 0, 0
	}
	j.run(begin + length)
	for _, c := range j.times {
		cameUp = append(cameUp, float64(c.cameUp)/float64(c.asked))
	}
	j.run(begin + 30*time.Second)
	return j.total().share(), cameUp
}

// restart starts every n-th node anew, once it has answered what waits there for its turn.
func (j *jam) restart(seed uint64, first, n int) {
	for i := first; i < len(j.fleet); i += n {
		old := j.fleet[i]
		quota := old.settings.Tenants[0].ConnectionQuota
		j.do(i, old, Drain{Active: true, Deadline: j.now, AdmissionCutoff: j.now, KeepConnections: true})
		j.fleet[i] = j.node(seed+1, i, len(j.fleet), quota)
	}
}

// Where what all servers call is overloaded, no class of requests is left without service beside others. Nodes that
// had just started, and those that paced in steps, together sent what the store could do and more: its queue stayed
// longer than the shortest deadline, and classes of longer ones alone came up.
func TestPacing_RollingRestart_ServesEveryClass(t *testing.T) {
	for _, c := range []struct {
		rollingRestart
		least float64 // of the wanted time, all classes together
	}{
		{rollingRestart{nodes: 300, rate: 40, room: 6, first: 0.35, step: 0.05,
			deadlines: []time.Duration{700 * ms, 3 * time.Second, 4800 * ms}}, 0.85},
		{rollingRestart{nodes: 300, rate: 40, room: 6, first: 0.3, step: 0.05,
			deadlines: []time.Duration{700 * ms, 6 * time.Second, 6 * time.Second}}, 0.9},
		{rollingRestart{nodes: 300, rate: 40, room: 6, first: 0.1, step: 0.2,
			deadlines: []time.Duration{700 * ms, 3 * time.Second}}, 0.75},
		{rollingRestart{nodes: 300, rate: 40, room: 5, first: 0.4, step: 0.08,
			deadlines: []time.Duration{700 * ms, 900 * ms, 1200 * ms}}, 0.65},
	} {
		t.Run(fmt.Sprintf("%+v", c.rollingRestart), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				served, cameUp := c.play(seed + 1)
				t.Logf("seed %d: %.3f of the time is served, of the classes' clients %.3f came up", seed+1, served, cameUp)
				if slices.Min(cameUp) < slices.Max(cameUp)/2 {
					t.Errorf("seed %d: of the classes' clients %.3f came up, one class less than half of the best", seed+1, cameUp)
				}
				if served < c.least {
					t.Errorf("seed %d: %.3f of the time is served, %g is wanted", seed+1, served, c.least)
				}
			}
		})
	}
}

// lowSampleNode is a node of a large fleet, which is to hold less than a connection on each of its servers.
func lowSampleNode(t *testing.T, classes ...Class) *Balancer {
	t.Helper()
	s := testSettings()
	s.NodeCount, s.Tenants = 80, []Tenant{{ConnectionQuota: 350}}
	if len(classes) > 0 {
		s.Classes = classes
	}
	b := started(t, s, 10)
	if !b.lowSample() {
		t.Fatal("the node sees enough to judge by")
	}
	return b
}

// cameUp has a connection come up at a node.
func cameUp(t *testing.T, b *Balancer, id RequestID, at time.Duration, took time.Duration, midFlow bool) {
	t.Helper()
	sent := sends(b.Handle(at, Arrival{ID: id, Key: string(id), TimeLeft: time.Second, MidFlow: midFlow}))
	if len(sent) != 1 {
		t.Fatalf("%s was not sent", id)
	}
	b.Handle(at+took, Established{ID: id, Server: sent[0].Server, Took: took})
}

// A connection whose packets come to another node goes on at its server in a moment and calls nothing that servers
// share: it is no sign that set-ups are well, nor a turn of theirs. Each halved the interval while every set-up
// failed.
func TestPacing_MidFlowArrival_IsNoSetup(t *testing.T) {
	b := lowSampleNode(t)
	cameUp(t, b, "first", time.Second, 10*ms, false)
	b.pacing.interval, b.pacing.nextSendAt, b.pacing.changedAt = 2*time.Second, 4*time.Second, 2*time.Second
	for i := range 4 {
		cameUp(t, b, RequestID(fmt.Sprint("mid", i)), 2*time.Second+time.Duration(i)*10*ms, ms, true)
	}
	if b.pacing.interval != 2*time.Second || b.pacing.nextSendAt != 4*time.Second {
		t.Errorf("one in %v, the next at %v, after four connections that went on; want 2s and 4s", b.pacing.interval, b.pacing.nextSendAt)
	}
	if cameUp(t, b, "new", 4*time.Second, 10*ms, false); b.pacing.interval != time.Second {
		t.Errorf("one in %v after a good set-up, want half of 2s", b.pacing.interval)
	}
}

// The time that a paced request may wait is that of the shortest deadline for all classes: a class of long
// deadlines took every turn before another could come.
func TestPacing_Wait_IsAlikeForAllClasses(t *testing.T) {
	b := lowSampleNode(t, Class{SetupLatencyObjective: 200 * ms, Deadline: 700 * ms}, Class{SetupLatencyObjective: 800 * ms, Deadline: 4800 * ms})
	cameUp(t, b, "first", time.Second, 10*ms, false)
	b.pacing.interval, b.pacing.nextSendAt, b.pacing.changedAt = 3*time.Second, 4*time.Second, 2*time.Second
	for class, deadline := range []time.Duration{700 * ms, 4800 * ms} {
		for _, c := range []struct {
			before time.Duration // the turn
			waits  bool
		}{{500 * ms, false}, {300 * ms, true}} {
			id := RequestID(fmt.Sprint(class, c.before))
			out := b.Handle(4*time.Second-c.before, Arrival{ID: id, Class: class, Key: "k", TimeLeft: deadline})
			n, refused := finals(out, id)
			if waits := n == 0 && len(sends(out)) == 0; waits != c.waits || !waits && !refused {
				t.Errorf("class %d, %v before its turn: waits %v, refused %v; want it to wait: %v", class, c.before, waits, refused, c.waits)
			}
			b.Handle(4*time.Second-c.before, ClientDisconnected{ID: id})
			b.pacing.queue = nil
		}
	}
}

// A node that begins to pace sends the next one an interval after the last, not at once.
func TestPacing_Begin_MovesTheNextTurn(t *testing.T) {
	b := lowSampleNode(t)
	cameUp(t, b, "first", time.Second, 10*ms, false)
	for i, id := range []RequestID{"a", "b"} {
		at := 2*time.Second + time.Duration(i)*100*ms
		sent := sends(b.Handle(at, Arrival{ID: id, Key: string(id), TimeLeft: 300 * ms}))
		if len(sent) != 1 {
			t.Fatalf("%s was not sent", id)
		}
	}
	for i, id := range []RequestID{"a", "b"} {
		r := b.requests[id]
		b.now = 2400*ms + time.Duration(i)*ms
		b.observeSetup(r, &r.attempts[0], 300*ms, true)
	}
	if b.pacing.interval != maxSendInterval {
		t.Fatalf("two servers failed in a row, one in %v is sent; want %v", b.pacing.interval, maxSendInterval)
	}
	out := b.Handle(2500*ms, Arrival{ID: "next", Key: "n", TimeLeft: 2 * time.Second})
	if n, refused := finals(out, "next"); len(sends(out)) != 0 || n != 1 || !refused {
		t.Errorf("half a second after the last send the next one goes out: %v", out)
	}
	if out = b.Handle(5200*ms, Arrival{ID: "later", Key: "l", TimeLeft: 2 * time.Second}); len(sends(out)) != 1 {
		t.Errorf("an interval after the last send nothing goes out: %v", out)
	}
}

// A node that has just started sends one set-up on, and more as they come up; what waits for that is answered in
// time.
func TestPacing_SlowStart_OneSetupUntilOneCameUp(t *testing.T) {
	b := lowSampleNode(t)
	arrive := func(at time.Duration, id RequestID) []Action {
		return slices.Clone(b.Handle(at, Arrival{ID: id, Key: string(id), TimeLeft: 2 * time.Second}))
	}
	first := sends(arrive(time.Second, "r0"))
	if len(first) != 1 {
		t.Fatal("the first one was not sent")
	}
	for i := 1; i < 4; i++ {
		if out := arrive(time.Second, RequestID(fmt.Sprint("r", i))); len(sends(out)) != 0 {
			t.Fatalf("a second set-up is under way before the first has told: %v", out)
		}
	}
	out := slices.Clone(b.Handle(1020*ms, Established{ID: "r0", Server: first[0].Server, Took: 20 * ms}))
	if n := len(sends(out)); n != 2 {
		t.Errorf("after one came up %d are sent, want 2", n)
	}
	answered := 0
	for at := 1100 * ms; at < 3*time.Second; at += 100 * ms { // nothing else tells
		if n, _ := finals(b.Handle(at, Timer{Token: pacingToken}), "r3"); n > 0 {
			answered++
		}
	}
	if answered != 1 || len(b.pacing.queue) != 0 {
		t.Errorf("who waited had %d answers, %d wait still", answered, len(b.pacing.queue))
	}
	for i := range 2 * maxAwaitingSetup {
		arrive(4*time.Second, RequestID(fmt.Sprint("more", i)))
	}
	if len(b.pacing.queue) > maxAwaitingSetup {
		t.Errorf("%d wait, %d may", len(b.pacing.queue), maxAwaitingSetup)
	}
}

// Who waits in slow start for a set-up that hangs is answered at the first look after half of the shortest
// deadline, whatever its own deadline: a class of 4.8 s was kept for 4.4 s of it.
func TestPacing_SlowStart_WaitEndsAlikeForAllClasses(t *testing.T) {
	b := lowSampleNode(t, Class{SetupLatencyObjective: 200 * ms, Deadline: 700 * ms}, Class{SetupLatencyObjective: 800 * ms, Deadline: 4800 * ms})
	begin := time.Second
	if len(sends(b.Handle(begin, Arrival{ID: "hangs", Class: 1, Key: "h", TimeLeft: 4800 * ms, Retry: true}))) != 1 {
		t.Fatal("the first one was not sent")
	}
	answered := map[RequestID]time.Duration{}
	for class, deadline := range []time.Duration{700 * ms, 4800 * ms} {
		id := RequestID(fmt.Sprint("class", class))
		if out := b.Handle(begin, Arrival{ID: id, Class: class, Key: "k", TimeLeft: deadline}); len(out) > 1 {
			t.Fatalf("%s does not wait: %v", id, out)
		}
	}
	const look = 10 * ms
	for waited := look; waited < 4*time.Second; waited += look {
		for _, a := range b.Handle(begin+waited, Timer{Token: pacingToken}) {
			if r, ok := a.(Reject); ok {
				answered[r.ID] = waited
			}
		}
	}
	for _, id := range []RequestID{"class0", "class1"} {
		if at, ok := answered[id]; !ok || at > 350*ms+look {
			t.Errorf("%s was answered after %v (%v), want %v at most", id, at, ok, 350*ms+look)
		}
	}
}

// A request with very little time left that ends without an answer tells nothing of set-ups: hosts may drop it, and
// no set-up is that quick. A few such clients must not have a node turn the others away.
func TestPacing_TimeoutsShorterThanAnySetup_PaceNothing(t *testing.T) {
	b := lowSampleNode(t)
	at := time.Second
	cameUp(t, b, "well", at, 20*ms, false)
	for i := range 6 {
		at += 50 * ms
		id := RequestID(fmt.Sprint("hasty", i))
		sent := false
		for _, a := range b.Handle(at, Arrival{ID: id, Key: string(id), TimeLeft: 5 * ms}) {
			if s, ok := a.(Send); ok {
				sent = true
				b.Handle(at+5*ms, AttemptEnded{ID: id, Server: s.Server, Took: 5 * ms, Outcome: ResponseTimeout})
			}
		}
		if !sent {
			t.Errorf("request %d is not sent", i)
		}
	}
	if b.pacing.interval != 0 {
		t.Errorf("set-ups are paced, one in %v", b.pacing.interval)
	}
}
