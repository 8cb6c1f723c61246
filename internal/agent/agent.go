// Package agent runs operations on a fleet of instances. It polls the status of the instances of an inventory, delivers
// commands to them, stores operations on disk, and serves the command line. Package fleet decides which commands are
// delivered, and when.
package agent

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"onyxstream/internal/control"
	"onyxstream/internal/fleet"
	"onyxstream/internal/pki"
)

const (
	maxCallers     = 1024 // concurrent connections from the command line
	maxQueuedTasks = 1024 // tasks that wait for the loop
)

// Agent runs operations on the instances of one inventory. Its loop owns the fleet. Requests to instances run in
// goroutines of their own, at most one status request and one command for each instance, so that a slow instance does
// not delay others.
type Agent struct {
	cfg    Config
	log    *zap.Logger
	store  *Store
	keys   *pki.KeyStore // nil without TLS
	start  time.Time
	bodies *control.BodyBudget
	tasks  chan func()   // functions to run in the loop
	done   chan struct{} // closed when the loop ends
	wg     sync.WaitGroup

	// The fields below belong to the loop.
	fleet          *fleet.Fleet
	polled         map[string]*polledInstance // by name
	inventoryStamp string
	watchers       map[chan struct{}]bool // channels to notify of changes
	waiters        []chan struct{}        // channels to close after the next step has saved its change

	writeChange func(fleet.Change) error // writes a change to disk; tests replace it
	saveHook    func(saved bool) error   // called before and after each write, for tests; an error ends the agent
}

// New opens the store and reads the inventory. The caller must call Run, which closes the store.
func New(cfg Config, log *zap.Logger) (*Agent, error) {
	a := &Agent{
		cfg:      cfg,
		log:      log,
		start:    time.Now(),
		bodies:   control.NewBodyBudget(maxPendingBodyBytes),
		tasks:    make(chan func(), maxQueuedTasks),
		done:     make(chan struct{}),
		fleet:    fleet.New(fleet.DefaultConfig(), rand.Uint64()),
		polled:   map[string]*polledInstance{},
		watchers: map[chan struct{}]bool{},
	}
	var err error
	if cfg.Keys != nil {
		a.keys, err = pki.Open(*cfg.Keys, func(err error) { log.Error("certificate reload failed", zap.Error(err)) })
		if err != nil {
			return nil, err
		}
	}
	inventory, err := ReadInventory(cfg.Inventory)
	if err != nil {
		return nil, err
	}
	a.store, err = OpenStore(cfg.Store)
	if err != nil {
		return nil, err
	}
	a.writeChange = a.store.Save
	if err := a.restore(inventory); err != nil {
		return nil, errors.Join(err, a.store.Close())
	}
	return a, nil
}

// restore loads the store into the fleet.
func (a *Agent) restore(inventory *Inventory) error {
	operations, desired, fence, err := a.store.Load()
	if err != nil {
		return fmt.Errorf("%s: %w", a.cfg.Store, err)
	}
	a.fleet.Restore(operations, desired, fence)
	if err := a.fleet.SetInventory(0, inventory.Instances); err != nil {
		return err
	}
	a.inventoryStamp = fileStamp(a.cfg.Inventory)
	running := 0
	for _, o := range operations {
		if !o.State.Ended() {
			running++
		}
	}
	a.log.Info("started",
		zap.Int("instances", len(inventory.Instances)),
		zap.Int("operations", len(operations)),
		zap.Int("running", running))
	return nil
}

// now returns the current time as the fleet counts it, from the start of the agent.
func (a *Agent) now() time.Duration { return time.Since(a.start) }

// Run polls the instances, runs the operations and serves the command line until ctx ends. Then it closes the store.
// Commands that instances accepted stay in effect.
func (a *Agent) Run(ctx context.Context) error {
	defer a.store.Close()
	listener, err := control.ListenUnix(a.cfg.Socket, maxCallers)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return a.loop(ctx) })
	group.Go(func() error { return a.serve(ctx, listener) })
	err = group.Wait()
	a.wg.Wait()
	return err
}

// runInLoop runs f in the loop and waits until its changes are on disk. It returns false if the loop has ended.
func (a *Agent) runInLoop(f func()) bool {
	saved := make(chan struct{})
	posted := a.post(func() {
		f()
		a.waiters = append(a.waiters, saved)
	})
	if !posted {
		return false
	}
	select {
	case <-saved:
		return true
	case <-a.done:
		return false
	}
}

// post queues f to run in the loop. It returns false if the loop has ended.
func (a *Agent) post(f func()) bool {
	select {
	case a.tasks <- f:
		return true
	case <-a.done:
		return false
	}
}

func (a *Agent) loop(ctx context.Context) error {
	defer close(a.done)
	a.updatePolled(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	inventoryCheck := time.NewTicker(inventoryCheckInterval)
	defer inventoryCheck.Stop()
	for {
		wake, err := a.step(ctx)
		if err != nil {
			return err
		}
		for _, saved := range a.waiters {
			close(saved)
		}
		a.waiters = a.waiters[:0]
		timer.Reset(max(wake-a.now(), time.Millisecond))
		select {
		case <-ctx.Done():
			return nil
		case f := <-a.tasks:
			f()
			for range len(a.tasks) { // all queued tasks share one step and one write
				(<-a.tasks)()
			}
		case <-timer.C:
		case <-inventoryCheck.C:
			a.reloadInventory(ctx)
		}
	}
}

// step advances the fleet. It saves the change to disk before it delivers commands, because a restarted agent must know
// all commands that instances may have applied.
func (a *Agent) step(ctx context.Context) (wake time.Duration, err error) {
	change, deliveries, wake := a.fleet.Next(a.now())
	if !change.Empty() {
		if err := a.save(ctx, change); err != nil {
			return 0, fmt.Errorf("save operations: %w", err)
		}
		a.logChange(change)
		a.notifyWatchers()
	}
	for _, delivery := range deliveries {
		instance := a.polled[delivery.Instance.Name]
		if instance == nil {
			a.fleet.RecordResponse(a.now(), delivery, control.Response{}, errors.New("instance is not in the inventory"))
			continue
		}
		a.wg.Go(func() { a.deliver(ctx, instance, delivery) })
	}
	return wake, nil
}

func (a *Agent) notifyWatchers() {
	for watcher := range a.watchers {
		select {
		case watcher <- struct{}{}:
		default: // a notification is already pending
		}
	}
}

// logChange logs the changed operations.
func (a *Agent) logChange(change fleet.Change) {
	for _, o := range change.Operations {
		a.log.Info("operation changed",
			zap.String("operation", o.ID),
			zap.Uint64("fence", o.Fence),
			zap.String("kind", string(o.Kind)),
			zap.String("state", string(o.State)),
			zap.String("reason", o.Reason),
			zap.Any("steps", o.CountSteps()))
	}
}
