package management

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
)

// fakeNode implements Operations and records the executed operations.
type fakeNode struct {
	mu       sync.Mutex
	executed []string
	gate     chan struct{} // operations wait until it is closed; nil for no wait
	err      error         // result of the operations
}

func (f *fakeNode) record(operation string) error {
	if f.gate != nil {
		<-f.gate
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.executed = append(f.executed, operation)
	return f.err
}

func (f *fakeNode) calls() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return strings.Join(f.executed, ",")
}

func (f *fakeNode) Ready() error { return f.err }
func (f *fakeNode) Stats() Stats {
	return Stats{FinalAnswers: []FinalAnswers{{Class: "chat", Success: 7}}}
}
func (f *fakeNode) DrainHost(id string) error  { return f.record("drain-host " + id) }
func (f *fakeNode) ResumeHost(id string) error { return f.record("resume-host " + id) }
func (f *fakeNode) Drain() error               { return f.record("drain") }
func (f *fakeNode) Resume() error              { return f.record("resume") }

// serve starts a server that runs until the test ends, and returns its address.
func serve(t *testing.T, f *fakeNode) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- NewServer(f, zap.NewNop()).Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return l.Addr().String()
}

// dial connects to a server. Reads and writes on the connection fail after 20 s.
func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

// call makes a management call and returns the complete reply.
func call(t *testing.T, addr, text string) string {
	t.Helper()
	c := dial(t, addr)
	_, _ = io.WriteString(c, text)
	all, err := io.ReadAll(c)
	if err != nil {
		t.Errorf("call %.40q: read error %v after the reply %q, want a closed connection", text, err, all)
	}
	return string(all)
}

// Only the first line of a connection is a call. A caller that sends an invalid or too long line, or more than one line,
// still gets a complete reply, not a reset. The error of a failed call can't add a line to the reply.
func TestServer_Calls_ExecutesAndReplies(t *testing.T) {
	f := &fakeNode{}
	addr := serve(t, f)
	for _, c := range []struct{ call, wantPrefix string }{
		{"ready\r\n", "YES\r\n"}, {"ready\n", "YES\r\n"},
		{"show-stat\r\n", "YES\r\nsvc.replies.chat.success=7\r\n"},
		{"disable-server h1\r\n", "YES\r\n"}, {"enable-server h1\r\n", "YES\r\n"}, {"drain\r\n", "YES\r\n"}, {"resume\r\n", "YES\r\n"},
		{"\r\n", "NO "}, {"stop\r\n", "NO "}, {"\x01\x02\n", "NO "},
		{strings.Repeat("x", maxLineBytes), "NO "}, {strings.Repeat("x", 3*maxLineBytes) + "\n", "NO "}, // longer than the buffer
		{"drain\r\nresume\r\n", "YES\r\n"}, // only the first line is a call
	} {
		if got := call(t, addr, c.call); !strings.HasPrefix(got, c.wantPrefix) {
			t.Errorf("call %.40q: unexpected reply %q", c.call, got)
		}
	}
	if got := f.calls(); got != "drain-host h1,resume-host h1,drain,resume,drain" {
		t.Errorf("executed operations: %s, want drain-host h1,resume-host h1,drain,resume,drain", got)
	}
	f.mu.Lock()
	f.err = errors.New("no host\r\nYES")
	f.mu.Unlock()
	if got := call(t, addr, "disable-server x\r\n"); got != "NO no host  YES\r\n" {
		t.Errorf("reply to a failed call: %q, want one line", got)
	}
}

// A line without a line end may be incomplete: it must not be executed.
func TestServer_LineWithoutEnd_RepliesNo(t *testing.T) {
	f := &fakeNode{}
	c := dial(t, serve(t, f))
	_, _ = io.WriteString(c, "drai")
	_ = c.(*net.TCPConn).CloseWrite()
	if all, _ := io.ReadAll(c); !strings.HasPrefix(string(all), "NO ") || f.calls() != "" {
		t.Errorf("reply %q, executed operations %q, want NO and none", all, f.calls())
	}
}

// New callers evict idle callers, but not those whose call is being executed.
func TestServer_TooManyIdleCallers_EvictsOldest(t *testing.T) {
	f := &fakeNode{gate: make(chan struct{})}
	addr := serve(t, f)
	executing := dial(t, addr)
	_, _ = io.WriteString(executing, "drain\r\n")
	for range 4 * MaxCallers {
		_, _ = io.WriteString(dial(t, addr), "re")
	}
	if got := call(t, addr, "show-stat\r\n"); !strings.HasSuffix(got, "END\r\n") {
		t.Errorf("reply while idle callers are connected: %q, want one that ends with END", got)
	}
	close(f.gate)
	if line, err := bufio.NewReader(executing).ReadString('\n'); line != "YES\r\n" {
		t.Errorf("reply to the call that was being executed: %q, error %v, want YES", line, err)
	}
}

// When its context ends, Serve disconnects idle callers and leaves no goroutine behind.
func TestServe_ContextEnds_ClosesAll(t *testing.T) {
	before := goleak.IgnoreCurrent()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- NewServer(&fakeNode{}, zap.NewNop()).Serve(ctx, l) }()
	idle := dial(t, l.Addr().String())
	call(t, l.Addr().String(), "ready\r\n")
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
	if _, err := idle.Read(make([]byte, 1)); err == nil {
		t.Error("the idle caller is still connected")
	}
	if err := goleak.Find(before); err != nil {
		t.Error(err)
	}
}
