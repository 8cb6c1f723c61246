package cli

import (
	"io"
	"testing"
	"time"
)

// blockedWriter is a writer whose writes block, as on a full pipe that nobody reads, until released is closed.
type blockedWriter struct{ released chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.released
	return len(p), nil
}

// A failed command must exit even if nobody reads its standard error. A process that keeps running would look healthy.
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
		t.Error("Main did not return within 10 s")
	}
}
