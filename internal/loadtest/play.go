package loadtest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"onyxstream/internal/fakeserver"
	"onyxstream/internal/testcluster"
	"onyxstream/internal/tomlfile"
)

// PlayOptions are what a run needs beside its scenario.
type PlayOptions struct {
	Program  string    // the node's program, for a scenario with a fleet
	Targets  []string  // addresses of nodes; with them no fleet is started
	NodeLog  io.Writer // nil for none
	Record   string    // the file that the requests are recorded in as a trace; "" for none
	Ledger   io.Writer // the stand-ins' ledgers as JSON Lines; nil for none
	Progress func(Progress)
	Trace    string  // a trace that is replayed in place of the scenario's schedule
	Speed    float64 // of the replay
}

// receipts are those that clients were given, to be held against the hosts' ledgers.
type receipts struct {
	mu   sync.Mutex
	byID map[string]string
}

// mostReceipts bounds what is held against the ledgers.
const mostReceipts = 1 << 20

func (r *receipts) note(id, receipt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.byID) < mostReceipts {
		r.byID[id] = receipt
	}
}

// wrong counts receipts that no host gave for that connection.
func (r *receipts) wrong(recs []fakeserver.Event) (n int64) {
	given := map[string]bool{}
	for _, x := range recs {
		if x.Kind == fakeserver.EventEstablished {
			given[x.ID+" "+x.Detail] = true
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, receipt := range r.byID {
		if !given[id+" "+receipt] {
			n++
		}
	}
	return n
}

// Play starts what a scenario needs, plays it, and ends that again. The result is there also with an error where the
// run had begun.
func Play(ctx context.Context, s *Scenario, text []byte, o PlayOptions) (res *Result, err error) {
	cfg := Config{Scenario: s, Source: NewSchedule(s), Length: s.Length(), Progress: o.Progress}
	if o.Trace != "" {
		sum, err := CheckTrace(o.Trace)
		if err != nil {
			return nil, err
		}
		t, err := OpenTrace(o.Trace, o.Speed)
		if err != nil {
			return nil, err
		}
		defer t.Close()
		if err := s.fit(sum); err != nil {
			return nil, fmt.Errorf("%s: %w", o.Trace, err)
		}
		cfg.Source, cfg.Length = t, time.Duration(float64(sum.Length)/o.Speed)
	}
	var r *testcluster.Cluster
	rec := &receipts{byID: map[string]string{}}
	switch {
	case len(o.Targets) > 0:
		cfg.Address = turns(o.Targets)
	case s.Fleet == nil:
		return nil, errors.New("the scenario has no fleet, and no target is given")
	default:
		if r, err = s.Start(ctx, o); err != nil {
			return nil, err
		}
		defer r.Close()
		cfg.Address, cfg.Receipt = r.ClientAddress, rec.note
		for _, h := range r.Hosts() {
			cfg.Hosts = append(cfg.Hosts, h.ID())
		}
	}
	if o.Record != "" {
		finish, err := recordTo(&cfg, o.Record)
		if err != nil {
			return nil, err
		}
		defer func() { err = errors.Join(err, finish()) }()
	}
	var began time.Duration
	before := testcluster.Usage{}
	if r != nil {
		cfg.Begin = func() {
			began, before = r.Clock.Now(), r.Usage()
			r.PlayFaults(ctx, s.Faults)
		}
	}
	res, err = Run(ctx, cfg)
	if res == nil {
		return nil, err
	}
	res.Self = self()
	res.Scenario, res.Trace = string(text), o.Trace
	if o.Trace != "" {
		res.Speed = o.Speed
	}
	if r != nil {
		err = errors.Join(err, r.Err())
		u := r.Usage()
		u.CPU -= before.CPU
		res.Nodes = &u
		recs, lost := r.EventLog.Events()
		res.told(recs, began)
		list := testcluster.CountDiscoveryCalls(recs)
		res.List, res.Start = &list, testcluster.StartSteps(recs, r.LaunchedAt())
		if lost == 0 {
			res.Wrong = rec.wrong(recs)
		}
		if o.Ledger != nil {
			err = errors.Join(err, fakeserver.WriteEvents(o.Ledger, r.Clock, recs, lost))
		}
	}
	return res, err
}

// Start starts the scenario's fleet.
func (s *Scenario) Start(ctx context.Context, o PlayOptions) (*testcluster.Cluster, error) {
	return testcluster.Start(ctx, *s.Fleet, testcluster.Options{Program: o.Program, Log: o.NodeLog, Seed: s.Seed, Classes: s.classNames(),
		Tenants: names(s.Tenants)})
}

// turns deals targets in turn.
func turns(targets []string) func(string, bool) (string, error) {
	var mu sync.Mutex
	n := 0
	return func(string, bool) (string, error) {
		mu.Lock()
		defer mu.Unlock()
		n++
		return targets[n%len(targets)], nil
	}
}

// recordTo has the requests of a run written as a trace, beside the run.
func recordTo(cfg *Config, path string) (finish func() error, err error) {
	w, err := CreateTrace(path)
	if err != nil {
		return nil, err
	}
	rows := make(chan Request, 1<<16)
	lost, failed := 0, error(nil)
	var done sync.WaitGroup
	done.Go(func() {
		for r := range rows {
			if failed == nil {
				failed = w.Write(r)
			}
		}
	})
	cfg.Record = func(r Request) { // the pacer's: it must not wait for a disk
		select {
		case rows <- r:
		default:
			lost++
		}
	}
	return func() error {
		close(rows)
		done.Wait()
		if lost > 0 {
			failed = errors.Join(failed, fmt.Errorf("%s: %d requests are missing: the disk was too slow", path, lost))
		}
		return errors.Join(failed, w.Close())
	}, nil
}

// told takes what the stand-ins saw into the result.
func (r *Result) told(recs []fakeserver.Event, began time.Duration) {
	at := map[string]int{}
	for _, x := range recs {
		switch {
		case x.Kind == fakeserver.EventFault || x.Kind == fakeserver.EventNodeHealthy || x.Kind == fakeserver.EventNodeUnhealthy:
			if x.At >= began {
				r.Marks = append(r.Marks, Mark{(x.At - began).Seconds(), x.Source, strings.TrimSpace(x.Detail + map[string]string{
					fakeserver.EventNodeHealthy: " is dealt clients", fakeserver.EventNodeUnhealthy: " is dealt none"}[x.Kind])})
			}
		case strings.HasPrefix(x.Source, "h"):
			i, ok := at[x.Source]
			if !ok {
				i = len(r.Hosts)
				at[x.Source] = i
				r.Hosts = append(r.Hosts, HostCount{ID: x.Source, Records: map[string]int64{}})
			}
			r.Hosts[i].Records[x.Kind]++
		}
	}
}

// fit gives a scenario the classes and tenants of a trace where it does not name them itself.
func (s *Scenario) fit(t TraceSummary) error {
	known := map[string]bool{}
	for _, c := range s.Classes {
		known[c.Name] = true
	}
	for _, c := range t.Classes {
		if !known[c] {
			return fmt.Errorf("class %q of the trace is not in the scenario, so its deadline is not known", c)
		}
	}
	known = map[string]bool{}
	for _, c := range s.Tenants {
		known[c.Name] = true
	}
	for _, c := range t.Tenants {
		if !known[c] {
			s.Tenants = append(s.Tenants, Share{Name: c})
		}
	}
	return nil
}

// Plain is a scenario for a trace that is replayed without one: classes of the trace with one deadline.
func Plain(path string, deadline time.Duration) (*Scenario, error) {
	sum, err := CheckTrace(path)
	if err != nil {
		return nil, err
	}
	s := &Scenario{Name: "replay", Seed: 1, Phases: []Phase{{For: tomlfile.Duration(max(sum.Length, time.Millisecond))}}}
	for _, c := range sum.Classes {
		s.Classes = append(s.Classes, Class{Name: c, Share: 1, Deadline: tomlfile.Duration(deadline), Life: tomlfile.Duration(time.Minute)})
	}
	for _, t := range sum.Tenants {
		s.Tenants = append(s.Tenants, Share{Name: t, Share: 1})
	}
	return s, s.Check()
}
