package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"onyxstream/internal/fakeserver"
	"onyxstream/internal/loadtest"
)

const loadScenario = `
name = "t"
seed = 5
[[phase]]
for = "2s"
rate = 30
[[class]]
name = "chat"
deadline = "2s"
life = "400ms"
message = "50ms"
[[tenant]]
name = "acme"
[clients]
retries = 3
wait = "50ms"
[limits]
lateness = "5s"  # a machine that runs other tests beside this one is no generator
linger = "5s"
`

const loadFleet = `
[fleet]
nodes = 2
hosts = 3
loads = true
[fleet.host]
load = 0.01
setup = "2ms"
`

func write(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// command runs the program to its end and returns its exit status and what it said.
func command(t *testing.T, args ...string) (status int, out, errs string) {
	t.Helper()
	return finish(t, exec.Command(program, args...), func(*exec.Cmd) {})
}

func finish(t *testing.T, cmd *exec.Cmd, started func(*exec.Cmd)) (status int, out, errs string) {
	t.Helper()
	var o, e bytes.Buffer
	cmd.Stdout, cmd.Stderr = &o, &e
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	started(cmd)
	err := cmd.Wait()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	if strings.Contains(e.String(), "DATA RACE") {
		t.Errorf("a data race: %s", e.String())
	}
	return cmd.ProcessState.ExitCode(), o.String(), e.String()
}

// The whole way: real nodes, stand-ins, a host that dies and comes back, results in every form.
func TestLoadRunOnAFleetOfItsOwn(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	path := write(t, "s.toml", loadScenario+loadFleet+"[[fault]]\nat = \"500ms\"\nwhat = \"die\"\non = \"h2\"\nfor = \"700ms\"\n")
	file := func(name string) string { return filepath.Join(dir, name) }
	status, out, errs := command(t, "load", "run", path, "-o", file("r.json"), "--page", file("r.html"), "--hdr", file("r.hgrm"),
		"--ledger", file("ledger"), "--node-log", file("log"))
	if status != 0 {
		t.Fatalf("exit %d: %s", status, errs)
	}
	if errs != "" || !strings.Contains(out, "chat") {
		t.Errorf("printed %q and, where no terminal is, %q", out, errs)
	}
	r, err := loadtest.ReadResult(file("r.json"))
	if err != nil {
		t.Fatal(err)
	}
	c := r.Classes[0]
	if c.Requests < 30 || c.Outcomes["served"] < c.Requests/2 || r.WrongReceipts != 0 || len(r.FleetEvents) == 0 || r.Nodes.CPU <= 0 || r.Partial {
		t.Errorf("result %+v, marks %v, usage %+v", c, r.FleetEvents, r.Nodes)
	}
	// What clients and hosts counted must fit: each UP that a client was given is one that a host gave.
	ups, ledger := int64(0), readLedger(t, file("ledger"))
	for _, x := range ledger {
		if x.Kind == fakeserver.EventEstablished {
			ups++
		}
	}
	if served := c.Attempts["served"]; ups != served {
		t.Errorf("hosts put up %d, clients were put up %d times", ups, served)
	}
	for name, want := range map[string]string{"r.html": "<svg", "r.hgrm": "Percentile", "log": "started"} {
		if text, err := os.ReadFile(file(name)); err != nil || !strings.Contains(string(text), want) {
			t.Errorf("%s lacks %q, error %v", name, want, err)
		}
	}
	if status, _, errs := command(t, "load", "plot", file("r.json"), "-o", file("again.html")); status != 0 {
		t.Errorf("plot: exit %d: %s", status, errs)
	}
	if status, out, errs := command(t, "load", "compare", "--base", file("r.json"), "--new", file("r.json")); status != 0 ||
		!strings.Contains(out, "noise unknown") {
		t.Errorf("compare: exit %d: %s%s", status, out, errs)
	}
}

func readLedger(t *testing.T, path string) (out []fakeserver.Event) {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	dec := json.NewDecoder(f)
	var head map[string]any
	if err := dec.Decode(&head); err != nil {
		t.Fatal(err)
	}
	for {
		var r fakeserver.Event
		if err := dec.Decode(&r); errors.Is(err, io.EOF) {
			return out
		} else if err != nil {
			t.Fatal(err)
		}
		out = append(out, r)
	}
}

// An evening of rising load and waves, recorded, then replayed at three times its speed: the same order and a third of
// the spacing.
func TestLoadReplayAtThreeTimesTheSpeed(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	evening := strings.Replace(loadScenario, "rate = 30", "rate = 5\nto = 40\nshape = \"ramp\"\n[[phase]]\nfor = \"1s\"\nrate = 20\nburst = 40\n"+
		"shape = \"burst\"\nwithin = \"100ms\"\nevery = \"500ms\"", 1)
	path, first, second := write(t, "s.toml", evening+loadFleet), filepath.Join(dir, "a.csv.gz"), filepath.Join(dir, "b.csv")
	if status, _, errs := command(t, "load", "run", path, "--record", first); status != 0 {
		t.Fatalf("exit %d: %s", status, errs)
	}
	result := filepath.Join(dir, "r.json")
	if status, _, errs := command(t, "load", "replay", first, "--speed", "3", "--scenario", path, "--record", second, "-o", result); status != 0 {
		t.Fatalf("replay: exit %d: %s", status, errs)
	}
	rows := func(path string) (out []loadtest.Request) {
		tr, err := loadtest.OpenTrace(path, 1)
		if err != nil {
			t.Fatal(err)
		}
		defer tr.Close()
		for {
			r, err := tr.Next()
			if errors.Is(err, io.EOF) {
				return out
			} else if err != nil {
				t.Fatal(err)
			}
			out = append(out, r)
		}
	}
	a, b := rows(first), rows(second)
	if len(a) < 100 || len(a) != len(b) {
		t.Fatalf("%d recorded, %d replayed", len(a), len(b))
	}
	for i := range a {
		if math.Abs(float64(a[i].IntendedAt)/3-float64(b[i].IntendedAt)) > 1000 || a[i].Key != b[i].Key || a[i].Lifetime != b[i].Lifetime {
			t.Fatalf("row %d is replayed as %+v, was %+v", i, b[i], a[i])
		}
	}
	if r, err := loadtest.ReadResult(result); err != nil || r.Speed != 3 || r.Classes[0].Requests != int64(len(a)) {
		t.Errorf("result %+v, error %v", r, err)
	}
}

// A signal ends the run at once, and what was written is whole and says that it is partial.
func TestLoadStoppedByASignal(t *testing.T) {
	t.Parallel()
	for _, s := range []syscall.Signal{syscall.SIGINT, syscall.SIGTERM} {
		result := filepath.Join(t.TempDir(), "r.json")
		path := write(t, "s.toml", strings.Replace(loadScenario, `for = "2s"`, `for = "1h"`, 1)+loadFleet)
		status, _, errs := finish(t, exec.Command(program, "load", "run", path, "-o", result), func(c *exec.Cmd) {
			time.Sleep(3 * time.Second)
			_ = c.Process.Signal(s)
		})
		r, err := loadtest.ReadResult(result)
		if status != 4 || err != nil || !r.Partial || len(r.Classes) == 0 || r.Classes[0].Requests == 0 {
			t.Errorf("exit %d: %s; result %+v, error %v", status, errs, r, err)
		}
	}
}

// A generator whose descriptors are used up says that it is the one that fell short, with its own exit status.
func TestLoadWithoutDescriptors(t *testing.T) {
	t.Parallel()
	h := newHost(t, "h1")
	path := write(t, "s.toml", strings.NewReplacer(`life = "400ms"`, "life = \"1h\"\nspread = \"fixed\"", "message = \"50ms\"", "",
		`linger = "5s"`, `linger = "10ms"`, "retries = 3", "retries = 0").Replace(loadScenario))
	status, _, errs := finish(t, exec.Command("sh", "-c", fmt.Sprintf("ulimit -n 40; exec %s load run %s --target %s", program, path, h.Addr())),
		func(*exec.Cmd) {})
	if status != 3 || !strings.Contains(errs, "could not be sent by the generator") || !strings.Contains(errs, "too many open files") {
		t.Errorf("exit %d: %s", status, errs)
	}
}

func TestLoadCommandLineErrors(t *testing.T) {
	t.Parallel()
	bad, good := write(t, "bad.toml", loadScenario+"[fleet]\nhosts = 1\nnods = 2\n"), write(t, "good.toml", loadScenario)
	trace := write(t, "t.csv", "id,at_ms,class,tenant,life_ms\n1,0,chat,acme,soon\n")
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"load", "run", bad}, "bad.toml:22: fleet.nods: no such key"},
		{[]string{"load", "run", good}, "--target"},
		{[]string{"load", "run", good, "--target", "127.0.0.1:1", "--repeat", "0"}, "--repeat"},
		{[]string{"load", "run"}, "accepts 1 arg"},
		{[]string{"load", "run", good, "--colour"}, "unknown flag"},
		{[]string{"load", "replay", trace, "--target", "127.0.0.1:1"}, "t.csv:2: life_ms"},
		{[]string{"load", "replay", trace, "--speed", "0"}, "--speed"},
		{[]string{"load", "compare"}, "each side needs a run"},
		{[]string{"load", "plot", good}, "no result of a run"},
		{[]string{"load"}, "a command is missing"},
		{[]string{"lode"}, "unknown command"},
	} {
		if status, _, errs := command(t, c.args...); status != 2 || !strings.Contains(errs, c.want) {
			t.Errorf("%v: exit %d, said %q, want %q", c.args, status, errs, c.want)
		}
	}
	if status, out, _ := command(t, "completion", "bash"); status != 0 || !strings.Contains(out, "onyxstream") {
		t.Errorf("completion: exit %d", status)
	}
}

// Every fault there is, on one fleet, with connections that stood before: all play, and every request still has its one
// outcome.
func TestLoadThroughEveryFault(t *testing.T) {
	t.Parallel()
	text := strings.NewReplacer(`for = "2s"`, `for = "5s"`, "retries = 3", "retries = 5\nmid_flow = true").Replace(loadScenario) +
		"[standing]\ncount = 20\n" + strings.Replace(loadFleet, "[fleet.host]", "mode = \"pass\"\nlinks = true\npark = \"2s\"\nfront_notice = \"200ms\"\n[fleet.host]", 1)
	want := 0
	fault := func(at int, on, what, more string) {
		want++
		text += fmt.Sprintf("[[fault]]\nat = \"%dms\"\non = %q\nwhat = %q\n%s\n", at, on, what, more)
	}
	fault(100, "h1", "slow", "by = 5.0\nfor = \"300ms\"")
	fault(200, "store", "slow", "by = 8.0\nfor = \"500ms\"")
	fault(300, "h1", "steal", "by = 0.5\nfor = \"300ms\"")
	fault(400, "discovery", "lag", "over = \"300ms\"\nfor = \"2s\"")
	fault(500, "h2", "drain", "over = \"200ms\"\nfor = \"1s\"")
	fault(600, "h4", "add", "")
	fault(700, "discovery", "freeze", "for = \"300ms\"")
	fault(1100, "h3", "hang", "for = \"400ms\"")
	fault(1200, "link-h1", "delay", "over = \"20ms\"\nfor = \"500ms\"")
	fault(1300, "link-h2", "limit", "by = 20000.0\nfor = \"500ms\"")
	fault(1700, "n1", "stall", "for = \"500ms\"")
	fault(2300, "link-h1", "stall", "for = \"200ms\"")
	fault(2600, "link-h1", "silence", "for = \"300ms\"")
	fault(2700, "link-h2", "deaf", "for = \"300ms\"")
	fault(2800, "link-h3", "reset", "")
	fault(3000, "n2", "kill", "for = \"500ms\"")
	fault(3100, "discovery", "busy", "for = \"200ms\"")
	fault(3400, "discovery", "reset", "for = \"200ms\"")
	fault(3700, "discovery", "mute", "for = \"200ms\"")
	fault(4000, "discovery", "restart", "")
	fault(4100, "n1", "stop", "for = \"200ms\"")
	fault(4200, "h4", "die", "for = \"300ms\"")
	result := filepath.Join(t.TempDir(), "r.json")
	status, _, errs := command(t, "load", "run", write(t, "s.toml", text), "-o", result)
	if status != 0 {
		t.Fatalf("exit %d: %s", status, errs)
	}
	r, err := loadtest.ReadResult(result)
	if err != nil {
		t.Fatal(err)
	}
	c, total := r.Classes[0], int64(0)
	for _, n := range c.Outcomes {
		total += n
	}
	if total != c.Requests || c.Requests < 120 || c.Outcomes["served"] < c.Requests/2 || c.Outcomes["cut"]+c.Outcomes["unsent"] > 0 || r.WrongReceipts != 0 {
		t.Errorf("asked %d, outcomes %v, %d wrong receipts", c.Requests, c.Outcomes, r.WrongReceipts)
	}
	if len(r.FleetEvents) < want {
		t.Errorf("%d marks of %d faults: %v", len(r.FleetEvents), want, r.FleetEvents)
	}
}
