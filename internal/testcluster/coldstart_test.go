package testcluster

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"onyxstream/internal/control"
	"onyxstream/internal/ctxtime"
	"onyxstream/internal/fakeserver"
	"onyxstream/internal/tomlfile"
)

var buildProgram = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "onyxstream-built")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "onyxstream")
	out, err := exec.Command("go", "build", "-o", path, "onyxstream/cmd/onyxstream").CombinedOutput()
	if err != nil {
		_, _ = os.Stderr.Write(out)
	}
	return path, err
})

// coldStartConfig is a fleet whose list service works through calls in turn, 10 ms each, and gives up those that waited 1 s.
func coldStartConfig(nodes int) Config {
	return Config{Nodes: nodes, Hosts: 20, Host: HostConfig{Cores: 4, ConnectionLoad: 0.001, SetupWork: tomlfile.Duration(time.Millisecond)},
		Discovery: DiscoveryConfig{CallDuration: tomlfile.Duration(10 * time.Millisecond), MaxWait: tomlfile.Duration(time.Second), StartsUnknown: true, NodeLinks: true},
		ColdStart: &ColdStartConfig{Peers: 4}}
}

func prepare(t *testing.T, f Config) *Cluster {
	t.Helper()
	program, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	classes, tenants := []ClassConfig{{Name: "chat", Deadline: 3 * time.Second}}, []string{"acme"}
	if err := f.Check(classes, tenants); err != nil {
		t.Fatal(err)
	}
	log := os.Getenv("ONYXSTREAM_LOG")
	opt := Options{Program: program, Classes: classes, Tenants: tenants, Seed: 1}
	if log != "" {
		w, err := os.Create(log)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = w.Close() })
		opt.Log = w
	}
	r, err := Prepare(f, opt)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// status asks a node, past all links.
func (r *Cluster) status(t *testing.T, i int) control.Status {
	t.Helper()
	c, err := control.Dial("unix:"+r.ControlSocket(i), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	s, _ := c.Status(t.Context()) // one that is not there yet has an empty one
	return s
}

// command runs the program's command line at the first agent.
func (r *Cluster) command(t *testing.T, args ...string) string {
	t.Helper()
	out, _ := exec.CommandContext(t.Context(), r.options.Program, append(args, "--agent", r.AgentSocket(0))...).CombinedOutput()
	return string(out)
}

// probeAllNodes has clients come to all nodes.
func probeAllNodes(ctx context.Context, r *Cluster, nodes, clients int, spread, patience time.Duration) (all []AdmissionProbe) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range nodes {
		wg.Go(func() {
			k := r.ProbeAdmission(ctx, i, clients, spread, time.Second, patience)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, k...)
		})
	}
	wg.Wait()
	return all
}

// The figures of a cold start: ONYXSTREAM_COLDSTART=300 plays it once with so many nodes and prints them.
func TestColdStart_Measured_FiguresPrinted(t *testing.T) {
	n, _ := strconv.Atoi(os.Getenv("ONYXSTREAM_COLDSTART"))
	if n == 0 {
		t.Skip("ONYXSTREAM_COLDSTART is not set")
	}
	down, _ := time.ParseDuration(os.Getenv("ONYXSTREAM_DOWN"))
	f := coldStartConfig(n)
	switch os.Getenv("ONYXSTREAM_MODE") {
	case "off":
		f.ColdStart = nil
	case "alone":
		f.ColdStart.Peers = 0
	}
	cold := os.Getenv("ONYXSTREAM_COLD") != ""
	if cold { // all hosts have just started; 20 of them can do 300 set-ups a second then, 1,000 when warm
		f.Host = HostConfig{Cores: 1, ConnectionLoad: 0.0001, SetupWork: tomlfile.Duration(20 * time.Millisecond), SlowStartFraction: 0.3, SlowStartDuration: tomlfile.Duration(10 * time.Second),
			CollapseMultiple: 4, CollapseAfter: tomlfile.Duration(time.Second), StartsCold: true}
	}
	r := prepare(t, f)
	if down > 0 {
		r.Discovery.SetMode(fakeserver.ModeReset)
	}
	began := r.Clock.Now()
	if err := r.Launch(); err != nil {
		t.Fatal(err)
	}
	launched := r.Clock.Now()
	ctx, cancel := context.WithTimeout(t.Context(), down+60*time.Second)
	defer cancel()
	if down > 0 {
		go func() {
			ctxtime.Sleep(ctx, down)
			r.Discovery.SetMode(fakeserver.ModeNormal)
		}()
	}
	all := probeAllNodes(ctx, r, n, 5, time.Second, down+40*time.Second)
	recs, _ := r.EventLog.Events()
	c := CountDiscoveryCalls(recs)
	asked := EventTimes(recs, "discovery", fakeserver.EventRequested)
	var up []time.Duration
	refused, noAdvice, failed, served, longest := 0, 0, 0, 0, time.Duration(0)
	for _, k := range all {
		refused, noAdvice, failed = refused+k.Rejected, noAdvice+k.WithoutRetryAfter, failed+k.Failed
		longest = max(longest, k.MaxLatency)
		if k.ServedAt > 0 {
			served++
			up = append(up, k.ServedAt-began)
		}
	}
	slices.Sort(up)
	if cold {
		fell, most, mean := 0, 0, 0.0
		for _, h := range r.Hosts() {
			if h.State().Collapsed {
				fell++
			}
			times := EventTimes(recs, h.ID(), fakeserver.EventOpened)
			most = max(most, MaxInWindow(times, 100*time.Millisecond))
			if len(times) > 1 {
				mean += float64(len(times)) / (times[len(times)-1] - times[0]).Seconds() / 10 / float64(f.Hosts)
			}
		}
		within, _ := slices.BinarySearch(up, down+10*time.Second)
		t.Logf("cold hosts: %d pushed over; most set-ups at one in 100 ms %d, mean %.2f; served within 10 s %d of %d", fell, most, mean,
			within, len(all))
	}
	u := r.Usage()
	t.Logf("%d nodes launched in %v: calls %+v, in the first second %d, while down %d", n, launched-began, c,
		CountBetween(asked, began, began+time.Second), CountBetween(asked, began, began+down))
	t.Logf("clients %d, served %d (median %v, last %v), refusals %d (%d without advice), failed %d, longest answer %v", len(all), served,
		up[len(up)/2], up[len(up)-1], refused, noAdvice, failed, longest)
	t.Logf("usage %+v; CPU of a node %v", u, u.CPU/time.Duration(n))
}
