package cli

import (
	"io"
	"testing"
	"time"
)

// stuck is a standard error that nobody reads.
type stuck struct{ released chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.released
	return len(p), nil
}

// A command that failed ends though nobody reads why: a process that stays for that looks as if it served.
func TestMain_StandardErrorStands_Ends(t *testing.T) {
	errs := stuck{make(chan struct{})}
	defer close(errs.released)
	ended := make(chan int, 1)
	go func() { ended <- Main([]string{"config", "migrate"}, io.Discard, errs) }()
	select {
	case code := <-ended:
		if code != ExitUsage {
			t.Errorf("exit status %d, want %d", code, ExitUsage)
		}
	case <-time.After(10 * time.Second):
		t.Error("it does not end")
	}
}
