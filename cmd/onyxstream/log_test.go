package main

import (
	"os"
	"testing"

	"golang.org/x/sys/unix"
)

// logPipe returns a pipe for a node's log. Its buffer is one page, so that it fills up if the test does not read it.
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

// serveAndShutDown opens one request per client and then terminates the node. Each request must be served, and the node
// must exit with status 0.
func (p *nodeProcess) serveAndShutDown(t *testing.T, clients int) {
	t.Helper()
	p.establish(t, clients, "UP ")
	p.terminate(t)
	p.waitForCleanExit(t)
}

// A log that nobody reads must not block the node. A write to a full pipe would block every goroutine that logs,
// including the event loop.
func TestLog_ReaderBlocked_RequestsAreAnswered(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	_, write := logPipe(t)
	node, _ := startNodeWithHosts(t, nodeOptions{stderr: write, env: []string{"PROXY_DEBUG=1"}}, host)
	node.serveAndShutDown(t, 60)
}

// A log whose reader has closed its end of the pipe must not end the node. A write to such a pipe raises SIGPIPE.
func TestLog_ReaderGone_NodeKeepsServing(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	read, write := logPipe(t)
	node, _ := startNodeWithHosts(t, nodeOptions{stderr: write, env: []string{"PROXY_DEBUG=1"}}, host)
	_, _ = read.Close(), write.Close()
	node.serveAndShutDown(t, 10)
}
