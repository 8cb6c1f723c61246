package main

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"onyxstream/internal/faultinject"
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

// A node whose listening socket can't be had for a moment starts a moment later. It ended.
func TestStartup_SocketFailsBriefly_NodeStarts(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	all := endpointListJSON(1, true, host.endpoint("SERVING"))
	discovery := newFakeDiscovery(t, all)
	options := nodeOptions{mode: "pass", initialList: all, managementAddr: freeAddr(t), faults: &faultinject.Options{Calls: []faultinject.Call{faultinject.Socket},
		Rules: []faultinject.Rule{{Call: faultinject.Socket, Share: 1, Errors: []unix.Errno{unix.ENFILE, unix.ENOBUFS, unix.ENOMEM}}}}}
	addr := freeAddr(t)
	node := startProcessWith(t, writeConfig(t, addr, discovery.addr, options), options)
	node.addr = addr
	time.Sleep(300 * time.Millisecond)
	node.faults.Fail()
	eventually(t, "the node serves", func() bool {
		select {
		case err := <-node.exited:
			t.Fatalf("the node ended: %v", err)
		default:
		}
		answer, _ := node.request(nextID())
		return answer == "UP"
	})
}
