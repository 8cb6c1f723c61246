package main

import (
	"os"
	"testing"

	"golang.org/x/sys/unix"
)

// logPipe is a pipe for a node's log that holds a few lines; nobody reads it.
func logPipe(t *testing.T) (read, write *os.File) {
	t.Helper()
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = read.Close(), write.Close() })
	if _, err := unix.FcntlInt(write.Fd(), unix.F_SETPIPE_SZ, os.Getpagesize()); err != nil {
		t.Fatal(err)
	}
	return read, write
}

// serveAndShutDown has clients come to a node, then tells it to end, and wants each answered and the end in time.
func (p *nodeProcess) serveAndShutDown(t *testing.T, clients int) {
	t.Helper()
	for range clients {
		p.openRequest(t, "").expectLine("UP ")
	}
	p.terminate(t)
	p.waitForCleanExit(t)
}

// A log that nobody reads must not hold up the node: a write to a full pipe blocked whoever had a line to write, the loop
// that decides for all clients among them.
func TestLog_ReaderBlocked_RequestsAreAnswered(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	discovery := newFakeDiscovery(t, endpointListJSON(1, true, host.endpoint("SERVING")))
	_, write := logPipe(t)
	node := startNode(t, nodeOptions{initialList: endpointListJSON(1, true, host.endpoint("SERVING")), stderr: write, env: []string{"PROXY_DEBUG=1"}}, discovery.addr)
	node.serveAndShutDown(t, 60)
}

// A log whose reader is gone must not end the node: the first line behind that raised SIGPIPE, and all clients were lost.
func TestLog_ReaderGone_NodeKeepsServing(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	discovery := newFakeDiscovery(t, endpointListJSON(1, true, host.endpoint("SERVING")))
	read, write := logPipe(t)
	node := startNode(t, nodeOptions{initialList: endpointListJSON(1, true, host.endpoint("SERVING")), stderr: write, env: []string{"PROXY_DEBUG=1"}}, discovery.addr)
	_, _ = read.Close(), write.Close()
	node.serveAndShutDown(t, 10)
}
