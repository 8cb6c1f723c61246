package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"onyxstream/internal/fakeserver"
	"onyxstream/internal/fakeserver/capacity"
	"onyxstream/internal/wire"
)

// agentCluster are three real nodes that an agent follows, each with a host of its own, so that the host's ledger tells what
// its node sent.
type agentCluster struct {
	dir, agentSocket string
	clock            *fakeserver.Clock
	ledgers          []*fakeserver.Ledger
	nodes            []*nodeProcess
	agent            *exec.Cmd
	agentLog         *syncBuffer
}

func newAgentCluster(t *testing.T) *agentCluster {
	t.Helper()
	cluster := &agentCluster{dir: t.TempDir(), clock: fakeserver.NewClock(), agentLog: &syncBuffer{}}
	cluster.agentSocket = filepath.Join(cluster.dir, "agent.sock")
	inventory := ""
	for i := range 3 {
		ledger := fakeserver.NewLedger(cluster.clock)
		host, err := fakeserver.NewHost(fakeserver.HostConfig{ID: fmt.Sprint("h", i+1), Zone: "a",
			Spec: capacity.Spec{Cores: 8, Speed: 1, Load: 0.001, Setup: 0.001}}, cluster.clock, ledger)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(host.Close)
		discovery := newFakeDiscovery(t, endpointListJSON(1, true, host.Member(wire.Serving)))
		name := fmt.Sprint("n", i+1)
		addr := freeAddr(t)
		path := writeConfig(t, addr, discovery.addr, nodeOptions{mode: "proxy", initialList: endpointListJSON(1, true, host.Member(wire.Serving)), socketLimit: 2048})
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(strings.Replace(string(text), `"name":"n0"`, `"name":"`+name+`"`, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		ownConfig := writeFile(t, "own.toml", fmt.Sprintf("[control]\nsocket = %q\n", filepath.Join(cluster.dir, name)))
		node := startProcess(t, path, 0, "--config", ownConfig)
		node.addr = addr
		cluster.nodes, cluster.ledgers = append(cluster.nodes, node), append(cluster.ledgers, ledger)
		inventory += fmt.Sprintf("[[instance]]\nname = %q\naddr = %q\nzone = \"a\"\n", name, "unix:"+filepath.Join(cluster.dir, name))
	}
	files := map[string]string{"inventory.toml": inventory, "agent.toml": fmt.Sprintf("inventory = %q\nstore = %q\nsocket = %q\nevery = \"100ms\"\n",
		filepath.Join(cluster.dir, "inventory.toml"), filepath.Join(cluster.dir, "store"), cluster.agentSocket)}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(cluster.dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	cluster.startAgent(t)
	eventually(t, "all three serve", func() bool { status, _, _ := cluster.runCommand(t, "instances", "check"); return status == 0 })
	return cluster
}

func (f *agentCluster) startAgent(t *testing.T) {
	t.Helper()
	f.agent = exec.Command(programPath, "agent", "--config", filepath.Join(f.dir, "agent.toml"))
	f.agent.Stdout, f.agent.Stderr = f.agentLog, f.agentLog
	if err := f.agent.Start(); err != nil {
		t.Fatal(err)
	}
	agent := f.agent
	t.Cleanup(func() {
		_ = agent.Process.Kill()
		_ = agent.Wait()
		if t.Failed() {
			t.Logf("the agent's log:\n%s", f.agentLog)
		}
		if strings.Contains(f.agentLog.String(), "DATA RACE") {
			t.Errorf("a data race in the agent:\n%s", f.agentLog)
		}
	})
}

func (f *agentCluster) runCommand(t *testing.T, args ...string) (status int, out, errs string) {
	t.Helper()
	return runProgram(t, append(args, "--agent", f.agentSocket)...)
}

// appliedAt is when a command of an operation took effect at a node, by its log, on the clock of the ledgers.
func (f *agentCluster) appliedAt(t *testing.T, nodeIndex int, operation string) (times []time.Duration) {
	t.Helper()
	for line := range strings.Lines(f.nodes[nodeIndex].log.String()) {
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

// lastOpened is when a host was last sent something new.
func (f *agentCluster) lastOpened(nodeIndex int) (last time.Duration, count int) {
	records, _ := f.ledgers[nodeIndex].Records()
	for _, record := range records {
		if record.What == fakeserver.Opened {
			last, count = record.At, count+1
		}
	}
	return last, count
}

// startLoad runs open load on all three until the returned function is called.
func (f *agentCluster) startLoad(t *testing.T) (stop func()) {
	t.Helper()
	path := writeFile(t, "s.toml", strings.NewReplacer(`for = "2s"`, `for = "1h"`, "rate = 30", "rate = 150", "retries = 3", "retries = 0",
		`life = "400ms"`, `life = "3s"`).Replace(loadScenario))
	args := []string{"load", "run", path}
	for _, node := range f.nodes {
		args = append(args, "--target", node.addr)
	}
	cmd, output := exec.Command(programPath, args...), &syncBuffer{}
	cmd.Stdout, cmd.Stderr = output, output
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	return func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if text := output.String(); text != "" {
			t.Errorf("the generator ended by itself: %s", text)
		}
	}
}
