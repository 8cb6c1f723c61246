package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"onyxstream/internal/fakeserver"
	"onyxstream/internal/fakeserver/capacity"
	"onyxstream/internal/wire"
)

// three are three real nodes that an agent follows, each with a host of its own, so that the host's ledger tells what
// its node sent.
type three struct {
	dir, socket string
	clock       *fakeserver.Clock
	ledgers     []*fakeserver.EventLog
	nodes       []*running
	agent       *exec.Cmd
	agentLog    *syncBuffer
}

func newThree(t *testing.T) *three {
	t.Helper()
	f := &three{dir: t.TempDir(), clock: fakeserver.NewClock(), agentLog: &syncBuffer{}}
	f.socket = filepath.Join(f.dir, "agent.sock")
	inventory := ""
	for i := range 3 {
		ledger := fakeserver.NewEventLog(f.clock)
		h, err := fakeserver.NewHost(fakeserver.HostConfig{ID: fmt.Sprint("h", i+1), Zone: "a",
			Spec: capacity.Spec{Cores: 8, Speed: 1, ConnectionLoad: 0.001, SetupWork: 0.001}}, f.clock, ledger)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(h.Close)
		reg := newRegistry(t, list(1, true, h.Endpoint(wire.Serving)))
		name := fmt.Sprint("n", i+1)
		addr := freeAddr(t)
		path := config(t, addr, reg.addr, options{mode: "proxy", known: list(1, true, h.Endpoint(wire.Serving)), sockets: 2048})
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(strings.Replace(string(text), `"name":"n0"`, `"name":"`+name+`"`, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		own := write(t, "own.toml", fmt.Sprintf("[control]\nsocket = %q\n", filepath.Join(f.dir, name)))
		p := launch(t, path, 0, "--config", own)
		p.addr = addr
		f.nodes, f.ledgers = append(f.nodes, p), append(f.ledgers, ledger)
		inventory += fmt.Sprintf("[[instance]]\nname = %q\naddr = %q\nzone = \"a\"\n", name, "unix:"+filepath.Join(f.dir, name))
	}
	files := map[string]string{"inventory.toml": inventory, "agent.toml": fmt.Sprintf("inventory = %q\nstore = %q\nsocket = %q\nevery = \"100ms\"\n",
		filepath.Join(f.dir, "inventory.toml"), filepath.Join(f.dir, "store"), f.socket)}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(f.dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	f.startAgent(t)
	eventually(t, "all three serve", func() bool { status, _, _ := f.run(t, "instances", "check"); return status == 0 })
	return f
}

func (f *three) startAgent(t *testing.T) {
	t.Helper()
	f.agent = exec.Command(program, "agent", "--config", filepath.Join(f.dir, "agent.toml"))
	f.agent.Stdout, f.agent.Stderr = f.agentLog, f.agentLog
	if err := f.agent.Start(); err != nil {
		t.Fatal(err)
	}
	a := f.agent
	t.Cleanup(func() {
		_ = a.Process.Kill()
		_ = a.Wait()
		if t.Failed() {
			t.Logf("the agent's log:\n%s", f.agentLog)
		}
		if strings.Contains(f.agentLog.String(), "DATA RACE") {
			t.Errorf("a data race in the agent:\n%s", f.agentLog)
		}
	})
}

func (f *three) run(t *testing.T, args ...string) (status int, out, errs string) {
	t.Helper()
	return command(t, append(args, "--agent", f.socket)...)
}

// told is when a command of an operation took effect at a node, by its log, on the clock of the ledgers.
func (f *three) told(t *testing.T, i int, operation string) (times []time.Duration) {
	t.Helper()
	for line := range strings.Lines(f.nodes[i].log.String()) {
		if !strings.Contains(line, "command applied") || !strings.Contains(line, operation) {
			continue
		}
		at, err := time.Parse("2006-01-02T15:04:05.000Z0700", strings.Fields(line)[0])
		if err != nil {
			t.Fatal(err)
		}
		times = append(times, at.Sub(f.clock.Started()))
	}
	return times
}

// lastNew is when a host was last sent something new.
func (f *three) lastNew(i int) (last time.Duration, n int) {
	recs, _ := f.ledgers[i].Events()
	for _, r := range recs {
		if r.Kind == fakeserver.EventOpened {
			last, n = r.At, n+1
		}
	}
	return last, n
}

// load runs open load on all three until the returned function is called.
func (f *three) load(t *testing.T) (stop func()) {
	t.Helper()
	path := write(t, "s.toml", strings.NewReplacer(`for = "2s"`, `for = "1h"`, "rate = 30", "rate = 150", "retries = 3", "retries = 0",
		`life = "400ms"`, `life = "3s"`).Replace(loadScenario))
	args := []string{"load", "run", path}
	for _, n := range f.nodes {
		args = append(args, "--target", n.addr)
	}
	cmd, said := exec.Command(program, args...), &syncBuffer{}
	cmd.Stdout, cmd.Stderr = said, said
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	return func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if text := said.String(); text != "" {
			t.Errorf("the generator ended by itself: %s", text)
		}
	}
}

// grace is the settings' time from the word of a drain to the last new work; a log line's time is to the millisecond.
const grace = 400*time.Millisecond + time.Millisecond

// A drain across three nodes under open load: the last new work of each comes within its grace after its notice; the
// same command again has no effect; resumed, all serve again.
//
// ONYXSTREAM_DRAINS=50 repeats it and prints the spread.
func TestADrainOfThreeNodesUnderLoad(t *testing.T) {
	t.Parallel()
	f := newThree(t)
	stop := f.load(t)
	defer stop()
	runs, _ := strconv.Atoi(os.Getenv("ONYXSTREAM_DRAINS"))
	var spread []time.Duration
	for run := range max(runs, 1) {
		before := make([]int, 3)
		for i := range 3 {
			_, before[i] = f.lastNew(i)
		}
		eventually(t, "all hosts get new work", func() bool {
			all := true
			for i := range 3 {
				_, n := f.lastNew(i)
				all = all && n > before[i]+20
			}
			return all
		})
		op := fmt.Sprint("drain", run)
		order := []string{"instances", "drain", "--all", "--empty-zone", "--max-unavailable", "3", "--at-once", "3", "--within", "1s", "--wait", "--operation", op}
		if status, out, errs := f.run(t, order...); status != 0 {
			t.Fatalf("exit %d: %s%s", status, out, errs)
		}
		counts := make([]int, 3)
		for i := range 3 {
			told := f.told(t, i, op)
			if len(told) != 1 {
				t.Fatalf("n%d was told %d times", i+1, len(told))
			}
			var last time.Duration
			last, counts[i] = f.lastNew(i)
			if late := last - told[0]; late > grace {
				t.Errorf("n%d sent new work %v after its notice", i+1, late)
			} else {
				spread = append(spread, late)
			}
		}
		// Again, while load goes on: no effect.
		if status, out, errs := f.run(t, order...); status != 0 {
			t.Fatalf("again: exit %d: %s%s", status, out, errs)
		}
		time.Sleep(300 * time.Millisecond)
		for i := range 3 {
			if _, n := f.lastNew(i); n != counts[i] || len(f.told(t, i, op)) != 1 {
				t.Errorf("n%d: the same command again had an effect", i+1)
			}
		}
		if status, _, _ := f.run(t, "instances", "check"); status != 7 {
			t.Errorf("a check of drained instances exits with %d", status)
		}
		if status, out, errs := f.run(t, "instances", "resume", "--all", "--at-once", "3", "--wait"); status != 0 {
			t.Fatalf("resume: exit %d: %s%s", status, out, errs)
		}
	}
	slices.Sort(spread)
	t.Logf("last new work after the notice, %d drains of a node: least %v, median %v, most %v", len(spread), spread[0], spread[len(spread)/2], spread[len(spread)-1])
}

// The agent is killed halfway through a drain. Whoever was told stops new work and stays so; the others serve. When the
// agent is back it goes on.
func TestAnAgentKilledHalfwayThroughADrain(t *testing.T) {
	t.Parallel()
	f := newThree(t)
	stop := f.load(t)
	defer stop()
	for range 60 { // these stand until they are sent away, so the first drain takes its whole time
		f.nodes[0].open(t, "").hears("UP ")
	}
	if status, out, errs := f.run(t, "instances", "drain", "--all", "--empty-zone", "--max-unavailable", "3", "--within", "4s", "--operation", "halfway"); status != 0 {
		t.Fatalf("exit %d: %s%s", status, out, errs)
	}
	eventually(t, "the first is told", func() bool { return len(f.told(t, 0, "halfway")) == 1 })
	_ = f.agent.Process.Kill()
	_ = f.agent.Wait()
	told := f.told(t, 0, "halfway")[0]
	eventually(t, "the grace has run", func() bool { return f.clock.Now() > told+2*time.Second })
	if last, _ := f.lastNew(0); last > told+grace {
		t.Errorf("without an agent n1 sent new work %v after its notice", last-told)
	}
	if n := len(f.told(t, 2, "halfway")); n != 0 {
		t.Fatal("all were told before the agent was killed: nothing is shown")
	}
	_, was := f.lastNew(2)
	eventually(t, "the third goes on serving", func() bool { _, n := f.lastNew(2); return n > was+10 })
	f.startAgent(t)
	eventually(t, "the agent goes on with it", func() bool {
		status, out, _ := f.run(t, "operations", "show", "halfway", "--json")
		var op struct{ State string }
		return status == 0 && json.Unmarshal([]byte(out), &op) == nil && op.State == "done"
	})
	for i := range 3 {
		if n := len(f.told(t, i, "halfway")); n != 1 {
			t.Errorf("n%d was told %d times", i+1, n)
		}
	}
}

func TestWordsOnHostsAndOperationsByTheCommandLine(t *testing.T) {
	t.Parallel()
	f := newThree(t)
	// The only host of n2 drains by an operator's word, whatever the list says: n2 has nowhere to place anyone.
	if status, out, errs := f.run(t, "hosts", "drain", "h2", "--wait", "--operation", "word"); status != 0 {
		t.Fatalf("exit %d: %s%s", status, out, errs)
	}
	k := f.nodes[1].open(t, "")
	eventually(t, "n2 places nobody on h2", func() bool {
		return strings.HasPrefix(k.hears(""), "BUSY") || func() bool { k = f.nodes[1].open(t, ""); return false }()
	})
	f.nodes[0].open(t, "").hears("UP ")
	if status, _, errs := f.run(t, "hosts", "resume", "h2", "--wait"); status != 0 {
		t.Fatalf("exit %d: %s", status, errs)
	}
	eventually(t, "n2 places on h2 again", func() bool { return strings.HasPrefix(f.nodes[1].open(t, "").hears(""), "UP") })
	for _, c := range []struct {
		args   string
		status int
		want   string
	}{
		{"operations list", 0, "host-drain"},
		{"operations show word", 0, "done"},
		{"operations show nothing", 1, "no such operation"},
		{"operations abort word", 0, "done"},
		{"instances list", 0, "serving"},
		{"instances drain n1 n2 --dry-run --at-once 1", 0, "wave 2: n2"},
		{"instances drain --all", 6, "zone a would be left"},
		{"instances drain n1 n2", 6, "the limit is 1"},
		{"instances drain", 2, "name instances"},
		{"instances drain n9", 2, `no instance has name "n9"`},
		{"instances drain n1 --on-failure cry", 2, "on_failure"},
	} {
		status, out, errs := f.run(t, strings.Fields(c.args)...)
		if status != c.status || !strings.Contains(out+errs, c.want) {
			t.Errorf("%s: exit %d, said %q and %q, want %d and %q", c.args, status, out, errs, c.status, c.want)
		}
	}
	if status, _, errs := command(t, "instances", "list", "--agent", filepath.Join(f.dir, "nobody")); status != 1 || !strings.Contains(errs, "no agent answers") {
		t.Errorf("without an agent: exit %d: %s", status, errs)
	}
}

// A node that drains takes nothing new, but a connection that is open already and comes mid-flow still reaches its host,
// also once the grace has run.
func TestMidFlowReachesItsHostWhileTheNodeDrains(t *testing.T) {
	t.Parallel()
	f := newThree(t)
	if status, out, errs := f.run(t, "instances", "drain", "n1", "--wait", "--operation", "mid"); status != 0 {
		t.Fatalf("exit %d: %s%s", status, out, errs)
	}
	told := f.told(t, 0, "mid")[0]
	eventually(t, "the grace has run", func() bool { return f.clock.Now() > told+2*grace })
	f.nodes[0].open(t, "").hears("BUSY ")
	_, before := f.lastNew(0)
	f.nodes[0].open(t, ",mid=1")
	eventually(t, "the host hears of it", func() bool { _, n := f.lastNew(0); return n == before+1 })
}
