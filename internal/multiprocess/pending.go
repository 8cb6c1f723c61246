package multiprocess

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"onyxstream/internal/sharedstate"
)

// nodeTarget is the target of a change to the node itself. The target of a change to a host is the host's id.
const nodeTarget = ""

// pendingWrite is a change that is in force in this process, but could not be written to the shared state yet, for
// example because the disk is full.
type pendingWrite struct {
	target string                         // the host's id, or nodeTarget
	change func(*sharedstate.State) error // makes the change in a state

	// afterSerial is the serial of the last change of the shared state that was applied before this one. A change of
	// the same target with a higher serial supersedes this one.
	afterSerial uint64
	// beforeFirstLoad is true if this change was made before the shared state was first read, so that afterSerial is
	// unknown. resolveAgainst sets afterSerial and clears beforeFirstLoad.
	beforeFirstLoad bool
	givenAt         time.Time // when this change was made; set whenever beforeFirstLoad is
}

// pendingWrites has at most one write for each target: the last one. The number of targets is limited, because the
// control server rejects a command on one target too many before the change is made.
type pendingWrites []pendingWrite

func (p *pendingWrites) add(write pendingWrite) {
	p.remove(write.target)
	*p = append(*p, write)
}

func (p *pendingWrites) remove(target string) {
	*p = slices.DeleteFunc(*p, func(w pendingWrite) bool { return w.target == target })
}

// writeTo makes the pending changes in the state, except for targets that another process changed later. A change that
// the state rejects stays in force in this process only.
func (p pendingWrites) writeTo(state *sharedstate.State) {
	for _, write := range p {
		if lastSerial(state, write.target) <= write.afterSerial {
			_ = write.change(state)
		}
	}
}

// resolveAgainst orders the writes that were made before the state was first read. A write supersedes the state's
// change of the same target if the latter is older. The state does not record when a drain was set, so a drain that was
// set in this process always supersedes the drain in the state.
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

// supersede reports whether a pending write supersedes the state's change of a target with this serial.
func (p pendingWrites) supersede(target string, serial uint64) bool {
	return slices.ContainsFunc(p, func(w pendingWrite) bool { return w.target == target && w.afterSerial >= serial })
}

// lastSerial returns the serial of the state's last change of a target, or 0 if there is none.
func lastSerial(state *sharedstate.State, target string) uint64 {
	if target == nodeTarget {
		return state.Drain.Serial
	}
	override, _ := state.Override(target)
	return override.Serial
}

// flushPendingWrites writes the pending changes to the shared state.
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
