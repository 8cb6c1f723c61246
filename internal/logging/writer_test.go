package logging

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// sink is a log file whose writes can hang or fail.
type sink struct {
	mu   sync.Mutex
	text strings.Builder
	hang chan struct{} // blocks writes until it is closed; nil for none
	err  error
}

func (s *sink) Write(p []byte) (int, error) {
	s.mu.Lock()
	hang, err := s.hang, s.err
	s.mu.Unlock()
	if hang != nil {
		<-hang
	}
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func (s *sink) setError(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
}

func (s *sink) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.String()
}

func line(i int) string {
	return fmt.Sprintf("line %d of the log, which is about as long as others are\n", i)
}

func TestWriter_SinkHangs_DropsAreReported(t *testing.T) {
	const lines = 2 * maxQueuedBytes / 50
	s := &sink{hang: make(chan struct{})}
	w := New(s)
	for i := range lines { // if a write blocked, the test would not end
		if n, err := w.Write([]byte(line(i))); n != len(line(i)) || err != nil {
			t.Fatalf("line %d: %d bytes accepted, error %v; want the whole line", i, n, err)
		}
	}
	if w.Sync() == nil {
		t.Error("Sync succeeded, but nothing was written")
	}
	close(s.hang)
	if err := w.Sync(); err != nil {
		t.Fatal(err)
	}
	text := s.String()
	if !strings.HasPrefix(text, line(0)+line(1)) {
		t.Errorf("the log begins with %q, want the first two lines", text[:100])
	}
	written := strings.Count(text, "line ")
	report := fmt.Sprintf("\n%d log lines dropped", lines-written)
	if written == lines || !strings.Contains(text, report) {
		t.Errorf("of %d lines %d were written, and the log does not contain %q", lines, written, report)
	}
	if len(text) > 2*maxQueuedBytes+200 {
		t.Errorf("the queue is not bounded: it kept %d bytes", len(text))
	}
}

func TestWriter_SinkFailsOnce_LaterLinesWritten(t *testing.T) {
	s := &sink{err: errors.New("no space left on device")}
	w := New(s)
	_, _ = w.Write([]byte(line(1)))
	if err := w.Sync(); err != nil {
		t.Fatal(err)
	}
	s.setError(nil)
	_, _ = w.Write([]byte(line(2)))
	if err := w.Sync(); err != nil || s.String() != line(2) {
		t.Errorf("wrote %q, error %v; want only the second line", s, err)
	}
}

func TestWriter_ConcurrentWrites_LinesComplete(t *testing.T) {
	const writers, lines = 8, 100
	s := &sink{}
	w := New(s)
	var running sync.WaitGroup
	for range writers {
		running.Go(func() {
			for i := range lines {
				_, _ = w.Write([]byte(line(i)))
			}
		})
	}
	running.Wait()
	if err := w.Sync(); err != nil {
		t.Fatal(err)
	}
	for i := range lines {
		if n := strings.Count(s.String(), line(i)); n != writers {
			t.Errorf("line %d was written %d times, want %d", i, n, writers)
		}
	}
}

func TestSync_SinkHangs_TimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &sink{hang: make(chan struct{})}
		w := New(s)
		start := time.Now()
		_, _ = w.Write([]byte(line(1)))
		if w.Sync() == nil || time.Since(start) > 2*syncTimeout {
			t.Errorf("Sync succeeded or took too long: %v", time.Since(start))
		}
		close(s.hang)
		synctest.Wait()
		close(w.wake) // the goroutine must not outlive the test
	})
}
