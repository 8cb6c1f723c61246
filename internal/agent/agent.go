package agent

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"onyxstream/internal/control"
	"onyxstream/internal/fleet"
	"onyxstream/internal/pki"
	"onyxstream/internal/syserr"
	"onyxstream/internal/tomlfile"
)

// Config is the agent's file.
type Config struct {
	Inventory string            `toml:"inventory"` // the file of instances
	Store     string            `toml:"store"`     // the file of operations
	Socket    string            `toml:"socket"`    // where the command line asks
	Every     tomlfile.Duration `toml:"every"`     // how often each instance is asked; 1s where it is 0
	Keys      *pki.Files        `toml:"keys"`      // for instances that are reached by TLS
}

// Check fills in defaults and says what is wrong.
func (c *Config) Check() error {
	for _, f := range []struct{ name, v string }{{"inventory", c.Inventory}, {"store", c.Store}, {"socket", c.Socket}} {
		if f.v == "" {
			return tomlfile.Wrong(f.name, "it is missing")
		}
	}
	if c.Every == 0 {
		c.Every = tomlfile.Duration(time.Second)
	}
	if c.Every.D() < 10*time.Millisecond || c.Every.D() > time.Minute {
		return tomlfile.Wrong("every", "%s is not between 10ms and 1m", c.Every.D())
	}
	return nil
}

// Inventory is the file of instances.
type Inventory struct {
	Instances []fleet.Instance `toml:"instance"`
}

// mostInstances bounds an inventory.
const mostInstances = 10_000

// agentConns is how many callers of the command line are connected at one time.
const agentConns = 1024

// Check says what is wrong.
func (v *Inventory) Check() error {
	if len(v.Instances) > mostInstances {
		return tomlfile.Wrong("instance", "there are %d, at most %d can be", len(v.Instances), mostInstances)
	}
	var field *fleet.FieldError
	if err := fleet.CheckInventory(v.Instances); errors.As(err, &field) {
		return &tomlfile.FieldError{Path: field.Path, Err: errors.New(field.Reason)}
	}
	return nil
}

// ReadInventory reads an inventory, whole or not at all.
func ReadInventory(path string) (*Inventory, error) {
	v := &Inventory{}
	_, err := tomlfile.Read(path, v)
	return v, err
}

const (
	statusWithin = 3 * time.Second  // a question that takes longer is given up
	tellWithin   = 12 * time.Second // a command's answer may take its time: another call must not be made meanwhile
	lookEvery    = time.Second      // at the inventory's file
)

// Agent is one agent. Its loop owns the fleet; calls run beside it, one status and one command at a time for each
// instance, so that one that is slow holds up no other.
type Agent struct {
	cfg   Config
	log   *zap.Logger
	store *Store
	keys  *pki.Keeper
	begin time.Time
	do    chan func()
	done  chan struct{}
	wg    sync.WaitGroup

	// The loop's own.
	fleet   *fleet.Fleet
	peers   map[string]*peer
	stamp   string
	watches map[chan struct{}]bool
	asked   []chan struct{} // by those who wait for the step that comes

	write  func(fleet.Change) error // puts a change on disk
	saving func(done bool) error    // tests: called before and after each write, and may end the agent there
}

// peer is an instance that is followed.
type peer struct {
	fleet.Instance
	client *control.Client
	err    error // of the address
	cancel context.CancelFunc
	wake   chan struct{} // ask now
}

// New opens the store and the inventory. Close must follow.
func New(cfg Config, log *zap.Logger) (*Agent, error) {
	a := &Agent{cfg: cfg, log: log, begin: time.Now(), do: make(chan func(), 1024), done: make(chan struct{}),
		peers: map[string]*peer{}, watches: map[chan struct{}]bool{}, fleet: fleet.New(fleet.DefaultConfig(), rand.Uint64())}
	var err error
	if cfg.Keys != nil {
		if a.keys, err = pki.Open(*cfg.Keys, func(err error) { log.Error("renewed keys can't be taken", zap.Error(err)) }); err != nil {
			return nil, err
		}
	}
	inv, err := ReadInventory(cfg.Inventory)
	if err != nil {
		return nil, err
	}
	if a.store, err = OpenStore(cfg.Store); err != nil {
		return nil, err
	}
	a.write = a.store.Save
	ops, holds, fence, err := a.store.Load()
	if err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w", cfg.Store, err), a.store.Close())
	}
	a.fleet.Restore(ops, holds, fence)
	if err := a.fleet.SetInventory(0, inv.Instances); err != nil {
		return nil, errors.Join(err, a.store.Close())
	}
	a.stamp = stamp(cfg.Inventory)
	running := 0
	for _, o := range ops {
		if !o.State.Ended() {
			running++
		}
	}
	log.Info("started", zap.Int("instances", len(inv.Instances)), zap.Int("operations", len(ops)), zap.Int("running", running))
	return a, nil
}

func (a *Agent) now() time.Duration { return time.Since(a.begin) }

func stamp(path string) string {
	info, err := os.Stat(path)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(info.ModTime().UnixNano(), info.Size())
}

// Run is the agent's life; it serves the command line on its socket and ends with ctx. Everything told by then holds.
func (a *Agent) Run(ctx context.Context) error {
	defer a.store.Close()
	l, err := control.ListenUnix(a.cfg.Socket, agentConns)
	if err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return a.loop(ctx) })
	g.Go(func() error { return a.serve(ctx, l) })
	err = g.Wait()
	a.wg.Wait()
	return err
}

// ask runs f in the loop and waits until what it changed is on disk; false once the loop has ended.
func (a *Agent) ask(f func()) bool {
	ran := make(chan struct{})
	if !a.post(func() { f(); a.asked = append(a.asked, ran) }) {
		return false
	}
	select {
	case <-ran:
		return true
	case <-a.done:
		return false
	}
}

func (a *Agent) post(f func()) bool {
	select {
	case a.do <- f:
		return true
	case <-a.done:
		return false
	}
}

func (a *Agent) loop(ctx context.Context) error {
	defer close(a.done)
	a.follow(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	looks := time.NewTicker(lookEvery)
	defer looks.Stop()
	for {
		wake, err := a.step(ctx)
		if err != nil {
			return err
		}
		for _, ran := range a.asked {
			close(ran)
		}
		a.asked = a.asked[:0]
		timer.Reset(max(wake-a.now(), time.Millisecond))
		select {
		case <-ctx.Done():
			return nil
		case f := <-a.do:
			f()
			for range len(a.do) { // all that has come is one step, and one write
				(<-a.do)()
			}
		case <-timer.C:
		case <-looks.C:
			a.reread(ctx)
		}
	}
}

// step does what is to be done now. What is to be told is on disk first: an agent that can't write tells nothing until it
// can, since what it would tell next it could not know again.
func (a *Agent) step(ctx context.Context) (wake time.Duration, err error) {
	change, tells, wake := a.fleet.Next(a.now())
	if !change.Empty() {
		if err := a.save(ctx, change); err != nil {
			return 0, fmt.Errorf("the store can't be written, so nothing more is told: %w", err)
		}
		a.logged(change)
		for w := range a.watches {
			select {
			case w <- struct{}{}:
			default:
			}
		}
	}
	for _, t := range tells {
		p := a.peers[t.Instance.Name]
		if p == nil {
			a.fleet.RecordAnswer(a.now(), t, control.Answer{}, errors.New("it is not followed"))
			continue
		}
		a.wg.Go(func() { a.tell(ctx, p, t) })
	}
	return wake, nil
}

func (a *Agent) save(ctx context.Context, c fleet.Change) error {
	if a.saving == nil {
		return a.writeUntilDone(ctx, c)
	}
	if err := a.saving(false); err != nil {
		return err
	}
	return errors.Join(a.writeUntilDone(ctx, c), a.saving(true))
}

// The wait before a change is written again after a failure; it doubles up to the larger one.
const writeAgainFirst, writeAgainMost = 50 * time.Millisecond, 2 * time.Second

// writeUntilDone writes a change, again and again where that fails: a disk may be full for a while, and what was taken on
// is still owed. Nothing else is done meanwhile. The error is that of the last try, once ctx has ended.
func (a *Agent) writeUntilDone(ctx context.Context, c fleet.Change) error {
	for wait := writeAgainFirst; ; wait = min(2*wait, writeAgainMost) {
		err := a.write(c)
		if err == nil {
			return nil
		}
		a.log.Error("the store can't be written: nothing is told until it can", zap.Error(err), zap.Duration("again in", wait))
		select {
		case <-ctx.Done():
			return err
		case <-time.After(wait):
		}
	}
}

// logged writes a line for each state that changed.
func (a *Agent) logged(c fleet.Change) {
	for _, o := range c.Operations {
		n := map[fleet.StepState]int{}
		for _, s := range o.Steps {
			n[s.State]++
		}
		a.log.Info("an operation moved on", zap.String("operation", o.ID), zap.Uint64("fence", o.Fence), zap.String("kind", string(o.Kind)),
			zap.String("state", string(o.State)), zap.String("why", o.Reason), zap.Any("steps", n))
	}
}

func (a *Agent) tell(ctx context.Context, p *peer, t fleet.Delivery) {
	ctx, cancel := context.WithTimeout(ctx, tellWithin)
	defer cancel()
	var answer control.Answer
	err := p.err
	if err == nil {
		answer, err = p.client.Do(ctx, t.Command)
	}
	if err != nil {
		a.log.Info("an instance could not be told", zap.String("instance", t.Instance.Name), zap.String("operation", t.Command.Operation),
			zap.Error(err))
	}
	a.post(func() { a.fleet.RecordAnswer(a.now(), t, answer, err) })
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// follow begins to ask instances that are new, and ends with those that are gone.
func (a *Agent) follow(ctx context.Context) {
	listed := map[string]bool{}
	for _, v := range a.fleet.Views(a.now()) {
		listed[v.Name] = true
		if p := a.peers[v.Name]; p != nil {
			if p.Addr == v.Addr {
				continue
			}
			p.cancel()
		}
		p := &peer{Instance: v.Instance, wake: make(chan struct{}, 1)}
		var cfg *tls.Config
		if a.keys != nil {
			cfg = a.keys.Client(v.Name)
		}
		p.client, p.err = control.Dial(v.Addr, cfg)
		var pctx context.Context
		pctx, p.cancel = context.WithCancel(ctx)
		a.peers[v.Name] = p
		a.wg.Go(func() { a.poll(pctx, p) })
	}
	for name, p := range a.peers {
		if !listed[name] {
			p.cancel()
			delete(a.peers, name)
		}
	}
}

// poll asks an instance how it is, time and again; the first question and each pause are spread, so that a thousand
// instances are not asked in one instant.
func (a *Agent) poll(ctx context.Context, p *peer) {
	if p.client != nil {
		defer p.client.Close()
	}
	every := a.cfg.Every.D()
	pause := time.Duration(rand.Float64() * float64(every) / 4)
	failures := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		case <-p.wake:
		}
		var st control.Status
		asked, err := a.now(), p.err
		if err == nil {
			call, cancel := context.WithTimeout(ctx, statusWithin)
			st, err = p.client.Status(call)
			cancel()
		}
		if err == nil && st.Name != p.Name {
			err = fmt.Errorf("%q answers at %s", st.Name, p.Addr)
		}
		if ctx.Err() != nil {
			return
		}
		failures++
		if err == nil {
			failures = 0
		}
		a.post(func() {
			if a.peers[p.Name] == p {
				a.fleet.Observe(a.now(), asked, p.Name, st, err)
			}
		})
		pause = every * time.Duration(min(1<<min(failures, 3), 5))
		pause = pause*3/4 + time.Duration(rand.Float64()*float64(pause)/2)
	}
}

// reread takes in the inventory where its file has changed.
func (a *Agent) reread(ctx context.Context) {
	now := stamp(a.cfg.Inventory)
	if now == a.stamp {
		return
	}
	inv, err := ReadInventory(a.cfg.Inventory)
	if syserr.ReadFailed(err) { // it says nothing of the file: the next look reads it again
		a.log.Warn("the inventory can't be read now", zap.Error(err))
		return
	}
	a.stamp = now
	if err == nil {
		err = a.fleet.SetInventory(a.now(), inv.Instances)
	}
	if err != nil {
		a.log.Error("the inventory stays as it was", zap.Error(err))
		return
	}
	a.log.Info("the inventory was read again", zap.Int("instances", len(inv.Instances)))
	a.follow(ctx)
}
