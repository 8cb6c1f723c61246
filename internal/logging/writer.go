// Package logging writes a log without blocking its callers. Lines go to a bounded queue, from which one goroutine
// writes them. If the log's pipe or file system hangs and the queue is full, lines are dropped and counted.
package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	maxQueuedBytes   = 256 << 10 // lines beyond this limit are dropped
	syncTimeout      = 100 * time.Millisecond
	syncPollInterval = time.Millisecond
)

// Writer is a zapcore.WriteSyncer whose Write never blocks on the underlying writer. Its methods may be called from any
// goroutine.
type Writer struct {
	out  io.Writer
	wake chan struct{} // wakes the goroutine that writes to out

	// mu guards the fields below.
	mu      sync.Mutex
	queued  []byte // lines that have not been passed to out yet
	writing bool   // the goroutine is writing lines to out
	dropped int    // number of dropped lines that have not been reported in the log yet
}

// New returns a Writer to out and starts its goroutine, which runs until the process ends.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1)}
	go w.run()
	return w
}

// Write queues a line, or drops it if the queue is full. It never fails and never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	w.enqueue(line)
	select {
	case w.wake <- struct{}{}:
	default: // the goroutine has been woken already
	}
	return len(line), nil
}

func (w *Writer) enqueue(line []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queued)+len(line) > maxQueuedBytes {
		w.dropped++
		return
	}
	w.queued = append(w.queued, line...)
}

// Sync waits until all queued lines are written. It returns an error after syncTimeout (100 ms), because a log that
// can't be written must not delay the end of the process.
func (w *Writer) Sync() error {
	for deadline := time.Now().Add(syncTimeout); time.Now().Before(deadline); time.Sleep(syncPollInterval) {
		if w.idle() {
			return nil
		}
	}
	return fmt.Errorf("log not written within %v", syncTimeout)
}

func (w *Writer) idle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.writing && len(w.queued) == 0
}

// run writes the queued lines. The lines of a failed write are lost, but later writes may succeed.
func (w *Writer) run() {
	for range w.wake {
		for {
			lines, dropped := w.dequeue()
			if len(lines) == 0 {
				break
			}
			_, err := w.out.Write(lines)
			if err == nil && dropped > 0 {
				_, err = fmt.Fprintf(w.out, "%d log lines dropped: the log could not be written\n", dropped)
			}
			w.finishWrite(dropped, err)
		}
	}
}

// dequeue removes all lines from the queue and returns them. It also returns how many dropped lines have not been
// reported yet.
func (w *Writer) dequeue() (lines []byte, dropped int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lines = w.queued
	w.queued = nil
	w.writing = len(lines) > 0
	return lines, w.dropped
}

// finishWrite records the end of a write. If the write succeeded, the dropped lines that it reported are no longer
// counted.
func (w *Writer) finishWrite(reported int, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		w.dropped -= reported
	}
	w.writing = false
}
