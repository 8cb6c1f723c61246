package main

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
)

// A node that is told to stop before it has started ends like any other: it is no crash. The configuration is a pipe, so
// that the signal comes while the node reads it.
func TestStopDuringTheStart(t *testing.T) {
	t.Parallel()
	reg := newRegistry(t, list(1, true))
	text, err := os.ReadFile(config(t, freeAddr(t), reg.addr, options{mode: "pass", known: list(0, true)}))
	if err != nil {
		t.Fatal(err)
	}
	pipe := filepath.Join(t.TempDir(), "config.pipe")
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, signals := range []int{1, 2} {
		p := launch(t, pipe, 0)
		w, err := os.OpenFile(pipe, os.O_WRONLY, 0) // returns once the node reads
		if err != nil {
			t.Fatal(err)
		}
		for range signals {
			p.signal(t)
		}
		if _, err := w.Write(text); err != nil {
			t.Fatal(err)
		}
		_ = w.Close()
		if err := <-p.done; err != nil {
			t.Errorf("told to stop %d times, the node ended with %v", signals, err)
		}
	}
}
