package scaletest

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"onyxstream/internal/testcluster"
)

// measuredFleet is a running fleet of real or simulated nodes.
type measuredFleet interface {
	usage() testcluster.Usage // usage of all processes; the peak memory is that of the largest process
	memoryMB() float64        // peak memory of one node
	restart(n int) error      // restarts n nodes simultaneously
	close()
}

// fleetFor returns the configuration of a fleet of n nodes without clients, so that its hosts get no requests.
func fleetFor(s Spec, n int) (testcluster.Config, testcluster.Options, error) {
	fleet := testcluster.Config{Nodes: n, Hosts: s.Hosts, Discovery: testcluster.DiscoveryConfig{Push: true}}
	options := testcluster.Options{
		Seed:    s.Seed,
		Classes: []testcluster.ClassConfig{{Name: "chat", Deadline: 3 * time.Second}},
		Tenants: []string{"acme"},
		Debug:   true,
	}
	return fleet, options, fleet.Check(options.Classes, options.Tenants)
}

// startFleet starts a fleet of n nodes. The caller must close the cluster and the fleet unless they are nil, even after an
// error.
func startFleet(s Spec, kind Kind, n int, opt Options, log io.Writer) (*testcluster.Cluster, measuredFleet, error) {
	configured := n
	if kind == Simulated {
		configured = 1 // simulated nodes share one configuration
	}
	fleet, options, err := fleetFor(s, configured)
	if err != nil {
		return nil, nil, err
	}
	options.Program = opt.Program
	options.Log = log
	cluster, err := testcluster.Prepare(fleet, options)
	if err != nil {
		return cluster, nil, err
	}
	if kind == Simulated {
		simulated, err := startSimulatedFleet(opt.Program, cluster.NodeConfig(0), n, log)
		if err != nil {
			return cluster, nil, err
		}
		return cluster, simulated, nil
	}
	return cluster, &realFleet{cluster}, cluster.Launch()
}

// realFleet is a fleet of real nodes. The cluster starts and stops them.
type realFleet struct {
	cluster *testcluster.Cluster
}

func (f *realFleet) usage() testcluster.Usage { return f.cluster.Usage() }
func (f *realFleet) memoryMB() float64        { return f.cluster.Usage().PeakMB }
func (f *realFleet) close()                   {}

// restart kills the first n nodes and starts them again.
func (f *realFleet) restart(n int) error {
	var errs []error
	for i := range n {
		end, err := f.cluster.StartFault(testcluster.FaultSpec{Kind: "kill", Target: fmt.Sprint("n", i+1)})
		errs = append(errs, err)
		if err == nil && end != nil {
			errs = append(errs, end())
		}
	}
	return errors.Join(errs...)
}

// nodeEnvironment returns the environment of a process that runs simulated nodes.
func nodeEnvironment(config string) []string { return append(os.Environ(), "PROXY_CONFIG="+config) }
