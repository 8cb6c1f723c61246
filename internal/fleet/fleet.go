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

// Reachability is what is known of an instance's being there.
type Reachability string

// Unknown is not down: nothing was heard yet, or not for a while. Both count as not available.
const (
	Unknown Reachability = "unknown"
	Up      Reachability = "up"
	Down    Reachability = "down"
)

// Observation is what an instance last said, and when.
type Observation struct {
	Reach      Reachability   `json:"reach"`
	ObservedAt time.Duration  `json:"-"` // when it last said something
	Status     control.Status `json:"status"`
	LastError  string         `json:"why,omitempty"` // of the last call that failed

	validFrom time.Duration // what was asked before counts no more
}

// available reports whether an instance takes new clients as far as is known.
func (s *Observation) available() bool { return s.Reach == Up && s.Status.State == control.Serving }

// Config holds what bounds the work.
type Config struct {
	DownAfter            time.Duration // an instance that says nothing for so long is down
	DeliveryTimeout      time.Duration // one that can't be told for so long fails its step
	RetryInitialDelay    time.Duration // the wait before the first repeat; it doubles
	RetryMaxDelay        time.Duration
	RetryRate            float64 // repeats a second over the whole fleet
	RetryBurst           int
	DefaultDeadline      time.Duration // of an operation that names none
	MaxEndedOperations   int           // operations that have ended and are kept
	MaxRunningOperations int
}

// DefaultConfig is the configuration that serves.
func DefaultConfig() Config {
	return Config{DownAfter: 5 * time.Second, DeliveryTimeout: 30 * time.Second, RetryInitialDelay: 100 * time.Millisecond,
		RetryMaxDelay: 5 * time.Second, RetryRate: 50, RetryBurst: 200, DefaultDeadline: time.Hour, MaxEndedOperations: 10_000, MaxRunningOperations: 100}
}

// Fleet is the memory of one agent.
type Fleet struct {
	cfg     Config
	rng     *rand.Rand
	retries *rate.Limiter

	instances      map[string]Instance
	inventoryOrder []string // of the inventory
	observations   map[string]*Observation
	operations     map[string]*Operation
	running        []*Operation // by fence
	ended          []string     // in the order in which they ended
	desired        map[Scope]DesiredState
	inFlight       map[string]Delivery   // a call is out: an instance is told one thing at a time
	redeliveries   map[Scope]*redelivery // what holds and must be told again
	fence          uint64
	now            time.Duration
	change         Change
}

// Scope names what a command is about: an instance, or an instance's word on a host.
type Scope struct {
	Instance string `json:"instance"`
	Host     string `json:"host,omitempty"`
}

// DesiredState is what an instance was told and holds for it, whatever becomes of its process.
type DesiredState struct {
	Scope
	Command control.Command `json:"command"`
}

// Delivery is a call to make: one at a time to each instance, and Answered must follow each.
type Delivery struct {
	Instance Instance
	Command  control.Command
}

// Change is what must be on disk before the calls that come with it are made.
type Change struct {
	Operations          []Operation
	Desired             []DesiredState
	Removed             []Scope
	ForgottenOperations []string // operations
	Fence               uint64   // 0 where it is unchanged
}

// Empty reports whether there is nothing to save.
func (c *Change) Empty() bool {
	return len(c.Operations)+len(c.Desired)+len(c.Removed)+len(c.ForgottenOperations) == 0 && c.Fence == 0
}

// redelivery is when something is told again.
type redelivery struct {
	attempts    int
	notBefore   time.Duration
	deliveredTo string // the start of the instance that refused it; it is not told again to that one
}

// New makes a fleet that knows nothing. The seed spreads repeats.
func New(cfg Config, seed uint64) *Fleet {
	return &Fleet{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0x666c656574)), retries: rate.NewLimiter(rate.Limit(cfg.RetryRate), cfg.RetryBurst),
		instances: map[string]Instance{}, observations: map[string]*Observation{}, operations: map[string]*Operation{}, desired: map[Scope]DesiredState{},
		inFlight: map[string]Delivery{}, redeliveries: map[Scope]*redelivery{}}
}

// Restore takes in what was saved. Steps whose call was out when the agent died are told again: the instance knows the
// same command and does nothing twice.
func (f *Fleet) Restore(ops []Operation, holds []DesiredState, fence uint64) {
	f.fence = fence
	for _, h := range holds {
		f.desired[h.Scope] = h
	}
	slices.SortFunc(ops, func(a, b Operation) int { return cmp.Compare(a.Fence, b.Fence) })
	for i := range ops {
		o := &ops[i]
		f.operations[o.ID] = o
		f.fence = max(f.fence, o.Fence)
		if o.State.Ended() {
			f.ended = append(f.ended, o.ID)
			continue
		}
		o.elapsedAt = f.now
		for _, s := range o.Steps {
			s.attempts, s.retryAt, s.changedAt = 0, f.now, f.now
		}
		f.running = append(f.running, o)
	}
}

// SetInventory replaces the list of instances, whole. One that is gone fails its steps; one whose address changed is not
// known any more until it says something.
func (f *Fleet) SetInventory(now time.Duration, list []Instance) error {
	if err := CheckInventory(list); err != nil {
		return err
	}
	f.now = max(f.now, now)
	next := map[string]Instance{}
	f.inventoryOrder = f.inventoryOrder[:0]
	for _, x := range list {
		next[x.Name] = x
		f.inventoryOrder = append(f.inventoryOrder, x.Name)
		if was, ok := f.instances[x.Name]; !ok || was.Addr != x.Addr {
			f.observations[x.Name] = &Observation{Reach: Unknown, ObservedAt: f.now}
		}
	}
	for name := range f.instances {
		if _, ok := next[name]; !ok {
			delete(f.observations, name)
			for k := range f.desired { // whoever has the name next was never told
				if k.Instance == name {
					f.removeDesired(k)
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
	s := f.observations[name]
	if s == nil {
		return
	}
	if err != nil {
		s.LastError = err.Error()
		return
	}
	if asked >= s.validFrom && asked >= s.ObservedAt {
		s.Reach, s.ObservedAt, s.Status, s.LastError = Up, asked, st, ""
	}
}

// invalidate forgets what an instance last said: it may have taken a command since.
func (f *Fleet) invalidate(name string) {
	if s := f.observations[name]; s != nil {
		s.Reach, s.validFrom = Unknown, f.now
	}
}

// expireObservations turns instances that say nothing into down ones. One that was never heard stays unknown.
func (f *Fleet) expireObservations() {
	for _, s := range f.observations {
		if s.Reach == Up && f.now-s.ObservedAt > f.cfg.DownAfter {
			s.Reach = Down
		}
	}
}

// View is an instance with what is known of it.
type View struct {
	Instance
	Observation
	AgeMS     int64  `json:"age_ms"` // since it last said something
	Operation string `json:"operation,omitempty"`
}

// Views lists instances in the inventory's order.
func (f *Fleet) Views(now time.Duration) (out []View) {
	f.now = max(f.now, now)
	f.expireObservations()
	under := map[string]string{}
	for _, o := range f.running {
		for name, s := range o.Steps {
			if !s.State.Ended() {
				under[name] = o.ID
			}
		}
	}
	for _, name := range f.inventoryOrder {
		s := f.observations[name]
		out = append(out, View{Instance: f.instances[name], Observation: *s, AgeMS: (f.now - s.ObservedAt).Milliseconds(), Operation: under[name]})
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
type FieldError struct{ Path, Reason string }

func (e *FieldError) Error() string { return e.Path + ": " + e.Reason }

// save notes that an operation has changed.
func (f *Fleet) save(o *Operation) {
	for i := range f.change.Operations {
		if f.change.Operations[i].ID == o.ID {
			f.change.Operations[i] = o.clone()
			return
		}
	}
	f.change.Operations = append(f.change.Operations, o.clone())
}

// sortedScopes lists what holds in one order: a map's would spread repeats otherwise with each run.
func (f *Fleet) sortedScopes() []Scope {
	return slices.SortedFunc(maps.Keys(f.desired), func(a, b Scope) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Host, b.Host))
	})
}

func (f *Fleet) removeDesired(k Scope) {
	if _, ok := f.desired[k]; ok {
		delete(f.desired, k)
		f.change.Removed = append(f.change.Removed, k)
		f.change.Desired = slices.DeleteFunc(f.change.Desired, func(h DesiredState) bool { return h.Scope == k })
	}
	delete(f.redeliveries, k)
}

func (f *Fleet) setDesired(h DesiredState) {
	f.desired[h.Scope] = h
	f.change.Desired = append(f.change.Desired, h)
	f.change.Removed = slices.DeleteFunc(f.change.Removed, func(k Scope) bool { return k == h.Scope })
	delete(f.redeliveries, h.Scope)
}

// backoff is the wait before the next repeat: doubled each time, and spread so that not all come at once.
func (f *Fleet) backoff(tries int) time.Duration {
	d := f.cfg.RetryInitialDelay << min(tries, 16)
	if d > f.cfg.RetryMaxDelay || d <= 0 {
		d = f.cfg.RetryMaxDelay
	}
	return d/2 + time.Duration(f.rng.Float64()*float64(d/2))
}

// takeRetryToken takes one repeat out of the fleet's budget.
func (f *Fleet) takeRetryToken() bool { return f.retries.AllowN(time.Unix(0, 0).Add(f.now), 1) }
