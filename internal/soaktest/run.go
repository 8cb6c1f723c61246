package soaktest

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"onyxstream/internal/fakeserver"
	"onyxstream/internal/faultinject"
	"onyxstream/internal/testcluster"
	"onyxstream/internal/tomlfile"
)

// Config describes how a plan is run.
type Config struct {
	Program string  // path of the onyxstream program
	Rate    float64 // clients per second
	Debug   bool    // nodes log every connection and every change of the endpoint list
}

// Report is the result of a run.
type Report struct {
	Verdict
	InvariantViolations []string // log lines of the nodes' invariant checks
	Crashes             []string // log lines of panics and data races
	FailedSyscalls      int      // number of injected system call failures in the last process of each node
	ClockSteps          int      // number of steps of the wall clock that nodes logged
	Log                 []byte   // the logs of all nodes
	RecordedEvents      []fakeserver.Event
}

// Failures returns all rule violations, invariant violations and crashes.
func (r *Report) Failures() []string {
	return slices.Concat(r.RuleViolations, r.InvariantViolations, r.Crashes)
}

// classes are the request classes of a run's clients.
var classes = []testcluster.ClassConfig{
	{Name: "chat", Deadline: 2 * time.Second},
	{Name: "feed", Deadline: 1200 * time.Millisecond, Semantics: "keyed", IdempotencyWindow: 800 * time.Millisecond},
	{Name: "order", Deadline: 1500 * time.Millisecond, Semantics: "unsafe"},
	{Name: "stream", Deadline: 4800 * time.Millisecond}, // longer than the graceful shutdown of a node
}

// tenants are the tenants of a run's clients.
var tenants = []string{"acme"}

// clusterConfig returns the configuration of the test cluster for a plan.
func clusterConfig(p Plan, o PlanOptions) testcluster.Config {
	return testcluster.Config{
		Nodes:         o.Nodes,
		Hosts:         o.Hosts,
		Mode:          p.Mode,
		HostLinks:     true,
		ResumeTimeout: tomlfile.Duration(time.Second),
		Sockets:       256,
		MemoryMB:      64,
		Host: testcluster.HostConfig{
			Cores:             4,
			ConnectionLoad:    0.001,
			SetupWork:         tomlfile.Duration(2 * time.Millisecond),
			SlowStartFraction: 0.4,
			SlowStartDuration: tomlfile.Duration(3 * time.Second),
			CollapseMultiple:  4,
			CollapseAfter:     tomlfile.Duration(time.Second),
		},
		TenantQuota:     float64(o.Nodes * 20),
		FrontEjectDelay: tomlfile.Duration(300 * time.Millisecond),
		Discovery: testcluster.DiscoveryConfig{
			RequestDuration: tomlfile.Duration(time.Millisecond),
			Push:            p.Push,
			NodeLinks:       true,
			PollInterval:    tomlfile.Duration(3 * time.Second),
		},
	}
}

// RunPlan runs a plan and checks its events against the rules. If it returns both a report and an error, a node exited
// unexpectedly or a part of the plan could not be carried out. If it returns only an error, the run failed.
func RunPlan(ctx context.Context, p Plan, o PlanOptions, cfg Config) (*Report, error) {
	config := clusterConfig(p, o)
	if err := config.Check(classes, tenants); err != nil {
		return nil, err
	}
	if err := config.CheckFaults(p.Faults); err != nil {
		return nil, fmt.Errorf("seed %d: %w", p.Seed, err)
	}
	log := &logBuffer{}
	nodes := &processes{seed: p.Seed, byNode: map[string]*faultinject.Process{}}
	cluster, err := testcluster.Start(ctx, config, testcluster.Options{
		Program: cfg.Program,
		Log:     log,
		Debug:   cfg.Debug,
		Seed:    p.Seed,
		Classes: classes,
		Tenants: tenants,
		Starter: nodes.start,
	})
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	r := &runner{plan: p, cluster: cluster, ctx: ctx, startedAt: cluster.Clock.Now()}
	cluster.ScheduleFaults(ctx, p.Faults)
	r.startReloads()
	r.startIdleClients()
	r.startSyscallFaults(nodes)
	r.startClients(cfg.Rate)
	r.wg.Wait()
	events, dropped := cluster.EventLog.Events()
	if dropped > 0 {
		return nil, fmt.Errorf("event log dropped %d events", dropped)
	}
	conditions := p.conditions(r.startedAt, cluster.Clock.Now())
	report := &Report{Verdict: CheckRules(events, DefaultLimits, conditions), Log: log.bytes(), RecordedEvents: events}
	report.ClockSteps = bytes.Count(report.Log, []byte(clockStepMessage))
	report.FailedSyscalls = nodes.failedSyscallCount()
	report.InvariantViolations, report.Crashes = findErrors(report.Log)
	return report, errors.Join(r.err(), cluster.Err())
}
