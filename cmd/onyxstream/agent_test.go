package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// admissionGrace is the settings' time from the word of a drain to the last new work; a log line's time is to the millisecond.
const admissionGrace = 400*time.Millisecond + time.Millisecond

// A drain across three nodes under open load: the last new work of each comes within its grace after its notice; the
// same command again has no effect; resumed, all serve again.
//
// ONYXSTREAM_DRAINS=50 repeats it and prints the spread.
func TestAgentDrain_ThreeNodesUnderLoad_StopsNewWork(t *testing.T) {
	t.Parallel()
	cluster := newAgentCluster(t)
	stopLoad := cluster.startLoad(t)
	defer stopLoad()
	runs, _ := strconv.Atoi(os.Getenv("ONYXSTREAM_DRAINS"))
	var spread []time.Duration
	for run := range max(runs, 1) {
		before := make([]int, 3)
		for i := range 3 {
			_, before[i] = cluster.lastOpened(i)
		}
		eventually(t, "all hosts get new work", func() bool {
			all := true
			for i := range 3 {
				_, n := cluster.lastOpened(i)
				all = all && n > before[i]+20
			}
			return all
		})
		operation := fmt.Sprint("drain", run)
		drain := []string{"instances", "drain", "--all", "--empty-zone", "--max-unavailable", "3", "--at-once", "3", "--within", "1s", "--wait", "--operation", operation}
		if status, out, errs := cluster.runCommand(t, drain...); status != 0 {
			t.Fatalf("exit %d: %s%s", status, out, errs)
		}
		counts := make([]int, 3)
		for i := range 3 {
			applied := cluster.appliedAt(t, i, operation)
			if len(applied) != 1 {
				t.Fatalf("n%d was told %d times", i+1, len(applied))
			}
			var last time.Duration
			last, counts[i] = cluster.lastOpened(i)
			if delay := last - applied[0]; delay > admissionGrace {
				t.Errorf("n%d sent new work %v after its notice", i+1, delay)
			} else {
				spread = append(spread, delay)
			}
		}
		// Again, while load goes on: no effect.
		if status, out, errs := cluster.runCommand(t, drain...); status != 0 {
			t.Fatalf("again: exit %d: %s%s", status, out, errs)
		}
		time.Sleep(300 * time.Millisecond)
		for i := range 3 {
			if _, n := cluster.lastOpened(i); n != counts[i] || len(cluster.appliedAt(t, i, operation)) != 1 {
				t.Errorf("n%d: the same command again had an effect", i+1)
			}
		}
		if status, _, _ := cluster.runCommand(t, "instances", "check"); status != 7 {
			t.Errorf("a check of drained instances exits with %d", status)
		}
		if status, out, errs := cluster.runCommand(t, "instances", "resume", "--all", "--at-once", "3", "--wait"); status != 0 {
			t.Fatalf("resume: exit %d: %s%s", status, out, errs)
		}
	}
	slices.Sort(spread)
	t.Logf("last new work after the notice, %d drains of a node: least %v, median %v, most %v", len(spread), spread[0], spread[len(spread)/2], spread[len(spread)-1])
}

// The agent is killed halfway through a drain. Whoever was told stops new work and stays so; the others serve. When the
// agent is back it goes on.
func TestAgentDrain_AgentKilled_ResumesOperation(t *testing.T) {
	t.Parallel()
	cluster := newAgentCluster(t)
	stopLoad := cluster.startLoad(t)
	defer stopLoad()
	for range 60 { // these stand until they are sent away, so the first drain takes its whole time
		cluster.nodes[0].openRequest(t, "").expectLine("UP ")
	}
	if status, out, errs := cluster.runCommand(t, "instances", "drain", "--all", "--empty-zone", "--max-unavailable", "3", "--within", "4s", "--operation", "halfway"); status != 0 {
		t.Fatalf("exit %d: %s%s", status, out, errs)
	}
	eventually(t, "the first is told", func() bool { return len(cluster.appliedAt(t, 0, "halfway")) == 1 })
	_ = cluster.agent.Process.Kill()
	_ = cluster.agent.Wait()
	applied := cluster.appliedAt(t, 0, "halfway")[0]
	eventually(t, "the grace has run", func() bool { return cluster.clock.Now() > applied+2*time.Second })
	if last, _ := cluster.lastOpened(0); last > applied+admissionGrace {
		t.Errorf("without an agent n1 sent new work %v after its notice", last-applied)
	}
	if n := len(cluster.appliedAt(t, 2, "halfway")); n != 0 {
		t.Fatal("all were told before the agent was killed: nothing is shown")
	}
	_, before := cluster.lastOpened(2)
	eventually(t, "the third goes on serving", func() bool { _, n := cluster.lastOpened(2); return n > before+10 })
	cluster.startAgent(t)
	eventually(t, "the agent goes on with it", func() bool {
		status, out, _ := cluster.runCommand(t, "operations", "show", "halfway", "--json")
		var operation struct{ State string }
		return status == 0 && json.Unmarshal([]byte(out), &operation) == nil && operation.State == "done"
	})
	for i := range 3 {
		if n := len(cluster.appliedAt(t, i, "halfway")); n != 1 {
			t.Errorf("n%d was told %d times", i+1, n)
		}
	}
}

func TestAgentCommands_HostsAndOperations_ReportOutcome(t *testing.T) {
	t.Parallel()
	cluster := newAgentCluster(t)
	// The only host of n2 drains by an operator's word, whatever the list says: n2 has nowhere to place anyone.
	if status, out, errs := cluster.runCommand(t, "hosts", "drain", "h2", "--wait", "--operation", "word"); status != 0 {
		t.Fatalf("exit %d: %s%s", status, out, errs)
	}
	client := cluster.nodes[1].openRequest(t, "")
	eventually(t, "n2 places nobody on h2", func() bool {
		return strings.HasPrefix(client.expectLine(""), "BUSY") || func() bool { client = cluster.nodes[1].openRequest(t, ""); return false }()
	})
	cluster.nodes[0].openRequest(t, "").expectLine("UP ")
	if status, _, errs := cluster.runCommand(t, "hosts", "resume", "h2", "--wait"); status != 0 {
		t.Fatalf("exit %d: %s", status, errs)
	}
	eventually(t, "n2 places on h2 again", func() bool { return strings.HasPrefix(cluster.nodes[1].openRequest(t, "").expectLine(""), "UP") })
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
		status, out, errs := cluster.runCommand(t, strings.Fields(c.args)...)
		if status != c.status || !strings.Contains(out+errs, c.want) {
			t.Errorf("%s: exit %d, said %q and %q, want %d and %q", c.args, status, out, errs, c.status, c.want)
		}
	}
	if status, _, errs := runProgram(t, "instances", "list", "--agent", filepath.Join(cluster.dir, "nobody")); status != 1 || !strings.Contains(errs, "no agent answers") {
		t.Errorf("without an agent: exit %d: %s", status, errs)
	}
}

// A node that drains takes nothing new, but a connection that is open already and comes mid-flow still reaches its host,
// also once the grace has run.
func TestAgentDrain_MidFlowRequest_ReachesItsHost(t *testing.T) {
	t.Parallel()
	cluster := newAgentCluster(t)
	if status, out, errs := cluster.runCommand(t, "instances", "drain", "n1", "--wait", "--operation", "mid"); status != 0 {
		t.Fatalf("exit %d: %s%s", status, out, errs)
	}
	applied := cluster.appliedAt(t, 0, "mid")[0]
	eventually(t, "the grace has run", func() bool { return cluster.clock.Now() > applied+2*admissionGrace })
	cluster.nodes[0].openRequest(t, "").expectLine("BUSY ")
	_, before := cluster.lastOpened(0)
	cluster.nodes[0].openRequest(t, ",mid=1")
	eventually(t, "the host hears of it", func() bool { _, n := cluster.lastOpened(0); return n == before+1 })
}
