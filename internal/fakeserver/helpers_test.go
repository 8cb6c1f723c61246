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

// testTimeout bounds the lifetime of each connection and the duration of each wait.
const testTimeout = 20 * time.Second

// fixture holds the clock and the event log of a test.
type fixture struct {
	t      *testing.T
	clock  *Clock
	events *EventLog
}

func newFixture(t *testing.T) *fixture {
	clock := NewClock()
	return &fixture{t, clock, NewEventLog(clock)}
}

// host starts a host in zone a and closes it after the test. change, if not nil, adjusts the configuration.
func (env *fixture) host(id string, change func(*HostConfig)) *Host {
	env.t.Helper()
	config := HostConfig{
		ID:   id,
		Zone: "a",
		Spec: capacity.Spec{Cores: 4, Speed: 1, ConnectionLoad: 0.01, SetupWork: 0.001},
		Seed: 1,
	}
	if change != nil {
		change(&config)
	}
	host, err := NewHost(config, env.clock, env.events)
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(host.Close)
	return host
}

// count returns the number of events of a kind.
func (env *fixture) count(kind string) int {
	return env.events.Count(func(event Event) bool { return event.Kind == kind })
}

// testClient is the connection of a client.
type testClient struct {
	t          *testing.T
	connection *net.TCPConn
	reader     *bufio.Reader
}

// dial connects to addr and sends a line.
func dial(t *testing.T, addr, line string) *testClient {
	t.Helper()
	connection, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	_ = connection.SetDeadline(time.Now().Add(testTimeout))
	client := &testClient{t, connection.(*net.TCPConn), bufio.NewReader(connection)}
	client.send(line)
	return client
}

// send sends a line.
func (c *testClient) send(line string) {
	c.t.Helper()
	if _, err := io.WriteString(c.connection, line+"\r\n"); err != nil {
		c.t.Fatal(err)
	}
}

// expect reads a line, checks its prefix, and returns the line.
func (c *testClient) expect(prefix string) string {
	c.t.Helper()
	line, err := c.reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, prefix) {
		c.t.Fatalf("received %q, error %v; want %q", line, err, prefix)
	}
	return strings.TrimSpace(line)
}

// expectEnd waits for the end of the connection and checks that no further bytes arrive.
func (c *testClient) expectEnd() {
	c.t.Helper()
	rest, err := io.ReadAll(c.reader)
	timedOut := err != nil && strings.Contains(err.Error(), "timeout")
	if len(rest) > 0 || timedOut {
		c.t.Fatalf("received %q, error %v; want the end of the connection", rest, err)
	}
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for begin := time.Now(); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Since(begin) > testTimeout {
			t.Fatalf("condition not met in time: %s", what)
		}
	}
}
