package node

import (
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/wire"
)

const (
	// maxOverrides is the largest number of hosts with an operator's override.
	maxOverrides = 1024
	// commandTimeout is how long a command waits for the event loop. The control listener must respond to a command
	// within 500 ms.
	commandTimeout = 400 * time.Millisecond
)

// Errors of operators' commands. The control listener sends their texts in its responses.
var (
	ErrLoopBusy      = errors.New("the node did not take it in in time, ask again")
	ErrStopped       = errors.New("node is shutting down")
	ErrUnknownHost   = errors.New("no host has this id")
	ErrOverrideLimit = fmt.Errorf("words on %d hosts are held, no more can be", maxOverrides)
)

// overrideState holds the operators' overrides of hosts.
type overrideState struct {
	overrides   map[balancer.ServerID]bool          // hosts that drain regardless of the endpoint list
	reenabledAt map[balancer.ServerID]time.Duration // when a host's override was lifted, by the node's clock
}

// SetHostOverride makes a host drain regardless of the endpoint list if drain is set, or lifts this override otherwise.
// An override of an unlisted host takes effect when the host is listed, but if mustExist is set, SetHostOverride
// returns ErrUnknownHost for such a host instead. When an override is lifted, the host counts as restarted at
// reenabledAt, because the endpoint list may show the restart later; zero means that the host was not restarted.
// SetHostOverride returns nil after the loop has applied the override, or otherwise ErrLoopBusy, ErrStopped,
// ErrUnknownHost or ErrOverrideLimit. It may be called from any goroutine.
func (n *Node) SetHostOverride(id balancer.ServerID, drain, mustExist bool, reenabledAt time.Time) error {
	reply := make(chan error, 1)
	return n.postAndWait(hostOverrideReceived{
		host:        id,
		drain:       drain,
		mustExist:   mustExist,
		reenabledAt: reenabledAt,
		reply:       reply,
	}, reply)
}

// overrideHost applies or lifts an override.
func (n *Node) overrideHost(id balancer.ServerID, drain, mustExist bool, reenabledAt time.Time) error {
	host := n.hosts[id]
	wasOverridden := n.overrides[id]
	if mustExist && host == nil && !wasOverridden {
		return ErrUnknownHost
	}
	if drain && !wasOverridden && len(n.overrides) >= maxOverrides {
		n.log.Warn("host override rejected: limit reached", zap.String("host", string(id)))
		return ErrOverrideLimit
	}
	if drain {
		n.overrides[id] = true
	} else {
		n.liftOverride(id, wasOverridden, mustExist, reenabledAt)
	}
	if host != nil && host.state != balancer.Removed {
		list := &wire.EndpointList{Revision: n.revision, Endpoints: []wire.Endpoint{host.endpoint}}
		n.applyList(list, balancer.ListOverride, false)
	}
	return nil
}

// liftOverride lifts an override. Without mustExist, another process of the node may have set the override, so
// reenabledAt is recorded even if this process doesn't know the override.
func (n *Node) liftOverride(id balancer.ServerID, wasOverridden, mustExist bool, reenabledAt time.Time) {
	delete(n.overrides, id)
	if !reenabledAt.IsZero() && (wasOverridden || !mustExist) {
		n.recordReenabled(id, reenabledAt)
	}
}

// recordReenabled records when a host's override was lifted, and discards the records of hosts that have warmed up
// since their override was lifted.
func (n *Node) recordReenabled(id balancer.ServerID, at time.Time) {
	now := time.Now()
	n.observeClock(now)
	for other, reenabledAt := range n.reenabledAt {
		if n.clockTime(now)-reenabledAt > n.settings.SlowStartDuration {
			delete(n.reenabledAt, other)
		}
	}
	if len(n.reenabledAt) < maxOverrides {
		startedAt := n.wallClock.startTime(at.UnixMilli(), n.clockTime(now))
		n.reenabledAt[id] = max(n.reenabledAt[id], startedAt)
	}
}

// effectiveState returns a host's state after applying the override, if any, to its listed state.
func (n *Node) effectiveState(id balancer.ServerID, listed balancer.ServerState) balancer.ServerState {
	if listed == balancer.Live && n.overrides[id] {
		return balancer.Draining
	}
	return listed
}
