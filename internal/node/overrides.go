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
	// maxOverrides bounds the hosts with an operator's override.
	maxOverrides = 1024
	// commandTimeout bounds the wait for the loop: the control listener answers a command within half a second.
	commandTimeout = 400 * time.Millisecond
)

// Errors of the operators' commands. The control listener returns their texts.
var (
	ErrLoopBusy      = errors.New("the node did not take it in in time, ask again")
	ErrStopped       = errors.New("node is shutting down")
	ErrUnknownHost   = errors.New("no host has this id")
	ErrOverrideLimit = fmt.Errorf("words on %d hosts are held, no more can be", maxOverrides)
)

// overrideState holds the operators' overrides of hosts.
type overrideState struct {
	overrides   map[balancer.ServerID]bool          // hosts that drain whatever the list says
	reenabledAt map[balancer.ServerID]time.Duration // when overrides were lifted, by the node's clock
}

// SetHostOverride makes a host drain whatever the list says, or lifts that. An override of a host that is not listed
// yet applies once it is; with mustExist that returns ErrUnknownHost. When an override is lifted the host counts as
// restarted at reenabledAt, as the list may show the restart only later; zero if it was not restarted.
// SetHostOverride returns once the loop has applied the override, or ErrLoopBusy, ErrStopped or ErrOverrideLimit. It
// may be called from any goroutine.
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

// liftOverride lifts an override. Without mustExist another process of the node may have set it, so that the time
// counts even if it is not known here.
func (n *Node) liftOverride(id balancer.ServerID, wasOverridden, mustExist bool, reenabledAt time.Time) {
	delete(n.overrides, id)
	if !reenabledAt.IsZero() && (wasOverridden || !mustExist) {
		n.recordReenabled(id, reenabledAt)
	}
}

// recordReenabled records when a host's override was lifted, and forgets hosts that have warmed up since theirs was.
func (n *Node) recordReenabled(id balancer.ServerID, at time.Time) {
	now := time.Now()
	n.observeClock(now)
	for other, reenabledAt := range n.reenabledAt {
		if n.clockTime(now)-reenabledAt > n.settings.SlowStartDuration {
			delete(n.reenabledAt, other)
		}
	}
	if len(n.reenabledAt) < maxOverrides {
		startedAt := n.wallClock.started(at.UnixMilli(), n.clockTime(now))
		n.reenabledAt[id] = max(n.reenabledAt[id], startedAt)
	}
}

// effectiveState returns a host's state by the list and its override.
func (n *Node) effectiveState(id balancer.ServerID, listed balancer.ServerState) balancer.ServerState {
	if listed == balancer.Live && n.overrides[id] {
		return balancer.Draining
	}
	return listed
}
