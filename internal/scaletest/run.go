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
	Program     string       // the executable, which runs nodes and simulated nodes
	Progress    func(string) // called before each fleet; nil for none
	Descriptors uint64       // that a process may open; 0 for the system's limit
}

// fleetSize is a fleet to be measured.
type fleetSize struct {
	kind  Kind
	nodes int
}

// Run measures all fleets of a spec in order of size. Where the machine lacks a resource the result says which, and has
// the samples until then. Beside another error it has them too.
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
	result.CostRatios = compareKinds(result.Samples)
	result.Fits = fitMetrics(result.Samples, s.Target)
	return result, runError
}

// fleetSizes returns the fleets in ascending order, real ones first. Each size of a real fleet is measured with simulated
// nodes too.
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
	// descriptorsPerNode are those of a simulated node: a watch, and another while it is being reopened. As many are open
	// in the process of discovery.
	descriptorsPerNode = 2
	// baseDescriptors are all others of such a process.
	baseDescriptors = 200
)

// missingResource says what a fleet lacks in processes with so many descriptors, "" for nothing.
func missingResource(kind Kind, nodes int, descriptors uint64) string {
	needed := uint64(nodes*descriptorsPerNode + baseDescriptors)
	if kind == Simulated && needed > descriptors {
		return fmt.Sprintf("descriptors: %d are needed, a process has %d", needed, descriptors)
	}
	return ""
}

// descriptorLimit returns how many descriptors a process may open.
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
