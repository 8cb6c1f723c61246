package lifecycle

import (
	"cmp"
	"context"
	"crypto/tls"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/control"
	"onyxstream/internal/node"
	"onyxstream/internal/nodeconfig"
	"onyxstream/internal/pki"
)

// controlDescriptors returns the maximum number of descriptors that the control listeners and their connections use.
func controlDescriptors(cfg nodeconfig.Control, maxConnections int) (total int) {
	for _, address := range []string{cfg.Socket, cfg.Listen} {
		if address != "" {
			total += maxConnections + 1
		}
	}
	return total
}

// openControlListeners opens the configured control listeners. If it returns an error, no listener stays open.
func openControlListeners(
	cfg nodeconfig.Control, maxConnections int, log *zap.Logger,
) (listeners []control.Listener, err error) {
	defer func() {
		if err != nil {
			for _, listener := range listeners {
				_ = listener.Close()
			}
		}
	}()
	if cfg.Socket != "" {
		listener, err := control.ListenUnix(cfg.Socket, maxConnections)
		if err != nil {
			return listeners, err
		}
		listeners = append(listeners, listener)
	}
	if cfg.Listen != "" {
		keys, err := openKeys(*cfg.Keys, log)
		if err != nil {
			return listeners, err
		}
		roleOf := func(s *tls.ConnectionState) control.Role { return controlRole(keys.PeerRole(s)) }
		listener, err := control.ListenTLS(cfg.Listen, maxConnections, keys.ServerConfig(), roleOf)
		if err != nil {
			return listeners, err
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

// openKeys opens certificate files. The key store reloads them when they are renewed.
func openKeys(files pki.Files, log *zap.Logger) (*pki.KeyStore, error) {
	return pki.Open(files, func(err error) { log.Error("certificate reload failed", zap.Error(err)) })
}

// controlRole maps the role in a certificate to a role on the control listener.
func controlRole(certificateRole string) control.Role {
	switch certificateRole {
	case pki.RoleOperator:
		return control.Operator
	case pki.RoleViewer:
		return control.Viewer
	}
	return control.NoRole
}

// controlInstance implements control.Instance for the node. Its methods may be called from any goroutine.
type controlInstance struct {
	name      string
	node      *node.Node
	startedAt time.Time
	stop      context.Context // done as soon as the process gets a stop signal
}

// The control server checks at run time whether an instance is a control.ListProvider. This line makes the compiler
// check it, too.
var _ control.ListProvider = (*controlInstance)(nil)

// newIncarnation returns a random identifier for this start of the process.
func newIncarnation() string { return strconv.FormatUint(rand.Uint64(), 36) }

// Status returns the node's state and counters.
func (c *controlInstance) Status() control.Status {
	view := c.node.View()
	status := control.Status{
		Name:           c.name,
		State:          control.Serving,
		InFlight:       c.node.InFlightRequests(),
		Established:    c.node.EstablishedConnections(),
		UptimeSeconds:  time.Since(c.startedAt).Seconds(),
		Revision:       view.Revision,
		RuleViolations: c.node.Monitor().Total(),
		Abandoned:      abandonedRequests(view),
	}
	switch {
	case c.stop.Err() != nil:
		status.State = control.Stopping
	case c.node.IsDraining() && status.InFlight+status.Established == 0:
		status.State = control.Drained
	case c.node.IsDraining():
		status.State = control.Draining
	}
	status.List = c.listStatus()
	status.Hosts = hostStatuses(view)
	return status
}

// listStatus returns how the node obtained its endpoint list, or nil if cold start is off.
func (c *controlInstance) listStatus() *control.ListStatus {
	state, ok := c.node.ColdStartState()
	if !ok {
		return nil
	}
	return &control.ListStatus{
		State:                  state.Phase.String(),
		Source:                 string(state.Source),
		AgeSeconds:             state.Age.Seconds(),
		ListRequests:           state.ListRequests,
		Failed:                 state.Failed,
		NextListRequestSeconds: state.Next.Seconds(),
	}
}

func hostStatuses(view node.View) (statuses []control.HostStatus) {
	states := map[balancer.ServerState]string{
		balancer.Live:     "live",
		balancer.Draining: "draining",
		balancer.Removed:  "gone",
	}
	for _, host := range view.Hosts {
		statuses = append(statuses, control.HostStatus{
			ID:          string(host.ID),
			State:       states[host.State],
			Overridden:  host.Overridden,
			Connections: host.Connections,
		})
	}
	return statuses
}

// abandonedRequests returns the number of abandoned requests for each reason, sorted by reason, so that a status that
// has not changed is equal to the last one.
func abandonedRequests(view node.View) (abandoned []control.AbandonedRequests) {
	for _, reason := range slices.Sorted(maps.Keys(view.Abandoned)) {
		abandoned = append(abandoned, control.AbandonedRequests{
			Reason:   string(reason),
			Requests: view.Abandoned[reason],
		})
	}
	return abandoned
}

// CachedList returns the endpoint list that this node offers to its peers, or nil if it has none.
func (c *controlInstance) CachedList() *control.CachedList {
	cached := c.node.CachedList()
	if cached == nil {
		return nil
	}
	list := &control.CachedList{
		DiscoveryName: cached.DiscoveryName,
		List:          cached.List,
		Confirmed:     cached.Confirmed,
		Replaced:      cached.Replaced,
	}
	for _, host := range cached.Unreachable {
		list.Unreachable = append(list.Unreachable, host.ID)
		list.UnreachableAt = append(list.UnreachableAt, host.FoundAt)
	}
	return list
}

// ListAvailable returns a channel that is closed as soon as the node has an endpoint list.
func (c *controlInstance) ListAvailable() <-chan struct{} { return c.node.ListAvailable() }

// Apply executes a command. It panics if the command is of a kind that the control server does not accept.
func (c *controlInstance) Apply(command control.Command) error {
	now := time.Now()
	switch command.Kind {
	case control.Drain:
		return c.node.Drain(node.DrainPlan{
			Deadline:        now.Add(command.DrainTimeout),
			AdmissionCutoff: now.Add(command.AdmitFor),
			RetryAfter:      command.RetryAfter,
			KeepConnections: command.KeepConnections,
		})
	case control.Resume:
		return c.node.CancelDrain()
	case control.HostDrain, control.HostResume:
		host := balancer.ServerID(command.Host)
		drain := command.Kind == control.HostDrain
		return c.node.SetHostOverride(host, drain, command.HostMustExist, cmp.Or(command.GivenAt, now))
	}
	panic(fmt.Sprintf("unexpected command kind %q", command.Kind))
}
