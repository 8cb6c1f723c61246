package soaktest

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"onyxstream/internal/ctxtime"
	"onyxstream/internal/fakeserver"
	"onyxstream/internal/testcluster"
)

// runner runs a plan.
type runner struct {
	plan      Plan
	cluster   *testcluster.Cluster
	ctx       context.Context
	startedAt time.Duration  // by the cluster's clock
	wg        sync.WaitGroup // of all goroutines of the plan

	mu   sync.Mutex
	errs error
}

func (r *runner) addError(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errs = errors.Join(r.errs, err)
}

func (r *runner) err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.errs
}

// invalidConfigTime is the minimum time for which a configuration file stays invalid.
const invalidConfigTime = 60 * time.Millisecond

// startReloads starts the plan's reloads.
func (r *runner) startReloads() {
	var filesMu sync.Mutex // held while a configuration file is invalid
	for _, reload := range r.plan.Reloads {
		r.wg.Go(func() {
			if !ctxtime.Sleep(r.ctx, reload.At) {
				return
			}
			if reload.Invalid {
				filesMu.Lock()
				defer filesMu.Unlock()
				restore, err := r.invalidateConfig(reload.Node)
				if err != nil {
					r.addError(err)
					return
				}
				defer restore()
			}
			for range 1 + reload.Repeats {
				r.cluster.Reload(reload.Node)
				ctxtime.Sleep(r.ctx, invalidConfigTime/4)
			}
			ctxtime.Sleep(r.ctx, invalidConfigTime)
		})
	}
}

// invalidateConfig truncates a node's configuration file. restore writes it back and makes the node reload it.
func (r *runner) invalidateConfig(node int) (restore func(), err error) {
	path := r.cluster.NodeConfig(node)
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(path, text[:len(text)/2], 0o600); err != nil {
		return nil, err
	}
	return func() {
		if err := os.WriteFile(path, text, 0o600); err != nil {
			r.addError(err)
		}
		r.cluster.Reload(node)
	}, nil
}

// startIdleClients starts the plan's idle clients.
func (r *runner) startIdleClients() {
	for _, idle := range r.plan.IdleClients {
		r.wg.Go(func() {
			if !ctxtime.Sleep(r.ctx, idle.At) {
				return
			}
			var connections []net.Conn
			for range idle.Count {
				conn, err := net.DialTimeout("tcp", r.cluster.NodeAddress(idle.Node), dialTimeout)
				if err != nil {
					continue // the node may be restarting
				}
				connections = append(connections, conn)
			}
			ctxtime.Sleep(r.ctx, idle.Duration)
			for _, conn := range connections {
				_ = conn.Close()
			}
		})
	}
}

const (
	// frontEjectDelay is how long the front in production still sends clients to a node that is stopping.
	frontEjectDelay = 400 * time.Millisecond
	// maxPicks limits how often another node is picked when the picked node is stopping.
	maxPicks = 64
)

// pickNode picks a node for a client like the front in production (the load balancer in front of the nodes), which
// ejects a stopping node sooner than the fake front does.
func (r *runner) pickNode() (node fakeserver.Node, ok bool) {
	at := r.cluster.Clock.Now() - r.startedAt
	for range maxPicks {
		node, ok = r.cluster.Front.Pick("")
		if !ok || !r.plan.isStopping(node.Name, at) {
			return node, ok
		}
	}
	return node, false
}

// isStopping reports whether, at a time, the front in production sends no clients to the node because of a stop. That
// is the case from frontEjectDelay to half of restartReservation after the stop.
func (p Plan) isStopping(node string, at time.Duration) bool {
	for _, fault := range p.Faults {
		if fault.Target != node || fault.Kind != "stop" {
			continue
		}
		if at > fault.At.AsDuration()+frontEjectDelay && at < fault.At.AsDuration()+restartReservation/2 {
			return true
		}
	}
	return false
}

// clientStream is the second half of the random seed of a plan's clients; the first half is the seed of the plan.
const clientStream = 0x636c69656e74

// startClients starts clients as a Poisson process with the given rate per second, and returns after the plan's
// duration.
func (r *runner) startClients(rate float64) {
	rng := rand.New(rand.NewPCG(r.plan.Seed, clientStream))
	var connections atomic.Int64
	newKey := func() string { return fmt.Sprint("k", connections.Add(1)) }
	begin := time.Now()
	at := time.Duration(0)
	for n := 1; at < r.plan.Duration; n++ {
		if !ctxtime.Sleep(r.ctx, time.Until(begin.Add(at))) {
			return
		}
		s := &session{client: r.drawClient(rng, n), cluster: r.cluster, pickNode: r.pickNode, newKey: newKey}
		r.wg.Go(func() { s.run(r.ctx, r.plan.Mode == modePassThrough) })
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
	}
}

const (
	// maxConnectedFor bounds how long a client holds an established connection.
	maxConnectedFor = 3 * time.Second
	// maxPause bounds the pause of a client before it continues, disconnects or completes the opening line.
	maxPause = 1500 * time.Millisecond
)

// drawClient returns client number n with random properties.
func (r *runner) drawClient(rng *rand.Rand, n int) client {
	class := classes[rng.IntN(len(classes))]
	c := client{
		id:           fmt.Sprintf("s%d-%d", r.plan.Seed, n),
		class:        class.Name,
		behavior:     drawBehavior(rng),
		deadline:     time.Duration((0.2 + 0.8*rng.Float64()) * float64(class.Deadline)),
		connectedFor: time.Duration(rng.Float64() * float64(maxConnectedFor)),
		pause:        time.Duration(rng.Float64() * float64(maxPause)),
		reconnect:    rng.IntN(4) == 0,
	}
	if c.behavior == behaviorDisconnect || c.behavior == behaviorReset {
		c.pause /= 5
	}
	return c
}
