package fleet

import (
	"cmp"
	"maps"
	"slices"

	"onyxstream/internal/control"
)

// Scope is what a command applies to: an instance, or an instance's override of a host.
type Scope struct {
	Instance string `json:"instance"`
	Host     string `json:"host,omitempty"`
}

// DesiredState is the last command for a scope. It stays in effect across restarts of the instance and the agent.
type DesiredState struct {
	Scope
	Command control.Command `json:"command"`
}

// Change is data to save. Next returns it with deliveries, which must not be made before it is on disk.
type Change struct {
	Operations          []Operation
	Desired             []DesiredState
	Removed             []Scope  // scopes that no longer have a desired state
	ForgottenOperations []string // IDs
	Fence               uint64   // 0 if it has not changed
}

// Empty reports whether there is nothing to save.
func (c *Change) Empty() bool {
	return len(c.Operations)+len(c.Desired)+len(c.Removed)+len(c.ForgottenOperations) == 0 && c.Fence == 0
}

// save adds an operation to the pending change.
func (f *Fleet) save(o *Operation) {
	for i := range f.change.Operations {
		if f.change.Operations[i].ID == o.ID {
			f.change.Operations[i] = o.clone()
			return
		}
	}
	f.change.Operations = append(f.change.Operations, o.clone())
}

func (f *Fleet) setDesired(state DesiredState) {
	f.desired[state.Scope] = state
	f.change.Desired = append(f.change.Desired, state)
	f.change.Removed = slices.DeleteFunc(f.change.Removed, func(s Scope) bool { return s == state.Scope })
	delete(f.redeliveries, state.Scope)
}

func (f *Fleet) removeDesired(scope Scope) {
	if _, ok := f.desired[scope]; ok {
		delete(f.desired, scope)
		f.change.Removed = append(f.change.Removed, scope)
		f.change.Desired = slices.DeleteFunc(f.change.Desired, func(d DesiredState) bool { return d.Scope == scope })
	}
	delete(f.redeliveries, scope)
}

// withdraw removes the desired state of a step that ends without an accepted command, unless a newer operation has
// replaced that state. The instance may have applied the command, so it is Unknown until its next status.
func (f *Fleet) withdraw(o *Operation, name string) {
	scope := o.scope(name)
	state, ok := f.desired[scope]
	if !ok || state.Command.Operation != o.ID {
		return
	}
	f.removeDesired(scope)
	f.invalidate(name)
}

// sortedScopes returns the scopes that have a desired state, in a fixed order: the order determines which random jitter
// each retry gets.
func (f *Fleet) sortedScopes() []Scope {
	return slices.SortedFunc(maps.Keys(f.desired), func(a, b Scope) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Host, b.Host))
	})
}

// restoreDesired delivers the desired states again to instances that lost them in a restart.
func (f *Fleet) restoreDesired(plan *plan) {
	for _, scope := range f.sortedScopes() {
		state := f.desired[scope]
		observation := f.observations[scope.Instance]
		if observation == nil || observation.Reachability != Up {
			continue
		}
		if f.hasCommandInFlight(scope.Instance) || f.hasUnfinishedStep(state) {
			continue
		}
		pending := f.redeliveryOf(state)
		if !state.isMissing(&observation.Status) || pending.deliveredTo == observation.Status.Incarnation {
			continue
		}
		if f.mayAttempt(plan, pending.attempts, pending.notBefore) {
			f.deliver(plan, scope.Instance, state.Command)
		}
	}
}

// isMissing reports whether an instance's status does not show the desired state. The status does not show the operation
// of a host override. A desired override therefore always counts as missing, and is delivered once to each incarnation
// of the instance.
func (d DesiredState) isMissing(status *control.Status) bool {
	if d.Host != "" {
		return d.Command.Kind == control.HostDrain
	}
	return d.Command.Kind == control.Drain && status.Fence < d.Command.Fence
}

// redeliveryOf returns the redelivery state of a scope, and creates it if there is none. The incarnation that accepted
// a host override in a step of the operation does not get the override again.
func (f *Fleet) redeliveryOf(state DesiredState) *redelivery {
	pending := f.redeliveries[state.Scope]
	if pending != nil {
		return pending
	}
	pending = &redelivery{}
	if step := f.stepOf(state); step != nil && state.Host != "" {
		pending.deliveredTo = step.Incarnation
	}
	f.redeliveries[state.Scope] = pending
	return pending
}

// hasUnfinishedStep reports whether the step that set the desired state has not ended. Such a step delivers the command
// itself.
func (f *Fleet) hasUnfinishedStep(state DesiredState) bool {
	step := f.stepOf(state)
	return step != nil && !step.State.Ended()
}

func (f *Fleet) stepOf(state DesiredState) *Step {
	o := f.operations[state.Command.Operation]
	if o == nil {
		return nil
	}
	return o.Steps[state.Instance]
}
