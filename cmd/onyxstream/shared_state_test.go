package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
)

// While both processes are there, a word to either binds the other, and a drain too.
func TestHostOverride_TwoProcesses_Shared(t *testing.T) {
	t.Parallel()
	hostA, hostB := newFakeHost(t, "ha"), newFakeHost(t, "hb")
	options, discovery := inheritedSocketOptions(t, hostA, hostB)
	node := startNode(t, options, discovery.addr)
	successor := startSuccessor(t, options, discovery.addr)
	disabled := func(node *nodeProcess, want int) {
		t.Helper()
		eventually(t, fmt.Sprint(want, " hosts are avoided"), func() bool { return node.stats(t)["targets_disabled"] == want })
	}
	node.mustSucceed(t, "disable-server ha")
	disabled(successor, 1)
	successor.mustSucceed(t, "disable-server hb")
	disabled(node, 2)
	node.openRequest(t, "").expectLine("BUSY") // whichever takes it
	successor.mustSucceed(t, "enable-server ha")
	disabled(node, 1)
	node.mustSucceed(t, "enable-server hb")
	disabled(successor, 0)
	node.mustSucceed(t, "drain")
	node.waitForPingAnswer(t, "BUSY\r\n")
	successor.mustSucceed(t, "resume")
	node.waitForPingAnswer(t, "PONG\r\n")
}

// Where the folder can't be used the node starts and serves, says so, and words hold in the process that is told.
func TestSharedState_DirectoryUnusable_NodeServes(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "ha")
	known := endpointListJSON(1, true, host.endpoint("SERVING"))
	directory := t.TempDir()
	for name, c := range map[string]struct{ dir, says string }{"unset": {"", "TMPDIR is not set"},
		"gone": {directory + "/none", "TMPDIR can't be used"}} {
		node := startNode(t, nodeOptions{initialList: known, managementAddr: freeAddr(t), env: []string{"TMPDIR=" + c.dir}}, newFakeDiscovery(t, known).addr)
		node.waitForLog(t, c.says)
		node.mustSucceed(t, "disable-server ha")
		node.openRequest(t, "").expectLine("BUSY")
		if t.Failed() {
			t.Log(name)
		}
	}
	node := startNode(t, nodeOptions{initialList: known, managementAddr: freeAddr(t), env: []string{"TMPDIR=" + directory}}, newFakeDiscovery(t, known).addr)
	node.mustSucceed(t, "disable-server ha")
	names, err := os.ReadDir(directory)
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range names {
		if strings.HasSuffix(entry.Name(), ".words") {
			if err := os.WriteFile(directory+"/"+entry.Name(), []byte("no document"), 0o600); err != nil {
				t.Fatal(err)
			}
		}
	}
	node.waitForLog(t, "file is of an unknown format")
	node.openRequest(t, "").expectLine("BUSY") // the word holds on
	for _, entry := range names {              // nothing can be written there any more
		if strings.HasSuffix(entry.Name(), ".words") {
			_ = os.Remove(directory + "/" + entry.Name())
			if err := os.MkdirAll(directory+"/"+entry.Name()+"/full", 0o700); err != nil {
				t.Fatal(err)
			}
		}
	}
	node.mustSucceed(t, "enable-server ha")
	node.waitForLog(t, "shared state unavailable")
	eventually(t, "it is used again", func() bool {
		client := node.openRequest(t, "")
		line, _ := client.reader.ReadString('\n')
		_ = client.conn.Close()
		return strings.HasPrefix(line, "UP")
	})
	for _, entry := range names {
		if strings.HasSuffix(entry.Name(), ".words") {
			_ = os.RemoveAll(directory + "/" + entry.Name())
			if err := os.WriteFile(directory+"/"+entry.Name(), []byte("no document"), 0o600); err != nil {
				t.Fatal(err)
			}
		}
	}
	_ = node.cmd.Process.Signal(syscall.SIGKILL)
	<-node.exited
	successor := startNode(t, nodeOptions{initialList: known, managementAddr: freeAddr(t), env: []string{"TMPDIR=" + directory}}, newFakeDiscovery(t, known).addr)
	successor.waitForLog(t, "file is of an unknown format")
	successor.openRequest(t, "").expectLine("UP")
}
