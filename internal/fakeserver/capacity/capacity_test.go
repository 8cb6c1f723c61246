package capacity

import (
	"flag"
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A fixed seed makes the random tests deterministic. The flag -rapid.seed sets another seed.
func init() { _ = flag.Set("rapid.seed", "1") }

var baseSpec = Spec{
	Cores:          2,
	Speed:          1,
	ConnectionLoad: 0.1,
	SetupWork:      0.1,
	LineWork:       0.001,
	LoadDrift:      0.5,
	GroupCost:      2,
}

func establishedIDs(events []Event) (ids []string) {
	for _, e := range events {
		if e.Established {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

// Concurrent setups share the capacity that established connections leave free, and each core works on one setup at a
// time.
func TestBeginSetup_SeveralSetups_ShareFreeCapacity(t *testing.T) {
	host := New(baseSpec, nil, 1, 0, false)
	for i := range 4 {
		host.BeginSetup(0, fmt.Sprint(i), "", 1)
	}
	if got := establishedIDs(host.Advance(99 * time.Millisecond)); len(got) != 0 {
		t.Errorf("established %v before the work is done, want none", got)
	}
	if got := establishedIDs(host.Advance(101 * time.Millisecond)); len(got) != 2 {
		t.Errorf("two cores completed %v in the time of one setup, want two setups", got)
	}
	// Established connections reduce the capacity that is left for setups.
	for i := range 19 {
		host.AddEstablished(fmt.Sprint("s", i), "", 1)
	}
	if got := establishedIDs(host.Advance(250 * time.Millisecond)); len(got) != 0 {
		t.Errorf("an overloaded host completed %v in 150 ms, want no setup", got)
	}
	if got := establishedIDs(host.Advance(10 * time.Second)); len(got) != 2 {
		t.Errorf("an overloaded host completed %v in 10 s, want two setups", got)
	}
}

// The hosts that share a session store wait in one queue for it. A slow factor multiplies the latency of the store.
func TestSessionStore_SeveralHosts_CallsAreQueued(t *testing.T) {
	store := &SessionStore{Latency: 20 * time.Millisecond, Rate: 100}
	a, b := New(baseSpec, store, 1, 0, false), New(baseSpec, store, 2, 0, false)
	for i := range 10 {
		a.BeginSetup(0, fmt.Sprint(i), "", 1)
	}
	b.BeginSetup(0, "last", "", 1)
	// The setup takes 100 ms in the queue, 20 ms of latency and 100 ms of work.
	if got := establishedIDs(b.Advance(219 * time.Millisecond)); len(got) != 0 {
		t.Error("the store answered the eleventh call too early, want a setup of 220 ms")
	}
	if got := establishedIDs(b.Advance(221 * time.Millisecond)); len(got) != 1 {
		t.Error("the store answered the eleventh call too late, want a setup of 220 ms")
	}
	slow := SessionStore{Latency: time.Millisecond, SlowFactor: 8}
	if at := slow.Call(0); at != 8*time.Millisecond {
		t.Errorf("a store with slow factor 8 answers after %v, want 8ms", at)
	}
}

// A slow factor and a stolen fraction of the cores reduce the capacity together, and have no effect after they end.
func TestHost_FaultsEnd_CapacityRestored(t *testing.T) {
	host := New(baseSpec, nil, 1, 0, false)
	host.SetSlowFactor(4)
	host.SetStolenFraction(0.5)
	if got := host.Capacity(); got != 0.25 {
		t.Errorf("capacity %g, want 0.25, an eighth of 2", got)
	}
	before := host.LineLatency()
	host.SetSlowFactor(1)
	host.SetStolenFraction(0)
	if host.Capacity() != 2 || before < 7*host.LineLatency() {
		t.Errorf("capacity %g, line latency %v with faults, %v after them; want capacity 2 and a seventh of the latency or less",
			host.Capacity(), before, host.LineLatency())
	}
}

// A group adds its cost to the demand once, until its last connection is removed. Removing a connection twice must not
// reduce the demand twice.
func TestDemand_Group_CountedOnceUntilLastRemoved(t *testing.T) {
	host := New(baseSpec, nil, 1, 0, false)
	host.AddEstablished("a", "group", 1)
	host.AddEstablished("b", "group", 1)
	if d := host.Demand(); d < 0.399 || d > 0.401 {
		t.Errorf("demand %g, want 0.4: two loads of 0.1 and one group of 0.2", d)
	}
	host.Remove("a")
	host.Remove("b")
	host.Remove("b")
	if d := host.Demand(); d > 1e-9 {
		t.Errorf("demand %g on a host without connections, want 0", d)
	}
}

// A host collapses only if it started cold and stays above the collapse multiple. Without a collapse, its capacity
// grows linearly during slow start.
func TestHost_ColdAndOverloaded_Collapses(t *testing.T) {
	spec := Spec{
		Cores:             2,
		Speed:             1,
		ConnectionLoad:    0.05,
		SetupWork:         0.05,
		SlowStartFraction: 0.3,
		SlowStartDuration: 8 * time.Second,
		CollapseMultiple:  4,
		CollapseAfter:     time.Second,
	}
	run := func(interval time.Duration, cold bool) *Host {
		host := New(spec, nil, 1, 0, cold)
		for now := time.Duration(0); now < 3*time.Second; now += interval {
			host.Advance(now)
			host.BeginSetup(now, fmt.Sprint(now), "", 0)
		}
		return host
	}
	if run(50*time.Millisecond, true).Collapsed() {
		t.Error("a cold host collapsed below the collapse multiple")
	}
	host := run(10*time.Millisecond, true)
	if !host.Collapsed() || host.BeginSetup(4*time.Second, "x", "", 1) != Unavailable {
		t.Error("a cold host above the collapse multiple has not collapsed, or admits a setup")
	}
	if _, ok := host.Next(); ok {
		t.Error("a collapsed host has a next event")
	}
	if run(10*time.Millisecond, false).Collapsed() {
		t.Error("a warm host above the collapse multiple collapsed")
	}
	host = New(spec, nil, 1, 0, true)
	host.Advance(4 * time.Second)
	if got := host.Capacity(); got < 1.29 || got > 1.31 {
		t.Errorf("capacity %g halfway through slow start, want 1.3", got)
	}
	host.Advance(8 * time.Second)
	if got := host.Capacity(); got != 2 {
		t.Errorf("capacity %g after slow start, want 2", got)
	}
}

// A host rejects a setup beyond its limit of setups or of connections, and a setup whose ID is in use.
func TestBeginSetup_LimitReached_Rejected(t *testing.T) {
	spec := baseSpec
	spec.MaxConnections, spec.MaxSetups = 3, 2
	host := New(spec, nil, 1, 0, false)
	for i, want := range []Admission{Admitted, Admitted, Rejected} {
		if got := host.BeginSetup(0, fmt.Sprint(i), "", 1); got != want {
			t.Errorf("setup %d: admission %d, want %d", i, got, want)
		}
	}
	host.Advance(time.Second)
	if host.BeginSetup(time.Second, "3", "", 1) != Admitted || host.BeginSetup(time.Second, "4", "", 1) != Rejected {
		t.Error("the host does not enforce the limit of connections")
	}
	if host.BeginSetup(time.Second, "0", "", 1) != Rejected {
		t.Error("the host admits an ID that is in use")
	}
}

// Under random operations, the same seed gives the same events, the times of events never decrease, every setup of a
// host that does not collapse ends, and a host without connections has no demand.
func TestHost_RandomEvents_InvariantsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := drawSpec(t)
		operations := drawOperations(t)
		events, host := runOperations(spec, operations)
		repeated, _ := runOperations(spec, operations)
		if !reflect.DeepEqual(events, repeated) {
			t.Fatal("the same seed and operations give different events")
		}
		var last time.Duration
		for _, event := range events {
			if event.At < last {
				t.Fatalf("times of events decrease from %v to %v", last, event.At)
			}
			last = event.At
		}
		established, setups := host.Counts()
		if !host.Collapsed() && setups > 0 {
			t.Fatalf("%d setups have not ended after one hour, want 0", setups)
		}
		for i := range 21 {
			host.Remove(fmt.Sprint(i))
		}
		if demand := host.Demand(); demand > 1e-6 {
			t.Fatalf("demand %g after all %d established connections were removed, want 0", demand, established)
		}
	})
}

func drawSpec(t *rapid.T) Spec {
	return Spec{
		Cores:             rapid.Float64Range(0.1, 4).Draw(t, "cores"),
		Speed:             rapid.Float64Range(0.2, 3).Draw(t, "speed"),
		ConnectionLoad:    0.05,
		SetupWork:         rapid.Float64Range(0, 0.2).Draw(t, "setup"),
		LineWork:          0.001,
		LoadDrift:         0.5,
		GroupCost:         2,
		SlowStartFraction: 0.3,
		SlowStartDuration: 5 * time.Second,
		CollapseMultiple:  4,
		CollapseAfter:     time.Second,
		MaxConnections:    30,
	}
}

// operation is a random method call on a host.
type operation struct {
	at    time.Duration
	kind  int
	id    string
	value float64
}

func drawOperations(t *rapid.T) (operations []operation) {
	at := time.Duration(0)
	for range rapid.IntRange(1, 60).Draw(t, "calls") {
		at += time.Duration(rapid.IntRange(0, 300_000_000).Draw(t, "wait"))
		operations = append(operations, operation{
			at:    at,
			kind:  rapid.IntRange(0, 4).Draw(t, "kind"),
			id:    fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "id")),
			value: rapid.Float64Range(0, 3).Draw(t, "x"),
		})
	}
	return operations
}

// runOperations runs operations on a new host, and then advances the host by one hour.
func runOperations(spec Spec, operations []operation) (events []Event, host *Host) {
	host = New(spec, &SessionStore{Latency: 5 * time.Millisecond, Rate: 50}, 7, 0, true)
	end := time.Duration(0)
	for _, o := range operations {
		end = o.at
		events = append(events, host.Advance(o.at)...)
		switch o.kind {
		case 0, 1:
			host.BeginSetup(o.at, o.id, fmt.Sprint("g", o.value > 1), o.value)
		case 2:
			host.Remove(o.id)
		case 3:
			host.SetSlowFactor(o.value * 3)
		case 4:
			host.SetStolenFraction(o.value / 3)
		}
	}
	return append(events, host.Advance(end+time.Hour)...), host
}
