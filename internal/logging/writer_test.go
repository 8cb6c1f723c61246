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

// sink is a log's file that can hang or fail.
type sink struct {
	mu    sync.Mutex
	text  strings.Builder
	hangs chan struct{} // a write waits until it is closed; nil for none
	err   error
}

func (s *sink) Write(p []byte) (int, error) {
	s.mu.Lock()
	hangs, err := s.hangs, s.err
	s.mu.Unlock()
	if hangs != nil {
		<-hangs
	}
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func (s *sink) fails(err error) {
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

func TestWriter_SinkHangs_WriteReturnsAndDropsAreTold(t *testing.T) {
	const lines = 2 * maxQueued / 50
	s := &sink{hangs: make(chan struct{})}
	w := New(s)
	for i := range lines { // none of them waits: the test would not end
		if n, err := w.Write([]byte(line(i))); n != len(line(i)) || err != nil {
			t.Fatalf("line %d: %d bytes taken, error %v", i, n, err)
		}
	}
	if w.Sync() == nil {
		t.Error("Sync tells that all is written while nothing is")
	}
	close(s.hangs)
	if err := w.Sync(); err != nil {
		t.Fatal(err)
	}
	text := s.String()
	if !strings.HasPrefix(text, line(0)+line(1)) {
		t.Errorf("the log begins with %q", text[:100])
	}
	written := strings.Count(text, "line ")
	if told := fmt.Sprintf("\n%d lines of the log were dropped", lines-written); written == lines || !strings.Contains(text, told) {
		t.Errorf("of %d lines %d were written, and the log does not say %q", lines, written, told)
	}
	if len(text) > 2*maxQueued+200 {
		t.Errorf("%d bytes were kept", len(text))
	}
}

func TestWriter_SinkFailsForAWhile_LaterLinesAreWritten(t *testing.T) {
	s := &sink{err: errors.New("no space left on device")}
	w := New(s)
	_, _ = w.Write([]byte(line(1)))
	if err := w.Sync(); err != nil {
		t.Fatal(err)
	}
	s.fails(nil)
	_, _ = w.Write([]byte(line(2)))
	if err := w.Sync(); err != nil || s.String() != line(2) {
		t.Errorf("written is %q, error %v", s, err)
	}
}

func TestWriter_ManyGoroutines_LinesStayWhole(t *testing.T) {
	const writers, lines = 8, 100
	s := &sink{}
	w := New(s)
	var all sync.WaitGroup
	for range writers {
		all.Go(func() {
			for i := range lines {
				_, _ = w.Write([]byte(line(i)))
			}
		})
	}
	all.Wait()
	if err := w.Sync(); err != nil {
		t.Fatal(err)
	}
	for i := range lines {
		if n := strings.Count(s.String(), line(i)); n != writers {
			t.Errorf("line %d was written %d times, %d wanted", i, n, writers)
		}
	}
}

func TestWriter_SyncWhileSinkHangs_Ends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &sink{hangs: make(chan struct{})}
		w := New(s)
		begin := time.Now()
		_, _ = w.Write([]byte(line(1)))
		if w.Sync() == nil || time.Since(begin) > 2*syncWithin {
			t.Errorf("it ended after %v", time.Since(begin))
		}
		close(s.hangs)
		synctest.Wait()
		close(w.wake) // the goroutine must not outlive the test
	})
}
