package fleet

import (
	"errors"
	"strings"
	"testing"
	"time"

	"onyxstream/internal/control"
)

func threeInstances() []Instance {
	return []Instance{{Name: "a1", Addr: "unix:a1", Zone: "a", Labels: map[string]string{"size": "big"}},
		{Name: "a2", Addr: "unix:a2", Zone: "a"}, {Name: "b1", Addr: "unix:b1", Zone: "b", Labels: map[string]string{"size": "big"}}}
}

func newServingFleet(t *testing.T, list []Instance) *Fleet {
	t.Helper()
	f := New(DefaultConfig(), 1)
	if err := f.SetInventory(0, list); err != nil {
		t.Fatal(err)
	}
	for _, x := range list {
		f.Observe(1, 1, x.Name, control.Status{Name: x.Name, Boot: "1", State: control.Serving}, nil)
	}
	return f
}

func TestSelect_Criteria_NamesOrError(t *testing.T) {
	for _, c := range []struct {
		s    Selector
		want string
		err  string
	}{
		{Selector{All: true}, "a1 a2 b1", ""}, {Selector{Names: []string{"a*"}}, "a1 a2", ""}, {Selector{Zones: []string{"b"}}, "b1", ""},
		{Selector{Labels: []string{"size=big"}, Zones: []string{"a"}}, "a1", ""}, {Selector{}, "", "name instances"},
		{Selector{Names: []string{"a1", "c"}}, "", `no instance has name "c"`}, {Selector{Zones: []string{"z"}}, "", `zone "z"`},
		{Selector{Names: []string{"a2"}, Labels: []string{"size=big"}}, "", "fits all"}, {Selector{Labels: []string{"size"}}, "", "key=value"},
		{Selector{Names: []string{"["}}, "", "syntax error"},
	} {
		got, err := Select(threeInstances(), c.s)
		if strings.Join(got, " ") != c.want || (err == nil) != (c.err == "") || err != nil && !strings.Contains(err.Error(), c.err) {
			t.Errorf("%+v: %v, error %v", c.s, got, err)
		}
	}
}

func TestSubmit_DrainOverLimits_ReturnsLimitError(t *testing.T) {
	f := newServingFleet(t, threeInstances())
	for _, c := range []struct {
		targets string
		o       Options
		want    string
	}{
		{"b1", Options{}, "zone b would be left with no instance"},
		{"a1 a2", Options{MaxUnavailable: 3}, "zone a would be left"},
		{"a1 b1", Options{AllowEmptyZone: true}, "2 of 3 instances would not be available, the limit is 1"},
		{"a1 a2", Options{AllowEmptyZone: true, MaxUnavailable: 3, MaxUnavailablePerZone: 1}, "2 instances of zone a"},
		{"b1", Options{AllowEmptyZone: true}, ""},
	} {
		_, err := f.Submit(2, Request{ID: c.targets + c.want, Kind: control.Drain, Targets: strings.Fields(c.targets), Options: c.o})
		var limit *LimitError
		if (c.want == "") != (err == nil) || err != nil && (!errors.As(err, &limit) || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%s %+v: %v, want %s", c.targets, c.o, err, c.want)
		}
	}
	// An instance that is down counts as unavailable.
	f = newServingFleet(t, threeInstances())
	f.Observe(10*time.Second, 10*time.Second, "a2", control.Status{State: control.Serving, Boot: "1"}, nil)
	f.Observe(10*time.Second, 10*time.Second, "b1", control.Status{State: control.Serving, Boot: "1"}, nil)
	if _, err := f.Submit(10*time.Second, Request{ID: "x", Kind: control.Drain, Targets: []string{"a2"}}); err == nil {
		t.Error("a drain of a zone's last available instance was accepted")
	}
}

func TestSubmit_InvalidRequest_ReturnsError(t *testing.T) {
	f := newServingFleet(t, threeInstances())
	good := Request{ID: "x", Kind: control.Drain, Targets: []string{"a1"}}
	if _, err := f.Submit(2, good); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		change func(*Request)
		want   string
	}{
		{func(r *Request) { r.ID = "" }, "operation"}, {func(r *Request) { r.Targets = nil }, "targets"},
		{func(r *Request) { r.Targets = []string{"a1", "a1"} }, "twice"}, {func(r *Request) { r.Targets = []string{"c"} }, "inventory"},
		{func(r *Request) { r.Kind = "stop" }, "kind"}, {func(r *Request) { r.Options.WaveSize = -1 }, "negative"},
		{func(r *Request) { r.Options.OnFailure = "cry" }, "on_failure"}, {func(r *Request) { r.Host = "h" }, "host"},
		{func(r *Request) { r.ID, r.Targets = "x", []string{"a2"} }, "other contents"},
	} {
		r := good
		r.ID = "y"
		c.change(&r)
		if _, err := f.Submit(2, r); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%+v: %v, want %s", r, err, c.want)
		}
	}
	for _, list := range [][]Instance{{{Name: "a"}}, {{Addr: "x", Zone: "z"}}, {{Name: "a", Addr: "x", Zone: "z"}, {Name: "a", Addr: "y", Zone: "z"}},
		{{Name: "a", Addr: "x", Zone: "z"}, {Name: "b", Addr: "x", Zone: "z"}}} {
		if err := f.SetInventory(3, list); err == nil {
			t.Errorf("the inventory %+v was accepted", list)
		}
	}
	if len(f.Views(4)) != 3 {
		t.Error("an invalid inventory changed something")
	}
}

// deliverAll answers all deliveries and reports the instances in a state afterwards.
func deliverAll(f *Fleet, now time.Duration, state control.InstanceState) (delivered []string) {
	_, deliveries, _ := f.Next(now)
	for _, t := range deliveries {
		delivered = append(delivered, t.Instance.Name+" "+string(t.Command.Kind))
		f.RecordAnswer(now, t, control.Answer{Verdict: control.Done, Fence: t.Command.Fence, Boot: "1"}, nil)
		f.Observe(now+1, now+1, t.Instance.Name, control.Status{Boot: "1", State: state, Fence: t.Command.Fence}, nil)
	}
	return delivered
}

func TestSubmit_ResumeDuringDrain_Supersedes(t *testing.T) {
	f := newServingFleet(t, threeInstances())
	opts := Options{WaveSize: 1, MaxUnavailable: 2, AllowEmptyZone: true}
	if _, err := f.Submit(2, Request{ID: "d", Kind: control.Drain, Targets: []string{"a1", "a2"}, Options: opts}); err != nil {
		t.Fatal(err)
	}
	_, deliveries, _ := f.Next(3) // the command to a1 is in flight
	if _, err := f.Submit(4, Request{ID: "r", Kind: control.Resume, Targets: []string{"a1", "a2"}, Options: Options{WaveSize: 2}}); err != nil {
		t.Fatal(err)
	}
	if got := deliverAll(f, 5, control.Serving); strings.Join(got, ", ") != "a2 resume" {
		t.Errorf("while a command to a1 is in flight: %v", got)
	}
	f.RecordAnswer(6, deliveries[0], control.Answer{Verdict: control.Done, Fence: 1, Boot: "1"}, nil)
	if got := deliverAll(f, 7, control.Serving); strings.Join(got, ", ") != "a1 resume" {
		t.Errorf("after its answer: %v", got)
	}
	f.Next(8)
	d, _ := f.Operation("d")
	r, _ := f.Operation("r")
	if d.Steps["a1"].State != StepSuperseded || d.Steps["a2"].State != StepSuperseded || !d.State.Ended() || r.State != Succeeded {
		t.Errorf("the drain is %s %v, the resume %s", d.State, d.Steps["a1"], r.State)
	}
}

// Deliveries to an unreachable instance are retried within the budget, its step times out, and the operation pauses.
func TestNext_UnreachableInstance_PausesOperation(t *testing.T) {
	f := newServingFleet(t, threeInstances())
	if _, err := f.Submit(2, Request{ID: "d", Kind: control.Drain, Targets: []string{"a1", "b1"},
		Options: Options{MaxUnavailable: 3, AllowEmptyZone: true}}); err != nil {
		t.Fatal(err)
	}
	n := 0
	for now := time.Duration(3); now < time.Minute; now += 50 * time.Millisecond {
		for _, x := range []string{"a2", "b1"} {
			f.Observe(now, now, x, control.Status{Boot: "1", State: control.Serving}, nil)
		}
		_, deliveries, _ := f.Next(now)
		for _, delivery := range deliveries {
			if n++; delivery.Instance.Name != "a1" {
				t.Fatalf("%s gets a command before a1", delivery.Instance.Name)
			}
			f.RecordAnswer(now, delivery, control.Answer{}, errors.New("refused"))
		}
	}
	o, _ := f.Operation("d")
	if n < 5 || n > 20 || o.State != Paused || o.Steps["a1"].State != StepFailed || o.Steps["b1"].State != StepWaiting {
		t.Errorf("%d deliveries; the operation is %s, a1 %s, b1 %s", n, o.State, o.Steps["a1"].State, o.Steps["b1"].State)
	}
	if _, err := f.Continue(time.Minute, "d"); err != nil {
		t.Fatal(err)
	}
	f.Observe(time.Minute, time.Minute, "a1", control.Status{Boot: "2", State: control.Serving}, nil)
	if got := deliverAll(f, time.Minute+1, control.Drained); strings.Join(got, "") != "b1 drain" {
		t.Errorf("continued: %v", got)
	}
	f.Next(time.Minute + 3)
	if o, _ = f.Operation("d"); o.State != Failed || o.Steps["b1"].State != StepDone {
		t.Errorf("it ends as %s with b1 %s", o.State, o.Steps["b1"].State)
	}
}

// A drain is delivered again, once, to an instance that restarts, also after the operation ended, until a newer command.
func TestNext_InstanceRestarts_DeliversDesiredStateOnce(t *testing.T) {
	f := newServingFleet(t, threeInstances())
	if _, err := f.Submit(2, Request{ID: "d", Kind: control.Drain, Targets: []string{"a1"}}); err != nil {
		t.Fatal(err)
	}
	deliverAll(f, 3, control.Draining)
	f.Observe(5, 5, "a1", control.Status{Boot: "2", State: control.Serving}, nil)
	if got := deliverAll(f, 6, control.Drained); len(got) != 1 {
		t.Errorf("after a restart during the drain: %v", got)
	}
	f.Observe(8, 8, "a1", control.Status{Boot: "1", State: control.Drained, Fence: 1}, nil)
	f.Next(9)
	if o, _ := f.Operation("d"); o.State != Succeeded {
		t.Fatalf("the operation is %s", o.State)
	}
	f.Observe(20, 20, "a1", control.Status{Boot: "3", State: control.Serving}, nil)
	if got := deliverAll(f, 21, control.Drained); len(got) != 1 || got[0] != "a1 drain" {
		t.Errorf("after a restart: %v", got)
	}
	if got := deliverAll(f, 23, control.Drained); len(got) != 0 {
		t.Errorf("and once more: %v", got)
	}
	if _, err := f.Submit(24, Request{ID: "r", Kind: control.Resume, Targets: []string{"a1"}}); err != nil {
		t.Fatal(err)
	}
	deliverAll(f, 25, control.Serving)
	f.Observe(30, 30, "a1", control.Status{Boot: "4", State: control.Serving}, nil)
	if got := deliverAll(f, 31, control.Serving); len(got) != 0 {
		t.Errorf("resumed and restarted: %v", got)
	}
}

func TestSetInventory_InstanceRemoved_FailsStep(t *testing.T) {
	f := newServingFleet(t, threeInstances())
	if _, err := f.Submit(2, Request{ID: "d", Kind: control.Drain, Targets: []string{"a1"}}); err != nil {
		t.Fatal(err)
	}
	deliverAll(f, 3, control.Draining)
	renamed := threeInstances()
	renamed[0].Name = "a9"
	if err := f.SetInventory(4, renamed); err != nil {
		t.Fatal(err)
	}
	f.Next(5)
	if o, _ := f.Operation("d"); o.Steps["a1"].State != StepFailed || !o.State.Ended() {
		t.Errorf("the step is %+v, the operation %s", o.Steps["a1"], o.State)
	}
	f.Observe(6, 6, "a9", control.Status{Boot: "9", State: control.Serving}, nil)
	if got := deliverAll(f, 7, control.Drained); len(got) != 0 {
		t.Errorf("the instance that has the address now gets %v", got)
	}
}

// After the store was lost, fences go on above those that instances report.
func TestSubmit_InstancesWithHigherFence_ContinuesAbove(t *testing.T) {
	f := newServingFleet(t, threeInstances())
	f.Observe(2, 2, "a2", control.Status{Boot: "1", State: control.Serving, Fence: 41}, nil)
	o, err := f.Submit(3, Request{ID: "d", Kind: control.Drain, Targets: []string{"a1"}})
	if err != nil || o.Fence != 42 {
		t.Errorf("fence %d, error %v", o.Fence, err)
	}
}
