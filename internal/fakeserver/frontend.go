package fakeserver

import (
	"context"
	"sync"
	"time"
)

const (
	healthCheckInterval = 50 * time.Millisecond
	healthCheckTimeout  = time.Second
	readyCheckInterval  = healthCheckInterval / 5 // pause between the checks of Ready
)

// Node is a node that the front sends clients to.
type Node struct{ Name, Addr, Zone string }

// FrontendBalancer is a fake front, the load balancer in front of the nodes. For each client it picks a node that
// passes its health checks, in the client's zone if there is one. It is safe for concurrent use.
type FrontendBalancer struct {
	events     *EventLog
	ejectAfter time.Duration
	cancel     context.CancelFunc
	wg         sync.WaitGroup

	mu      sync.Mutex
	nodes   []Node
	healthy []bool // by index in nodes
	picks   uint64
}

// NewFrontendBalancer starts a front and its health checks; Close ends them. A failed check ejects a node if the node
// last passed a check at least ejectAfter ago. If ejectAfter is 0, the first failed check ejects the node.
func NewFrontendBalancer(events *EventLog, ejectAfter time.Duration, nodes ...Node) *FrontendBalancer {
	ctx, cancel := context.WithCancel(context.Background())
	f := &FrontendBalancer{
		events:     events,
		ejectAfter: ejectAfter,
		cancel:     cancel,
		nodes:      nodes,
		healthy:    make([]bool, len(nodes)),
	}
	for i := range nodes {
		f.wg.Go(func() { f.checkNode(ctx, i) })
	}
	return f
}

// Close ends the health checks.
func (f *FrontendBalancer) Close() {
	f.cancel()
	f.wg.Wait()
}

// checkNode runs the health checks of one node until the context ends.
func (f *FrontendBalancer) checkNode(ctx context.Context, index int) {
	lastPassed := time.Time{}
	for ctx.Err() == nil {
		passed := Ping(ctx, f.nodes[index].Addr, healthCheckTimeout) == nil
		if passed {
			lastPassed = time.Now()
		}
		f.setHealth(index, passed, lastPassed)
		select {
		case <-ctx.Done():
		case <-time.After(healthCheckInterval):
		}
	}
}

// setHealth applies the result of a health check.
func (f *FrontendBalancer) setHealth(index int, passed bool, lastPassed time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if passed == f.healthy[index] {
		return
	}
	if !passed && time.Since(lastPassed) < f.ejectAfter {
		return
	}
	f.healthy[index] = passed
	kind := EventNodeUnhealthy
	if passed {
		kind = EventNodeHealthy
	}
	f.events.Add(Event{Source: SourceFrontend, Kind: kind, Detail: f.nodes[index].Name})
}

// Pick returns the next healthy node of a zone in round-robin order. If the zone has no healthy node or is "", Pick
// returns a healthy node of any zone. ok is false while no node is healthy.
func (f *FrontendBalancer) Pick(zone string) (node Node, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.picks++
	if node, ok = f.pickFrom(zone); ok || zone == "" {
		return node, ok
	}
	return f.pickFrom("")
}

// pickFrom returns the next healthy node of a zone, or of any zone if zone is "". The caller must hold mu.
func (f *FrontendBalancer) pickFrom(zone string) (node Node, ok bool) {
	for offset := range f.nodes {
		index := (int(f.picks%uint64(len(f.nodes))) + offset) % len(f.nodes)
		inZone := zone == "" || f.nodes[index].Zone == zone
		if f.healthy[index] && inZone {
			return f.nodes[index], true
		}
	}
	return Node{}, false
}

// Ready waits until every node is healthy.
func (f *FrontendBalancer) Ready(ctx context.Context) error {
	for !f.allHealthy() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readyCheckInterval):
		}
	}
	return nil
}

func (f *FrontendBalancer) allHealthy() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, healthy := range f.healthy {
		if !healthy {
			return false
		}
	}
	return true
}
