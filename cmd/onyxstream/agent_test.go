package main

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// drainGrace is the time for which a node may send new requests to its hosts after it applied a drain: 400 ms by the
// tests' settings, plus 1 ms for the resolution of the timestamps in the log.
const drainGrace = 400*time.Millisecond + time.Millisecond

// Three nodes are drained under load. Each node must send its last new request within the drain grace after it applied
// the command. Repeating the command must have no effect. After a resume, all nodes must serve again.
//
// With ONYXSTREAM_DRAINS=50 in the environment the test repeats this 50 times. It logs the minimum, median and maximum
// delay between a drain and the last new request.
func TestAgentDrain_ThreeNodesUnderLoad_StopsNewWork(t *testing.T) {
	t.Parallel()
	cluster := newAgentCluster(t)
	stopLoad := cluster.startLoad(t)
	defer stopLoad()
	runs, _ := strconv.Atoi(os.Getenv("ONYXSTREAM_DRAINS"))
	var delays []time.Duration
	for run := range max(runs, 1) {
		cluster.waitForNewRequests(t)
		operation := fmt.Sprint("drain", run)
		drain := []string{
			"instances", "drain", "--all",
			"--empty-zone",
			"--max-unavailable", "3",
			"--at-once", "3",
			"--within", "1s",
			"--wait",
			"--operation", operation,
		}
		cluster.mustRun(t, drain...)
		counts := cluster.newRequestCounts()
		delays = append(delays, cluster.drainDelays(t, operation)...)
		cluster.mustRun(t, drain...) // repeat the command under load
		time.Sleep(300 * time.Millisecond)
		for i := range clusterSize {
			_, n := cluster.lastNewRequest(i)
			if n != counts[i] || len(cluster.appliedAt(t, i, operation)) != 1 {
				t.Errorf("n%d: the repeated drain had an effect, want no new request and no second application", i+1)
			}
		}
		if status, _, _ := cluster.runCommand(t, "instances", "check"); status != 7 {
			t.Errorf("check of drained instances: exit status %d, want 7", status)
		}
		cluster.mustRun(t, "instances", "resume", "--all", "--at-once", "3", "--wait")
	}
	slices.Sort(delays)
	t.Logf("delay between drain and last new request, %d drains: min %v, median %v, max %v",
		len(delays), delays[0], delays[len(delays)/2], delays[len(delays)-1])
}

// waitForNewRequests waits until each node's host has received more than 20 further requests.
func (c *agentCluster) waitForNewRequests(t *testing.T) {
	t.Helper()
	before := c.newRequestCounts()
	eventually(t, "all hosts receive new requests", func() bool {
		all := true
		for i, n := range c.newRequestCounts() {
			all = all && n > before[i]+20
		}
		return all
	})
}

// drainDelays returns, for each node, the time from the moment when the node applied a drain to its last new request. A
// node that exceeded the drain grace fails the test and is left out of the result. A node that did not apply the
// command exactly once fails the test.
func (c *agentCluster) drainDelays(t *testing.T, operation string) (delays []time.Duration) {
	t.Helper()
	for i := range clusterSize {
		applied := c.appliedAt(t, i, operation)
		if len(applied) != 1 {
			t.Fatalf("n%d applied the command %d times, want once", i+1, len(applied))
		}
		last, _ := c.lastNewRequest(i)
		if delay := last - applied[0]; delay > drainGrace {
			t.Errorf("n%d sent a new request %v after it applied the drain, want at most 401 ms", i+1, delay)
		} else {
			delays = append(delays, delay)
		}
	}
	return delays
}

// The agent is killed halfway through a drain of all nodes. Nodes that have applied the command must stay drained, and
// the others must keep serving. After a restart, the agent must complete the operation.
func TestAgentDrain_AgentKilled_ResumesOperation(t *testing.T) {
	t.Parallel()
	cluster := newAgentCluster(t)
	stopLoad := cluster.startLoad(t)
	defer stopLoad()
	cluster.nodes[0].establish(t, 60, "UP ") // stay open until migrated, so that the first drain takes all of its 4 s
	cluster.mustRun(t, "instances", "drain", "--all",
		"--empty-zone",
		"--max-unavailable", "3",
		"--within", "4s",
		"--operation", "halfway")
	eventually(t, "n1 applies the drain", func() bool { return len(cluster.appliedAt(t, 0, "halfway")) == 1 })
	cluster.killAgent()
	applied := cluster.appliedAt(t, 0, "halfway")[0]
	eventually(t, "the drain grace has passed", func() bool { return cluster.clock.Now() > applied+2*time.Second })
	if last, _ := cluster.lastNewRequest(0); last > applied+drainGrace {
		t.Errorf("n1 sent a new request %v after it applied the drain, while no agent ran; want at most 401 ms", last-applied)
	}
	if n := len(cluster.appliedAt(t, 2, "halfway")); n != 0 {
		t.Fatal("test is inconclusive: all nodes had applied the drain before the agent was killed")
	}
	_, before := cluster.lastNewRequest(2)
	eventually(t, "n3 receives more than ten further requests", func() bool {
		_, n := cluster.lastNewRequest(2)
		return n > before+10
	})
	cluster.startAgent(t)
	eventually(t, "the agent completes the operation", func() bool {
		status, out, _ := cluster.runCommand(t, "operations", "show", "halfway", "--json")
		var operation struct{ State string }
		return status == 0 && json.Unmarshal([]byte(out), &operation) == nil && operation.State == "done"
	})
	for i := range clusterSize {
		if n := len(cluster.appliedAt(t, i, "halfway")); n != 1 {
			t.Errorf("n%d applied the command %d times, want once", i+1, n)
		}
	}
}

// The agent's commands must report their outcome by the exit status and the output: 0 for success, 1 for a failure, 2
// for bad arguments, and 6 for a drain that would make more instances unavailable than its limits allow. A host drain
// and its end must take effect at the node.
func TestAgentCommands_HostsAndOperations_ReportOutcome(t *testing.T) {
	t.Parallel()
	cluster := newAgentCluster(t)
	// A host override takes precedence over the endpoint list. This override drains the only host of n2.
	cluster.mustRun(t, "hosts", "drain", "h2", "--wait", "--operation", "word")
	eventually(t, "n2 sends nothing to h2", func() bool {
		return strings.HasPrefix(cluster.nodes[1].openRequest(t, "").expectLine(""), "BUSY")
	})
	cluster.nodes[0].openRequest(t, "").expectLine("UP ")
	cluster.mustRun(t, "hosts", "resume", "h2", "--wait")
	eventually(t, "n2 sends requests to h2 again", func() bool {
		return strings.HasPrefix(cluster.nodes[1].openRequest(t, "").expectLine(""), "UP")
	})
	for _, test := range []struct {
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
		status, stdout, stderr := cluster.runCommand(t, strings.Fields(test.args)...)
		if status != test.status || !strings.Contains(stdout+stderr, test.want) {
			t.Errorf("%s: exit status %d, stdout %q, stderr %q; want status %d and output %q",
				test.args, status, stdout, stderr, test.status, test.want)
		}
	}
	status, _, stderr := runProgram(t, "instances", "list", "--agent", cluster.path("nobody"))
	if status != 1 || !strings.Contains(stderr, "no agent answers") {
		t.Errorf("no agent running: exit status %d, stderr %q; want status 1 and \"no agent answers\"", status, stderr)
	}
}

// A draining node rejects new requests. A mid-flow request, which reopens a connection that was established earlier,
// must still reach its host, even after the drain grace.
func TestAgentDrain_MidFlowRequest_ReachesItsHost(t *testing.T) {
	t.Parallel()
	cluster := newAgentCluster(t)
	cluster.mustRun(t, "instances", "drain", "n1", "--wait", "--operation", "mid")
	applied := cluster.appliedAt(t, 0, "mid")[0]
	eventually(t, "the drain grace has passed", func() bool { return cluster.clock.Now() > applied+2*drainGrace })
	cluster.nodes[0].openRequest(t, "").expectLine("BUSY ")
	_, before := cluster.lastNewRequest(0)
	cluster.nodes[0].openRequest(t, ",mid=1")
	eventually(t, "the host receives the request", func() bool {
		_, n := cluster.lastNewRequest(0)
		return n == before+1
	})
}
