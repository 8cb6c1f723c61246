// Package fleet decides what many instances are to be told, and when: from the inventory, what instances last said and
// the operations that operators ordered. It is pure: events and the time come in, what to save and whom to tell comes
// out. No goroutine, socket, clock or file is in it.
package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"onyxstream/internal/control"
)

// Instance is one entry of the inventory.
type Instance struct {
	Name   string            `json:"name" toml:"name"`
	Addr   string            `json:"addr" toml:"addr"` // "unix:PATH", or host and port
	Zone   string            `json:"zone" toml:"zone"`
	Labels map[string]string `json:"labels,omitempty" toml:"labels"`
}

// Reach is what is known of an instance's being there.
type Reach string

// Unknown is not down: nothing was heard yet, or not for a while. Both count as not available.
const (
	Unknown Reach = "unknown"
	Up      Reach = "up"
	Down    Reach = "down"
)

// Seen is what an instance last said, and when.
type Seen struct {
	Reach  Reach          `json:"reach"`
	At     time.Duration  `json:"-"` // when it last said something
	Status control.Status `json:"status"`
	Why    string         `json:"why,omitempty"` // of the last call that failed

	notBefore time.Duration // what was asked before counts no more
}

// available reports whether an instance takes new clients as far as is known.
func (s *Seen) available() bool { return s.Reach == Up && s.Status.State == control.Serving }

// Config holds what bounds the work.
type Config struct {
	DownAfter   time.Duration // an instance that says nothing for so long is down
	TellFor     time.Duration // one that can't be told for so long fails its step
	RetryFirst  time.Duration // the wait before the first repeat; it doubles
	RetryMost   time.Duration
	RetryRate   float64 // repeats a second over the whole fleet
	RetryBurst  int
	Deadline    time.Duration // of an operation that names none
	KeepEnded   int           // operations that have ended and are kept
	MostRunning int
}

// Usual is the configuration that serves.
func Usual() Config {
	return Config{DownAfter: 5 * time.Second, TellFor: 30 * time.Second, RetryFirst: 100 * time.Millisecond,
		RetryMost: 5 * time.Second, RetryRate: 50, RetryBurst: 200, Deadline: time.Hour, KeepEnded: 10_000, MostRunning: 100}
}

// Fleet is the memory of one agent.
type Fleet struct {
	cfg     Config
	rng     *rand.Rand
	retries *rate.Limiter

	instances map[string]Instance
	order     []string // of the inventory
	seen      map[string]*Seen
	ops       map[string]*Operation
	running   []*Operation // by fence
	ended     []string     // in the order in which they ended
	holds     map[Key]Hold
	busy      map[string]Tell // a call is out: an instance is told one thing at a time
	again     map[Key]*retry  // what holds and must be told again
	fence     uint64
	now       time.Duration
	change    Change
}

// Key names what a command is about: an instance, or an instance's word on a host.
type Key struct {
	Instance string `json:"instance"`
	Host     string `json:"host,omitempty"`
}

// Hold is what an instance was told and holds for it, whatever becomes of its process.
type Hold struct {
	Key
	Command control.Command `json:"command"`
}

// Tell is a call to make: one at a time to each instance, and Answered must follow each.
type Tell struct {
	Instance Instance
	Command  control.Command
}

// Change is what must be on disk before the calls that come with it are made.
type Change struct {
	Operations []Operation
	Holds      []Hold
	Dropped    []Key
	Forgotten  []string // operations
	Fence      uint64   // 0 where it is unchanged
}

// Empty reports whether there is nothing to save.
func (c *Change) Empty() bool {
	return len(c.Operations)+len(c.Holds)+len(c.Dropped)+len(c.Forgotten) == 0 && c.Fence == 0
}

// retry is when something is told again.
type retry struct {
	tries int
	at    time.Duration
	boot  string // the start of the instance that refused it; it is not told again to that one
}

// New makes a fleet that knows nothing. The seed spreads repeats.
func New(cfg Config, seed uint64) *Fleet {
	return &Fleet{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0x666c656574)), retries: rate.NewLimiter(rate.Limit(cfg.RetryRate), cfg.RetryBurst),
		instances: map[string]Instance{}, seen: map[string]*Seen{}, ops: map[string]*Operation{}, holds: map[Key]Hold{},
		busy: map[string]Tell{}, again: map[Key]*retry{}}
}

// Restore takes in what was saved. Steps whose call was out when the agent died are told again: the instance knows the
// same command and does nothing twice.
func (f *Fleet) Restore(ops []Operation, holds []Hold, fence uint64) {
	f.fence = fence
	for _, h := range holds {
		f.holds[h.Key] = h
	}
	slices.SortFunc(ops, func(a, b Operation) int { return cmp.Compare(a.Fence, b.Fence) })
	for i := range ops {
		o := &ops[i]
		f.ops[o.ID] = o
		f.fence = max(f.fence, o.Fence)
		if o.State.Ended() {
			f.ended = append(f.ended, o.ID)
			continue
		}
		o.since = f.now
		for _, s := range o.Steps {
			s.tries, s.next, s.since = 0, f.now, f.now
		}
		f.running = append(f.running, o)
	}
}

// Inventory replaces the list of instances, whole. One that is gone fails its steps; one whose address changed is not
// known any more until it says something.
func (f *Fleet) Inventory(now time.Duration, list []Instance) error {
	if err := CheckInventory(list); err != nil {
		return err
	}
	f.now = max(f.now, now)
	next := map[string]Instance{}
	f.order = f.order[:0]
	for _, x := range list {
		next[x.Name] = x
		f.order = append(f.order, x.Name)
		if was, ok := f.instances[x.Name]; !ok || was.Addr != x.Addr {
			f.seen[x.Name] = &Seen{Reach: Unknown, At: f.now}
		}
	}
	for name := range f.instances {
		if _, ok := next[name]; !ok {
			delete(f.seen, name)
			for k := range f.holds { // whoever has the name next was never told
				if k.Instance == name {
					f.drop(k)
				}
			}
		}
	}
	f.instances = next
	return nil
}

// Observe takes in what an instance said to a question asked at a time, or that the call failed. What was asked before
// a command took effect says nothing of what holds after it, however late it comes.
func (f *Fleet) Observe(now, asked time.Duration, name string, st control.Status, err error) {
	f.now = max(f.now, now)
	s := f.seen[name]
	if s == nil {
		return
	}
	if err != nil {
		s.Why = err.Error()
		return
	}
	if asked >= s.notBefore && asked >= s.At {
		s.Reach, s.At, s.Status, s.Why = Up, asked, st, ""
	}
}

// doubt forgets what an instance last said: it may have taken a command since.
func (f *Fleet) doubt(name string) {
	if s := f.seen[name]; s != nil {
		s.Reach, s.notBefore = Unknown, f.now
	}
}

// age turns instances that say nothing into down ones. One that was never heard stays unknown.
func (f *Fleet) age() {
	for _, s := range f.seen {
		if s.Reach == Up && f.now-s.At > f.cfg.DownAfter {
			s.Reach = Down
		}
	}
}

// View is an instance with what is known of it.
type View struct {
	Instance
	Seen
	AgeMS     int64  `json:"age_ms"` // since it last said something
	Operation string `json:"operation,omitempty"`
}

// Views lists instances in the inventory's order.
func (f *Fleet) Views(now time.Duration) (out []View) {
	f.now = max(f.now, now)
	f.age()
	under := map[string]string{}
	for _, o := range f.running {
		for name, s := range o.Steps {
			if !s.State.Ended() {
				under[name] = o.ID
			}
		}
	}
	for _, name := range f.order {
		s := f.seen[name]
		out = append(out, View{Instance: f.instances[name], Seen: *s, AgeMS: (f.now - s.At).Milliseconds(), Operation: under[name]})
	}
	return out
}

// CheckInventory says what is wrong with a list of instances.
func CheckInventory(list []Instance) error {
	seen, addrs := map[string]int{}, map[string]int{}
	for i, x := range list {
		at := fmt.Sprintf("instance[%d].", i)
		switch first, ok := seen[x.Name]; {
		case x.Name == "":
			return &FieldError{at + "name", "it is missing"}
		case ok:
			return &FieldError{at + "name", fmt.Sprintf("%q is that of instance[%d] already", x.Name, first)}
		case x.Addr == "":
			return &FieldError{at + "addr", "it is missing"}
		case x.Zone == "":
			return &FieldError{at + "zone", "it is missing"}
		}
		if first, ok := addrs[x.Addr]; ok {
			return &FieldError{at + "addr", fmt.Sprintf("%q is that of instance[%d] already", x.Addr, first)}
		}
		seen[x.Name], addrs[x.Addr] = i, i
	}
	return nil
}

// FieldError names a field and what is wrong with it.
type FieldError struct{ Path, Why string }

func (e *FieldError) Error() string { return e.Path + ": " + e.Why }

// save notes that an operation has changed.
func (f *Fleet) save(o *Operation) {
	for i := range f.change.Operations {
		if f.change.Operations[i].ID == o.ID {
			f.change.Operations[i] = o.copy()
			return
		}
	}
	f.change.Operations = append(f.change.Operations, o.copy())
}

// keys lists what holds in one order: a map's would spread repeats otherwise with each run.
func (f *Fleet) keys() []Key {
	return slices.SortedFunc(maps.Keys(f.holds), func(a, b Key) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Host, b.Host))
	})
}

func (f *Fleet) drop(k Key) {
	if _, ok := f.holds[k]; ok {
		delete(f.holds, k)
		f.change.Dropped = append(f.change.Dropped, k)
		f.change.Holds = slices.DeleteFunc(f.change.Holds, func(h Hold) bool { return h.Key == k })
	}
	delete(f.again, k)
}

func (f *Fleet) hold(h Hold) {
	f.holds[h.Key] = h
	f.change.Holds = append(f.change.Holds, h)
	f.change.Dropped = slices.DeleteFunc(f.change.Dropped, func(k Key) bool { return k == h.Key })
	delete(f.again, h.Key)
}

// backoff is the wait before the next repeat: doubled each time, and spread so that not all come at once.
func (f *Fleet) backoff(tries int) time.Duration {
	d := f.cfg.RetryFirst << min(tries, 16)
	if d > f.cfg.RetryMost || d <= 0 {
		d = f.cfg.RetryMost
	}
	return d/2 + time.Duration(f.rng.Float64()*float64(d/2))
}

// mayRetry takes one repeat out of the fleet's budget.
func (f *Fleet) mayRetry() bool { return f.retries.AllowN(time.Unix(0, 0).Add(f.now), 1) }
