package control

import (
	"context"
	"errors"
	"flag"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
)

// A fixed seed makes test runs reproducible; the flag -rapid.seed sets another.
func init() { _ = flag.Set("rapid.seed", "1") }

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeInstance is an Instance that records the applied commands.
type fakeInstance struct {
	applyErr error
	mu       sync.Mutex
	applied  []Command
	gate     chan struct{} // Apply receives from it before it applies a command; nil for no wait
}

func (f *fakeInstance) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Status{Name: "n1", State: Serving, Established: int64(len(f.applied))}
}

func (f *fakeInstance) Apply(c Command) error {
	if f.gate != nil {
		<-f.gate
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.applyErr != nil {
		return f.applyErr
	}
	f.applied = append(f.applied, c)
	return nil
}

func (f *fakeInstance) appliedCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.applied)
}

// isRemoteError reports whether err is a RemoteError with an HTTP status.
func isRemoteError(err error, code int) bool {
	var remote *RemoteError
	return errors.As(err, &remote) && remote.Code == code
}

// startServer runs a server for an instance on a Unix socket until the test ends.
func startServer(t *testing.T, f Instance) (path string, c *Client) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "s")
	l, err := ListenUnix(path, minConns)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- NewServer(f, "boot", minConns, zap.NewNop()).Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	c, err = Dial("unix:"+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return path, c
}

// A command that is repeated, concurrently or later, is applied once and gets the same response each time.
func TestServer_RepeatedCommand_AppliedOnce(t *testing.T) {
	f := &fakeInstance{}
	_, c := startServer(t, f)
	cmd := Command{Operation: "o", Fence: 1, Kind: Drain, DrainTimeout: time.Second}
	var wg sync.WaitGroup
	responses := make(chan Response, 20)
	for range 20 {
		wg.Go(func() {
			response, err := c.Do(t.Context(), cmd)
			if err != nil {
				t.Error(err)
			}
			responses <- response
		})
	}
	wg.Wait()
	close(responses)
	for response := range responses {
		if response != (Response{Verdict: Done, Fence: 1, Incarnation: "boot"}) {
			t.Errorf("response to a repeated command: %+v, want done with fence 1 of incarnation boot", response)
		}
	}
	if f.appliedCount() != 1 {
		t.Errorf("the command was applied %d times, want 1", f.appliedCount())
	}
	if response, err := c.Do(t.Context(), Command{Operation: "p", Fence: 9, Kind: Resume}); err != nil || response.Verdict != Done {
		t.Errorf("command with a higher fence: %+v, error %v, want done", response, err)
	}
	if response, err := c.Do(t.Context(), Command{Operation: "q", Fence: 3, Kind: Drain}); err != nil || response.Verdict != Rejected || response.Fence != 9 {
		t.Errorf("command with a lower fence: %+v, error %v, want a rejection with fence 9", response, err)
	}
	if response, err := c.Do(t.Context(), cmd); err != nil || response.Verdict != Done || f.appliedCount() != 2 {
		t.Errorf("repeated first command: %+v, error %v, %d commands applied; want done and 2 commands", response, err, f.appliedCount())
	}
	_, err := c.Do(t.Context(), Command{Operation: "o", Fence: 1, Kind: Resume})
	if !isRemoteError(err, http.StatusConflict) {
		t.Errorf("the same operation with other contents: %v, want status 409", err)
	}
	if s, err := c.Status(t.Context()); err != nil || s.Operation != "p" || s.Fence != 9 || s.Incarnation != "boot" {
		t.Errorf("Status: %+v, error %v, want operation p with fence 9 of incarnation boot", s, err)
	}
}

// Requests that are too large, incomplete, slow or malformed end with an error and do not delay other requests.
func TestServer_MalformedRequest_RespondsWithError(t *testing.T) {
	f := &fakeInstance{}
	path, c := startServer(t, f)
	head := "POST /v1/command HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: "
	for name, text := range map[string]string{
		"body too large":          head + "99999999\r\n\r\n{\"operation\":\"" + strings.Repeat("x", 200_000),
		"incomplete body":         head + "100\r\n\r\n{\"operation\":",
		"not JSON":                head + "5\r\n\r\nhello",
		"two values":              head + "4\r\n\r\n{}{}",
		"unknown field":           head + "9\r\n\r\n{\"x\":123}",
		"incomplete request line": "POST /v1/comm",
		"not HTTP":                "\x16\x03\x01\x02\x00",
		"path too long":           "GET /" + strings.Repeat("y", 40_000) + " HTTP/1.1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, err := net.Dial("unix", path)
			if err != nil {
				t.Fatal(err)
			}
			defer p.Close()
			_ = p.SetDeadline(time.Now().Add(20 * time.Second))
			_, _ = io.WriteString(p, text)
			got, err := io.ReadAll(p)
			var late net.Error
			if errors.As(err, &late) && late.Timeout() {
				t.Error("the server has not closed the connection within 20 s")
			}
			if len(got) > 0 && !strings.HasPrefix(string(got), "HTTP/1.1 4") {
				t.Errorf("response %.60q, want an HTTP status 4xx", got)
			}
		})
		if s, err := c.Status(t.Context()); err != nil || s.Name != "n1" {
			t.Errorf("Status during a malformed request: %+v, error %v, want name n1", s, err)
		}
	}
	if f.appliedCount() != 0 {
		t.Error("the instance applied a malformed command")
	}
}

// A watcher of the status gets a line at once, and another line after a command has changed the status.
func TestWatch_StatusChanges_StreamsLine(t *testing.T) {
	f := &fakeInstance{}
	_, c := startServer(t, f)
	n := 0
	err := c.Stream(t.Context(), "/v1/watch", func(line []byte) bool {
		n++
		if n == 1 {
			if _, err := c.Do(t.Context(), Command{Operation: "o", Fence: 1, Kind: Drain}); err != nil {
				t.Error(err)
			}
			return true
		}
		return !strings.Contains(string(line), `"operation":"o"`)
	})
	if err != nil || n < 2 {
		t.Errorf("the stream had %d lines, error %v, want at least 2 lines", n, err)
	}
}

// ListenUnix replaces only a socket on which no process listens any more. It must not take the socket of a running
// process, nor replace a file that is not a socket. The socket is open to its owner only.
func TestListenUnix_PathInUse_Fails(t *testing.T) {
	path, _ := startServer(t, &fakeInstance{})
	if l, err := ListenUnix(path, minConns); err == nil {
		_ = l.Close()
		t.Error("a second server listens on the same socket")
	}
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ListenUnix(file, minConns); err == nil {
		t.Error("ListenUnix replaced a regular file with a socket")
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("socket mode %v, error %v, want 0600", info.Mode(), err)
	}
}

// A manual command keeps the fence in effect, so that later commands with fences are neither rejected nor in conflict.
// The server forgets a command that the instance fails to apply, with or without a fence.
func TestApplyManual_BesideFencedCommands_KeepsFence(t *testing.T) {
	f := &fakeInstance{}
	s := NewServer(f, "boot", minConns, zap.NewNop())
	apply := func(op string, fence uint64, kind CommandKind, verdict Verdict) {
		t.Helper()
		if response, err := s.Apply(Command{Operation: op, Fence: fence, Kind: kind}); err != nil || response.Verdict != verdict {
			t.Errorf("operation %s: unexpected response %+v, error %v", op, response, err)
		}
	}
	apply("first", 5, Drain, Done)
	if err := s.ApplyManual(Command{Kind: Resume}); err != nil || f.appliedCount() != 2 {
		t.Errorf("manual command: error %v, %d commands applied, want no error and 2", err, f.appliedCount())
	}
	apply("older", 4, Drain, Rejected)
	apply("first", 5, Drain, Done) // a repeated command, which is not applied again
	apply("next", 6, Drain, Done)
	if f.appliedCount() != 3 {
		t.Errorf("%d commands were applied, want 3", f.appliedCount())
	}
	f.applyErr = errors.New("timed out")
	if err := s.ApplyManual(Command{Kind: Resume}); !errors.Is(err, f.applyErr) {
		t.Errorf("manual command that fails: error %v, want that of the instance", err)
	}
	if _, err := s.Apply(Command{Operation: "last", Fence: 7, Kind: Resume}); !errors.Is(err, f.applyErr) {
		t.Errorf("command with a fence that fails: error %v, want that of the instance", err)
	}
	if operation, fence := s.register.Current(); operation != "next" || fence != 6 {
		t.Errorf("operation %s with fence %d is in effect, want next with 6", operation, fence)
	}
	if keys, responses := len(s.register.responseOrder), len(s.register.responses); keys != responses {
		t.Errorf("the register has %d keys in order for %d responses, want equal numbers", keys, responses)
	}
	f.applyErr = nil
	apply("last", 7, Resume, Done)
	if err := s.ApplyManual(Command{Kind: "reboot"}); err == nil || f.appliedCount() != 4 {
		t.Errorf("command of unknown kind: error %v, %d commands applied, want an error and 4", err, f.appliedCount())
	}
}
