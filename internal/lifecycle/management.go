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
	// managementAdmitFor is how long a node still admits new clients after a management call drains it. By then the
	// load balancer in front of the nodes has noticed the drain.
	managementAdmitFor = time.Second
	// managementDrainTimeout is the time after that call by which the node has migrated its connections.
	managementDrainTimeout = 3 * time.Second
)

// errShuttingDown has a text that must not change, because the reply to a management call contains it.
var errShuttingDown = errors.New("this process stops")

// managementOperations executes management calls. An override or a drain applies to all processes of the node. The
// methods may be called from any goroutine.
type managementOperations struct {
	node        *node.Node
	proxy       *proxy.Proxy
	coordinator *multiprocess.Coordinator
	stop        context.Context // done as soon as the process gets a stop signal
}

// Ready returns nil if this process can serve clients. A draining node is ready, too: the load balancer in front of the
// nodes learns of a drain by other means.
func (m *managementOperations) Ready() error {
	if m.stop.Err() != nil {
		return errShuttingDown
	}
	return nil
}

// Stats returns the node's counters, without waiting for the event loop.
func (m *managementOperations) Stats() management.Stats {
	stats := management.Stats{
		Dispatches: m.proxy.Dispatches(),
		Concurrent: m.proxy.OpenClients(),
	}
	for _, answers := range m.proxy.FinalAnswers() {
		stats.FinalAnswers = append(stats.FinalAnswers, management.FinalAnswers{
			Class:    answers.Class,
			Success:  answers.Success,
			Overload: answers.Rejected,
			Error:    answers.Error,
		})
	}
	stats.Targets, stats.Disabled = m.node.HostCounts()
	return stats
}

// DrainHost sets a host override that drains the host.
func (m *managementOperations) DrainHost(id string) error {
	return m.coordinator.SetHostOverride(id, true)
}

// ResumeHost sets a host override that ends the drain of the host.
func (m *managementOperations) ResumeHost(id string) error {
	return m.coordinator.SetHostOverride(id, false)
}

// Drain drains the node. Established connections are migrated, except in pass-through mode, where they stay.
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
