package multiprocess

import (
	"time"

	"go.uber.org/zap"

	"onyxstream/internal/control"
	"onyxstream/internal/sharedstate"
)

// SetHostOverride drains or resumes a host, here and in the node's other processes. Its errors are those of the control
// server and of node.SetHostOverride; after one the other processes do not get the override.
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
	return c.notify(command, host, func(state *sharedstate.State) error {
		return state.SetOverride(host, drain, now)
	})
}

// SetDrain drains or resumes the node itself, here and in its other processes; command is a Drain or Resume. After an
// error the other processes do not get it.
func (c *Coordinator) SetDrain(command control.Command) error {
	drain := sharedstate.Drain{}
	if command.Kind == control.Drain {
		drain = sharedstate.ReadClocks().NewDrain(command.DrainTimeout, command.AdmitFor)
		drain.RetryAfter = command.RetryAfter
		drain.KeepConnections = command.KeepConnections
	}
	return c.notify(command, nodeTarget, func(state *sharedstate.State) error {
		state.SetDrain(drain)
		return nil
	})
}

// notify executes a command on a target and writes it to the shared state, as one step that has the same order in all
// processes: earlier changes of others are applied first. A command that fails here is not written. One that can't be
// written holds here, and is written once it can be.
func (c *Coordinator) notify(command control.Command, target string, change func(*sharedstate.State) error) error {
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

// executeWithoutStore executes a command while the shared folder can't be used; mu is held.
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

// syncOverrides applies what has changed in the shared state.
func (c *Coordinator) syncOverrides() {
	c.mu.Lock()
	defer c.mu.Unlock()
	store := c.store.Load()
	state, changed, err := store.Load()
	if err != nil {
		c.recordStoreResultLocked(err)
	}
	if changed || c.appliedSerial < state.Serial { // the latter after a change that could not be applied
		c.apply(state)
	}
}

// apply brings the changes into force that are not applied yet; mu is held.
func (c *Coordinator) apply(state sharedstate.State) {
	c.pending.resolveAgainst(&state)
	appliedBefore := c.appliedSerial
	c.appliedSerial = state.Serial
	c.stateLoaded = true
	execute := func(command control.Command) {
		if err := c.controlServer.ApplyManual(command); err != nil {
			c.appliedSerial = appliedBefore // the next sync tries again
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
