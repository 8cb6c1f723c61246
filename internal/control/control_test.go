package control

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"pgregory.net/rapid"
)

// The same verdict every time: other draws are had by -rapid.seed.
func init() { _ = flag.Set("rapid.seed", "1") }

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Commands in any order and any number: effects have rising fences, the same command has the same answer, an older one
// is refused.
func TestRegisterTakesEachCommandOnceAndNeverAnOlderOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRegister("b")
		first := map[string]Answer{}
		took := map[string]uint64{}
		for range rapid.IntRange(1, 60).Draw(t, "n") {
			fence := rapid.Uint64Range(1, 12).Draw(t, "fence")
			c := Command{Operation: fmt.Sprint("o", fence), Fence: fence, Kind: []string{Drain, Resume}[fence%2]}
			if rapid.Bool().Draw(t, "host") {
				c.Kind, c.Host = HostDrain, "h"
			}
			a, act, err := r.Take(c)
			if err != nil {
				t.Fatal(err)
			}
			id := c.Operation + c.Host
			was, again := first[id]
			switch {
			case again && (a != was || act):
				t.Fatalf("%+v again: %+v, act %v; was %+v", c, a, act, was)
			case !again && (a.Verdict == Done) != (fence > took[c.Host]):
				t.Fatalf("%+v after %d: %+v", c, took[c.Host], a)
			case act && a.Verdict != Done:
				t.Fatalf("%+v is refused and takes effect", c)
			}
			first[id] = a
			if a.Verdict == Done && !again {
				took[c.Host] = fence
			}
		}
	})
}

func TestRegisterRefusesWhatCanNotBeMeant(t *testing.T) {
	r := NewRegister("b")
	good := Command{Operation: "o", Fence: 5, Kind: Drain, DrainTimeout: time.Second}
	if _, act, err := r.Take(good); err != nil || !act {
		t.Fatal(err)
	}
	for _, c := range []struct {
		c    Command
		want string
	}{
		{Command{Operation: "o", Fence: 5, Kind: Resume}, "other contents"}, {Command{Operation: "p", Fence: 5, Kind: Drain}, "fence"},
		{Command{Fence: 6, Kind: Drain}, "operation"}, {Command{Operation: "p", Kind: Drain}, "fence"}, {Command{Operation: "p", Fence: 6, Kind: "x"}, "kind"},
		{Command{Operation: "p", Fence: 6, Kind: HostDrain}, "host"}, {Command{Operation: "p", Fence: 6, Kind: Drain, DrainTimeout: -1}, "within"},
		{Command{Operation: strings.Repeat("p", 200), Fence: 6, Kind: Drain}, "operation"},
	} {
		if _, act, err := r.Take(c.c); act || err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%+v: act %v, error %v, want %s", c.c, act, err, c.want)
		}
	}
	for i := range 3 * mostAnswers {
		if _, _, err := r.Take(Command{Operation: fmt.Sprint(i), Fence: uint64(i + 10), Kind: Drain}); err != nil {
			t.Fatal(err)
		}
	}
	for i := range mostScopes + 5 {
		if _, _, err := r.Take(Command{Operation: fmt.Sprint("h", i), Fence: 1, Kind: HostDrain, Host: fmt.Sprint(i)}); i > mostScopes && err == nil {
			t.Fatal("words on any number of hosts are held")
		}
	}
	if len(r.answers) > mostAnswers || len(r.scopes) > mostScopes {
		t.Errorf("%d answers and %d scopes are held", len(r.answers), len(r.scopes))
	}
}

// fake is an instance that counts.
type fake struct {
	fails error
	mu    sync.Mutex
	did   []Command
	wait  chan struct{} // Do waits for it; nil for none
}

func (f *fake) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Status{Name: "n1", State: Serving, Established: int64(len(f.did))}
}

func (f *fake) Apply(c Command) error {
	if f.wait != nil {
		<-f.wait
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fails != nil {
		return f.fails
	}
	f.did = append(f.did, c)
	return nil
}

func (f *fake) done() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.did)
}

// served runs a server on a Unix socket.
func served(t *testing.T, f *fake) (path string, c *Client) {
	t.Helper()
	return servedBy(t, f)
}

func servedBy(t *testing.T, f Instance) (path string, c *Client) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "s")
	l, err := ListenUnix(path, leastConns)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- NewServer(f, "boot", leastConns, zap.NewNop()).Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	if c, err = Dial("unix:"+path, nil); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return path, c
}

// A command from many at once, and again, takes effect once, and all are told the same.
func TestACommandTwiceAndAtOnceTakesEffectOnce(t *testing.T) {
	f := &fake{}
	_, c := served(t, f)
	cmd := Command{Operation: "o", Fence: 1, Kind: Drain, DrainTimeout: time.Second}
	var wg sync.WaitGroup
	answers := make(chan Answer, 20)
	for range 20 {
		wg.Go(func() {
			a, err := c.Do(t.Context(), cmd)
			if err != nil {
				t.Error(err)
			}
			answers <- a
		})
	}
	wg.Wait()
	close(answers)
	for a := range answers {
		if a != (Answer{Verdict: Done, Fence: 1, Boot: "boot"}) {
			t.Errorf("answered %+v", a)
		}
	}
	if f.done() != 1 {
		t.Errorf("it took effect %d times", f.done())
	}
	if a, err := c.Do(t.Context(), Command{Operation: "p", Fence: 9, Kind: Resume}); err != nil || a.Verdict != Done {
		t.Errorf("a newer one: %+v, %v", a, err)
	}
	if a, err := c.Do(t.Context(), Command{Operation: "q", Fence: 3, Kind: Drain}); err != nil || a.Verdict != Rejected || a.Fence != 9 {
		t.Errorf("an older one: %+v, %v", a, err)
	}
	if a, err := c.Do(t.Context(), cmd); err != nil || a.Verdict != Done || f.done() != 2 {
		t.Errorf("the first again: %+v, %v; %d effects", a, err, f.done())
	}
	var remote *RemoteError
	if _, err := c.Do(t.Context(), Command{Operation: "o", Fence: 1, Kind: Resume}); !errors.As(err, &remote) || remote.Code != 409 {
		t.Errorf("the same operation with other contents: %v", err)
	}
	if s, err := c.Status(t.Context()); err != nil || s.Operation != "p" || s.Fence != 9 || s.Boot != "boot" {
		t.Errorf("status %+v, error %v", s, err)
	}
}

// Bodies that are huge, half, slow, or not what they say end with an error, and hold up nobody.
func TestBadPeersGetAnErrorAndHoldUpNobody(t *testing.T) {
	f := &fake{}
	path, c := served(t, f)
	head := "POST /v1/command HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: "
	for name, text := range map[string]string{
		"huge":     head + "99999999\r\n\r\n{\"operation\":\"" + strings.Repeat("x", 200_000),
		"half":     head + "100\r\n\r\n{\"operation\":",
		"no json":  head + "5\r\n\r\nhello",
		"two":      head + "4\r\n\r\n{}{}",
		"unknown":  head + "9\r\n\r\n{\"x\":123}",
		"trickle":  "POST /v1/comm",
		"nonsense": "\x16\x03\x01\x02\x00",
		"long":     "GET /" + strings.Repeat("y", 40_000) + " HTTP/1.1\r\n\r\n",
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
				t.Error("it is kept for ever")
			}
			if len(got) > 0 && !strings.HasPrefix(string(got), "HTTP/1.1 4") {
				t.Errorf("answered %.60q", got)
			}
		})
		if s, err := c.Status(t.Context()); err != nil || s.Name != "n1" {
			t.Errorf("beside it: %+v, %v", s, err)
		}
	}
	if f.done() != 0 {
		t.Error("something took effect")
	}
}

func TestWatchTellsEachChange(t *testing.T) {
	f := &fake{}
	_, c := served(t, f)
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
		t.Errorf("%d lines, error %v", n, err)
	}
}

func TestASocketOfOneThatRunsIsNotTakenOver(t *testing.T) {
	path, _ := served(t, &fake{})
	if l, err := ListenUnix(path, leastConns); err == nil {
		_ = l.Close()
		t.Error("two listen on one socket")
	}
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ListenUnix(file, leastConns); err == nil {
		t.Error("a file was taken for a socket")
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("the socket has mode %v, error %v", info.Mode(), err)
	}
}

// An order given by hand holds for the moment: it neither refuses nor contradicts whoever orders by numbers. One that
// the instance does not take in is as if it had not been given, by hand or by number.
func TestOrdersByHandBesideNumbers(t *testing.T) {
	f := &fake{}
	s := NewServer(f, "boot", leastConns, zap.NewNop())
	give := func(op string, fence uint64, kind, verdict string) {
		t.Helper()
		if a, err := s.Apply(Command{Operation: op, Fence: fence, Kind: kind}); err != nil || a.Verdict != verdict {
			t.Errorf("%s: %+v, %v", op, a, err)
		}
	}
	give("first", 5, Drain, Done)
	if err := s.ApplyManual(Command{Kind: Resume}); err != nil || f.done() != 2 {
		t.Errorf("by hand: %v, %d done", err, f.done())
	}
	give("older", 4, Drain, Rejected)
	give("first", 5, Drain, Done) // known, and not done again
	give("next", 6, Drain, Done)
	if f.done() != 3 {
		t.Errorf("%d were done", f.done())
	}
	f.fails = errors.New("held up")
	if err := s.ApplyManual(Command{Kind: Resume}); !errors.Is(err, f.fails) {
		t.Errorf("by hand: %v", err)
	}
	if _, err := s.Apply(Command{Operation: "last", Fence: 7, Kind: Resume}); !errors.Is(err, f.fails) {
		t.Errorf("by number: %v", err)
	}
	if op, fence := s.register.Holds(); op != "next" || fence != 6 || len(s.register.order) != len(s.register.answers) {
		t.Errorf("%s with %d holds, %d places for %d answers", op, fence, len(s.register.order), len(s.register.answers))
	}
	f.fails = nil
	give("last", 7, Resume, Done)
	if err := s.ApplyManual(Command{Kind: "reboot"}); err == nil || f.done() != 4 {
		t.Errorf("nonsense: %v, %d done", err, f.done())
	}
}
