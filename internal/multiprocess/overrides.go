package multiprocess

import (
	"time"

	"go.uber.org/zap"

	"onyxstream/internal/control"
	"onyxstream/internal/sharedstate"
)

// SetHostOverride drains or resumes a host in all processes of the node. It returns the errors of the control server
// and of node.SetHostOverride. After an error the override is not shared with the other processes.
func (c *Coordinator) SetHostOverride(host string, drain bool) error {
	now := time.Now()
	command := control.Command{
		Kind:          control.HostResume,
		Host:          host,
		HostMustExist: true,
		GivenAt:       now,
	}
	if drain {
		command.Kind = control.HostDrain
	}
	return c.executeAndPublish(command, host, func(state *sharedstate.State) error {
		return state.SetOverride(host, drain, now)
	})
}

// SetDrain drains or resumes the node itself in all of its processes. The command must be a Drain or a Resume. After an
// error the command is not shared with the other processes.
func (c *Coordinator) SetDrain(command control.Command) error {
	drain := sharedstate.Drain{}
	if command.Kind == control.Drain {
		drain = sharedstate.ReadClocks().NewDrain(command.DrainTimeout, command.AdmitFor)
		drain.RetryAfter = command.RetryAfter
		drain.KeepConnections = command.KeepConnections
	}
	return c.executeAndPublish(command, nodeTarget, func(state *sharedstate.State) error {
		state.SetDrain(drain)
		return nil
	})
}

// executeAndPublish executes a command on a target and writes the change to the shared state, as one update of that
// state. It first applies earlier changes of other processes, so that all processes apply the changes in the same
// order. A command that fails in this process is not written. If only the write fails, the command stays in force in
// this process, and the write is retried later.
func (c *Coordinator) executeAndPublish(
	command control.Command, target string, change func(*sharedstate.State) error,
) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	write := pendingWrite{target: target, change: change}
	store := c.store.Load()
	if store == nil {
		return c.executeWithoutStore(command, write)
	}
	var executeErr error
	var serial uint64
	executed := false
	err := store.Update(func(state *sharedstate.State) error {
		c.apply(*state)
		executed = true
		executeErr = c.controlServer.ApplyManual(command)
		if executeErr != nil {
			return executeErr
		}
		err := change(state)
		serial = state.Serial
		return err
	})
	if executeErr != nil {
		return executeErr
	}
	c.recordStoreResultLocked(err)
	switch {
	case err == nil:
		c.appliedSerial = serial
		c.pending.remove(target)
	case executed:
		write.afterSerial = c.appliedSerial
		c.pending.add(write)
	default:
		return c.executeWithoutStore(command, write)
	}
	return nil
}

// executeWithoutStore executes a command while the shared folder can't be used. The caller holds mu.
func (c *Coordinator) executeWithoutStore(command control.Command, write pendingWrite) error {
	if err := c.controlServer.ApplyManual(command); err != nil {
		return err
	}
	if c.cfg.Folder != "" {
		write.afterSerial = c.appliedSerial
		write.givenAt = time.Now()
		write.beforeFirstLoad = !c.stateLoaded
		c.pending.add(write)
	}
	return nil
}

// syncOverrides applies new changes of the shared state.
func (c *Coordinator) syncOverrides() {
	c.mu.Lock()
	defer c.mu.Unlock()
	store := c.store.Load()
	state, changed, err := store.Load()
	if err != nil {
		c.recordStoreResultLocked(err)
	}
	if changed || c.appliedSerial < state.Serial { // the second condition retries a change that could not be applied
		c.apply(state)
	}
}

// apply applies the changes of the state that have not been applied to this process yet. The caller holds mu.
func (c *Coordinator) apply(state sharedstate.State) {
	c.pending.resolveAgainst(&state)
	appliedBefore := c.appliedSerial
	c.appliedSerial = state.Serial
	c.stateLoaded = true
	execute := func(command control.Command) {
		if err := c.controlServer.ApplyManual(command); err != nil {
			c.appliedSerial = appliedBefore // retried at the next sync
			c.log.Error("override of another process could not be applied",
				zap.String("kind", string(command.Kind)), zap.String("host", command.Host), zap.Error(err))
		}
	}
	for _, override := range state.Overrides {
		if override.Serial > appliedBefore && !c.pending.supersede(override.Host, override.Serial) {
			execute(hostCommand(override))
		}
	}
	drain := state.Drain
	switch {
	case drain.Serial <= appliedBefore || c.pending.supersede(nodeTarget, drain.Serial):
	case drain.Active:
		execute(drainCommand(drain))
	case c.node.IsDraining():
		execute(control.Command{Kind: control.Resume})
	}
}

func hostCommand(override sharedstate.HostOverride) control.Command {
	kind := control.HostResume
	if override.Draining {
		kind = control.HostDrain
	}
	return control.Command{Kind: kind, Host: override.Host, GivenAt: override.SetAt}
}

func drainCommand(drain sharedstate.Drain) control.Command {
	untilDeadline, untilCutoff := drain.Remaining(sharedstate.ReadClocks())
	return control.Command{
		Kind:            control.Drain,
		DrainTimeout:    max(untilDeadline, 0),
		AdmitFor:        max(untilCutoff, 0),
		RetryAfter:      drain.RetryAfter,
		KeepConnections: drain.KeepConnections,
	}
}
