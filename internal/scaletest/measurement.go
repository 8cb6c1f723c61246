package scaletest

import (
	"context"
	"errors"
	"fmt"
	"time"

	"onyxstream/internal/testcluster"
	"onyxstream/internal/wire"
)

const (
	startupTimeout     = 60 * time.Second      // for all nodes to watch the endpoint list
	propagationTimeout = 10 * time.Second      // for all nodes to receive the last change
	checkInterval      = 10 * time.Millisecond // between two checks of either condition

	// firstRevision is the revision of the endpoint list that nodes start with.
	firstRevision = 1
)

// measurement measures the phases of one fleet.
type measurement struct {
	spec        Spec
	cluster     *testcluster.Cluster
	fleet       measuredFleet
	nodes       int
	propagation *propagationRecorder
	nextHost    int   // number of changes so far; modulo the number of hosts, the index of the host that changes next
	revision    int64 // revision of the last change; 0 before the first
}

// measureFleet starts a fleet, measures its phases and stops it. It returns a *ShortageError if the machine lacks a
// resource for the fleet.
func measureFleet(ctx context.Context, s Spec, kind Kind, n int, opt Options) (sample Sample, err error) {
	descriptors, err := opt.descriptorLimit()
	if err != nil {
		return sample, err
	}
	if resource := missingResource(kind, n, descriptors); resource != "" {
		return sample, &ShortageError{kind, n, resource}
	}
	propagation := newPropagationRecorder()
	cluster, fleet, err := startFleet(s, kind, n, opt, propagation)
	if cluster != nil {
		defer cluster.Close()
	}
	if fleet != nil {
		defer fleet.close()
	}
	if err != nil {
		return sample, err
	}
	m := &measurement{spec: s, cluster: cluster, fleet: fleet, nodes: n, propagation: propagation}
	return m.measurePhases(ctx, kind)
}

// measurePhases waits until all nodes watch the endpoint list. It then measures a phase without changes, a phase with
// changes and a phase in which nodes restart.
func (m *measurement) measurePhases(ctx context.Context, kind Kind) (Sample, error) {
	sample := Sample{Kind: kind, Nodes: m.nodes}
	begin := time.Now()
	if !m.awaitWatches(ctx, startupTimeout) {
		if err := ctx.Err(); err != nil {
			return sample, err
		}
		resource := fmt.Sprintf("processor: %d follow the list after %v", m.cluster.Discovery.OpenRequests(), startupTimeout)
		return sample, &ShortageError{kind, m.nodes, resource}
	}
	sample.StartupTime = time.Since(begin)
	sample.Idle = m.measurePhase(func() { sleep(ctx, m.spec.IdleDuration.AsDuration()) })
	sample.Changes = m.measurePhase(func() { m.applyChanges(ctx, m.spec.Changes) })
	var restartError error
	sample.Restart = m.measurePhase(func() { restartError = m.restartNodes(ctx) })
	sample.MemoryMB = m.fleet.memoryMB()
	used := sample.MemoryMB * float64(m.nodes)
	if used > float64(m.spec.MaxMemoryMB) {
		resource := fmt.Sprintf("memory: %.0f MB are taken, %d may be", used, m.spec.MaxMemoryMB)
		return sample, &ShortageError{kind, m.nodes, resource}
	}
	return sample, errors.Join(restartError, ctx.Err())
}

// restartNodes restarts the spec's share of the nodes. While they restart, it makes a quarter of the spec's changes, but at
// least one.
func (m *measurement) restartNodes(ctx context.Context) error {
	if err := m.fleet.restart(int(float64(m.nodes) * m.spec.RestartShare)); err != nil {
		return err
	}
	m.applyChanges(ctx, max(m.spec.Changes/4, 1))
	m.awaitWatches(ctx, startupTimeout)
	return nil
}

// awaitWatches waits until all nodes watch the endpoint list. It returns false after a timeout or if ctx ends.
func (m *measurement) awaitWatches(ctx context.Context, timeout time.Duration) bool {
	deadline := time.Now().Add(timeout)
	for ; time.Now().Before(deadline) && ctx.Err() == nil; sleep(ctx, checkInterval) {
		if m.cluster.Discovery.OpenRequests() >= m.nodes {
			return true
		}
	}
	return false
}

// measurePhase measures the fleet while f runs.
func (m *measurement) measurePhase(f func()) Phase {
	begin := time.Now()
	trafficBefore := m.cluster.Discovery.Traffic()
	usageBefore := m.fleet.usage()
	f()
	duration := time.Since(begin)
	nodeSeconds := duration.Seconds() * float64(m.nodes)
	traffic := m.cluster.Discovery.Traffic().Sub(trafficBefore)
	return Phase{
		Duration:     duration,
		BytesPerS:    float64(traffic.BytesIn+traffic.BytesOut) / nodeSeconds,
		MessagesPerS: float64(traffic.MessagesIn+traffic.MessagesOut) / nodeSeconds,
		Cores:        (m.fleet.usage().CPU - usageBefore.CPU).Seconds() / nodeSeconds,
		Latency:      m.propagation.takeLatency(m.nodes),
	}
}

// applyChanges makes n changes to the endpoint list at the spec's rate, each to one host. It then waits until all nodes
// have received them, for at most propagationTimeout.
func (m *measurement) applyChanges(ctx context.Context, n int) {
	ticker := time.NewTicker(m.spec.changeInterval())
	defer ticker.Stop()
	for range n {
		m.applyChange()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
	deadline := time.Now().Add(propagationTimeout)
	for !m.propagation.isComplete(m.nodes) && time.Now().Before(deadline) && ctx.Err() == nil {
		sleep(ctx, checkInterval)
	}
}

// applyChange marks the next host as draining. When all hosts are draining, the following calls mark one host after the
// other as serving again.
func (m *measurement) applyChange() {
	hosts := m.cluster.Hosts()
	phase := wire.Draining
	if m.nextHost/len(hosts)%2 == 1 {
		phase = wire.Serving
	}
	host := hosts[m.nextHost%len(hosts)]
	m.nextHost++
	m.revision = max(m.revision, firstRevision) + 1
	m.propagation.recordChange(m.revision)
	m.cluster.Discovery.Set(m.cluster.HostEndpoint(host, phase))
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
