package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// While a node has two processes, a host override or a drain that one process receives must apply to both.
func TestHostOverride_TwoProcesses_AppliesToBoth(t *testing.T) {
	t.Parallel()
	hostA, hostB := newFakeHost(t, "ha"), newFakeHost(t, "hb")
	options, discovery := inheritedSocketOptions(t, hostA, hostB)
	node := startNode(t, options, discovery.addr)
	successor := startSuccessor(t, options, discovery.addr)
	waitForDisabledHosts := func(node *nodeProcess, want int) {
		t.Helper()
		eventually(t, fmt.Sprint(want, " hosts are disabled"), func() bool {
			return node.stats(t)["targets_disabled"] == want
		})
	}
	node.mustSucceed(t, "disable-server ha")
	waitForDisabledHosts(successor, 1)
	successor.mustSucceed(t, "disable-server hb")
	waitForDisabledHosts(node, 2)
	node.openRequest(t, "").expectLine("BUSY") // from either process
	successor.mustSucceed(t, "enable-server ha")
	waitForDisabledHosts(node, 1)
	node.mustSucceed(t, "enable-server hb")
	waitForDisabledHosts(successor, 0)
	node.mustSucceed(t, "drain")
	node.waitForPingAnswer(t, "BUSY\r\n")
	successor.mustSucceed(t, "resume")
	node.waitForPingAnswer(t, "PONG\r\n")
}

// startNodeSharing starts a node with one host and its discovery service. dir is the directory that the node's
// processes share.
func startNodeSharing(t *testing.T, dir string, host *fakeHost) *nodeProcess {
	t.Helper()
	node, _ := startNodeWithHosts(t, nodeOptions{managementAddr: freeAddr(t), env: []string{"TMPDIR=" + dir}}, host)
	return node
}

// A node without a usable shared directory must start, serve and log the reason. A host override then applies only to
// the process that receives it.
func TestSharedState_DirectoryUnusable_NodeServes(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "ha")
	for name, test := range map[string]struct{ dir, wantInLog string }{
		"unset":   {"", "TMPDIR is not set"},
		"missing": {t.TempDir() + "/none", "TMPDIR can't be used"},
	} {
		node := startNodeSharing(t, test.dir, host)
		node.waitForLog(t, test.wantInLog)
		node.mustSucceed(t, "disable-server ha")
		node.openRequest(t, "").expectLine("BUSY")
		if t.Failed() {
			t.Log(name)
		}
	}
}

// A shared directory in which a call blocks, like one of a file server that does not respond, must not delay requests.
func TestSharedState_CallBlocks_RequestsServed(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	node := startNodeSharing(t, dir, newFakeHost(t, "ha"))
	node.openRequest(t, "").expectLine("UP")
	claims, err := filepath.Glob(dir + "/*.ids")
	if err != nil || len(claims) != 1 {
		t.Fatalf("files of claimed ids: %v, error %v; want one", claims, err)
	}
	blocking := strings.TrimSuffix(claims[0], fmt.Sprintf("-%d.ids", node.cmd.Process.Pid)) + "-1.ids"
	if err := syscall.Mkfifo(blocking, 0o600); err != nil { // its open blocks until there is a writer
		t.Fatal(err)
	}
	start := time.Now()
	for range 20 {
		node.openRequest(t, "").expectLine("UP")
	}
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("20 requests took %v, want at most 2 s", took)
	}
	node.terminate(t)
	node.waitForCleanExit(t)
}

// overrideFiles returns the paths of the files in dir that hold host overrides.
func overrideFiles(t *testing.T, dir string) []string {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	var paths []string
	for _, entry := range entries {
		if strings.HasSuffix(entry.Name(), ".words") {
			paths = append(paths, dir+"/"+entry.Name())
		}
	}
	return paths
}

// corruptFiles overwrites files with text that is not a valid document.
func corruptFiles(t *testing.T, paths []string) {
	t.Helper()
	for _, path := range paths {
		if err := os.WriteFile(path, []byte("no document"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// replaceWithDirectories replaces files with non-empty directories, so that the node can neither read nor overwrite
// them.
func replaceWithDirectories(t *testing.T, paths []string) {
	t.Helper()
	for _, path := range paths {
		_ = os.Remove(path)
		if err := os.MkdirAll(path+"/full", 0o700); err != nil {
			t.Fatal(err)
		}
	}
}

// A node whose file of host overrides is corrupt or cannot be written must keep the overrides that it has received. A
// node that starts with a corrupt file must serve without overrides.
func TestSharedState_FileDamaged_NodeServes(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "ha")
	dir := t.TempDir()
	node := startNodeSharing(t, dir, host)
	node.mustSucceed(t, "disable-server ha")
	files := overrideFiles(t, dir)
	corruptFiles(t, files)
	node.waitForLog(t, "file is of an unknown format")
	node.openRequest(t, "").expectLine("BUSY") // the override still applies
	replaceWithDirectories(t, files)
	node.mustSucceed(t, "enable-server ha")
	node.waitForLog(t, "shared state unavailable")
	eventually(t, "the host is used again", func() bool {
		client := node.openRequest(t, "")
		line, _ := client.reader.ReadString('\n')
		_ = client.conn.Close()
		return strings.HasPrefix(line, "UP")
	})
	for _, path := range files {
		_ = os.RemoveAll(path)
	}
	corruptFiles(t, files)
	_ = node.cmd.Process.Signal(syscall.SIGKILL)
	<-node.exited
	successor := startNodeSharing(t, dir, host)
	successor.waitForLog(t, "file is of an unknown format")
	successor.openRequest(t, "").expectLine("UP")
}
