package soaktest

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"onyxstream/internal/ctxtime"
	"onyxstream/internal/fakeserver"
	"onyxstream/internal/faultinject"
	"onyxstream/internal/invariant"
	"onyxstream/internal/testcluster"
	"onyxstream/internal/tomlfile"
)

// Config says how a plan is played.
type Config struct {
	Program string // the node's
	Rate    float64
	Debug   bool // the logs have a line for each connection
}

// Report is what a run came to.
type Report struct {
	Verdict
	Violations []string // lines of the nodes' own checks
	Crashes    []string // lines that tell of a panic, or of an event that could not be handled
	// CallsFailed counts system calls that failed by the plan, at the nodes' last processes.
	CallsFailed int
	ClockSteps  int    // that nodes have noticed
	Log         []byte // all that the nodes wrote
	Records     []fakeserver.Record
}

// Broken lists all that speaks against the nodes.
func (r *Report) Broken() []string {
	return append(append(append([]string(nil), r.Wrong...), r.Violations...), r.Crashes...)
}

// classes are what clients of a run ask for.
var classes = []testcluster.ClassSpec{
	{Name: "chat", Deadline: 2 * time.Second},
	{Name: "feed", Deadline: 1200 * time.Millisecond, Semantics: "keyed", Window: 800 * time.Millisecond},
	{Name: "order", Deadline: 1500 * time.Millisecond, Semantics: "unsafe"},
	{Name: "stream", Deadline: 4800 * time.Millisecond}, // waits for longer than a node that ends may last
}

// fleet is what a plan is played on.
func fleet(p Plan, s Shape) testcluster.Fleet {
	return testcluster.Fleet{Nodes: s.Nodes, Hosts: s.Hosts, Mode: p.Mode, Links: true, Park: tomlfile.Duration(time.Second), Sockets: 256, MemoryMB: 64,
		Host: testcluster.Host{Cores: 4, Load: 0.001, Setup: tomlfile.Duration(2 * time.Millisecond), Cold: 0.4, Warm: tomlfile.Duration(3 * time.Second),
			Fall: 4, FallIn: tomlfile.Duration(time.Second)},
		Quota: float64(s.Nodes * 20), FrontNotice: tomlfile.Duration(300 * time.Millisecond),
		List: testcluster.List{Cost: tomlfile.Duration(time.Millisecond), Push: p.Push, Links: true, AskWithin: tomlfile.Duration(3 * time.Second)}}
}

// Play plays a plan and judges it. The error says that the run itself failed: it is no verdict on the nodes but where one
// ended by itself.
func Play(ctx context.Context, p Plan, s Shape, cfg Config) (*Report, error) {
	f := fleet(p, s)
	if err := f.Check(classes, []string{"acme"}); err != nil {
		return nil, err
	}
	if err := f.CheckFaults(p.Faults); err != nil {
		return nil, fmt.Errorf("seed %d: %w", p.Seed, err)
	}
	log := &logBuffer{}
	calls := &faulty{seed: p.Seed, now: map[string]*faultinject.Process{}}
	r, err := testcluster.Start(ctx, f, testcluster.Options{Program: cfg.Program, Log: log, Debug: cfg.Debug, Seed: p.Seed, Classes: classes, Tenants: []string{"acme"},
		Starter: calls.start})
	if err != nil {
		return nil, err
	}
	defer r.Close()
	begin := r.Clock.Now()
	run := &run{plan: p, rig: r, ctx: ctx, begin: begin}
	r.Play(ctx, p.Faults)
	run.reloads()
	run.crowds()
	run.calls(calls)
	run.clients(cfg.Rate)
	run.wg.Wait()
	recs, lost := r.Ledger.Records()
	if lost > 0 {
		return nil, fmt.Errorf("%d records are lost", lost)
	}
	report := &Report{Verdict: Judge(recs, Usual, p.facts(begin, r.Clock.Now())), Log: log.bytes(), Records: recs}
	report.ClockSteps = bytes.Count(report.Log, []byte("wall clock stepped"))
	report.CallsFailed = calls.injected()
	report.Violations, report.Crashes = sift(report.Log)
	return report, errors.Join(run.failure(), r.Failed())
}

// facts are what the plan tells a judge, its times moved to the ledger's.
func (p Plan) facts(begin, end time.Duration) Facts {
	f := Facts{Unsafe: map[string]bool{"order": true}, Cut: p.Mode == "proxy", Delayed: map[string]bool{}, Crowded: map[string][]Span{}}
	for _, x := range p.Faults {
		span := Span{begin + x.At.AsDuration(), begin + x.At.AsDuration() + x.For.AsDuration()}
		if x.For == 0 {
			span.To = end
		}
		switch {
		case x.On == "discovery":
			span.To += x.Over.AsDuration()
			f.Unreachable = append(f.Unreachable, span)
		case strings.HasPrefix(x.On, "link-n"), strings.HasPrefix(x.On, "n"):
			f.Unreachable = append(f.Unreachable, Span{span.From, span.To + time.Second}) // a node that was away starts anew
		case x.What == "hang" || strings.HasPrefix(x.On, "link-h"):
			f.Delayed[strings.TrimPrefix(x.On, "link-")] = true
		}
	}
	for _, c := range p.Crowds {
		node := fmt.Sprint("n", c.Node+1)
		f.Crowded[node] = append(f.Crowded[node], Span{begin + c.At - time.Second, begin + c.At + c.For + time.Second})
	}
	return f
}

// run is a plan that plays.
type run struct {
	plan Plan
	rig  *testcluster.Rig
	ctx  context.Context
	wg   sync.WaitGroup

	begin time.Duration // when the plan began, by the rig's clock

	mu     sync.Mutex
	failed error
}

func (x *run) fail(err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.failed = errors.Join(x.failed, err)
}

func (x *run) failure() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.failed
}

// brokenFor is how long a configuration stays damaged.
const brokenFor = 60 * time.Millisecond

// reloads has nodes read their configuration again, as the plan says.
func (x *run) reloads() {
	var files sync.Mutex // a node that starts must not meet a damaged file; nodes that restart are others, by the plan
	for _, l := range x.plan.Reloads {
		x.wg.Go(func() {
			if !ctxtime.Sleep(x.ctx, l.At) {
				return
			}
			path := x.rig.NodeConfig(l.Node)
			if l.Broken {
				files.Lock()
				defer files.Unlock()
				text, err := os.ReadFile(path)
				if err == nil {
					err = os.WriteFile(path, text[:len(text)/2], 0o600)
				}
				if err != nil {
					x.fail(err)
					return
				}
				defer func() {
					if err := os.WriteFile(path, text, 0o600); err != nil {
						x.fail(err)
					}
					x.rig.Reload(l.Node)
				}()
			}
			for range 1 + l.Again {
				x.rig.Reload(l.Node)
				ctxtime.Sleep(x.ctx, brokenFor/4)
			}
			ctxtime.Sleep(x.ctx, brokenFor)
		})
	}
}

// crowds has idle clients hold nodes' descriptors, as the plan says.
func (x *run) crowds() {
	for _, c := range x.plan.Crowds {
		x.wg.Go(func() {
			if !ctxtime.Sleep(x.ctx, c.At) {
				return
			}
			var all []net.Conn
			for range c.Clients {
				k, err := net.DialTimeout("tcp", x.rig.NodeAddress(c.Node), time.Second)
				if err != nil {
					continue // the node may be away
				}
				all = append(all, k)
			}
			ctxtime.Sleep(x.ctx, c.For)
			for _, k := range all {
				_ = k.Close()
			}
		})
	}
}

// dealtFor is how long the front goes on sending clients to a node that was told to end.
const dealtFor = 400 * time.Millisecond

// deal is the front's choice for a client. The front of the stand-ins deals for as long as a node answers PING; the
// platform's has noticed sooner.
func (x *run) deal() (node fakeserver.Node, ok bool) {
	at := x.rig.Clock.Now() - x.begin
	for range maxDeals {
		if node, ok = x.rig.Front.Pick(""); !ok || !x.plan.ending(node.Name, at) {
			return node, ok
		}
	}
	return node, false
}

// maxDeals bounds the nodes that are drawn for a client while many of them end.
const maxDeals = 64

// ending reports whether a node has been told to end at a time, long enough ago for the front to have noticed.
func (p Plan) ending(node string, at time.Duration) bool {
	for _, x := range p.Faults {
		if x.On == node && x.What == "stop" && at > x.At.AsDuration()+dealtFor && at < x.At.AsDuration()+restartTime/2 {
			return true
		}
	}
	return false
}

// clients come by chance at a rate, for the length of the plan, and are waited for by wg.
func (x *run) clients(rate float64) {
	draw := rand.New(rand.NewPCG(x.plan.Seed, 0x636c69656e74))
	var connections atomic.Int64
	keys := func() string { return fmt.Sprint("k", connections.Add(1)) }
	begin := time.Now()
	for at, n := time.Duration(0), 0; at < x.plan.Length; at += time.Duration(draw.ExpFloat64() / rate * float64(time.Second)) {
		if !ctxtime.Sleep(x.ctx, time.Until(begin.Add(at))) {
			return
		}
		n++
		class := classes[draw.IntN(len(classes))]
		c := client{id: fmt.Sprintf("s%d-%d", x.plan.Seed, n), class: class.Name, manner: drawManner(draw),
			patience: time.Duration((0.2 + 0.8*draw.Float64()) * float64(class.Deadline)),
			stay:     time.Duration(draw.Float64() * float64(3*time.Second)), pause: time.Duration(draw.Float64() * float64(1500*time.Millisecond)),
			again: draw.IntN(4) == 0}
		if c.manner == leaves || c.manner == resets {
			c.pause /= 5
		}
		x.wg.Go(func() { (&session{c, x.rig, x.deal, keys}).run(x.ctx, x.plan.Mode == "pass") })
	}
}

// logBuffer keeps what nodes write.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write takes a piece of a log.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *logBuffer) bytes() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Clone(l.buf.Bytes())
}

// crashWords are in lines that tell that something in a node failed that must not.
var crashWords = []string{"panic", "failed badly", "could not be handled", "DATA RACE", "fatal error"}

// sift finds the lines of a log that speak against its node.
func sift(log []byte) (violations, crashes []string) {
	for line := range strings.Lines(string(log)) {
		line = strings.TrimRight(line, "\n")
		if strings.Contains(line, invariant.LogMessage) {
			violations = append(violations, line)
			continue
		}
		for _, w := range crashWords {
			if strings.Contains(line, w) {
				crashes = append(crashes, line)
				break
			}
		}
	}
	return violations, crashes
}
