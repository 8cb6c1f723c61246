package main

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
)

// A node that is told to stop before it has started ends like any other: it is no crash. The configuration is a pipe, so
// that the signal comes while the node reads it.
func TestShutdown_DuringStartup_ExitsCleanly(t *testing.T) {
	t.Parallel()
	discovery := newFakeDiscovery(t, endpointListJSON(1, true))
	text, err := os.ReadFile(writeConfig(t, freeAddr(t), discovery.addr, nodeOptions{mode: "pass", initialList: endpointListJSON(0, true)}))
	if err != nil {
		t.Fatal(err)
	}
	pipe := filepath.Join(t.TempDir(), "config.pipe")
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, signals := range []int{1, 2} {
		node := startProcess(t, pipe, 0)
		w, err := os.OpenFile(pipe, os.O_WRONLY, 0) // returns once the node reads
		if err != nil {
			t.Fatal(err)
		}
		for range signals {
			node.terminate(t)
		}
		if _, err := w.Write(text); err != nil {
			t.Fatal(err)
		}
		_ = w.Close()
		if err := <-node.exited; err != nil {
			t.Errorf("told to stop %d times, the node ended with %v", signals, err)
		}
	}
}
