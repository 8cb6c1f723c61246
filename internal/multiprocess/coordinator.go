// Package multiprocess coordinates the processes of one node during a hot restart. An override that an operator sets in
// one process applies to all of them, the processes divide the node's limits between them, and a process hands off its
// connections to its successor. The processes communicate through a shared folder. Without a shared folder, or while
// the folder can't be used, an override applies only to the process where it was set.
package multiprocess

import (
	"context"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"onyxstream/internal/control"
	"onyxstream/internal/hotrestart"
	"onyxstream/internal/node"
	"onyxstream/internal/nodeconfig"
	"onyxstream/internal/proxy"
	"onyxstream/internal/sharedstate"
)

// syncInterval is how often a process reads the shared state. An override must be in force in all processes within a
// second.
const syncInterval = 100 * time.Millisecond

// Config is the part of the node's configuration that a Coordinator needs.
type Config struct {
	Node     string // the node's name
	Folder   string // shared by the node's processes; "" if nothing is shared
	Sockets  int    // descriptor limit of all processes of the node together
	MemoryMB int    // memory limit of all processes of the node together
}

// Coordinator coordinates this process with the node's other processes. Its methods may be called from any goroutine,
// but Run, HandOff and AcceptConnections must each be called from only one goroutine.
type Coordinator struct {
	// Set by NewCoordinator and Start, and not modified after that.
	cfg           Config
	node          *node.Node
	proxy         *proxy.Proxy
	log           *zap.Logger
	controlServer *control.Server

	// The shared folder.
	exchange    atomic.Pointer[hotrestart.Exchange] // set before store, and so not nil whenever store is not nil
	store       atomic.Pointer[sharedstate.Store]   // nil while the folder can't be used
	claims      atomic.Pointer[sharedstate.Claims]  // nil while its file can't be opened
	claimFailed atomic.Bool                         // the last claim of an id failed
	openFailed  bool                                // used only by openStore, which has one caller at a time

	// The processes of the node.
	soleProcess  atomic.Bool // no other process ran at the last check
	shuttingDown atomic.Bool // this process no longer accepts connections from other processes

	// mu guards the fields below. It also serializes setting an override here with applying overrides of other
	// processes.
	mu            sync.Mutex
	appliedSerial uint64 // serial of the last change of the shared state that was applied here
	stateLoaded   bool   // the shared state was read at least once
	storeFailed   bool   // the last use of the folder failed
	pending       pendingWrites
}

// NewCoordinator opens the shared folder. If that fails, it logs the error, and Run retries.
func NewCoordinator(cfg Config, self *node.Node, proxy *proxy.Proxy, log *zap.Logger) *Coordinator {
	c := &Coordinator{cfg: cfg, node: self, proxy: proxy, log: log}
	c.soleProcess.Store(true)
	c.openStore()
	return c
}

// openStore opens the shared folder unless it is open already. Run calls it again until it succeeds.
func (c *Coordinator) openStore() {
	if c.cfg.Folder == "" || c.claims.Load() != nil {
		return
	}
	err := c.openStoreAndClaims()
	if err == nil {
		return
	}
	if !c.openFailed { // logs once, not for each retry
		c.log.Error("TMPDIR can't be used, retrying: overrides apply to this process only", zap.Error(err))
	}
	c.openFailed = true
}

func (c *Coordinator) openStoreAndClaims() error {
	store := c.store.Load()
	if store == nil {
		var err error
		store, err = sharedstate.Open(c.cfg.Folder, c.cfg.Node)
		if err != nil {
			return err
		}
		c.exchange.Store(hotrestart.NewExchange(store))
		c.store.Store(store)
	}
	claims, err := store.OpenClaims()
	if err != nil {
		return err
	}
	c.claims.Store(claims)
	return nil
}

// ClaimID claims a request id for this process. It reports false if another process of the node has served the id or
// serves it now. While the shared folder can't be used, it reports true. It does not wait for mu, which is held during
// calls to the shared folder.
func (c *Coordinator) ClaimID(id string) bool {
	claims := c.claims.Load()
	if claims == nil {
		return true
	}
	ok, err := claims.Claim(id)
	c.recordClaimResult(err)
	return ok
}

// HoldID claims the id of a connection that another process has handed off to this one.
func (c *Coordinator) HoldID(id string) {
	if claims := c.claims.Load(); claims != nil {
		c.recordClaimResult(claims.Hold(id))
	}
}

// ReleaseID ends the use of an id that was claimed or held.
func (c *Coordinator) ReleaseID(id string) {
	if claims := c.claims.Load(); claims != nil {
		claims.Release(id)
	}
}

// recordClaimResult logs an error. It does not log further errors until a claim succeeds.
func (c *Coordinator) recordClaimResult(err error) {
	if failed := err != nil; c.claimFailed.Swap(failed) != failed && failed {
		c.log.Error("request ids are not compared with those of other processes", zap.Error(err))
	}
}

// Start applies the overrides that earlier processes of the node stored. It must be called before the other methods.
func (c *Coordinator) Start(controlServer *control.Server) {
	c.controlServer = controlServer
	if c.store.Load() != nil {
		c.syncOverrides()
		c.publishStatus()
	}
}

// BeginShutdown publishes that this process no longer accepts connections. If two processes shut down at the same time,
// neither may hand off its connections to the other.
func (c *Coordinator) BeginShutdown() {
	c.shuttingDown.Store(true)
	if c.store.Load() != nil {
		c.publishStatus()
	}
}

// Close removes this process's liveness file from the shared folder. The other methods must not be called after it.
func (c *Coordinator) Close() {
	if claims := c.claims.Load(); claims != nil {
		claims.Close()
	}
	if store := c.store.Load(); store != nil {
		store.Close()
	}
}

// Run applies the overrides of other processes and divides the node's limits with them, until the context ends.
func (c *Coordinator) Run(ctx context.Context) {
	if c.cfg.Folder == "" {
		return
	}
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c.openStore()
		if c.store.Load() != nil {
			c.syncOverrides()
			c.flushPendingWrites()
			c.publishStatus()
		}
	}
}

// SuccessorReady reports whether another process of the node accepts connections from this one.
func (c *Coordinator) SuccessorReady() bool {
	store := c.store.Load()
	if store == nil {
		return false
	}
	others, err := store.OtherProcesses()
	c.recordStoreResult(err)
	for _, other := range others {
		if other.Ready {
			return true
		}
	}
	return false
}

// publishStatus publishes this process's status, and lowers its limits by the share of the other processes.
func (c *Coordinator) publishStatus() {
	store := c.store.Load()
	c.recordStoreResult(store.Publish(sharedstate.ProcessStatus{
		Ready:       !c.shuttingDown.Load(),
		Descriptors: c.proxy.DescriptorsHeld(),
	}))
	others, err := store.OtherProcesses()
	c.recordStoreResult(err)
	if err == nil {
		c.divideLimits(others)
	}
}

// maxSharers is the largest number of processes among which the memory limit is divided. An upgrade has two; marks of
// killed processes may be counted for a moment.
const maxSharers = 2

// divideLimits lowers this process's limits while other processes run, and restores them afterwards.
func (c *Coordinator) divideLimits(others []sharedstate.ProcessStatus) {
	sockets := c.cfg.Sockets
	for _, other := range others {
		sockets -= other.Descriptors
	}
	soleProcess := len(others) == 0
	if soleProcess && c.soleProcess.Load() {
		return
	}
	c.proxy.SetDescriptorLimit(sockets)
	debug.SetMemoryLimit(nodeconfig.HeapLimit(c.cfg.MemoryMB, min(len(others)+1, maxSharers)))
	if c.soleProcess.Swap(soleProcess) != soleProcess {
		c.log.Info("number of processes of this node changed", zap.Int("others", len(others)))
	}
}

// recordStoreResult logs an error of the shared folder. It does not log further errors until the folder works again.
func (c *Coordinator) recordStoreResult(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordStoreResultLocked(err)
}

// recordStoreResultLocked is recordStoreResult for callers that hold mu.
func (c *Coordinator) recordStoreResultLocked(err error) {
	if err != nil && !c.storeFailed {
		c.log.Error("shared state unavailable: overrides apply only to the process where they are set", zap.Error(err))
	}
	c.storeFailed = err != nil
}
