package multiprocess

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"onyxstream/internal/sharedstate"
)

// nodeTarget is the target of a change of the node itself; that of a host's is its name.
const nodeTarget = ""

// pendingWrite is a change that holds in this process and could not be written to the shared state yet, as while the
// folder is full.
type pendingWrite struct {
	target string
	change func(*sharedstate.State) error

	// afterSerial is that of the last change known when this one was made: a later one of the target supersedes it.
	afterSerial uint64
	// beforeFirstLoad is true where the state had not been read then; resolveAgainst sets afterSerial and clears it.
	beforeFirstLoad bool
	givenAt         time.Time // set with beforeFirstLoad
}

// pendingWrites has at most one write for each target, the last. The control server bounds the targets: it rejects a
// command on one too many before the change is made.
type pendingWrites []pendingWrite

func (p *pendingWrites) add(write pendingWrite) {
	p.remove(write.target)
	*p = append(*p, write)
}

func (p *pendingWrites) remove(target string) {
	*p = slices.DeleteFunc(*p, func(w pendingWrite) bool { return w.target == target })
}

// writeTo makes the changes in the state, but for targets that another process changed later. A change that the state
// rejects holds in this process only.
func (p pendingWrites) writeTo(state *sharedstate.State) {
	for _, write := range p {
		if lastSerial(state, write.target) <= write.afterSerial {
			_ = write.change(state)
		}
	}
}

// resolveAgainst orders the writes that were made before the state was first read: each goes after the state's change
// of its target if that is older. The state has no time of a drain; a drain set in this process goes after it.
func (p pendingWrites) resolveAgainst(state *sharedstate.State) {
	for i, write := range p {
		if !write.beforeFirstLoad {
			continue
		}
		p[i].beforeFirstLoad = false
		override, found := state.Override(write.target)
		if !found || !override.SetAt.After(write.givenAt) {
			p[i].afterSerial = lastSerial(state, write.target)
		}
	}
}

// supersede reports whether a pending write of a target goes after the state's change with a serial.
func (p pendingWrites) supersede(target string, serial uint64) bool {
	return slices.ContainsFunc(p, func(w pendingWrite) bool { return w.target == target && w.afterSerial >= serial })
}

// lastSerial returns the serial of the state's last change of a target, 0 for none.
func lastSerial(state *sharedstate.State, target string) uint64 {
	if target == nodeTarget {
		return state.Drain.Serial
	}
	override, _ := state.Override(target)
	return override.Serial
}

// flushPendingWrites writes what could not be written before.
func (c *Coordinator) flushPendingWrites() {
	c.mu.Lock()
	defer c.mu.Unlock()
	store := c.store.Load()
	if store == nil || len(c.pending) == 0 {
		return
	}
	var serial uint64
	err := store.Update(func(state *sharedstate.State) error {
		c.apply(*state)
		c.pending.writeTo(state)
		serial = state.Serial
		return nil
	})
	c.recordStoreResultLocked(err)
	if err != nil {
		return
	}
	c.log.Info("pending overrides written to the shared state", zap.Int("overrides", len(c.pending)))
	c.appliedSerial = serial
	c.pending = nil
}
