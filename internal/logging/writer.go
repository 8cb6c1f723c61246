// Package logging writes a log without holding up who logs. Lines go to a bounded queue, and one goroutine writes them:
// a pipe that nobody reads, or a file system that hangs, costs lines of the log and nothing else.
package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxQueued bounds the bytes that wait to be written. Lines that come beyond that are dropped, and counted.
	maxQueued = 256 << 10
	// syncWithin bounds how long Sync waits.
	syncWithin = 100 * time.Millisecond
	// syncPoll is how often Sync looks.
	syncPoll = time.Millisecond
)

// Writer is a zapcore.WriteSyncer that never waits for what it writes to. Its methods may be called by any goroutine.
type Writer struct {
	out  io.Writer
	wake chan struct{} // has room for one

	mu      sync.Mutex
	queued  []byte
	writing bool
	dropped int // lines, since the last one that was written
}

// New returns a writer to out, and starts its goroutine, which lasts as long as the process.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1)}
	go w.run()
	return w
}

// Write queues a line, or drops it where too many wait. It never fails and never waits.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.queued)+len(line) > maxQueued {
		w.dropped++
	} else {
		w.queued = append(w.queued, line...)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default: // it is awake already
	}
	return len(line), nil
}

// Sync waits until all that was queued is written, for a tenth of a second at most: a log that can't be written must not
// hold up the end of the process either.
func (w *Writer) Sync() error {
	for by := time.Now().Add(syncWithin); time.Now().Before(by); time.Sleep(syncPoll) {
		if w.idle() {
			return nil
		}
	}
	return fmt.Errorf("the log was not written within %v", syncWithin)
}

func (w *Writer) idle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.writing && len(w.queued) == 0
}

// run writes what is queued. A write that fails loses what it was to write: the next one may succeed.
func (w *Writer) run() {
	for range w.wake {
		for {
			text, dropped := w.take()
			if len(text) == 0 {
				break
			}
			_, err := w.out.Write(text)
			if err == nil && dropped > 0 {
				_, err = fmt.Fprintf(w.out, "%d lines of the log were dropped: it could not be written\n", dropped)
			}
			w.wrote(dropped, err)
		}
	}
}

// take returns what is queued, and how many lines were dropped.
func (w *Writer) take() (text []byte, dropped int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	text, w.queued = w.queued, nil
	w.writing = len(text) > 0
	return text, w.dropped
}

// wrote notes the end of a write; lines that were told to be dropped are no longer counted.
func (w *Writer) wrote(told int, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		w.dropped -= told
	}
	w.writing = false
}
