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

const long = 20 * time.Second

// instance is a stand-in instance behind a real control server.
type instance struct {
	name, path string
	mu         sync.Mutex
	leaving    bool
	slow       chan struct{} // a status waits for it; nil for none
	did        []control.Command
	stop       func()
}

func (x *instance) Status() control.Status {
	x.mu.Lock()
	slow := x.slow
	s := control.Status{Name: x.name, State: control.Serving}
	if x.leaving {
		s.State = control.Drained
	}
	x.mu.Unlock()
	if slow != nil {
		select {
		case <-slow:
		case <-time.After(10 * time.Second):
		}
	}
	return s
}

func (x *instance) Apply(c control.Command) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.did = append(x.did, c)
	switch c.Kind {
	case control.Drain:
		x.leaving = true
	case control.Resume:
		x.leaving = false
	}
	return nil
}

func (x *instance) count(kind control.CommandKind) (n int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range x.did {
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

// start begins a process of the instance, with nothing in memory.
func (x *instance) start(t testing.TB) {
	t.Helper()
	l, err := control.ListenUnix(x.path, 64)
	if err != nil {
		t.Fatal(err)
	}
	x.mu.Lock()
	x.leaving = false
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

// rig is a folder with an agent's files and its instances.
type rig struct {
	cfg       Config
	instances []*instance
}

func newRig(t testing.TB, n int) *rig {
	t.Helper()
	dir := t.TempDir()
	r := &rig{cfg: Config{Inventory: filepath.Join(dir, "inv.toml"), Store: filepath.Join(dir, "store"), Socket: filepath.Join(dir, "agent"),
		Every: tomlfile.Duration(50 * time.Millisecond)}}
	for i := range n {
		x := &instance{name: fmt.Sprint("i", i), path: filepath.Join(dir, fmt.Sprint("i", i))}
		x.start(t)
		r.instances = append(r.instances, x)
	}
	r.inventory(t, r.instances...)
	return r
}

func (r *rig) inventory(t testing.TB, list ...*instance) {
	t.Helper()
	text := ""
	for _, x := range list {
		text += fmt.Sprintf("[[instance]]\nname = %q\naddr = %q\nzone = \"a\"\n", x.name, "unix:"+x.path)
	}
	if err := os.WriteFile(r.cfg.Inventory, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// agent starts one; stop ends it and waits. change may set hooks.
func (r *rig) agent(t testing.TB, change func(*Agent)) (c *control.Client, stop func() error) {
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

func (r *rig) names() (out []string) {
	for _, x := range r.instances {
		out = append(out, x.name)
	}
	return out
}

func drainAll(id string, names []string) fleet.Request {
	return fleet.Request{ID: id, Kind: control.Drain, Targets: names,
		Options: fleet.Options{WaveSize: 2, MaxUnavailable: len(names), AllowEmptyZone: true, OnFailure: "continue", DrainTimeout: time.Second, StepTimeout: long}}
}

func eventually(t testing.TB, what string, f func() bool) {
	t.Helper()
	for begin := time.Now(); !f(); time.Sleep(10 * time.Millisecond) {
		if time.Since(begin) > long {
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

// An agent that is killed at any write, before it or after it, goes on where it was when it is back: no operation is
// lost that was answered, and no instance does anything twice.
func TestAKillAtEveryWriteLosesNothingAndDoesNothingTwice(t *testing.T) {
	t.Parallel()
	for kill := 1; ; kill++ {
		killed := false
		for _, after := range []bool{false, true} {
			r := newRig(t, 3)
			n := 0
			var mu sync.Mutex
			c, stop := r.agent(t, func(a *Agent) {
				a.saving = func(done bool) error {
					mu.Lock()
					defer mu.Unlock()
					if done == after {
						n++
					}
					if n == kill && done == after {
						killed = true
						return errKilled
					}
					return nil
				}
			})
			eventually(t, "all are up", func() bool { return allUp(c) })
			var o fleet.Operation
			answered := c.Call(t.Context(), http.MethodPost, "/v1/operations", drainAll("d", r.names()), &o) == nil
			if answered {
				eventually(t, "it ends or is killed", func() bool {
					mu.Lock()
					dead := killed
					mu.Unlock()
					return dead || operation(t, c, "d").State.Ended()
				})
			}
			_ = stop()
			c, stop = r.agent(t, nil)
			eventually(t, "all are up again", func() bool { return allUp(c) })
			if !answered {
				if err := c.Call(t.Context(), http.MethodPost, "/v1/operations", drainAll("d", r.names()), &o); err != nil {
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
				t.Errorf("the operation took %d writes, too few to say anything", kill-1)
			}
			return
		}
	}
}

func TestTheSameOrderFromTwoAndAgainIsOne(t *testing.T) {
	t.Parallel()
	r := newRig(t, 3)
	c, stop := r.agent(t, nil)
	eventually(t, "all are up", func() bool { return allUp(c) })
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			var o fleet.Operation
			if err := c.Call(t.Context(), http.MethodPost, "/v1/operations", drainAll("d", r.names()), &o); err != nil || o.Fence != 1 {
				t.Errorf("ordered as %d, error %v", o.Fence, err)
			}
		})
	}
	wg.Wait()
	eventually(t, "it ends", func() bool { return operation(t, c, "d").State == fleet.Succeeded })
	_ = stop()
	c, _ = r.agent(t, nil)
	eventually(t, "all are up", func() bool { return allUp(c) })
	var o fleet.Operation
	if err := c.Call(t.Context(), http.MethodPost, "/v1/operations", drainAll("d", r.names()), &o); err != nil || o.State != fleet.Succeeded {
		t.Errorf("after a restart it is %s, error %v", o.State, err)
	}
	for _, x := range r.instances {
		if n := x.count(control.Drain); n != 1 {
			t.Errorf("%s drained %d times", x.name, n)
		}
	}
	other := drainAll("d", r.names()[:1])
	var remote *control.RemoteError
	if err := c.Call(t.Context(), http.MethodPost, "/v1/operations", other, &o); !errors.As(err, &remote) || remote.Code != 409 {
		t.Errorf("the same name with other contents: %v", err)
	}
	other.ID, other.Options.AllowEmptyZone = "e", false
	if err := c.Call(t.Context(), http.MethodPost, "/v1/operations", other, &o); !errors.As(err, &remote) || remote.Code != 412 {
		t.Errorf("an order over its limits: %v", err)
	}
}

// One that answers after seconds holds up no other; one that restarts is told again what holds.
func TestASlowOneHoldsUpNoOtherAndARestartedOneIsToldAgain(t *testing.T) {
	t.Parallel()
	r := newRig(t, 4)
	r.instances[0].slow = make(chan struct{})
	defer close(r.instances[0].slow)
	c, _ := r.agent(t, nil)
	up := func() (n int) {
		for _, v := range views(c) {
			if v.Reachability == fleet.Up {
				n++
			}
		}
		return n
	}
	eventually(t, "three are up", func() bool { return up() == 3 })
	order := drainAll("d", r.names()[1:])
	order.Options.MaxUnavailable = 4 // the slow one is not known, and counts
	var o fleet.Operation
	if err := c.Call(t.Context(), http.MethodPost, "/v1/operations", order, &o); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the others are drained", func() bool { return operation(t, c, "d").State == fleet.Succeeded })
	if up() > 3 {
		t.Error("the slow one had answered by then: nothing was shown")
	}
	x := r.instances[2]
	x.stop()
	x.start(t)
	eventually(t, "the restarted one is drained again", func() bool { return x.count(control.Drain) == 2 })
	time.Sleep(500 * time.Millisecond)
	if n := x.count(control.Drain); n != 2 {
		t.Errorf("it was told %d times", n)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.did[0] != x.did[1] {
		t.Errorf("told %+v, then %+v", x.did[0], x.did[1])
	}
}

func TestAWrongInventoryChangesNothing(t *testing.T) {
	t.Parallel()
	r := newRig(t, 2)
	c, _ := r.agent(t, nil)
	eventually(t, "all are up", func() bool { return allUp(c) })
	if err := os.WriteFile(r.cfg.Inventory, []byte("[[instance]]\nname = \"i0\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * lookEvery)
	if n := len(views(c)); n != 2 {
		t.Errorf("%d instances after a wrong inventory", n)
	}
	r.inventory(t, r.instances[0])
	eventually(t, "the right one is taken", func() bool { return len(views(c)) == 1 })
}

func TestTwoAgentsOnOneStoreAreRefused(t *testing.T) {
	t.Parallel()
	r := newRig(t, 1)
	c, _ := r.agent(t, nil)
	eventually(t, "the first is up", func() bool { return allUp(c) })
	if _, err := New(r.cfg, zap.NewNop()); err == nil || !strings.Contains(err.Error(), "another agent holds it") {
		t.Errorf("a second agent: %v", err)
	}
}

func TestWrongConfigurationIsNamed(t *testing.T) {
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
