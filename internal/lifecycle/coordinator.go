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
	"onyxstream/internal/hotrestart"
	"onyxstream/internal/node"
	"onyxstream/internal/nodeconfig"
	"onyxstream/internal/proxy"
	"onyxstream/internal/sharedstate"
)

// syncInterval is how often a process reads the shared state: an override is in force in all processes within a second.
const syncInterval = 100 * time.Millisecond

// sharedFolderVariable names the folder that the processes of a node share.
const sharedFolderVariable = "TMPDIR"

// coordinator keeps the processes of one node in agreement during a hot restart: overrides that operators set in one
// hold in all, they divide the node's limits between them, and connections pass from one to its successor. All of it
// goes through a shared folder. Without one, or while it can't be used, an override holds in the process where it was
// set.
//
// Its methods may be called from any goroutine, except those named for one: run, acceptConnections and handOff.
type coordinator struct {
	cfg           nodeconfig.Config
	node          *node.Node
	proxy         *proxy.Proxy
	log           *zap.Logger
	controlServer *control.Server

	folder     string                              // "" where nothing is shared
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

// newCoordinator opens the shared folder where operators can call the node, or the platform may start it twice.
func newCoordinator(cfg nodeconfig.Config, self *node.Node, proxy *proxy.Proxy, log *zap.Logger) *coordinator {
	c := &coordinator{cfg: cfg, node: self, proxy: proxy, log: log}
	c.soleProcess.Store(true)
	if cfg.Management == "" && os.Getenv(listenerVariable) == "" {
		return c
	}
	folder := os.Getenv(sharedFolderVariable)
	if folder == "" {
		log.Warn("TMPDIR is not set: overrides hold in this process only")
		return c
	}
	c.folder = folder
	c.openStore()
	return c
}

// openStore opens the shared folder unless it is open. It is called again until that succeeds.
func (c *coordinator) openStore() {
	if c.folder == "" || c.store.Load() != nil {
		return
	}
	store, err := sharedstate.Open(c.folder, c.cfg.Name)
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

// start applies the overrides that earlier processes of the node left. It must be called before the other methods.
func (c *coordinator) start(controlServer *control.Server) {
	c.controlServer = controlServer
	if c.store.Load() != nil {
		c.syncOverrides()
		c.publishStatus()
	}
}

// beginShutdown publishes that this process accepts no connections any more: of two processes that both shut down,
// neither may hand its connections to the other.
func (c *coordinator) beginShutdown() {
	c.shuttingDown.Store(true)
	if c.store.Load() != nil {
		c.publishStatus()
	}
}

func (c *coordinator) close() {
	if store := c.store.Load(); store != nil {
		store.Close()
	}
}

// run applies what other processes share, and divides the limits with them, until the context ends.
func (c *coordinator) run(ctx context.Context) {
	if c.folder == "" {
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

// successorReady reports whether another process of the node accepts connections.
func (c *coordinator) successorReady() bool {
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
func (c *coordinator) publishStatus() {
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
func (c *coordinator) divideLimits(others []sharedstate.ProcessStatus) {
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
	debug.SetMemoryLimit(heapLimit(memoryMB))
	if c.soleProcess.Swap(soleProcess) != soleProcess {
		c.log.Info("processes of this node changed", zap.Int("others", len(others)))
	}
}

// heapLimit returns the part of a memory limit that the heap may use, in bytes: stacks and sockets take the rest.
func heapLimit(memoryMB int) int64 { return int64(memoryMB) << 20 / 4 * 3 }

// recordStoreResult logs an error of the shared folder, once until the folder can be used again.
func (c *coordinator) recordStoreResult(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordStoreResultLocked(err)
}

func (c *coordinator) recordStoreResultLocked(err error) {
	if err != nil && !c.storeFailed {
		c.log.Error("shared state unavailable: overrides hold in the process where they were set", zap.Error(err))
	}
	c.storeFailed = err != nil
}
