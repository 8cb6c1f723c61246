package scaletest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"syscall"
	"time"

	"onyxstream/internal/testcluster"
	"onyxstream/internal/wire"
)

// Kind is how the nodes of a sample were run.
type Kind string

// The kinds.
const (
	Hollow Kind = "hollow" // many in one process, without clients
	Real   Kind = "real"   // a process each
)

// Sample is what one fleet was measured at. Rates are of one node.
type Sample struct {
	Kind     Kind          `json:"kind"`
	Nodes    int           `json:"nodes"`
	Started  time.Duration `json:"started_ns"` // until all followed the list
	MemoryMB float64       `json:"memory_mb"`  // resident at most, of one node
	Rest     Phase         `json:"rest"`
	Changes  Phase         `json:"changes"`
	Restart  Phase         `json:"restart"`
}

// Phase is a stretch of time in which one thing went on.
type Phase struct {
	Length       time.Duration `json:"length_ns"`
	BytesPerS    float64       `json:"bytes_per_s"`    // to and from the list service, TCP's payload
	MessagesPerS float64       `json:"messages_per_s"` // reads and writes there
	Cores        float64       `json:"cores"`          // processor time over time
	Latency      Latency       `json:"latency"`
}

// Result is a whole run.
type Result struct {
	Spec        Spec         `json:"spec"`
	Samples     []Sample     `json:"samples"`
	Differences []Difference `json:"differences"`
	Fits        []Fit        `json:"fits"`
	Short       string       `json:"short"` // what the machine lacked for the rest; "" where all was measured
}

// Options are what a run needs of who starts it.
type Options struct {
	Program     string       // the program itself, which runs nodes and hollow nodes
	Progress    func(string) // nil for none
	Descriptors uint64       // that a process may hold; 0 for what the system says
}

// ShortError says that the machine can't bear a fleet of a size.
type ShortError struct {
	Kind  Kind
	Nodes int
	What  string
}

func (e *ShortError) Error() string {
	return fmt.Sprintf("%d %s nodes: short of %s", e.Nodes, e.Kind, e.What)
}

const (
	startWithin   = 60 * time.Second
	receiveWithin = 10 * time.Second
	pollEvery     = 10 * time.Millisecond
	// descriptorsOf are those that a hollow fleet takes for each node: its end of the watch and the service's, in two
	// processes, and another one while a watch is opened anew.
	descriptorsOf = 2
	// ownDescriptors are those that such a process takes beside them.
	ownDescriptors = 200
)

// Run measures all fleets. Where the machine is short of something the result has the samples until then and says so; an
// error beside it is of another kind.
func Run(ctx context.Context, s Spec, opt Options) (Result, error) {
	result := Result{Spec: s}
	type size struct {
		kind  Kind
		nodes int
	}
	var sizes []size
	for _, n := range s.Real {
		sizes = append(sizes, size{Real, n})
	}
	for _, n := range append(append([]int(nil), s.Real...), s.Hollow...) {
		if !slices.Contains(sizes, size{Hollow, n}) {
			sizes = append(sizes, size{Hollow, n})
		}
	}
	slices.SortStableFunc(sizes, func(a, b size) int { return a.nodes - b.nodes })
	var failed error
	for _, z := range sizes {
		if opt.Progress != nil {
			opt.Progress(fmt.Sprintf("%d %s nodes", z.nodes, z.kind))
		}
		sample, err := measure(ctx, s, z.kind, z.nodes, opt)
		var short *ShortError
		if errors.As(err, &short) {
			result.Short = short.Error()
			break
		} else if err != nil {
			failed = err
			break
		}
		result.Samples = append(result.Samples, sample)
	}
	result.Differences = differences(result.Samples)
	result.Fits = fits(result.Samples, s.Target)
	return result, failed
}

// population is a fleet that runs.
type population interface {
	usage() testcluster.Usage // of all its processes, memory of the largest
	memoryMB() float64
	restart(n int) error
	close()
}

// lacks says what a process that may hold so many descriptors lacks for a fleet, "" for nothing.
func lacks(kind Kind, nodes int, descriptors uint64) string {
	if need := uint64(nodes*descriptorsOf + ownDescriptors); kind == Hollow && need > descriptors {
		return fmt.Sprintf("descriptors: %d are needed, a process has %d", need, descriptors)
	}
	return ""
}

func measure(ctx context.Context, s Spec, kind Kind, n int, opt Options) (sample Sample, err error) {
	descriptors := opt.Descriptors
	if descriptors == 0 {
		var limit syscall.Rlimit
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
			return sample, err
		}
		descriptors = limit.Cur
	}
	if what := lacks(kind, n, descriptors); what != "" {
		return sample, &ShortError{kind, n, what}
	}
	got := newReceipts()
	r, p, err := start(s, kind, n, opt, got)
	if r != nil {
		defer r.Close()
	}
	if p != nil {
		defer p.close()
	}
	if err != nil {
		return sample, err
	}
	m := &meter{spec: s, rig: r, fleet: p, nodes: n, got: got}
	sample = Sample{Kind: kind, Nodes: n}
	begin := time.Now()
	if !m.followed(ctx, startWithin) {
		if err := ctx.Err(); err != nil {
			return sample, err
		}
		return sample, &ShortError{kind, n, fmt.Sprintf("processor: %d follow the list after %v", r.Discovery.Watching(), startWithin)}
	}
	sample.Started = time.Since(begin)
	sample.Rest = m.phase(func() { wait(ctx, s.Rest.AsDuration()) })
	sample.Changes = m.phase(func() { m.changes(ctx, s.Changes) })
	sample.Restart = m.phase(func() {
		if err = p.restart(int(float64(n) * s.Restart)); err == nil {
			m.changes(ctx, max(s.Changes/4, 1))
			m.followed(ctx, startWithin)
		}
	})
	sample.MemoryMB = p.memoryMB()
	if used := sample.MemoryMB * float64(n); used > float64(s.MemoryMB) {
		return sample, &ShortError{kind, n, fmt.Sprintf("memory: %.0f MB are taken, %d may be", used, s.MemoryMB)}
	}
	return sample, errors.Join(err, ctx.Err())
}

// meter measures phases of one fleet.
type meter struct {
	spec  Spec
	rig   *testcluster.Rig
	fleet population
	nodes int
	got   *receipts
	host  int // the next one that changes
	last  int64
}

// followed waits until all nodes have a watch open.
func (m *meter) followed(ctx context.Context, within time.Duration) bool {
	for by := time.Now().Add(within); time.Now().Before(by) && ctx.Err() == nil; wait(ctx, pollEvery) {
		if m.rig.Discovery.Watching() >= m.nodes {
			return true
		}
	}
	return false
}

// phase measures what goes on while f runs.
func (m *meter) phase(f func()) Phase {
	begin, traffic, usage := time.Now(), m.rig.Discovery.Traffic(), m.fleet.usage()
	f()
	span := time.Since(begin)
	per := span.Seconds() * float64(m.nodes)
	moved := m.rig.Discovery.Traffic().Sub(traffic)
	return Phase{Length: span, BytesPerS: float64(moved.BytesIn+moved.BytesOut) / per,
		MessagesPerS: float64(moved.MessagesIn+moved.MessagesOut) / per,
		Cores:        (m.fleet.usage().CPU - usage.CPU).Seconds() / per,
		Latency:      m.got.latency(m.nodes)}
}

// changes makes so many changes of the list, a host each, at their pace, and waits until all nodes have them.
func (m *meter) changes(ctx context.Context, n int) {
	hosts := m.rig.Hosts()
	next := time.NewTicker(m.spec.interval())
	defer next.Stop()
	for range n {
		phase := wire.Draining
		if m.host/len(hosts)%2 == 1 { // all have drained once: they are called back
			phase = wire.Serving
		}
		host := hosts[m.host%len(hosts)]
		m.host++
		m.last = max(m.last, firstRevision) + 1
		m.got.change(m.last)
		m.rig.Discovery.Set(m.rig.Member(host, phase))
		select {
		case <-next.C:
		case <-ctx.Done():
			return
		}
	}
	for by := time.Now().Add(receiveWithin); !m.got.complete(m.nodes) && time.Now().Before(by) && ctx.Err() == nil; {
		wait(ctx, pollEvery)
	}
}

// firstRevision is that of the list which nodes start with.
const firstRevision = 1

// wait waits, or until the context ends.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// fleetOf is what a fleet of n nodes deals with. Nothing is sent to its hosts.
func fleetOf(s Spec, n int) (testcluster.Fleet, testcluster.Options, error) {
	f := testcluster.Fleet{Nodes: n, Hosts: s.Hosts, List: testcluster.List{Push: true}}
	opt := testcluster.Options{Seed: s.Seed, Classes: []testcluster.ClassSpec{{Name: "chat", Deadline: 3 * time.Second}}, Tenants: []string{"acme"}, Debug: true}
	return f, opt, f.Check(opt.Classes, opt.Tenants)
}

// start starts a fleet; what was started is returned beside an error too.
func start(s Spec, kind Kind, n int, opt Options, log io.Writer) (*testcluster.Rig, population, error) {
	configured := n
	if kind == Hollow {
		configured = 1 // they share one configuration but for their places
	}
	f, o, err := fleetOf(s, configured)
	if err != nil {
		return nil, nil, err
	}
	o.Program, o.Log = opt.Program, log
	r, err := testcluster.Prepare(f, o)
	if err != nil {
		return r, nil, err
	}
	if kind == Hollow {
		p, err := startHollowProcess(opt.Program, r.NodeConfig(0), n, log)
		if err != nil {
			return r, nil, err
		}
		return r, p, nil
	}
	return r, &processes{r, n}, r.Launch()
}

// processes are real nodes.
type processes struct {
	rig *testcluster.Rig
	n   int
}

func (p *processes) usage() testcluster.Usage { return p.rig.Usage() }
func (p *processes) memoryMB() float64        { return p.rig.Usage().PeakMB }
func (p *processes) close()                   {}

// restart kills the first n nodes and starts them anew.
func (p *processes) restart(n int) error {
	var errs []error
	for i := range n {
		end, err := p.rig.Begin(testcluster.FaultSpec{What: "kill", On: fmt.Sprint("n", i+1)})
		if errs = append(errs, err); err == nil && end != nil {
			errs = append(errs, end())
		}
	}
	return errors.Join(errs...)
}

// environment is that of a hollow process.
func environment(config string) []string { return append(os.Environ(), "PROXY_CONFIG="+config) }
