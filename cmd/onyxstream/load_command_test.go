package main

import (
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

const loadFleetConfig = `
[fleet]
nodes = 2
hosts = 3
loads = true
[fleet.host]
load = 0.01
setup = "2ms"
`

// The whole way: real nodes, stand-ins, a host that dies and comes back, results in every form.
func TestLoadRun_OwnFleet_WritesAllResults(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	path := writeFile(t, "s.toml", loadScenario+loadFleetConfig+"[[fault]]\nat = \"500ms\"\nwhat = \"die\"\non = \"h2\"\nfor = \"700ms\"\n")
	file := func(name string) string { return filepath.Join(dir, name) }
	status, out, errs := runProgram(t, "load", "run", path, "-o", file("r.json"), "--page", file("r.html"), "--hdr", file("r.hgrm"),
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
	class := r.Classes[0]
	if class.Asked < 30 || class.Outcomes["served"] < class.Asked/2 || r.Wrong != 0 || len(r.Marks) == 0 || r.Nodes.CPU <= 0 || r.Partial {
		t.Errorf("result %+v, marks %v, usage %+v", class, r.Marks, r.Nodes)
	}
	// What clients and hosts counted must fit: each UP that a client was given is one that a host gave.
	ups, ledger := int64(0), readLedger(t, file("ledger"))
	for _, x := range ledger {
		if x.What == fakeserver.Up {
			ups++
		}
	}
	if served := class.Tries["served"]; ups != served {
		t.Errorf("hosts put up %d, clients were put up %d times", ups, served)
	}
	for name, want := range map[string]string{"r.html": "<svg", "r.hgrm": "Percentile", "log": "started"} {
		if text, err := os.ReadFile(file(name)); err != nil || !strings.Contains(string(text), want) {
			t.Errorf("%s lacks %q, error %v", name, want, err)
		}
	}
	if status, _, errs := runProgram(t, "load", "plot", file("r.json"), "-o", file("again.html")); status != 0 {
		t.Errorf("plot: exit %d: %s", status, errs)
	}
	if status, out, errs := runProgram(t, "load", "compare", "--base", file("r.json"), "--new", file("r.json")); status != 0 ||
		!strings.Contains(out, "noise unknown") {
		t.Errorf("compare: exit %d: %s%s", status, out, errs)
	}
}

func readLedger(t *testing.T, path string) (out []fakeserver.Record) {
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
		var r fakeserver.Record
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
func TestLoadReplay_TripleSpeed_KeepsOrderAndSpacing(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	evening := strings.Replace(loadScenario, "rate = 30", "rate = 5\nto = 40\nshape = \"ramp\"\n[[phase]]\nfor = \"1s\"\nrate = 20\nburst = 40\n"+
		"shape = \"burst\"\nwithin = \"100ms\"\nevery = \"500ms\"", 1)
	path, first, second := writeFile(t, "s.toml", evening+loadFleetConfig), filepath.Join(dir, "a.csv.gz"), filepath.Join(dir, "b.csv")
	if status, _, errs := runProgram(t, "load", "run", path, "--record", first); status != 0 {
		t.Fatalf("exit %d: %s", status, errs)
	}
	result := filepath.Join(dir, "r.json")
	if status, _, errs := runProgram(t, "load", "replay", first, "--speed", "3", "--scenario", path, "--record", second, "-o", result); status != 0 {
		t.Fatalf("replay: exit %d: %s", status, errs)
	}
	readRequests := func(path string) (out []loadtest.Request) {
		trace, err := loadtest.OpenTrace(path, 1)
		if err != nil {
			t.Fatal(err)
		}
		defer trace.Close()
		for {
			r, err := trace.Next()
			if errors.Is(err, io.EOF) {
				return out
			} else if err != nil {
				t.Fatal(err)
			}
			out = append(out, r)
		}
	}
	recorded, replayed := readRequests(first), readRequests(second)
	if len(recorded) < 100 || len(recorded) != len(replayed) {
		t.Fatalf("%d recorded, %d replayed", len(recorded), len(replayed))
	}
	for i := range recorded {
		if math.Abs(float64(recorded[i].At)/3-float64(replayed[i].At)) > 1000 || recorded[i].Key != replayed[i].Key || recorded[i].Life != replayed[i].Life {
			t.Fatalf("row %d is replayed as %+v, was %+v", i, replayed[i], recorded[i])
		}
	}
	if r, err := loadtest.ReadResult(result); err != nil || r.Speed != 3 || r.Classes[0].Asked != int64(len(recorded)) {
		t.Errorf("result %+v, error %v", r, err)
	}
}

// A signal ends the run at once, and what was written is whole and says that it is partial.
func TestLoadRun_Signalled_WritesPartialResult(t *testing.T) {
	t.Parallel()
	for _, s := range []syscall.Signal{syscall.SIGINT, syscall.SIGTERM} {
		result := filepath.Join(t.TempDir(), "r.json")
		path := writeFile(t, "s.toml", strings.Replace(loadScenario, `for = "2s"`, `for = "1h"`, 1)+loadFleetConfig)
		status, _, errs := runToExit(t, exec.Command(programPath, "load", "run", path, "-o", result), func(c *exec.Cmd) {
			time.Sleep(3 * time.Second)
			_ = c.Process.Signal(s)
		})
		r, err := loadtest.ReadResult(result)
		if status != 4 || err != nil || !r.Partial || len(r.Classes) == 0 || r.Classes[0].Asked == 0 {
			t.Errorf("exit %d: %s; result %+v, error %v", status, errs, r, err)
		}
	}
}

// A generator whose descriptors are used up says that it is the one that fell short, with its own exit status.
func TestLoadRun_DescriptorsExhausted_ExitsWithStatus3(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	path := writeFile(t, "s.toml", strings.NewReplacer(`life = "400ms"`, "life = \"1h\"\nspread = \"fixed\"", "message = \"50ms\"", "",
		`linger = "5s"`, `linger = "10ms"`, "retries = 3", "retries = 0").Replace(loadScenario))
	status, _, errs := runToExit(t, exec.Command("sh", "-c", fmt.Sprintf("ulimit -n 40; exec %s load run %s --target %s", programPath, path, host.Addr())),
		func(*exec.Cmd) {})
	if status != 3 || !strings.Contains(errs, "could not be sent by the generator") || !strings.Contains(errs, "too many open files") {
		t.Errorf("exit %d: %s", status, errs)
	}
}

func TestLoadCommand_BadArguments_ExitsWithStatus2(t *testing.T) {
	t.Parallel()
	bad, good := writeFile(t, "bad.toml", loadScenario+"[fleet]\nhosts = 1\nnods = 2\n"), writeFile(t, "good.toml", loadScenario)
	trace := writeFile(t, "t.csv", "id,at_ms,class,tenant,life_ms\n1,0,chat,acme,soon\n")
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
		if status, _, errs := runProgram(t, c.args...); status != 2 || !strings.Contains(errs, c.want) {
			t.Errorf("%v: exit %d, said %q, want %q", c.args, status, errs, c.want)
		}
	}
	if status, out, _ := runProgram(t, "completion", "bash"); status != 0 || !strings.Contains(out, "onyxstream") {
		t.Errorf("completion: exit %d", status)
	}
}
