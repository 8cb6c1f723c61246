package capacity

import (
	"flag"
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The same verdict every time: other draws are had by -rapid.seed.
func init() { _ = flag.Set("rapid.seed", "1") }

var baseSpec = Spec{Cores: 2, Speed: 1, ConnectionLoad: 0.1, SetupWork: 0.1, LineWork: 0.001, LoadDrift: 0.5, GroupCost: 2}

func establishedIDs(events []Event) (ids []string) {
	for _, e := range events {
		if e.Established {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

func TestBeginSetup_SeveralSetups_ShareFreeCapacity(t *testing.T) {
	h := New(baseSpec, nil, 1, 0, false)
	for i := range 4 {
		h.BeginSetup(0, fmt.Sprint(i), "", 1)
	}
	if got := establishedIDs(h.Advance(99 * time.Millisecond)); len(got) != 0 {
		t.Errorf("up before the work is done: %v", got)
	}
	if got := establishedIDs(h.Advance(101 * time.Millisecond)); len(got) != 2 {
		t.Errorf("two cores set up %v in the time of one set-up", got)
	}
	// What stands takes from what set-ups get.
	for i := range 19 {
		h.AddEstablished(fmt.Sprint("s", i), "", 1)
	}
	if got := establishedIDs(h.Advance(250 * time.Millisecond)); len(got) != 0 {
		t.Errorf("a full host sets up at full speed: %v", got)
	}
	if got := establishedIDs(h.Advance(10 * time.Second)); len(got) != 2 {
		t.Errorf("a full host never sets up: %v", got)
	}
}

func TestSessionStore_SeveralHosts_CallsAreQueued(t *testing.T) {
	store := &SessionStore{Latency: 20 * time.Millisecond, Rate: 100}
	a, b := New(baseSpec, store, 1, 0, false), New(baseSpec, store, 2, 0, false)
	for i := range 10 {
		a.BeginSetup(0, fmt.Sprint(i), "", 1)
	}
	b.BeginSetup(0, "last", "", 1)
	if got := establishedIDs(b.Advance(219 * time.Millisecond)); len(got) != 0 {
		t.Error("the store answered the eleventh call before its turn")
	}
	if got := establishedIDs(b.Advance(221 * time.Millisecond)); len(got) != 1 {
		t.Error("the eleventh call was not answered in its turn")
	}
	slow := SessionStore{Latency: time.Millisecond, SlowFactor: 8}
	if at := slow.Call(0); at != 8*time.Millisecond {
		t.Errorf("a store eight times slower answers after %v", at)
	}
}

func TestHost_FaultsEnd_CapacityRestored(t *testing.T) {
	h := New(baseSpec, nil, 1, 0, false)
	h.SetSlowFactor(4)
	h.SetStolenShare(0.5)
	if c := h.Capacity(); c != 0.25 {
		t.Errorf("capacity %g, want an eighth of 2", c)
	}
	before := h.LineLatency()
	h.SetSlowFactor(1)
	h.SetStolenShare(0)
	if h.Capacity() != 2 || before < 7*h.LineLatency() {
		t.Errorf("capacity %g, a line %v before and %v now", h.Capacity(), before, h.LineLatency())
	}
}

func TestDemand_Group_CountedOnceUntilLastRemoved(t *testing.T) {
	h := New(baseSpec, nil, 1, 0, false)
	h.AddEstablished("a", "choir", 1)
	h.AddEstablished("b", "choir", 1)
	if d := h.Demand(); d < 0.399 || d > 0.401 {
		t.Errorf("demand %g, want two loads and one group of two", d)
	}
	h.Remove("a")
	h.Remove("b")
	h.Remove("b")
	if d := h.Demand(); d > 1e-9 {
		t.Errorf("demand %g of an empty host", d)
	}
}

func TestHost_ColdAndOverloaded_Collapses(t *testing.T) {
	spec := Spec{Cores: 2, Speed: 1, ConnectionLoad: 0.05, SetupWork: 0.05, SlowStartFraction: 0.3, SlowStartDuration: 8 * time.Second, CollapseMultiple: 4, CollapseAfter: time.Second}
	run := func(every time.Duration, cold bool) *Host {
		h := New(spec, nil, 1, 0, cold)
		for now := time.Duration(0); now < 3*time.Second; now += every {
			h.Advance(now)
			h.BeginSetup(now, fmt.Sprint(now), "", 0)
		}
		return h
	}
	if run(50*time.Millisecond, true).Collapsed() {
		t.Error("a cold host falls under what it can nearly bear")
	}
	h := run(10*time.Millisecond, true)
	if !h.Collapsed() || h.BeginSetup(4*time.Second, "x", "", 1) != Unavailable {
		t.Error("a cold host that is pushed does not fall")
	}
	if _, ok := h.Next(); ok {
		t.Error("a fallen host still has something to do")
	}
	if run(10*time.Millisecond, false).Collapsed() {
		t.Error("a warm host falls")
	}
	h = New(spec, nil, 1, 0, true)
	h.Advance(4 * time.Second)
	if c := h.Capacity(); c < 1.29 || c > 1.31 {
		t.Errorf("half warm, capacity %g", c)
	}
	h.Advance(8 * time.Second)
	if c := h.Capacity(); c != 2 {
		t.Errorf("warm, capacity %g", c)
	}
}

func TestBeginSetup_LimitReached_Rejected(t *testing.T) {
	spec := baseSpec
	spec.MaxConnections, spec.MaxSetups = 3, 2
	h := New(spec, nil, 1, 0, false)
	for i, want := range []Admission{Admitted, Admitted, Rejected} {
		if got := h.BeginSetup(0, fmt.Sprint(i), "", 1); got != want {
			t.Errorf("set-up %d: verdict %d, want %d", i, got, want)
		}
	}
	h.Advance(time.Second)
	if h.BeginSetup(time.Second, "3", "", 1) != Admitted || h.BeginSetup(time.Second, "4", "", 1) != Rejected {
		t.Error("the limit of connections does not hold")
	}
	if h.BeginSetup(time.Second, "0", "", 1) != Rejected {
		t.Error("an id that stands is taken twice")
	}
}

// Whatever comes in which order: the same seed gives the same events, nothing is up twice or after its end, time in
// one step or in many is the same, and an emptied host asks for nothing.
func TestHost_RandomEvents_InvariantsHold(t *testing.T) {
	type call struct {
		at   time.Duration
		kind int
		id   string
		x    float64
	}
	rapid.Check(t, func(t *rapid.T) {
		spec := Spec{Cores: rapid.Float64Range(0.1, 4).Draw(t, "cores"), Speed: rapid.Float64Range(0.2, 3).Draw(t, "speed"),
			ConnectionLoad: 0.05, SetupWork: rapid.Float64Range(0, 0.2).Draw(t, "setup"), LineWork: 0.001, LoadDrift: 0.5, GroupCost: 2,
			SlowStartFraction: 0.3, SlowStartDuration: 5 * time.Second, CollapseMultiple: 4, CollapseAfter: time.Second, MaxConnections: 30}
		var calls []call
		at := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			at += time.Duration(rapid.IntRange(0, 300_000_000).Draw(t, "wait"))
			calls = append(calls, call{at, rapid.IntRange(0, 4).Draw(t, "kind"), fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "id")),
				rapid.Float64Range(0, 3).Draw(t, "x")})
		}
		play := func() (events []Event, h *Host) {
			h = New(spec, &SessionStore{Latency: 5 * time.Millisecond, Rate: 50}, 7, 0, true)
			for _, c := range calls {
				events = append(events, h.Advance(c.at)...)
				switch c.kind {
				case 0, 1:
					h.BeginSetup(c.at, c.id, fmt.Sprint("g", c.x > 1), c.x)
				case 2:
					h.Remove(c.id)
				case 3:
					h.SetSlowFactor(c.x * 3)
				case 4:
					h.SetStolenShare(c.x / 3)
				}
			}
			return append(events, h.Advance(at+time.Hour)...), h
		}
		events, h := play()
		again, _ := play()
		if !reflect.DeepEqual(events, again) {
			t.Fatal("the same seed gives other events")
		}
		var last time.Duration
		for _, e := range events {
			if e.At < last {
				t.Fatalf("events go back from %v to %v", last, e.At)
			}
			last = e.At
		}
		up, setups := h.Counts()
		if !h.Collapsed() && setups > 0 {
			t.Fatalf("%d set-ups never end", setups)
		}
		for i := range 21 {
			h.Remove(fmt.Sprint(i))
		}
		if d := h.Demand(); d > 1e-6 {
			t.Fatalf("demand %g left of %d connections", d, up)
		}
	})
}
