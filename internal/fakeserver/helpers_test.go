package fakeserver

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"onyxstream/internal/fakeserver/capacity"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 20 * time.Second

type fixture struct {
	t      *testing.T
	clock  *Clock
	events *EventLog
}

func newFixture(t *testing.T) *fixture {
	c := NewClock()
	return &fixture{t, c, NewEventLog(c)}
}

func (env *fixture) host(id string, change func(*HostConfig)) *Host {
	env.t.Helper()
	cfg := HostConfig{ID: id, Zone: "a", Spec: capacity.Spec{Cores: 4, Speed: 1, ConnectionLoad: 0.01, SetupWork: 0.001}, Seed: 1}
	if change != nil {
		change(&cfg)
	}
	h, err := NewHost(cfg, env.clock, env.events)
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(h.Close)
	return h
}

func (env *fixture) count(what string) int {
	return env.events.Count(func(x Event) bool { return x.Kind == what })
}

type testClient struct {
	t *testing.T
	c *net.TCPConn
	r *bufio.Reader
}

func dial(t *testing.T, addr, line string) *testClient {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	p := &testClient{t, c.(*net.TCPConn), bufio.NewReader(c)}
	p.send(line)
	return p
}

func (p *testClient) send(line string) {
	p.t.Helper()
	if _, err := io.WriteString(p.c, line+"\r\n"); err != nil {
		p.t.Fatal(err)
	}
}

func (p *testClient) expect(want string) string {
	p.t.Helper()
	line, err := p.r.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, want) {
		p.t.Fatalf("heard %q, error %v; want %q", line, err, want)
	}
	return strings.TrimSpace(line)
}

func (p *testClient) expectEnd() {
	p.t.Helper()
	if rest, err := io.ReadAll(p.r); len(rest) > 0 || err != nil && strings.Contains(err.Error(), "timeout") {
		p.t.Fatalf("ended with %q, error %v", rest, err)
	}
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for begin := time.Now(); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Since(begin) > testTimeout {
			t.Fatalf("never: %s", what)
		}
	}
}
