package lifecycle

import (
	"context"
	"errors"
	"time"

	"onyxstream/internal/control"
	"onyxstream/internal/management"
	"onyxstream/internal/node"
	"onyxstream/internal/proxy"
)

const (
	// frontNotices is when the front has surely noticed a drain and sends no one new: until then whoever comes is served.
	frontNotices = time.Second
	// awayWithin is by when a drain has sent away what stands.
	awayWithin = 3 * time.Second
)

// operated is a node as the operators' line calls see it: the operations of the control listener, called by hand.
type operated struct {
	node   *node.Node
	driver *proxy.Proxy
	shared *shared         // with other processes of the node
	stop   context.Context // ends when the node is told to stop
}

// Ready tells whether this process can serve. A node that drains can: its process is well, and the front is told of the
// drain on its own way.
func (o *operated) Ready() error {
	if o.stop.Err() != nil {
		return errors.New("this process stops")
	}
	return nil
}

// Stats tells what was counted. It waits for nothing but the counters.
func (o *operated) Stats() management.Stats {
	f := management.Stats{Dispatches: o.driver.Dispatches(), Concurrent: o.driver.OpenClients()}
	for _, r := range o.driver.Replies() {
		f.Replies = append(f.Replies, management.Replies{Class: r.Class, Success: r.Success, Overload: r.Rejected, Error: r.Error})
	}
	f.Targets, f.Disabled = o.node.HostCounts()
	return f
}

// DrainHost takes a host out.
func (o *operated) DrainHost(id string) error {
	return o.shared.word(id, true)
}

// ResumeHost uses a host again.
func (o *operated) ResumeHost(id string) error {
	return o.shared.word(id, false)
}

// Drain has the node drain. What stands is sent away but where packets pass through.
func (o *operated) Drain() error {
	return o.shared.leave(control.Command{Kind: control.Drain, DrainTimeout: awayWithin, AdmitFor: frontNotices, KeepConnections: true})
}

// Resume ends a drain.
func (o *operated) Resume() error { return o.shared.leave(control.Command{Kind: control.Resume}) }
