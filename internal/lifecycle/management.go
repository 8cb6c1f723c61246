package lifecycle

import (
	"context"
	"errors"
	"time"

	"onyxstream/internal/control"
	"onyxstream/internal/management"
	"onyxstream/internal/multiprocess"
	"onyxstream/internal/node"
	"onyxstream/internal/proxy"
)

const (
	// managementAdmitFor is how long a drained node admits new clients: by then the load balancer in front of the
	// nodes has surely noticed the drain.
	managementAdmitFor = time.Second
	// managementDrainTimeout is when a drained node has migrated its connections.
	managementDrainTimeout = 3 * time.Second
)

// errShuttingDown is part of the management protocol: callers read its text.
var errShuttingDown = errors.New("this process stops")

// managementOperations executes the calls of the management listener, for all processes of the node. Its methods may be
// called from any goroutine.
type managementOperations struct {
	node        *node.Node
	proxy       *proxy.Proxy
	coordinator *multiprocess.Coordinator
	stop        context.Context // done once the process is signalled to stop
}

// Ready returns nil where this process can serve, also while the node drains: the load balancer in front of the nodes
// learns of a drain by other means.
func (m *managementOperations) Ready() error {
	if m.stop.Err() != nil {
		return errShuttingDown
	}
	return nil
}

// Stats returns the node's counters. It does not wait for the event loop.
func (m *managementOperations) Stats() management.Stats {
	stats := management.Stats{
		Dispatches: m.proxy.Dispatches(),
		Concurrent: m.proxy.OpenClients(),
	}
	for _, replies := range m.proxy.Replies() {
		stats.FinalAnswers = append(stats.FinalAnswers, management.FinalAnswers{
			Class:    replies.Class,
			Success:  replies.Success,
			Overload: replies.Rejected,
			Error:    replies.Error,
		})
	}
	stats.Targets, stats.Disabled = m.node.HostCounts()
	return stats
}

// DrainHost drains a host.
func (m *managementOperations) DrainHost(id string) error {
	return m.coordinator.SetHostOverride(id, true)
}

// ResumeHost ends the drain of a host.
func (m *managementOperations) ResumeHost(id string) error {
	return m.coordinator.SetHostOverride(id, false)
}

// Drain drains the node. Established connections are migrated, except in pass-through mode.
func (m *managementOperations) Drain() error {
	return m.coordinator.SetDrain(control.Command{
		Kind:            control.Drain,
		DrainTimeout:    managementDrainTimeout,
		AdmitFor:        managementAdmitFor,
		KeepConnections: true,
	})
}

// Resume ends a drain of the node.
func (m *managementOperations) Resume() error {
	return m.coordinator.SetDrain(control.Command{Kind: control.Resume})
}
