package agent

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"onyxstream/internal/control"
	"onyxstream/internal/fleet"
	"onyxstream/internal/tomlfile"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 20 * time.Second

// testInstance is a fake instance behind a real control server.
type testInstance struct {
	name, path string

	mu         sync.Mutex
	draining   bool
	statusGate chan struct{} // Status waits until it is closed; nil for no wait
	applied    []control.Command

	stop func()
}

func (x *testInstance) Status() control.Status {
	x.mu.Lock()
	gate := x.statusGate
	s := control.Status{Name: x.name, State: control.Serving}
	if x.draining {
		s.State = control.Drained
	}
	x.mu.Unlock()
	if gate != nil {
		select {
		case <-gate:
		case <-time.After(10 * time.Second):
		}
	}
	return s
}

func (x *testInstance) Apply(c control.Command) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.applied = append(x.applied, c)
	switch c.Kind {
	case control.Drain:
		x.draining = true
	case control.Resume:
		x.draining = false
	}
	return nil
}

// count returns how many commands of a kind the instance has applied, over all its starts.
func (x *testInstance) count(kind control.CommandKind) (n int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range x.applied {
		if c.Kind == kind {
			n++
		}
	}
	return n
}

// instanceStarts counts the starts of all instances, to give each start a distinct incarnation.
var instanceStarts struct {
	sync.Mutex
	count int
}

// start starts the instance. It keeps no state from an earlier start.
func (x *testInstance) start(t testing.TB) {
	t.Helper()
	l, err := control.ListenUnix(x.path, 64)
	if err != nil {
		t.Fatal(err)
	}
	x.mu.Lock()
	x.draining = false
	x.mu.Unlock()
	instanceStarts.Lock()
	instanceStarts.count++
	incarnation := fmt.Sprint("incarnation", instanceStarts.count)
	instanceStarts.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = control.NewServer(x, incarnation, 64, zap.NewNop()).Serve(ctx, l)
	}()
	x.stop = sync.OnceFunc(func() { cancel(); <-done })
	t.Cleanup(x.stop)
}

// testFleet has the configuration of an agent, and its instances. All files are in one temporary directory.
type testFleet struct {
	cfg       Config
	instances []*testInstance
}

// newTestFleet starts n instances and writes their inventory.
func newTestFleet(t testing.TB, n int) *testFleet {
	t.Helper()
	dir := t.TempDir()
	r := &testFleet{cfg: Config{
		Inventory:    filepath.Join(dir, "inv.toml"),
		Store:        filepath.Join(dir, "store"),
		Socket:       filepath.Join(dir, "agent"),
		PollInterval: tomlfile.Duration(50 * time.Millisecond),
	}}
	for i := range n {
		x := &testInstance{name: fmt.Sprint("i", i), path: filepath.Join(dir, fmt.Sprint("i", i))}
		x.start(t)
		r.instances = append(r.instances, x)
	}
	r.writeInventory(t, r.instances...)
	return r
}

func (r *testFleet) writeInventory(t testing.TB, list ...*testInstance) {
	t.Helper()
	text := ""
	for _, x := range list {
		text += fmt.Sprintf("[[instance]]\nname = %q\naddr = %q\nzone = \"a\"\n", x.name, "unix:"+x.path)
	}
	if err := os.WriteFile(r.cfg.Inventory, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// startAgent starts an agent. stop ends the agent and waits until it has ended. change may set hooks before the start.
func (r *testFleet) startAgent(t testing.TB, change func(*Agent)) (c *control.Client, stop func() error) {
	t.Helper()
	a, err := New(r.cfg, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(a)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx) }()
	stop = sync.OnceValue(func() error { cancel(); return <-done })
	t.Cleanup(func() { _ = stop() })
	if c, err = control.Dial("unix:"+r.cfg.Socket, nil); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c, stop
}

func (r *testFleet) names() (out []string) {
	for _, x := range r.instances {
		out = append(out, x.name)
	}
	return out
}

// drainRequest returns a request to drain instances that continues after failures.
func drainRequest(id string, names []string) fleet.Request {
	return fleet.Request{
		ID:      id,
		Kind:    control.Drain,
		Targets: names,
		Options: fleet.Options{
			WaveSize:       2,
			MaxUnavailable: len(names),
			AllowEmptyZone: true,
			OnFailure:      fleet.ContinueOnFailure,
			DrainTimeout:   time.Second,
			StepTimeout:    testTimeout,
		},
	}
}

// submit submits an operation to the agent.
func submit(t testing.TB, c *control.Client, request fleet.Request) (o fleet.Operation, err error) {
	t.Helper()
	err = c.Call(t.Context(), http.MethodPost, "/v1/operations", request, &o)
	return o, err
}

// checkDrainedOnce reports instances that did not apply exactly one drain command.
func (r *testFleet) checkDrainedOnce(t testing.TB) {
	t.Helper()
	for _, x := range r.instances {
		if n := x.count(control.Drain); n != 1 {
			t.Errorf("%s was drained %d times, want 1", x.name, n)
		}
	}
}

// eventually waits until f returns true. It fails the test after testTimeout; what names the condition in the failure.
func eventually(t testing.TB, what string, f func() bool) {
	t.Helper()
	for begin := time.Now(); !f(); time.Sleep(10 * time.Millisecond) {
		if time.Since(begin) > testTimeout {
			t.Fatalf("condition not met in time: %s", what)
		}
	}
}

// operation requests an operation from the agent. It returns the zero Operation if the request fails.
func operation(t testing.TB, c *control.Client, id string) (o fleet.Operation) {
	t.Helper()
	_ = c.Call(t.Context(), http.MethodGet, "/v1/operations/"+id, nil, &o)
	return o
}

// views requests the instances from the agent. It returns nil if the request fails.
func views(c *control.Client) (out []fleet.View) {
	_ = c.Call(context.Background(), http.MethodGet, "/v1/instances", nil, &out)
	return out
}

// allUp reports whether the agent has a status of each instance.
func allUp(c *control.Client) bool {
	v := views(c)
	for _, x := range v {
		if x.Reachability != fleet.Up {
			return false
		}
	}
	return len(v) > 0
}
