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

var built = sync.OnceValues(func() (string, error) {
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

// coldFleet is a fleet whose list service works through calls in turn, 10 ms each, and gives up those that waited 1 s.
func coldFleet(nodes int) Fleet {
	return Fleet{Nodes: nodes, Hosts: 20, Host: Host{Cores: 4, Load: 0.001, Setup: tomlfile.Duration(time.Millisecond)},
		List:      List{Cost: tomlfile.Duration(10 * time.Millisecond), Wait: tomlfile.Duration(time.Second), Unknown: true, Links: true},
		ColdStart: &ColdStart{Peers: 4}}
}

func prepare(t *testing.T, f Fleet) *Rig {
	t.Helper()
	program, err := built()
	if err != nil {
		t.Fatal(err)
	}
	classes, tenants := []ClassSpec{{Name: "chat", Deadline: 3 * time.Second}}, []string{"acme"}
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
func (r *Rig) status(t *testing.T, i int) control.Status {
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
func (r *Rig) command(t *testing.T, args ...string) string {
	t.Helper()
	out, _ := exec.CommandContext(t.Context(), r.opt.Program, append(args, "--agent", r.AgentSocket(0))...).CombinedOutput()
	return string(out)
}

// knocks has clients come to all nodes.
func knocks(ctx context.Context, r *Rig, nodes, clients int, spread, patience time.Duration) (all []Knock) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range nodes {
		wg.Go(func() {
			k := r.Knocks(ctx, i, clients, spread, time.Second, patience)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, k...)
		})
	}
	wg.Wait()
	return all
}

// The figures of a cold start: ONYXSTREAM_COLDSTART=300 plays it once with so many nodes and prints them.
func TestFiguresOfAColdStart(t *testing.T) {
	n, _ := strconv.Atoi(os.Getenv("ONYXSTREAM_COLDSTART"))
	if n == 0 {
		t.Skip("ONYXSTREAM_COLDSTART is not set")
	}
	down, _ := time.ParseDuration(os.Getenv("ONYXSTREAM_DOWN"))
	f := coldFleet(n)
	switch os.Getenv("ONYXSTREAM_MODE") {
	case "off":
		f.ColdStart = nil
	case "alone":
		f.ColdStart.Peers = 0
	}
	cold := os.Getenv("ONYXSTREAM_COLD") != ""
	if cold { // all hosts have just started; 20 of them can do 300 set-ups a second then, 1,000 when warm
		f.Host = Host{Cores: 1, Load: 0.0001, Setup: tomlfile.Duration(20 * time.Millisecond), Cold: 0.3, Warm: tomlfile.Duration(10 * time.Second),
			Fall: 4, FallIn: tomlfile.Duration(time.Second), Fresh: true}
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
	all := knocks(ctx, r, n, 5, time.Second, down+40*time.Second)
	recs, _ := r.Ledger.Events()
	c := Counted(recs)
	asked := Times(recs, "discovery", fakeserver.EventRequested)
	var up []time.Duration
	refused, noAdvice, failed, served, longest := 0, 0, 0, 0, time.Duration(0)
	for _, k := range all {
		refused, noAdvice, failed = refused+k.Refused, noAdvice+k.NoAdvice, failed+k.Failed
		longest = max(longest, k.Longest)
		if k.Served > 0 {
			served++
			up = append(up, k.Served-began)
		}
	}
	slices.Sort(up)
	if cold {
		fell, most, mean := 0, 0, 0.0
		for _, h := range r.Hosts() {
			if h.State().Collapsed {
				fell++
			}
			times := Times(recs, h.ID(), fakeserver.EventOpened)
			most = max(most, Most(times, 100*time.Millisecond))
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
		Within(asked, began, began+time.Second), Within(asked, began, began+down))
	t.Logf("clients %d, served %d (median %v, last %v), refusals %d (%d without advice), failed %d, longest answer %v", len(all), served,
		up[len(up)/2], up[len(up)-1], refused, noAdvice, failed, longest)
	t.Logf("usage %+v; CPU of a node %v", u, u.CPU/time.Duration(n))
}
