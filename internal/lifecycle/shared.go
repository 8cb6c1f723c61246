package lifecycle

import (
	"context"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"onyxstream/internal/control"
	"onyxstream/internal/node"
	"onyxstream/internal/proxy"
	"onyxstream/internal/sharedstate"
)

// lookAt is how often a process looks for what another one of its node was told: a word binds both within a second.
const lookAt = 100 * time.Millisecond

// shared is what the processes of a node have in common, over the folder that they share. Without one, or while it
// can't be used, a word holds in the process that was told.
type shared struct {
	cfg      Config
	node     *node.Node
	driver   *proxy.Proxy
	log      *zap.Logger
	orders   *control.Server
	folder   string                            // "" where nothing is shared
	opened   atomic.Pointer[sharedstate.Store] // nil while the folder can't be used
	unopened bool                              // it could not be opened so far; open's own

	mu     sync.Mutex  // an order and what others were told are taken in one after the other
	seen   uint64      // the document's changes that are in force here
	known  bool        // the document was taken in once
	failed bool        // the folder could not be used
	owed   unwritten   // orders that hold here and are to be written yet
	alone  atomic.Bool // no other process was there when last looked
	ends   atomic.Bool // this process was told to stop: it takes nothing over any more
}

// newShared opens the folder where operators can call the node or the platform may start it twice.
func newShared(cfg Config, n *node.Node, d *proxy.Proxy, log *zap.Logger) *shared {
	s := &shared{cfg: cfg, node: n, driver: d, log: log}
	s.alone.Store(true)
	if cfg.Management == "" && os.Getenv(acceptVar) == "" {
		return s
	}
	dir := os.Getenv("TMPDIR")
	if dir == "" {
		log.Warn("TMPDIR is not set: words of operators end with this process")
		return s
	}
	s.folder = dir
	s.open()
	return s
}

// store is what is shared; nil where nothing can be, or not yet.
func (s *shared) store() *sharedstate.Store { return s.opened.Load() }

// open opens the folder, which may fail for a while: it is tried again until it can be used.
func (s *shared) open() {
	if s.folder == "" || s.store() != nil {
		return
	}
	store, err := sharedstate.Open(s.folder, s.cfg.Name)
	if err == nil {
		s.opened.Store(store)
		return
	}
	if !s.unopened { // once: it is tried again and again
		s.log.Error("TMPDIR can't be used: words of operators end with this process until it can", zap.Error(err))
	}
	s.unopened = true
}

// begin takes in what the processes before were told.
func (s *shared) begin(orders *control.Server) {
	s.orders = orders
	if s.store() != nil {
		s.look()
		s.share()
	}
}

// end says that this process was told to stop. It is no successor from then on: two that both end handed the same
// connections to each other, until one of them was gone with what it had just taken.
func (s *shared) end() {
	s.ends.Store(true)
	if s.store() != nil {
		s.share()
	}
}

func (s *shared) close() {
	if store := s.store(); store != nil {
		store.Close()
	}
}

// follow takes in what another process is told, and keeps both within the limits, until the context ends.
func (s *shared) follow(ctx context.Context) {
	if s.folder == "" {
		return
	}
	ticks := time.NewTicker(lookAt)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
		if s.open(); s.store() != nil {
			s.look()
			s.writeOwed()
			s.share()
		}
	}
}

// ready reports whether another process of this node is there to serve.
func (s *shared) ready() bool {
	store := s.store()
	if store == nil {
		return false
	}
	others, err := store.OtherProcesses()
	s.note(err)
	for _, o := range others {
		if o.Ready {
			return true
		}
	}
	return false
}

// share tells the others what this process holds and whether it takes over, and leaves them what they hold.
func (s *shared) share() {
	store := s.store()
	s.note(store.Publish(sharedstate.ProcessStatus{Ready: !s.ends.Load(), Descriptors: s.driver.DescriptorsHeld()}))
	others, err := store.OtherProcesses()
	if s.note(err); err != nil {
		return // as it was
	}
	sockets, memory := s.cfg.Sockets, s.cfg.MemoryMB
	for _, o := range others {
		sockets -= o.Descriptors
		memory = s.cfg.MemoryMB / 2
	}
	if alone := len(others) == 0; !alone || !s.alone.Load() {
		s.driver.SetDescriptorLimit(sockets)
		debug.SetMemoryLimit(heap(memory))
		if s.alone.Swap(alone) != alone {
			s.log.Info("processes of this node", zap.Int("others", len(others)))
		}
	}
}

// heap is what the collector is given of a limit: stacks and sockets count too.
func heap(memoryMB int) int64 { return int64(memoryMB) << 20 / 4 * 3 }

// note logs that the folder can't be used, once until it can be again.
func (s *shared) note(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noted(err)
}

func (s *shared) noted(err error) {
	if err != nil && !s.failed {
		s.log.Error("what is shared with other processes can't be used: words hold in the process that was told", zap.Error(err))
	}
	s.failed = err != nil
}

// word takes a host out or calls it back, here and in the other processes.
func (s *shared) word(id string, out bool) error {
	now := time.Now()
	c := control.Command{Kind: control.HostResume, Host: id, HostMustExist: true, GivenAt: now}
	if out {
		c.Kind = control.HostDrain
	}
	return s.tell(c, id, func(d *sharedstate.State) error { return d.SetOverride(id, out, now) })
}

// leave drains the node or ends that, here and in the other processes.
func (s *shared) leave(c control.Command) error {
	drain := sharedstate.Drain{}
	if c.Kind == control.Drain {
		drain = sharedstate.ReadClocks().NewDrain(c.DrainTimeout, c.AdmitFor)
		drain.RetryAfter, drain.KeepConnections = c.RetryAfter, c.KeepConnections
	}
	return s.tell(c, nodeOrder, func(d *sharedstate.State) error {
		d.SetDrain(drain)
		return nil
	})
}

// tell carries an order on a target out and puts it into the document, as one step of an order that is the same for all
// processes: what others were told before is taken in first. An order that does not hold here is told to no one; one that
// can't be written holds here, and is written once it can be.
func (s *shared) tell(c control.Command, target string, change func(*sharedstate.State) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	store := s.store()
	if store == nil {
		return s.tellLater(c, unwrittenOrder{target: target, after: s.seen, change: change})
	}
	var refused error
	var serial uint64
	given := false
	err := store.Update(func(d *sharedstate.State) error {
		s.take(*d)
		given = true
		if refused = s.orders.ApplyManual(c); refused != nil {
			return refused
		}
		err := change(d)
		serial = d.Serial
		return err
	})
	if refused != nil {
		return refused
	}
	s.noted(err)
	switch {
	case err == nil:
		s.seen = serial
		s.owed.drop(target)
	case given:
		s.owed.add(unwrittenOrder{target: target, after: s.seen, change: change})
	default:
		return s.tellLater(c, unwrittenOrder{target: target, after: s.seen, change: change})
	}
	return nil
}

// tellLater carries an order out while the folder can't be used; mu is held.
func (s *shared) tellLater(c control.Command, o unwrittenOrder) error {
	if err := s.orders.ApplyManual(c); err != nil {
		return err
	}
	if s.folder != "" {
		o.given, o.blind = time.Now(), !s.known
		s.owed.add(o)
	}
	return nil
}

// look takes in what has changed.
func (s *shared) look() {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, fresh, err := s.store().Load()
	if err != nil {
		s.noted(err)
	}
	if fresh || s.seen < d.Serial { // the latter where an order could not be taken in
		s.take(d)
	}
}

// take brings into force what this process has not taken in yet; mu is held.
func (s *shared) take(d sharedstate.State) {
	s.owed.settle(&d)
	after := s.seen
	s.seen, s.known = d.Serial, true
	order := func(c control.Command) {
		if err := s.orders.ApplyManual(c); err != nil {
			s.seen = after // once more at the next look
			s.log.Error("what another process was told could not be taken in", zap.String("kind", string(c.Kind)), zap.String("host", c.Host),
				zap.Error(err))
		}
	}
	for _, w := range d.Overrides {
		if w.Serial > after && !s.owed.supersedes(w.Host, w.Serial) {
			kind := control.HostResume
			if w.Draining {
				kind = control.HostDrain
			}
			order(control.Command{Kind: kind, Host: w.Host, GivenAt: w.SetAt})
		}
	}
	switch l := d.Drain; {
	case l.Serial <= after || s.owed.supersedes(nodeOrder, l.Serial):
	case l.Active:
		by, shut := l.Remaining(sharedstate.ReadClocks())
		order(control.Command{Kind: control.Drain, DrainTimeout: max(by, 0), AdmitFor: max(shut, 0), RetryAfter: l.RetryAfter, KeepConnections: l.KeepConnections})
	case s.node.IsDraining():
		order(control.Command{Kind: control.Resume})
	}
}
