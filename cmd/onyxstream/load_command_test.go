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

// loadScenario is a scenario for the load commands that starts no nodes or hosts.
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
lateness = "5s"  # high, because other tests use the machine too
linger = "5s"
`

// loadFleetConfig is the part of a scenario that makes the load command start its own nodes and fake hosts.
const loadFleetConfig = `
[fleet]
nodes = 2
hosts = 3
loads = true
[fleet.host]
load = 0.01
setup = "2ms"
`

// A run starts its own nodes and hosts, and one of the hosts crashes and restarts. The run must write its result in
// each format, and the other load commands must be able to read it.
func TestLoadRun_OwnFleet_WritesAllResults(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	const hostCrash = "[[fault]]\nat = \"500ms\"\nwhat = \"die\"\non = \"h2\"\nfor = \"700ms\"\n"
	path := writeFile(t, "s.toml", loadScenario+loadFleetConfig+hostCrash)
	file := func(name string) string { return filepath.Join(dir, name) }
	status, stdout, stderr := runProgram(t, "load", "run", path,
		"-o", file("r.json"),
		"--page", file("r.html"),
		"--hdr", file("r.hgrm"),
		"--ledger", file("ledger"),
		"--node-log", file("log"))
	if status != 0 {
		t.Fatalf("exit status %d, want 0: %s", status, stderr)
	}
	if stderr != "" || !strings.Contains(stdout, "chat") {
		t.Errorf("stdout %q, stderr %q; want class chat on stdout and no progress on stderr", stdout, stderr)
	}
	result, err := loadtest.ReadResult(file("r.json"))
	if err != nil {
		t.Fatal(err)
	}
	class := result.Classes[0]
	if class.Requests < 30 || class.Outcomes["served"] < class.Requests/2 {
		t.Errorf("class %+v, want at least 30 requests and half of them served", class)
	}
	if result.WrongReceipts != 0 || len(result.FleetEvents) == 0 || result.Nodes.CPU <= 0 || result.Partial {
		t.Errorf("class %+v, fleet events %v, node usage %+v; want a complete result without wrong receipts",
			class, result.FleetEvents, result.Nodes)
	}
	expectLedgerMatches(t, file("ledger"), class.Attempts["served"])
	expectResultFiles(t, file)
}

// expectLedgerMatches checks that the hosts' ledger records exactly as many UPs as the clients received.
func expectLedgerMatches(t *testing.T, path string, served int64) {
	t.Helper()
	accepted := int64(0)
	for _, record := range readLedger(t, path) {
		if record.Kind == fakeserver.EventEstablished {
			accepted++
		}
	}
	if accepted != served {
		t.Errorf("hosts sent UP %d times, clients received it %d times; want equal numbers", accepted, served)
	}
}

// expectResultFiles checks the content of each file that a run wrote, and that the plot and compare commands read the
// result.
func expectResultFiles(t *testing.T, file func(name string) string) {
	t.Helper()
	for name, want := range map[string]string{"r.html": "<svg", "r.hgrm": "Percentile", "log": "started"} {
		text, err := os.ReadFile(file(name))
		if err != nil || !strings.Contains(string(text), want) {
			t.Errorf("%s does not contain %q, error %v", name, want, err)
		}
	}
	status, _, stderr := runProgram(t, "load", "plot", file("r.json"), "-o", file("again.html"))
	if status != 0 {
		t.Errorf("plot: exit status %d, want 0: %s", status, stderr)
	}
	status, stdout, stderr := runProgram(t, "load", "compare", "--base", file("r.json"), "--new", file("r.json"))
	if status != 0 || !strings.Contains(stdout, "noise unknown") {
		t.Errorf("compare: exit status %d, output %s%s; want status 0 and \"noise unknown\"", status, stdout, stderr)
	}
}

// readLedger returns the records of a ledger file, without the header.
func readLedger(t *testing.T, path string) (records []fakeserver.Event) {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	decoder := json.NewDecoder(file)
	var header map[string]any
	if err := decoder.Decode(&header); err != nil {
		t.Fatal(err)
	}
	for {
		var record fakeserver.Event
		err := decoder.Decode(&record)
		if errors.Is(err, io.EOF) {
			return records
		}
		if err != nil {
			t.Fatal(err)
		}
		records = append(records, record)
	}
}

// readTrace returns the requests of a recorded trace.
func readTrace(t *testing.T, path string) (requests []loadtest.Request) {
	t.Helper()
	trace, err := loadtest.OpenTrace(path, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer trace.Close()
	for {
		request, err := trace.Next()
		if errors.Is(err, io.EOF) {
			return requests
		}
		if err != nil {
			t.Fatal(err)
		}
		requests = append(requests, request)
	}
}

// A run with a load ramp and bursts is recorded as a trace and replayed at triple speed. The requests must have the
// same order and a third of the spacing.
func TestLoadReplay_TripleSpeed_KeepsOrderAndSpacing(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	const rampAndBursts = "rate = 5\nto = 40\nshape = \"ramp\"\n" +
		"[[phase]]\nfor = \"1s\"\nrate = 20\nburst = 40\nshape = \"burst\"\nwithin = \"100ms\"\nevery = \"500ms\""
	scenario := strings.Replace(loadScenario, "rate = 30", rampAndBursts, 1)
	path := writeFile(t, "s.toml", scenario+loadFleetConfig)
	first, second := filepath.Join(dir, "a.csv.gz"), filepath.Join(dir, "b.csv")
	status, _, stderr := runProgram(t, "load", "run", path, "--record", first)
	if status != 0 {
		t.Fatalf("exit status %d, want 0: %s", status, stderr)
	}
	resultPath := filepath.Join(dir, "r.json")
	status, _, stderr = runProgram(t, "load", "replay", first,
		"--speed", "3",
		"--scenario", path,
		"--record", second,
		"-o", resultPath)
	if status != 0 {
		t.Fatalf("replay: exit status %d, want 0: %s", status, stderr)
	}
	recorded, replayed := readTrace(t, first), readTrace(t, second)
	if len(recorded) < 100 || len(recorded) != len(replayed) {
		t.Fatalf("recorded %d requests, replayed %d; want equal numbers, at least 100", len(recorded), len(replayed))
	}
	for i, want := range recorded {
		got := replayed[i]
		timeError := math.Abs(float64(want.IntendedAt)/3 - float64(got.IntendedAt))
		if timeError > 1000 || want.Key != got.Key || want.Lifetime != got.Lifetime {
			t.Fatalf("request %d: replayed %+v, recorded %+v; want the same at a third of the time", i, got, want)
		}
	}
	result, err := loadtest.ReadResult(resultPath)
	if err != nil || result.Speed != 3 || result.Classes[0].Requests != int64(len(recorded)) {
		t.Errorf("result %+v, error %v; want speed 3 and all recorded requests", result, err)
	}
}

// A signal must end the run at once. The result file must be complete and marked as partial.
func TestLoadRun_Signalled_WritesPartialResult(t *testing.T) {
	t.Parallel()
	for _, signal := range []syscall.Signal{syscall.SIGINT, syscall.SIGTERM} {
		resultPath := filepath.Join(t.TempDir(), "r.json")
		scenario := strings.Replace(loadScenario, `for = "2s"`, `for = "1h"`, 1) + loadFleetConfig
		cmd := exec.Command(programPath, "load", "run", writeFile(t, "s.toml", scenario), "-o", resultPath)
		status, _, stderr := runToExit(t, cmd, func(started *exec.Cmd) {
			time.Sleep(3 * time.Second)
			_ = started.Process.Signal(signal)
		})
		result, err := loadtest.ReadResult(resultPath)
		if status != 4 || err != nil || !result.Partial || len(result.Classes) == 0 || result.Classes[0].Requests == 0 {
			t.Errorf("exit status %d: %s; result %+v, error %v; want status 4 and a partial result with requests",
				status, stderr, result, err)
		}
	}
}

// A load generator that runs out of descriptors must report that it could not send, and exit with status 3.
func TestLoadRun_DescriptorsExhausted_ExitsWithStatus3(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	scenario := strings.NewReplacer(
		`life = "400ms"`, "life = \"1h\"\nspread = \"fixed\"",
		"message = \"50ms\"", "",
		`linger = "5s"`, `linger = "10ms"`,
		"retries = 3", "retries = 0",
	).Replace(loadScenario)
	path := writeFile(t, "s.toml", scenario)
	script := fmt.Sprintf("ulimit -n 40; exec %s load run %s --target %s", programPath, path, host.Addr())
	status, _, stderr := runToExit(t, exec.Command("sh", "-c", script), func(*exec.Cmd) {})
	blamesGenerator := strings.Contains(stderr, "could not be sent by the generator")
	if status != 3 || !blamesGenerator || !strings.Contains(stderr, "too many open files") {
		t.Errorf("exit status %d, stderr %q; want status 3 and the reason why requests were not sent", status, stderr)
	}
}

// Bad arguments, and invalid scenario, trace and result files, must end a command with status 2 and an error that names
// the invalid part, before any load is sent.
func TestLoadCommand_BadArguments_ExitsWithStatus2(t *testing.T) {
	t.Parallel()
	bad := writeFile(t, "bad.toml", loadScenario+"[fleet]\nhosts = 1\nnods = 2\n")
	good := writeFile(t, "good.toml", loadScenario)
	trace := writeFile(t, "t.csv", "id,at_ms,class,tenant,life_ms\n1,0,chat,acme,soon\n")
	for _, test := range []struct {
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
		{[]string{"load", "compare"}, "each side needs at least one run"},
		{[]string{"load", "plot", good}, "invalid result file"},
		{[]string{"load"}, "a command is missing"},
		{[]string{"lode"}, "unknown command"},
	} {
		status, _, stderr := runProgram(t, test.args...)
		if status != 2 || !strings.Contains(stderr, test.want) {
			t.Errorf("%v: exit status %d, stderr %q; want status 2 and %q", test.args, status, stderr, test.want)
		}
	}
	status, stdout, _ := runProgram(t, "completion", "bash")
	if status != 0 || !strings.Contains(stdout, "onyxstream") {
		t.Errorf("completion bash: exit status %d, want 0 and a script", status)
	}
}
