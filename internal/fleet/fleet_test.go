package fleet

import (
	"errors"
	"strings"
	"testing"
	"time"

	"onyxstream/internal/control"
)

func three() []Instance {
	return []Instance{{Name: "a1", Addr: "unix:a1", Zone: "a", Labels: map[string]string{"size": "big"}},
		{Name: "a2", Addr: "unix:a2", Zone: "a"}, {Name: "b1", Addr: "unix:b1", Zone: "b", Labels: map[string]string{"size": "big"}}}
}

func serving(t *testing.T, list []Instance) *Fleet {
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

func TestSelect(t *testing.T) {
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
		got, err := Select(three(), c.s)
		if strings.Join(got, " ") != c.want || (err == nil) != (c.err == "") || err != nil && !strings.Contains(err.Error(), c.err) {
			t.Errorf("%+v: %v, error %v", c.s, got, err)
		}
	}
}

func TestLimitsRefuseAnOrderThatTakesTooMany(t *testing.T) {
	f := serving(t, three())
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
	// What is down counts, though nobody drained it.
	f = serving(t, three())
	f.Observe(10*time.Second, 10*time.Second, "a2", control.Status{State: control.Serving, Boot: "1"}, nil)
	f.Observe(10*time.Second, 10*time.Second, "b1", control.Status{State: control.Serving, Boot: "1"}, nil)
	if _, err := f.Submit(10*time.Second, Request{ID: "x", Kind: control.Drain, Targets: []string{"a2"}}); err == nil {
		t.Error("the last instance of a zone is drained while the other one is down")
	}
}

func TestWrongOrdersAreRefused(t *testing.T) {
	f := serving(t, three())
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
			t.Errorf("the inventory %+v is taken", list)
		}
	}
	if len(f.Views(4)) != 3 {
		t.Error("a wrong inventory changed something")
	}
}

// play answers all that is told, and says what instances are like then.
func play(f *Fleet, now time.Duration, state control.InstanceState) (told []string) {
	_, tells, _ := f.Next(now)
	for _, t := range tells {
		told = append(told, t.Instance.Name+" "+string(t.Command.Kind))
		f.RecordAnswer(now, t, control.Answer{Verdict: control.Done, Fence: t.Command.Fence, Boot: "1"}, nil)
		f.Observe(now+1, now+1, t.Instance.Name, control.Status{Boot: "1", State: state, Fence: t.Command.Fence}, nil)
	}
	return told
}

func TestDrainAndResumeCrossing(t *testing.T) {
	f := serving(t, three())
	opts := Options{WaveSize: 1, MaxUnavailable: 2, AllowEmptyZone: true}
	if _, err := f.Submit(2, Request{ID: "d", Kind: control.Drain, Targets: []string{"a1", "a2"}, Options: opts}); err != nil {
		t.Fatal(err)
	}
	_, tells, _ := f.Next(3) // a1 is being told
	if _, err := f.Submit(4, Request{ID: "r", Kind: control.Resume, Targets: []string{"a1", "a2"}, Options: Options{WaveSize: 2}}); err != nil {
		t.Fatal(err)
	}
	if got := play(f, 5, control.Serving); strings.Join(got, ", ") != "a2 resume" {
		t.Errorf("while a1 is being told, %v are told", got)
	}
	f.RecordAnswer(6, tells[0], control.Answer{Verdict: control.Done, Fence: 1, Boot: "1"}, nil)
	if got := play(f, 7, control.Serving); strings.Join(got, ", ") != "a1 resume" {
		t.Errorf("then %v are told", got)
	}
	f.Next(8)
	d, _ := f.Operation("d")
	r, _ := f.Operation("r")
	if d.Steps["a1"].State != StepSuperseded || d.Steps["a2"].State != StepSuperseded || !d.State.Ended() || r.State != Succeeded {
		t.Errorf("the drain is %s %v, the resume %s", d.State, d.Steps["a1"], r.State)
	}
}

// One instance that can't be reached is repeated within the budget, fails its step by its time, and pauses the rest.
func TestAnInstanceThatCanNotBeReachedPausesTheOperation(t *testing.T) {
	f := serving(t, three())
	if _, err := f.Submit(2, Request{ID: "d", Kind: control.Drain, Targets: []string{"a1", "b1"},
		Options: Options{MaxUnavailable: 3, AllowEmptyZone: true}}); err != nil {
		t.Fatal(err)
	}
	n := 0
	for now := time.Duration(3); now < time.Minute; now += 50 * time.Millisecond {
		for _, x := range []string{"a2", "b1"} {
			f.Observe(now, now, x, control.Status{Boot: "1", State: control.Serving}, nil)
		}
		_, tells, _ := f.Next(now)
		for _, tl := range tells {
			if n++; tl.Instance.Name != "a1" {
				t.Fatalf("%s is told while a1 is not", tl.Instance.Name)
			}
			f.RecordAnswer(now, tl, control.Answer{}, errors.New("refused"))
		}
	}
	o, _ := f.Operation("d")
	if n < 5 || n > 20 || o.State != Paused || o.Steps["a1"].State != StepFailed || o.Steps["b1"].State != StepWaiting {
		t.Errorf("told %d times; the operation is %s, a1 %s, b1 %s", n, o.State, o.Steps["a1"].State, o.Steps["b1"].State)
	}
	if _, err := f.Continue(time.Minute, "d"); err != nil {
		t.Fatal(err)
	}
	f.Observe(time.Minute, time.Minute, "a1", control.Status{Boot: "2", State: control.Serving}, nil)
	if got := play(f, time.Minute+1, control.Drained); strings.Join(got, "") != "b1 drain" {
		t.Errorf("continued, %v are told", got)
	}
	f.Next(time.Minute + 3)
	if o, _ = f.Operation("d"); o.State != Failed || o.Steps["b1"].State != StepDone {
		t.Errorf("it ends as %s with b1 %s", o.State, o.Steps["b1"].State)
	}
}

// An instance that restarts mid-drain is told again, once; also when the operation has long ended. A newer order ends that.
func TestWhatHoldsIsToldAgainAfterARestart(t *testing.T) {
	f := serving(t, three())
	if _, err := f.Submit(2, Request{ID: "d", Kind: control.Drain, Targets: []string{"a1"}}); err != nil {
		t.Fatal(err)
	}
	play(f, 3, control.Draining)
	f.Observe(5, 5, "a1", control.Status{Boot: "2", State: control.Serving}, nil)
	if got := play(f, 6, control.Drained); len(got) != 1 {
		t.Errorf("after a restart mid-drain %v are told", got)
	}
	f.Observe(8, 8, "a1", control.Status{Boot: "1", State: control.Drained, Fence: 1}, nil)
	f.Next(9)
	if o, _ := f.Operation("d"); o.State != Succeeded {
		t.Fatalf("the operation is %s", o.State)
	}
	f.Observe(20, 20, "a1", control.Status{Boot: "3", State: control.Serving}, nil)
	if got := play(f, 21, control.Drained); len(got) != 1 || got[0] != "a1 drain" {
		t.Errorf("after a restart %v are told", got)
	}
	if got := play(f, 23, control.Drained); len(got) != 0 {
		t.Errorf("and once more %v", got)
	}
	if _, err := f.Submit(24, Request{ID: "r", Kind: control.Resume, Targets: []string{"a1"}}); err != nil {
		t.Fatal(err)
	}
	play(f, 25, control.Serving)
	f.Observe(30, 30, "a1", control.Status{Boot: "4", State: control.Serving}, nil)
	if got := play(f, 31, control.Serving); len(got) != 0 {
		t.Errorf("resumed and restarted, %v are told", got)
	}
}

func TestAnInstanceThatLeavesTheInventoryFailsItsStep(t *testing.T) {
	f := serving(t, three())
	if _, err := f.Submit(2, Request{ID: "d", Kind: control.Drain, Targets: []string{"a1"}}); err != nil {
		t.Fatal(err)
	}
	play(f, 3, control.Draining)
	renamed := three()
	renamed[0].Name = "a9"
	if err := f.SetInventory(4, renamed); err != nil {
		t.Fatal(err)
	}
	f.Next(5)
	if o, _ := f.Operation("d"); o.Steps["a1"].State != StepFailed || !o.State.Ended() {
		t.Errorf("the step is %+v, the operation %s", o.Steps["a1"], o.State)
	}
	f.Observe(6, 6, "a9", control.Status{Boot: "9", State: control.Serving}, nil)
	if got := play(f, 7, control.Drained); len(got) != 0 {
		t.Errorf("whoever has the address now is told %v", got)
	}
}

// A store that was lost: instances still know the fences of the old one, and the next order is above them.
func TestANewStoreGoesOnAboveTheFencesThatInstancesKnow(t *testing.T) {
	f := serving(t, three())
	f.Observe(2, 2, "a2", control.Status{Boot: "1", State: control.Serving, Fence: 41}, nil)
	o, err := f.Submit(3, Request{ID: "d", Kind: control.Drain, Targets: []string{"a1"}})
	if err != nil || o.Fence != 42 {
		t.Errorf("fence %d, error %v", o.Fence, err)
	}
}
