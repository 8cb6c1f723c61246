package loadtest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"onyxstream/internal/fakeserver"
	"onyxstream/internal/testcluster"
)

// PlayOptions are the options of Play. All are optional unless noted.
type PlayOptions struct {
	// Nodes.
	Program string   // path of the node's executable; required for a scenario with a fleet
	Targets []string // addresses of running nodes; if there are any, no fleet is started

	// Outputs during the run.
	NodeLog    io.Writer // receives the logs of the fleet's nodes
	Record     string    // path of a trace file that the requests are recorded in
	Ledger     io.Writer // receives the events of the fake servers as JSON Lines
	OnProgress func(Progress)

	// Replay.
	Trace string  // path of a trace that is replayed instead of the scenario's schedule
	Speed float64 // speed of the replay; required with Trace
}

// Play starts the fleet of a scenario, runs its load and stops the fleet. text is the scenario's text, which becomes part
// of the result. If an error occurs after the run has started, Play also returns a result.
func Play(ctx context.Context, s *Scenario, text []byte, o PlayOptions) (result *Result, err error) {
	cfg := Config{Scenario: s, Source: NewSchedule(s), Length: s.Length(), OnProgress: o.OnProgress}
	if o.Trace != "" {
		trace, err := useTrace(&cfg, o)
		if err != nil {
			return nil, err
		}
		defer trace.Close()
	}
	var fleet *playedFleet
	switch {
	case len(o.Targets) > 0:
		cfg.Address = roundRobin(o.Targets)
	case s.Fleet == nil:
		return nil, errors.New("scenario has no fleet, and no targets are given")
	default:
		cluster, err := s.Start(ctx, o)
		if err != nil {
			return nil, err
		}
		defer cluster.Close()
		fleet = &playedFleet{cluster: cluster, receipts: receipts{byID: map[string]string{}}}
		fleet.configure(ctx, &cfg)
	}
	if o.Record != "" {
		finish, err := recordTo(&cfg, o.Record)
		if err != nil {
			return nil, err
		}
		defer func() { err = errors.Join(err, finish()) }()
	}
	result, err = Run(ctx, cfg)
	if result == nil {
		return nil, err
	}
	result.Generator = ownUsage()
	result.Scenario = string(text)
	result.Trace = o.Trace
	if o.Trace != "" {
		result.Speed = o.Speed
	}
	if fleet != nil {
		err = errors.Join(err, fleet.addTo(result, o.Ledger))
	}
	return result, err
}

// useTrace configures a run to replay the trace that the options name. The caller must close the returned reader.
func useTrace(cfg *Config, o PlayOptions) (*TraceReader, error) {
	summary, err := CheckTrace(o.Trace)
	if err != nil {
		return nil, err
	}
	trace, err := OpenTrace(o.Trace, o.Speed)
	if err != nil {
		return nil, err
	}
	if err := cfg.Scenario.adoptTrace(summary); err != nil {
		_ = trace.Close()
		return nil, fmt.Errorf("%s: %w", o.Trace, err)
	}
	cfg.Source = trace
	cfg.Length = time.Duration(float64(summary.Duration) / o.Speed)
	return trace, nil
}

// Start starts the scenario's fleet. The caller must close the returned cluster.
func (s *Scenario) Start(ctx context.Context, o PlayOptions) (*testcluster.Cluster, error) {
	return testcluster.Start(ctx, *s.Fleet, testcluster.Options{
		Program: o.Program,
		Log:     o.NodeLog,
		Seed:    s.Seed,
		Classes: s.classNames(),
		Tenants: namesOf(s.Tenants),
	})
}

// roundRobin returns a function for Config.Address that returns the targets in turn.
func roundRobin(targets []string) func(string, bool) (string, error) {
	var mu sync.Mutex
	n := 0
	return func(string, bool) (string, error) {
		mu.Lock()
		defer mu.Unlock()
		n++
		return targets[n%len(targets)], nil
	}
}

// playedFleet is the fleet that Play has started, with the data it collects for the result.
type playedFleet struct {
	cluster     *testcluster.Cluster
	receipts    receipts
	began       time.Duration     // time just before the first request, by the fleet's clock
	usageBefore testcluster.Usage // resources that the nodes had used at that time
}

// configure configures a run to send its requests to the fleet and to inject the scenario's faults.
func (f *playedFleet) configure(ctx context.Context, cfg *Config) {
	cfg.Address = f.cluster.ClientAddress
	cfg.OnReceipt = f.receipts.add
	for _, host := range f.cluster.Hosts() {
		cfg.Hosts = append(cfg.Hosts, host.ID())
	}
	cfg.OnStart = func() {
		f.began = f.cluster.Clock.Now()
		f.usageBefore = f.cluster.Usage()
		f.cluster.ScheduleFaults(ctx, cfg.Scenario.Faults)
	}
}

// addTo adds the fleet's figures to the result, and writes the fake servers' events to ledger unless ledger is nil.
func (f *playedFleet) addTo(result *Result, ledger io.Writer) error {
	err := f.cluster.Err()
	usage := f.cluster.Usage()
	usage.CPU -= f.usageBefore.CPU
	result.Nodes = &usage
	events, lost := f.cluster.EventLog.Events()
	result.addEvents(events, f.began)
	list := testcluster.CountDiscoveryRequests(events)
	result.Discovery = &list
	result.Startup = testcluster.StartSteps(events, f.cluster.LaunchedAt())
	if lost == 0 {
		result.WrongReceipts = f.receipts.countWrong(events)
	}
	if ledger != nil {
		err = errors.Join(err, fakeserver.WriteEvents(ledger, f.cluster.Clock, events, lost))
	}
	return err
}
