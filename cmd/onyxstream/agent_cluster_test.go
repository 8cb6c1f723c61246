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

// agentCluster is an agent with three node processes. Each node has one fake host, whose ledger records the requests
// that the node sent to it.
type agentCluster struct {
	dir         string
	agentSocket string
	clock       *fakeserver.Clock
	ledgers     []*fakeserver.EventLog
	nodes       []*nodeProcess
	agent       *exec.Cmd
	agentLog    *syncBuffer
}

const clusterSize = 3

// newAgentCluster starts the nodes and the agent, and waits until the agent reports that all nodes serve.
func newAgentCluster(t *testing.T) *agentCluster {
	t.Helper()
	cluster := &agentCluster{dir: t.TempDir(), clock: fakeserver.NewClock(), agentLog: &syncBuffer{}}
	cluster.agentSocket = filepath.Join(cluster.dir, "agent.sock")
	inventory := ""
	for number := 1; number <= clusterSize; number++ {
		inventory += cluster.startNode(t, number)
	}
	agentConfig := fmt.Sprintf("inventory = %q\nstore = %q\nsocket = %q\nevery = \"100ms\"\n",
		cluster.path("inventory.toml"), cluster.path("store"), cluster.agentSocket)
	for name, text := range map[string]string{"inventory.toml": inventory, "agent.toml": agentConfig} {
		if err := os.WriteFile(cluster.path(name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	cluster.startAgent(t)
	eventually(t, "all nodes serve", func() bool {
		status, _, _ := cluster.runCommand(t, "instances", "check")
		return status == 0
	})
	return cluster
}

// path returns the path of a file in the cluster's directory.
func (c *agentCluster) path(name string) string { return filepath.Join(c.dir, name) }

// startNode starts the node with the given number and the node's host. It returns the node's entry for the agent's
// inventory.
func (c *agentCluster) startNode(t *testing.T, number int) (inventoryEntry string) {
	t.Helper()
	ledger := fakeserver.NewEventLog(c.clock)
	host, err := fakeserver.NewHost(fakeserver.HostConfig{
		ID:   fmt.Sprint("h", number),
		Zone: "a",
		Spec: capacity.Spec{Cores: 8, Speed: 1, ConnectionLoad: 0.001, SetupWork: 0.001},
	}, c.clock, ledger)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(host.Close)
	list := endpointListJSON(1, true, host.Endpoint(wire.Serving))
	discovery := newFakeDiscovery(t, list)
	name := fmt.Sprint("n", number)
	addr := freeAddr(t)
	options := nodeOptions{mode: "proxy", initialList: list, socketLimit: 2048}
	configPath := writeConfig(t, addr, discovery.addr, options)
	setNodeName(t, configPath, name)
	ownConfig := writeFile(t, "own.toml", fmt.Sprintf("[control]\nsocket = %q\n", c.path(name)))
	node := startProcess(t, configPath, "--config", ownConfig)
	node.addr = addr
	c.nodes = append(c.nodes, node)
	c.ledgers = append(c.ledgers, ledger)
	return fmt.Sprintf("[[instance]]\nname = %q\naddr = %q\nzone = \"a\"\n", name, "unix:"+c.path(name))
}

// setNodeName replaces the node's name in a configuration file written by writeConfig.
func setNodeName(t *testing.T, configPath, name string) {
	t.Helper()
	text, err := os.ReadFile(configPath)
	if err != nil {
		t.Fatal(err)
	}
	renamed := strings.Replace(string(text), `"name":"n0"`, `"name":"`+name+`"`, 1)
	if err := os.WriteFile(configPath, []byte(renamed), 0o600); err != nil {
		t.Fatal(err)
	}
}

// startAgent starts the agent. It is killed when the test ends, and a data race in it fails the test.
func (c *agentCluster) startAgent(t *testing.T) {
	t.Helper()
	agent := exec.Command(programPath, "agent", "--config", c.path("agent.toml"))
	agent.Stdout, agent.Stderr = c.agentLog, c.agentLog
	if err := agent.Start(); err != nil {
		t.Fatal(err)
	}
	c.agent = agent
	t.Cleanup(func() {
		_ = agent.Process.Kill()
		_ = agent.Wait()
		if t.Failed() {
			t.Logf("log of the agent:\n%s", c.agentLog)
		}
		if strings.Contains(c.agentLog.String(), "DATA RACE") {
			t.Errorf("data race in the agent:\n%s", c.agentLog)
		}
	})
}

// killAgent kills the agent with SIGKILL, as in a crash.
func (c *agentCluster) killAgent() {
	_ = c.agent.Process.Kill()
	_ = c.agent.Wait()
}

// runCommand runs the program with args, directed at the agent, until it exits.
func (c *agentCluster) runCommand(t *testing.T, args ...string) (status int, stdout, stderr string) {
	t.Helper()
	return runProgram(t, append(args, "--agent", c.agentSocket)...)
}

// mustRun is like runCommand, but fails the test unless the command exits with status 0.
func (c *agentCluster) mustRun(t *testing.T, args ...string) {
	t.Helper()
	status, stdout, stderr := c.runCommand(t, args...)
	if status != 0 {
		t.Fatalf("%v: exit status %d, want 0: %s%s", args, status, stdout, stderr)
	}
}

// appliedAt returns the times at which a node applied commands of an operation. The times come from the node's log and
// are converted to the clock of the ledgers.
func (c *agentCluster) appliedAt(t *testing.T, nodeIndex int, operation string) (times []time.Duration) {
	t.Helper()
	for line := range strings.Lines(c.nodes[nodeIndex].log.String()) {
		if !strings.Contains(line, "command applied") || !strings.Contains(line, operation) {
			continue
		}
		at, err := time.Parse("2006-01-02T15:04:05.000Z0700", strings.Fields(line)[0])
		if err != nil {
			t.Fatal(err)
		}
		times = append(times, at.Sub(c.clock.Started()))
	}
	return times
}

// lastNewRequest returns the time of the last new request that the node's host received, and the number of new
// requests.
func (c *agentCluster) lastNewRequest(nodeIndex int) (last time.Duration, count int) {
	records, _ := c.ledgers[nodeIndex].Events()
	for _, record := range records {
		if record.Kind == fakeserver.EventOpened {
			last = record.At
			count++
		}
	}
	return last, count
}

// newRequestCounts returns the number of new requests that each node's host has received.
func (c *agentCluster) newRequestCounts() (counts [clusterSize]int) {
	for i := range counts {
		_, counts[i] = c.lastNewRequest(i)
	}
	return counts
}

// startLoad runs the load generator against all nodes until stop is called. The test fails if the load generator
// printed anything, because it prints only when a run ends or fails.
func (c *agentCluster) startLoad(t *testing.T) (stop func()) {
	t.Helper()
	scenario := strings.NewReplacer(
		`for = "2s"`, `for = "1h"`,
		"rate = 30", "rate = 150",
		"retries = 3", "retries = 0",
		`life = "400ms"`, `life = "3s"`,
	).Replace(loadScenario)
	args := []string{"load", "run", writeFile(t, "s.toml", scenario)}
	for _, node := range c.nodes {
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
			t.Errorf("load generator exited early: %s", text)
		}
	}
}
