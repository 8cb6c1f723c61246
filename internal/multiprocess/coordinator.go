// Package multiprocess keeps the processes of one node in agreement during a hot restart: overrides that operators
// set in one hold in all, they divide the node's limits between them, and connections pass from one to its successor.
// All of it goes through a shared folder. Without one, or while it can't be used, an override holds in the process
// where it was set.
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

// syncInterval is how often a process reads the shared state: an override is in force in all processes within a second.
const syncInterval = 100 * time.Millisecond

// Config is what a Coordinator needs of the node's configuration.
type Config struct {
	Node     string // its name
	Folder   string // shared by the node's processes; "" where nothing is shared
	Sockets  int    // descriptors that all processes of the node may hold
	MemoryMB int    // of all processes of the node
}

// Coordinator keeps the processes of one node in agreement during a hot restart. Its methods may be called from any
// goroutine, but Run, HandOff and AcceptConnections from one each.
type Coordinator struct {
	cfg           Config
	node          *node.Node
	proxy         *proxy.Proxy
	log           *zap.Logger
	controlServer *control.Server

	exchange   atomic.Pointer[hotrestart.Exchange] // set before store
	store      atomic.Pointer[sharedstate.Store]   // nil while the folder can't be used
	openFailed bool                                // owned by the goroutine that calls openStore

	soleProcess  atomic.Bool // no other process ran at the last look
	shuttingDown atomic.Bool // this process accepts no connections of others any more

	mu            sync.Mutex // makes one step of setting an override and of applying those of others
	appliedSerial uint64     // of the last change of the shared state that is in force here
	stateLoaded   bool       // the shared state was read once
	storeFailed   bool       // the last use of the folder did
	pending       pendingWrites
}

// NewCoordinator opens the shared folder. A folder that can't be opened is logged, and tried again by Run.
func NewCoordinator(cfg Config, self *node.Node, proxy *proxy.Proxy, log *zap.Logger) *Coordinator {
	c := &Coordinator{cfg: cfg, node: self, proxy: proxy, log: log}
	c.soleProcess.Store(true)
	c.openStore()
	return c
}

// openStore opens the shared folder unless it is open. It is called again until that succeeds.
func (c *Coordinator) openStore() {
	if c.cfg.Folder == "" || c.store.Load() != nil {
		return
	}
	store, err := sharedstate.Open(c.cfg.Folder, c.cfg.Node)
	if err == nil {
		c.exchange.Store(hotrestart.NewExchange(store))
		c.store.Store(store)
		return
	}
	if !c.openFailed { // once, not with each retry
		c.log.Error("TMPDIR can't be used: overrides hold in this process only until it can", zap.Error(err))
	}
	c.openFailed = true
}

// Start applies the overrides that earlier processes of the node left. It must be called before the other methods.
func (c *Coordinator) Start(controlServer *control.Server) {
	c.controlServer = controlServer
	if c.store.Load() != nil {
		c.syncOverrides()
		c.publishStatus()
	}
}

// BeginShutdown publishes that this process accepts no connections any more: of two processes that both shut down,
// neither may hand its connections to the other.
func (c *Coordinator) BeginShutdown() {
	c.shuttingDown.Store(true)
	if c.store.Load() != nil {
		c.publishStatus()
	}
}

// Close removes this process's mark from the shared folder. The other methods must not be called after it.
func (c *Coordinator) Close() {
	if store := c.store.Load(); store != nil {
		store.Close()
	}
}

// Run applies what other processes share, and divides the limits with them, until the context ends.
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

// SuccessorReady reports whether another process of the node accepts connections.
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

// publishStatus publishes this process's status and leaves the others their part of the node's limits.
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

// divideLimits lowers this process's limits while others run, and restores them after.
func (c *Coordinator) divideLimits(others []sharedstate.ProcessStatus) {
	sockets, memoryMB := c.cfg.Sockets, c.cfg.MemoryMB
	for _, other := range others {
		sockets -= other.Descriptors
		memoryMB = c.cfg.MemoryMB / 2
	}
	soleProcess := len(others) == 0
	if soleProcess && c.soleProcess.Load() {
		return
	}
	c.proxy.SetDescriptorLimit(sockets)
	debug.SetMemoryLimit(nodeconfig.HeapLimit(memoryMB))
	if c.soleProcess.Swap(soleProcess) != soleProcess {
		c.log.Info("processes of this node changed", zap.Int("others", len(others)))
	}
}

// recordStoreResult logs an error of the shared folder, once until the folder can be used again.
func (c *Coordinator) recordStoreResult(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordStoreResultLocked(err)
}

func (c *Coordinator) recordStoreResultLocked(err error) {
	if err != nil && !c.storeFailed {
		c.log.Error("shared state unavailable: overrides hold in the process where they were set", zap.Error(err))
	}
	c.storeFailed = err != nil
}
