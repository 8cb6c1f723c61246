package cli

import (
	"io"
	"testing"
	"time"
)

// blockedWriter is a standard error that nobody reads.
type blockedWriter struct{ released chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.released
	return len(p), nil
}

// A failed command ends even if its error can't be written: a process that stays would look healthy.
func TestMain_StderrBlocked_Returns(t *testing.T) {
	stderr := blockedWriter{make(chan struct{})}
	defer close(stderr.released)
	ended := make(chan int, 1)
	go func() { ended <- Main([]string{"config", "migrate"}, io.Discard, stderr) }()
	select {
	case code := <-ended:
		if code != ExitUsage {
			t.Errorf("exit status %d, want %d", code, ExitUsage)
		}
	case <-time.After(10 * time.Second):
		t.Error("Main does not return")
	}
}
