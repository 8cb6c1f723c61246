package testcluster

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"onyxstream/internal/ctxtime"
	"onyxstream/internal/fakeserver"
	"onyxstream/internal/tomlfile"
)

// RollingRestart describes a rolling restart under load: all nodes are stopped and started again, a tenth of them at a
// time, while hosts hang and are replaced. Order, faults and clients are drawn from the seed.
type RollingRestart struct {
	Seed   uint64
	Length time.Duration // of the load
	Rate   float64       // new clients per second, over all nodes
	Kill   bool          // nodes are killed instead of stopped gracefully, so that requests are lost
}

const (
	// pickableAfterStop is how long clients still connect to a node that is stopping: the maximum time until the front
	// (the load balancer in front of the nodes) notices.
	pickableAfterStop = 400 * time.Millisecond
	// nodeKillTimeout is how long a graceful shutdown may take before the node is killed: the longest deadline, capped at
	// 3 s, plus 0.7 s.
	nodeKillTimeout = 3700 * time.Millisecond
	// restartPollInterval is the pause between health checks of a restarted node.
	restartPollInterval = 20 * time.Millisecond
	pingTimeout         = time.Second
	// rollingStream is the second half of the random seed of a rolling restart; the first half is RollingRestart.Seed.
	rollingStream = 0x726f6c6c
	// batchDivisor sets how many nodes restart at a time: the number of all nodes divided by it.
	batchDivisor = 10
)

// nodePicker picks the nodes that clients connect to. It is safe for concurrent use.
type nodePicker struct {
	mu       sync.Mutex
	excluded map[int]bool
}

func (p *nodePicker) setExcluded(node int, excluded bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.excluded[node] = excluded
}

// pick returns the first node that is not excluded. It tries the nodes by ascending index from start, with wraparound.
func (p *nodePicker) pick(start, nodes int) (node int, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for offset := range nodes {
		if node := (start + offset) % nodes; !p.excluded[node] {
			return node, true
		}
	}
	return 0, false
}

// RunRollingRestart runs a rolling restart of a ready cluster. It returns when all clients have ended.
func (c *Cluster) RunRollingRestart(ctx context.Context, plan RollingRestart) error {
	rng := rand.New(rand.NewPCG(plan.Seed, rollingStream))
	picker := &nodePicker{excluded: map[int]bool{}}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var wg sync.WaitGroup
	c.ScheduleFaults(ctx, c.drawHostFaults(rng, plan.Length))
	order := rng.Perm(len(c.nodes))
	wg.Go(func() { c.restartInBatches(ctx, cancel, &wg, picker, order, plan) })
	start := time.Now()
	for at := time.Duration(0); at < plan.Length; at += drawInterval(rng, plan.Rate) {
		if !ctxtime.Sleep(ctx, time.Until(start.Add(at))) {
			break
		}
		client := drawClient(rng)
		if node, ok := picker.pick(rng.IntN(len(c.nodes)), len(c.nodes)); ok {
			wg.Go(func() { c.runRollingClient(ctx, node, client) })
		}
	}
	wg.Wait()
	err := context.Cause(ctx)
	c.timeline.stop()
	return errors.Join(err, c.Err())
}

// drawInterval draws the time to the next client of a Poisson process.
func drawInterval(rng *rand.Rand, rate float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

// restartInBatches restarts the nodes batch by batch in the given order, over two thirds of the duration of the load. It
// cancels the run if a node can't be restarted.
func (c *Cluster) restartInBatches(
	ctx context.Context, cancel context.CancelCauseFunc, wg *sync.WaitGroup,
	picker *nodePicker, order []int, plan RollingRestart,
) {
	batch := max(len(c.nodes)/batchDivisor, 1)
	batches := (len(order) + batch - 1) / batch
	pause := plan.Length * 2 / 3 / time.Duration(batches)
	for first := 0; first < len(order) && ctxtime.Sleep(ctx, pause); first += batch {
		for _, node := range order[first:min(first+batch, len(order))] {
			wg.Go(func() {
				if err := c.restartNode(ctx, picker, node, plan.Kill); err != nil {
					cancel(err)
				}
			})
		}
	}
}

// drawHostFaults draws the faults of hosts: a third of the hosts hang, and half of the hosts, chosen among the others,
// are drained and replaced.
func (c *Cluster) drawHostFaults(rng *rand.Rand, length time.Duration) (faults []FaultSpec) {
	hosts := len(c.Hosts())
	order := rng.Perm(hosts)
	fraction := func(f float64) tomlfile.Duration { return tomlfile.Duration(f * float64(length)) }
	hanging := max(hosts/3, 1)
	for _, host := range order[:hanging] {
		faults = append(faults, FaultSpec{
			At:       fraction(0.1 + 0.3*rng.Float64()),
			Kind:     faultHang,
			Target:   fmt.Sprint("h", host+1),
			Duration: fraction(0.6),
		})
	}
	for i, host := range order[hanging : hanging+hosts/2] {
		at := fraction(0.2 + 0.5*float64(i)/float64(hosts))
		faults = append(faults, FaultSpec{At: at, Kind: faultAdd, Target: fmt.Sprint("h", hosts+i+1)})
		faults = append(faults, FaultSpec{
			At:     at,
			Kind:   faultDrain,
			Target: fmt.Sprint("h", host+1),
			Period: tomlfile.Duration(time.Second),
		})
	}
	return faults
}

// restartNode stops a node with SIGTERM, as in production, or kills it with SIGKILL. It then starts the node again.
func (c *Cluster) restartNode(ctx context.Context, picker *nodePicker, node int, kill bool) error {
	p := c.nodes[node]
	c.recordFault(p.name, faultStop)
	exclude := time.AfterFunc(pickableAfterStop, func() { picker.setExcluded(node, true) })
	defer exclude.Stop()
	signal := syscall.SIGTERM
	if kill {
		signal = syscall.SIGKILL
	}
	p.stop(signal, nodeKillTimeout)
	picker.setExcluded(node, true)
	c.recordFault(p.name, detailStart)
	if err := p.start(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for fakeserver.Ping(ctx, p.addr, pingTimeout) != nil {
		if !ctxtime.Sleep(ctx, restartPollInterval) {
			return fmt.Errorf("wait for restarted node %s: %w", p.name, ctx.Err())
		}
	}
	picker.setExcluded(node, false)
	return nil
}
