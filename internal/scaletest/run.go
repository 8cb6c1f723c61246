package scaletest

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"syscall"
)

// Options are the options of a run.
type Options struct {
	Program     string       // path of the executable that runs real and simulated nodes
	Progress    func(string) // called with a description of each fleet before its start; may be nil
	Descriptors uint64       // file descriptors that a process may open; 0 for the system's limit
}

// fleetSize identifies a fleet to measure.
type fleetSize struct {
	kind  Kind
	nodes int
}

// Run measures all fleets of a spec in order of size. If the machine lacks a resource for a fleet, Run stops there and
// names the resource in the result. In this case and after an error, the result has the samples taken so far.
func Run(ctx context.Context, s Spec, opt Options) (Result, error) {
	result := Result{Spec: s}
	var runError error
	for _, size := range s.fleetSizes() {
		if opt.Progress != nil {
			opt.Progress(fmt.Sprintf("%d %s nodes", size.nodes, size.kind))
		}
		sample, err := measureFleet(ctx, s, size.kind, size.nodes, opt)
		var shortage *ShortageError
		if errors.As(err, &shortage) {
			result.Shortage = shortage.Error()
			break
		}
		if err != nil {
			runError = err
			break
		}
		result.Samples = append(result.Samples, sample)
	}
	result.Ratios = compareKinds(result.Samples)
	result.Fits = fitMetrics(result.Samples, s.Target)
	return result, runError
}

// fleetSizes returns the fleets in ascending order of size, with the real fleet of a size before the simulated one. Each
// size of a real fleet is measured with simulated nodes too.
func (s *Spec) fleetSizes() (sizes []fleetSize) {
	for _, n := range s.RealSizes {
		sizes = append(sizes, fleetSize{Real, n})
	}
	for _, n := range slices.Concat(s.RealSizes, s.SimulatedSizes) {
		size := fleetSize{Simulated, n}
		if !slices.Contains(sizes, size) {
			sizes = append(sizes, size)
		}
	}
	slices.SortStableFunc(sizes, func(a, b fleetSize) int { return a.nodes - b.nodes })
	return sizes
}

const (
	// descriptorsPerNode is the number of file descriptors of a simulated node: one for its watch, and another while the
	// watch is being reopened. The process that runs discovery needs the same number.
	descriptorsPerNode = 2
	// baseDescriptors is the number of all other file descriptors of such a process.
	baseDescriptors = 200
)

// missingResource returns the resource that a fleet lacks if each process may open the given number of file descriptors,
// or "" if it lacks none.
func missingResource(kind Kind, nodes int, descriptors uint64) string {
	needed := uint64(nodes*descriptorsPerNode + baseDescriptors)
	if kind == Simulated && needed > descriptors {
		return fmt.Sprintf("descriptors: %d are needed, a process has %d", needed, descriptors)
	}
	return ""
}

// descriptorLimit returns the number of file descriptors that a process may open.
func (o *Options) descriptorLimit() (uint64, error) {
	if o.Descriptors != 0 {
		return o.Descriptors, nil
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, err
	}
	return limit.Cur, nil
}
