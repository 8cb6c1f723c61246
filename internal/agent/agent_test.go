package agent

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
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
	statusGate chan struct{} // Status waits for it; nil for none
	applied    []control.Command
	stop       func()
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

var boots struct {
	sync.Mutex
	n int
}

// start starts a process of the instance, without the state of the last one.
func (x *testInstance) start(t testing.TB) {
	t.Helper()
	l, err := control.ListenUnix(x.path, 64)
	if err != nil {
		t.Fatal(err)
	}
	x.mu.Lock()
	x.draining = false
	x.mu.Unlock()
	boots.Lock()
	boots.n++
	boot := fmt.Sprint("boot", boots.n)
	boots.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = control.NewServer(x, boot, 64, zap.NewNop()).Serve(ctx, l)
	}()
	x.stop = sync.OnceFunc(func() { cancel(); <-done })
	t.Cleanup(x.stop)
}

// testFleet has the configuration of an agent and its instances, in one temporary directory.
type testFleet struct {
	cfg       Config
	instances []*testInstance
}

func newTestFleet(t testing.TB, n int) *testFleet {
	t.Helper()
	dir := t.TempDir()
	r := &testFleet{cfg: Config{Inventory: filepath.Join(dir, "inv.toml"), Store: filepath.Join(dir, "store"), Socket: filepath.Join(dir, "agent"),
		PollInterval: tomlfile.Duration(50 * time.Millisecond)}}
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

// startAgent starts an agent; stop ends it and waits. change may set hooks.
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

func drainRequest(id string, names []string) fleet.Request {
	return fleet.Request{ID: id, Kind: control.Drain, Targets: names,
		Options: fleet.Options{WaveSize: 2, MaxUnavailable: len(names), AllowEmptyZone: true, OnFailure: "continue", DrainTimeout: time.Second, StepTimeout: testTimeout}}
}

func eventually(t testing.TB, what string, f func() bool) {
	t.Helper()
	for begin := time.Now(); !f(); time.Sleep(10 * time.Millisecond) {
		if time.Since(begin) > testTimeout {
			t.Fatalf("never: %s", what)
		}
	}
}

func operation(t testing.TB, c *control.Client, id string) (o fleet.Operation) {
	t.Helper()
	_ = c.Call(t.Context(), http.MethodGet, "/v1/operations/"+id, nil, &o)
	return o
}

func views(c *control.Client) (out []fleet.View) {
	_ = c.Call(context.Background(), http.MethodGet, "/v1/instances", nil, &out)
	return out
}

func allUp(c *control.Client) bool {
	v := views(c)
	for _, x := range v {
		if x.Reachability != fleet.Up {
			return false
		}
	}
	return len(v) > 0
}

var errKilled = errors.New("killed")

// An agent that is killed before or after any write continues after its restart: no operation that was answered is lost,
// and no instance applies a command twice.
func TestAgent_KilledAtEachWrite_AppliesOnce(t *testing.T) {
	t.Parallel()
	for kill := 1; ; kill++ {
		killed := false
		for _, after := range []bool{false, true} {
			r := newTestFleet(t, 3)
			n := 0
			var mu sync.Mutex
			c, stop := r.startAgent(t, func(a *Agent) {
				a.saveHook = func(saved bool) error {
					mu.Lock()
					defer mu.Unlock()
					if saved == after {
						n++
					}
					if n == kill && saved == after {
						killed = true
						return errKilled
					}
					return nil
				}
			})
			eventually(t, "all are up", func() bool { return allUp(c) })
			var o fleet.Operation
			answered := c.Call(t.Context(), http.MethodPost, "/v1/operations", drainRequest("d", r.names()), &o) == nil
			if answered {
				eventually(t, "it ends or is killed", func() bool {
					mu.Lock()
					dead := killed
					mu.Unlock()
					return dead || operation(t, c, "d").State.Ended()
				})
			}
			_ = stop()
			c, stop = r.startAgent(t, nil)
			eventually(t, "all are up again", func() bool { return allUp(c) })
			if !answered {
				if err := c.Call(t.Context(), http.MethodPost, "/v1/operations", drainRequest("d", r.names()), &o); err != nil {
					t.Fatal(err)
				}
			}
			eventually(t, "it ends", func() bool { return operation(t, c, "d").State.Ended() })
			if o = operation(t, c, "d"); o.State != fleet.Succeeded {
				t.Fatalf("killed at write %d, after it %v: the operation is %s: %s", kill, after, o.State, o.Reason)
			}
			for _, x := range r.instances {
				if n := x.count(control.Drain); n != 1 {
					t.Errorf("killed at write %d, after it %v: %s drained %d times", kill, after, x.name, n)
				}
				x.stop()
			}
			_ = stop()
		}
		if !killed {
			if kill < 5 {
				t.Errorf("the operation took %d writes, too few for the test", kill-1)
			}
			return
		}
	}
}

func TestSubmit_RepeatedRequest_IsOneOperation(t *testing.T) {
	t.Parallel()
	r := newTestFleet(t, 3)
	c, stop := r.startAgent(t, nil)
	eventually(t, "all are up", func() bool { return allUp(c) })
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			var o fleet.Operation
			if err := c.Call(t.Context(), http.MethodPost, "/v1/operations", drainRequest("d", r.names()), &o); err != nil || o.Fence != 1 {
				t.Errorf("submitted with fence %d, error %v", o.Fence, err)
			}
		})
	}
	wg.Wait()
	eventually(t, "it ends", func() bool { return operation(t, c, "d").State == fleet.Succeeded })
	_ = stop()
	c, _ = r.startAgent(t, nil)
	eventually(t, "all are up", func() bool { return allUp(c) })
	var o fleet.Operation
	if err := c.Call(t.Context(), http.MethodPost, "/v1/operations", drainRequest("d", r.names()), &o); err != nil || o.State != fleet.Succeeded {
		t.Errorf("after a restart it is %s, error %v", o.State, err)
	}
	for _, x := range r.instances {
		if n := x.count(control.Drain); n != 1 {
			t.Errorf("%s drained %d times", x.name, n)
		}
	}
	other := drainRequest("d", r.names()[:1])
	var remote *control.RemoteError
	if err := c.Call(t.Context(), http.MethodPost, "/v1/operations", other, &o); !errors.As(err, &remote) || remote.Code != 409 {
		t.Errorf("the same id with other contents: %v", err)
	}
	other.ID, other.Options.AllowEmptyZone = "e", false
	if err := c.Call(t.Context(), http.MethodPost, "/v1/operations", other, &o); !errors.As(err, &remote) || remote.Code != 412 {
		t.Errorf("a request over its limits: %v", err)
	}
}

// A slow instance delays no other; a restarted one gets its desired state again.
func TestAgent_SlowOrRestartedInstance_DrainsAll(t *testing.T) {
	t.Parallel()
	r := newTestFleet(t, 4)
	r.instances[0].statusGate = make(chan struct{})
	defer close(r.instances[0].statusGate)
	c, _ := r.startAgent(t, nil)
	up := func() (n int) {
		for _, v := range views(c) {
			if v.Reachability == fleet.Up {
				n++
			}
		}
		return n
	}
	eventually(t, "three are up", func() bool { return up() == 3 })
	request := drainRequest("d", r.names()[1:])
	request.Options.MaxUnavailable = 4 // the slow one is unknown, and counts as unavailable
	var o fleet.Operation
	if err := c.Call(t.Context(), http.MethodPost, "/v1/operations", request, &o); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the others are drained", func() bool { return operation(t, c, "d").State == fleet.Succeeded })
	if up() > 3 {
		t.Error("the slow one has answered: the test shows nothing")
	}
	x := r.instances[2]
	x.stop()
	x.start(t)
	eventually(t, "the restarted one is drained again", func() bool { return x.count(control.Drain) == 2 })
	time.Sleep(500 * time.Millisecond)
	if n := x.count(control.Drain); n != 2 {
		t.Errorf("it was drained %d times", n)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.applied[0] != x.applied[1] {
		t.Errorf("first %+v, then %+v", x.applied[0], x.applied[1])
	}
}

func TestReloadInventory_InvalidFile_KeepsPrevious(t *testing.T) {
	t.Parallel()
	r := newTestFleet(t, 2)
	c, _ := r.startAgent(t, nil)
	eventually(t, "all are up", func() bool { return allUp(c) })
	if err := os.WriteFile(r.cfg.Inventory, []byte("[[instance]]\nname = \"i0\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * inventoryCheckInterval)
	if n := len(views(c)); n != 2 {
		t.Errorf("%d instances after an invalid inventory", n)
	}
	r.writeInventory(t, r.instances[0])
	eventually(t, "the valid one is loaded", func() bool { return len(views(c)) == 1 })
}

func TestNew_StoreInUse_Fails(t *testing.T) {
	t.Parallel()
	r := newTestFleet(t, 1)
	c, _ := r.startAgent(t, nil)
	eventually(t, "the first is up", func() bool { return allUp(c) })
	if _, err := New(r.cfg, zap.NewNop()); err == nil || !strings.Contains(err.Error(), "another agent holds it") {
		t.Errorf("a second agent: %v", err)
	}
}

func TestConfig_InvalidFile_NamesField(t *testing.T) {
	for text, want := range map[string]string{
		"inventory = \"a\"\nstore = \"b\"\n":                                 "a.toml: socket: it is missing",
		"inventory = \"a\"\nstore = \"b\"\nsocket = \"c\"\nevery = \"1h\"\n": "a.toml:4: every",
		"inventory = \"a\"\nstore = \"b\"\nsocket = \"c\"\nkey = \"x\"\n":    "a.toml:4: key: no such key",
	} {
		if err := tomlfile.Decode("a.toml", []byte(text), &Config{}); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
	if err := tomlfile.Decode("i.toml", []byte("[[instance]]\nname = \"a\"\naddr = \"x\"\nzone = \"z\"\n[[instance]]\naddr = \"y\"\nname = \"a\"\nzone = \"z\"\n"),
		&Inventory{}); err == nil || !strings.HasPrefix(err.Error(), "i.toml:7: instance[1].name") {
		t.Errorf("a name twice: %v", err)
	}
}
