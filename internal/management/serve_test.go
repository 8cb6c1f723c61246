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

// fake is a node that notes what it is told.
type fake struct {
	mu   sync.Mutex
	did  []string
	hold chan struct{} // orders wait for it; nil for none
	says error
}

func (f *fake) note(what string) error {
	if f.hold != nil {
		<-f.hold
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.did = append(f.did, what)
	return f.says
}

func (f *fake) told() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return strings.Join(f.did, ",")
}

func (f *fake) Ready() error               { return f.says }
func (f *fake) Stats() Stats               { return Stats{Replies: []Replies{{Class: "chat", Success: 7}}} }
func (f *fake) DrainHost(id string) error  { return f.note("out " + id) }
func (f *fake) ResumeHost(id string) error { return f.note("back " + id) }
func (f *fake) Drain() error               { return f.note("drain") }
func (f *fake) Resume() error              { return f.note("resume") }

func serve(t *testing.T, f *fake) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan error, 1)
	go func() { over <- NewServer(f, zap.NewNop()).Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		if err := <-over; err != nil {
			t.Error(err)
		}
	})
	return l.Addr().String()
}

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

// call makes a call and returns all that is answered.
func call(t *testing.T, addr, text string) string {
	t.Helper()
	c := dial(t, addr)
	_, _ = io.WriteString(c, text)
	all, err := io.ReadAll(c)
	if err != nil {
		t.Errorf("%.40q: %v after %q", text, err, all)
	}
	return string(all)
}

func TestCallsAreCarriedOutAndAnswered(t *testing.T) {
	f := &fake{}
	addr := serve(t, f)
	for _, c := range []struct{ call, begins string }{
		{"ready\r\n", "YES\r\n"}, {"ready\n", "YES\r\n"},
		{"show-stat\r\n", "YES\r\nsvc.replies.chat.success=7\r\n"},
		{"disable-server h1\r\n", "YES\r\n"}, {"enable-server h1\r\n", "YES\r\n"}, {"drain\r\n", "YES\r\n"}, {"resume\r\n", "YES\r\n"},
		{"\r\n", "NO "}, {"stop\r\n", "NO "}, {"\x01\x02\n", "NO "},
		{strings.Repeat("x", mostLine), "NO "}, {strings.Repeat("x", 3*mostLine) + "\n", "NO "}, // more than one line's room
		{"drain\r\nresume\r\n", "YES\r\n"}, // what follows the call is no call
	} {
		if got := call(t, addr, c.call); !strings.HasPrefix(got, c.begins) {
			t.Errorf("%.40q: %q", c.call, got)
		}
	}
	if got := f.told(); got != "out h1,back h1,drain,resume,drain" {
		t.Errorf("it was told %s", got)
	}
	f.mu.Lock()
	f.says = errors.New("no host\r\nYES")
	f.mu.Unlock()
	if got := call(t, addr, "disable-server x\r\n"); got != "NO no host  YES\r\n" {
		t.Errorf("a call that is not carried out: %q", got)
	}
}

func TestHalfACallIsAnswered(t *testing.T) {
	f := &fake{}
	c := dial(t, serve(t, f))
	_, _ = io.WriteString(c, "drai")
	_ = c.(*net.TCPConn).CloseWrite()
	if all, _ := io.ReadAll(c); !strings.HasPrefix(string(all), "NO ") || f.told() != "" {
		t.Errorf("answered %q, told %q", all, f.told())
	}
}

// Callers that say nothing hold no more than their places: the next one is heard at their cost, and those whose order is
// being carried out keep theirs.
func TestSilentCallersMakeRoom(t *testing.T) {
	f := &fake{hold: make(chan struct{})}
	addr := serve(t, f)
	ordering := dial(t, addr)
	_, _ = io.WriteString(ordering, "drain\r\n")
	for range 4 * MaxCallers {
		_, _ = io.WriteString(dial(t, addr), "re")
	}
	if got := call(t, addr, "show-stat\r\n"); !strings.HasSuffix(got, "END\r\n") {
		t.Errorf("past the silent ones: %q", got)
	}
	close(f.hold)
	if line, err := bufio.NewReader(ordering).ReadString('\n'); line != "YES\r\n" {
		t.Errorf("the order under way: %q, %v", line, err)
	}
}

func TestNothingIsLeftWhenItEnds(t *testing.T) {
	before := goleak.IgnoreCurrent()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan error, 1)
	go func() { over <- NewServer(&fake{}, zap.NewNop()).Serve(ctx, l) }()
	silent := dial(t, l.Addr().String())
	call(t, l.Addr().String(), "ready\r\n")
	cancel()
	if err := <-over; err != nil {
		t.Error(err)
	}
	if _, err := silent.Read(make([]byte, 1)); err == nil {
		t.Error("a silent caller is held")
	}
	if err := goleak.Find(before); err != nil {
		t.Error(err)
	}
}
