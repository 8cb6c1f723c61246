package fleet

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"onyxstream/internal/control"
)

// The same verdict every time: other draws are had by -rapid.seed.
func init() { _ = flag.Set("rapid.seed", "1") }

// world is instances and a network that loses, delays and repeats, in virtual time.
type world struct {
	t     *rapid.T
	rng   *rand.Rand
	now   time.Duration
	queue []happening
	calm  bool // nothing fails any more

	fleet     *Fleet
	life      int // of the agent
	list      []Instance
	instances map[string]*instance
	calls     map[string]int // that the agent of now has out, by instance
	wake      time.Duration

	disk struct {
		ops   map[string][]byte
		holds map[Scope]DesiredState
		fence uint64
	}
	limit int
}

type happening struct {
	at time.Duration
	f  func()
}

type instance struct {
	name     string
	boot     int
	register *control.Register
	leaving  bool
	gone     time.Duration // when all its clients are
	up       bool
	cut      bool // the agent does not reach it
	words    map[string]bool
}

var errLost = errors.New("nothing came back")

func newWorld(t *rapid.T, n, limit int, seed uint64) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 1)), instances: map[string]*instance{}, limit: limit}
	w.disk.ops, w.disk.holds = map[string][]byte{}, map[Scope]DesiredState{}
	for i := range n {
		x := Instance{Name: fmt.Sprint("i", i), Addr: fmt.Sprint("unix:", i), Zone: fmt.Sprint("z", i%2)}
		w.list = append(w.list, x)
		w.instances[x.Name] = &instance{name: x.Name, up: true}
		w.instances[x.Name].restart()
	}
	w.startAgent()
	for _, x := range w.list {
		w.poll(x.Name)
	}
	return w
}

func (x *instance) restart() {
	x.boot++
	x.register, x.leaving, x.words = control.NewRegister(fmt.Sprint(x.name, "-", x.boot)), false, map[string]bool{}
}

func (w *world) after(d time.Duration, f func()) { w.queue = append(w.queue, happening{w.now + d, f}) }

func (w *world) startAgent() {
	w.life++
	w.calls = map[string]int{}
	w.fleet = New(Config{DownAfter: 3 * time.Second, DeliveryTimeout: 8 * time.Second, RetryInitialDelay: 100 * time.Millisecond, RetryMaxDelay: 2 * time.Second,
		RetryRate: 20, RetryBurst: 20, DefaultDeadline: 90 * time.Second, MaxEndedOperations: 50, MaxRunningOperations: 20}, uint64(w.life))
	w.fleet.now = w.now
	var ops []Operation
	for _, text := range w.disk.ops {
		var o Operation
		if err := json.Unmarshal(text, &o); err != nil {
			w.t.Fatal(err)
		}
		ops = append(ops, o)
	}
	var holds []DesiredState
	for _, h := range w.disk.holds {
		holds = append(holds, h)
	}
	w.fleet.Restore(ops, holds, w.disk.fence)
	if err := w.fleet.SetInventory(w.now, w.list); err != nil {
		w.t.Fatal(err)
	}
}

// poll asks an instance how it is, time and again.
func (w *world) poll(name string) {
	x, life, asked := w.instances[name], w.life, w.now
	there, back := w.trip()
	if !w.lost() && x.up && !x.cut {
		w.after(there, func() {
			if !x.up {
				return
			}
			st := x.status(w.now)
			w.after(back, func() {
				if life == w.life && !x.cut {
					w.fleet.Observe(w.now, asked, name, st, nil)
				}
			})
		})
	} else {
		w.after(there+back, func() {
			if life == w.life {
				w.fleet.Observe(w.now, asked, name, control.Status{}, errLost)
			}
		})
	}
	w.after(300*time.Millisecond+time.Duration(w.rng.Int64N(3e8)), func() { w.poll(name) })
}

func (x *instance) status(now time.Duration) control.Status {
	s := control.Status{Name: x.name, Boot: fmt.Sprint(x.name, "-", x.boot), State: control.Serving}
	s.Operation, s.Fence = x.register.Current()
	if x.leaving {
		s.State = control.Draining
		if now >= x.gone {
			s.State = control.Drained
		}
	}
	return s
}

// trip is how long a call takes there and back: mostly little, at times seconds.
func (w *world) trip() (there, back time.Duration) {
	one := func() time.Duration {
		if !w.calm && w.rng.IntN(20) == 0 {
			return time.Duration(w.rng.Int64N(4e9))
		}
		return time.Duration(w.rng.Int64N(2e7))
	}
	return one(), one()
}

func (w *world) lost() bool { return !w.calm && w.rng.IntN(10) == 0 }

// tell carries a command to an instance: it may get there or not, late, twice, and so may its answer.
func (w *world) tell(tl Delivery) {
	name, life := tl.Instance.Name, w.life
	x := w.instances[name]
	if w.calls[name]++; w.calls[name] > 1 {
		w.t.Fatalf("%v: %s is told two things at once", w.now, name)
	}
	there, back := w.trip()
	var answer control.Answer
	err := errLost
	deliver := func() {
		if !x.up {
			return
		}
		decision, e := x.register.Accept(tl.Command)
		if e != nil {
			w.t.Fatalf("%v: %s finds fault with %+v: %v", w.now, name, tl.Command, e)
		}
		answer, err = decision.Answer, nil
		if decision.MustRun {
			x.do(w, tl.Command)
		}
	}
	if !w.lost() && x.up && !x.cut {
		w.after(there, deliver)
		if !w.calm && w.rng.IntN(15) == 0 {
			w.after(there+back/2, deliver)
		}
	}
	lost := w.lost()
	w.after(there+back, func() {
		if life != w.life {
			return
		}
		w.calls[name]--
		if lost || x.cut {
			err = errLost
		}
		w.fleet.RecordAnswer(w.now, tl, answer, err)
	})
}

func (x *instance) do(w *world, c control.Command) {
	switch c.Kind {
	case control.Drain:
		x.leaving, x.gone = true, w.now+time.Duration(w.rng.Int64N(2e9))
	case control.Resume:
		x.leaving = false
	case control.HostDrain, control.HostResume:
		x.words[c.Host] = c.Kind == control.HostDrain
	}
	away := 0
	for _, y := range w.instances {
		if y.leaving {
			away++
		}
	}
	if away > w.limit {
		w.t.Fatalf("%v: %d instances drain, the limit is %d", w.now, away, w.limit)
	}
}

// step does what the agent would; a crash comes before or after the write.
func (w *world) step(crash int) {
	change, tells, wake := w.fleet.Next(w.now)
	w.wake = wake
	if crash == 1 && !change.Empty() {
		w.startAgent()
		return
	}
	for _, o := range change.Operations {
		text, err := json.Marshal(o)
		if err != nil {
			w.t.Fatal(err)
		}
		w.disk.ops[o.ID] = text
	}
	for _, id := range change.ForgottenOperations {
		delete(w.disk.ops, id)
	}
	for _, k := range change.Removed {
		delete(w.disk.holds, k)
	}
	for _, h := range change.Desired {
		w.disk.holds[h.Scope] = h
	}
	w.disk.fence = max(w.disk.fence, change.Fence)
	if crash == 2 && !change.Empty() {
		w.startAgent()
		return
	}
	for _, t := range tells {
		w.tell(t)
	}
}

// run plays until a time.
func (w *world) run(until time.Duration, crash func() int) {
	for w.now < until {
		next := min(until, max(w.wake, w.now+time.Millisecond))
		for _, h := range w.queue {
			next = min(next, max(h.at, w.now))
		}
		w.now = next
		due := slices.Clone(w.queue)
		w.queue = w.queue[:0]
		var now []happening
		for _, h := range due {
			if h.at <= w.now {
				now = append(now, h)
			} else {
				w.queue = append(w.queue, h)
			}
		}
		for _, h := range now {
			h.f()
		}
		w.step(crash())
	}
}

// Through losses, delays, repeats, restarts of instances and of the agent at any write: never over the limit, no
// instance told two things at once, every operation ends, and in the end instances are as the orders that hold say.
func TestOperationsThroughAnyTrouble(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, limit := rapid.IntRange(2, 8).Draw(t, "instances"), 0
		limit = rapid.IntRange(1, n).Draw(t, "limit")
		w := newWorld(t, n, limit, rapid.Uint64().Draw(t, "seed"))
		w.run(2*time.Second, func() int { return 0 })
		ids := []string{}
		for i := range rapid.IntRange(1, 8).Draw(t, "orders") {
			kind := rapid.SampledFrom([]control.CommandKind{control.Drain, control.Drain, control.Resume, control.HostDrain, control.HostResume}).Draw(t, "kind")
			r := Request{ID: fmt.Sprint("o", i), Kind: kind, Options: Options{WaveSize: rapid.IntRange(1, 4).Draw(t, "at once"), MaxUnavailable: limit,
				MaxUnavailablePerZone: n, AllowEmptyZone: true, DrainTimeout: time.Second, StepTimeout: 15 * time.Second,
				OnFailure: rapid.SampledFrom([]string{"pause", "abort", "continue"}).Draw(t, "on failure")}}
			if kind == control.HostDrain || kind == control.HostResume {
				r.Host = "h"
			}
			for _, j := range rapid.SliceOfNDistinct(rapid.IntRange(0, n-1), 1, n, rapid.ID[int]).Draw(t, "targets") {
				r.Targets = append(r.Targets, fmt.Sprint("i", j))
			}
			var limited *LimitError
			switch op, err := w.fleet.Submit(w.now, r); {
			case errors.As(err, &limited):
			case err != nil:
				t.Fatal(err)
			default:
				ids = append(ids, op.ID)
				if again, err := w.fleet.Submit(w.now, r); err != nil || again.Fence != op.Fence {
					t.Fatalf("the same order again is %+v, error %v", again, err)
				}
			}
			w.step(0) // the order is answered once it is on disk
			crashes := rapid.IntRange(0, 2).Draw(t, "crash")
			what := rapid.IntRange(0, 6).Draw(t, "trouble")
			x := w.instances[fmt.Sprint("i", rapid.IntRange(0, n-1).Draw(t, "whom"))]
			switch what {
			case 0:
				x.restart()
			case 1:
				x.cut = true
				w.after(time.Duration(w.rng.Int64N(2e10)), func() { x.cut = false })
			case 2:
				x.up = false
				w.after(time.Duration(w.rng.Int64N(2e10)), func() { x.up = true; x.restart() })
			case 3:
				if len(ids) > 0 {
					_, _ = w.fleet.Abort(w.now, ids[w.rng.IntN(len(ids))], "by hand")
				}
			case 4:
				if len(ids) > 0 {
					_, _ = w.fleet.Continue(w.now, ids[w.rng.IntN(len(ids))])
				}
			}
			w.run(w.now+time.Duration(rapid.IntRange(0, 10_000).Draw(t, "pause"))*time.Millisecond, func() int {
				if w.rng.IntN(10) == 0 {
					return crashes
				}
				return 0
			})
		}
		w.calm = true
		for _, x := range w.instances {
			x.cut = false
		}
		w.run(w.now+150*time.Second, func() int { return 0 })
		for _, id := range ids {
			if o, err := w.fleet.Operation(id); err != nil || !o.State.Ended() {
				t.Fatalf("operation %s is %s (%s) after all, error %v", id, o.State, o.Reason, err)
			}
		}
		for k, h := range w.fleet.desired {
			x := w.instances[k.Instance]
			if h.Command.Kind == control.Drain && !x.leaving {
				t.Fatalf("%s is to be drained by %s and serves", k.Instance, h.Command.Operation)
			}
			if h.Command.Kind == control.HostDrain && !x.words["h"] {
				t.Fatalf("%s is to hold the word on h by %s and does not", k.Instance, h.Command.Operation)
			}
		}
	})
}
