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

// servedAndEnds has clients come to a node, then tells it to end, and wants each answered and the end in time.
func (p *running) servedAndEnds(t *testing.T, clients int) {
	t.Helper()
	for range clients {
		p.open(t, "").hears("UP ")
	}
	p.signal(t)
	p.ended(t)
}

// A log that nobody reads must not hold up the node: a write to a full pipe blocked whoever had a line to write, the loop
// that decides for all clients among them.
func TestLog_ReaderStands_RequestsAreAnswered(t *testing.T) {
	t.Parallel()
	h := newHost(t, "h1")
	reg := newRegistry(t, list(1, true, h.member("SERVING")))
	_, write := logPipe(t)
	p := start(t, options{known: list(1, true, h.member("SERVING")), stderr: write, env: []string{"PROXY_DEBUG=1"}}, reg.addr)
	p.servedAndEnds(t, 60)
}

// A log whose reader is gone must not end the node: the first line behind that raised SIGPIPE, and all clients were lost.
func TestLog_ReaderGone_NodeGoesOn(t *testing.T) {
	t.Parallel()
	h := newHost(t, "h1")
	reg := newRegistry(t, list(1, true, h.member("SERVING")))
	read, write := logPipe(t)
	p := start(t, options{known: list(1, true, h.member("SERVING")), stderr: write, env: []string{"PROXY_DEBUG=1"}}, reg.addr)
	_, _ = read.Close(), write.Close()
	p.servedAndEnds(t, 10)
}
