package fleet

import (
	"errors"
	"strings"
	"testing"
	"time"

	"onyxstream/internal/control"
)

// A drain that would leave too few instances available is rejected as a whole: in its zone or in the fleet, by the
// default limits or those of the request.
func TestSubmit_DrainOverLimits_ReturnsLimitError(t *testing.T) {
	f := newServingFleet(t, threeInstances())
	for _, c := range []struct {
		targets string
		options Options
		wantErr string // part of the error's text
	}{
		{"b1", Options{}, "zone b would be left with no instance"},
		{"a1 a2", Options{MaxUnavailable: 3}, "zone a would be left"},
		{"a1 b1", Options{AllowEmptyZone: true}, "2 of 3 instances would not be available, the limit is 1"},
		{"a1 a2", Options{AllowEmptyZone: true, MaxUnavailable: 3, MaxUnavailablePerZone: 1}, "2 instances of zone a"},
		{"b1", Options{AllowEmptyZone: true}, ""},
	} {
		_, err := f.Submit(2, Request{
			ID:      c.targets + c.wantErr,
			Kind:    control.Drain,
			Targets: strings.Fields(c.targets),
			Options: c.options,
		})
		if c.wantErr == "" && err == nil {
			continue
		}
		var limit *LimitError
		if c.wantErr == "" || !errors.As(err, &limit) || !strings.Contains(err.Error(), c.wantErr) {
			t.Errorf("drain of %s with %+v: error %v, want %q", c.targets, c.options, err, c.wantErr)
		}
	}
	// An instance that is down counts as unavailable.
	f = newServingFleet(t, threeInstances())
	f.Observe(10*time.Second, 10*time.Second, "a2", control.Status{State: control.Serving, Incarnation: "1"}, nil)
	f.Observe(10*time.Second, 10*time.Second, "b1", control.Status{State: control.Serving, Incarnation: "1"}, nil)
	if _, err := f.Submit(10*time.Second, Request{ID: "x", Kind: control.Drain, Targets: []string{"a2"}}); err == nil {
		t.Error("Submit accepted a drain of the last available instance in a zone")
	}
}

// An invalid request, or a known ID with other contents, is rejected with an error that names the field. An invalid
// inventory is rejected as a whole.
func TestSubmit_InvalidRequest_ReturnsError(t *testing.T) {
	f := newServingFleet(t, threeInstances())
	good := Request{ID: "x", Kind: control.Drain, Targets: []string{"a1"}}
	if _, err := f.Submit(2, good); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		change  func(*Request)
		wantErr string // part of the error's text
	}{
		{func(r *Request) { r.ID = "" }, "operation"},
		{func(r *Request) { r.Targets = nil }, "targets"},
		{func(r *Request) { r.Targets = []string{"a1", "a1"} }, "twice"},
		{func(r *Request) { r.Targets = []string{"c"} }, "inventory"},
		{func(r *Request) { r.Kind = "stop" }, "kind"},
		{func(r *Request) { r.Options.WaveSize = -1 }, "negative"},
		{func(r *Request) { r.Options.OnFailure = "cry" }, "on_failure"},
		{func(r *Request) { r.Host = "h" }, "host"},
		{func(r *Request) { r.ID, r.Targets = "x", []string{"a2"} }, "other contents"},
	} {
		r := good
		r.ID = "y"
		c.change(&r)
		if _, err := f.Submit(2, r); err == nil || !strings.Contains(err.Error(), c.wantErr) {
			t.Errorf("Submit(%+v): error %v, want %q", r, err, c.wantErr)
		}
	}
	for _, inventory := range [][]Instance{
		{{Name: "a"}},
		{{Addr: "x", Zone: "z"}},
		{{Name: "a", Addr: "x", Zone: "z"}, {Name: "a", Addr: "y", Zone: "z"}},
		{{Name: "a", Addr: "x", Zone: "z"}, {Name: "b", Addr: "x", Zone: "z"}},
	} {
		if err := f.SetInventory(3, inventory); err == nil {
			t.Errorf("SetInventory accepted %+v", inventory)
		}
	}
	if len(f.Views(4)) != 3 {
		t.Error("an invalid inventory changed the number of instances, want 3")
	}
}

// A resume that is submitted during a drain ends the drain's steps. While the drain command to an instance is in flight,
// that instance gets no other command, because the order of arrival would be undefined.
func TestSubmit_ResumeDuringDrain_Supersedes(t *testing.T) {
	f := newServingFleet(t, threeInstances())
	targets := []string{"a1", "a2"}
	options := Options{WaveSize: 1, MaxUnavailable: 2, AllowEmptyZone: true}
	drain := Request{ID: "d", Kind: control.Drain, Targets: targets, Options: options}
	if _, err := f.Submit(2, drain); err != nil {
		t.Fatal(err)
	}
	_, deliveries, _ := f.Next(3) // the command to a1 stays in flight
	resume := Request{ID: "r", Kind: control.Resume, Targets: targets, Options: Options{WaveSize: 2}}
	if _, err := f.Submit(4, resume); err != nil {
		t.Fatal(err)
	}
	if got := deliverAll(f, 5, control.Serving); strings.Join(got, ", ") != "a2 resume" {
		t.Errorf("deliveries while a command to a1 is in flight: %v, want a2 resume", got)
	}
	f.RecordResponse(6, deliveries[0], control.Response{Verdict: control.Done, Fence: 1, Incarnation: "1"}, nil)
	if got := deliverAll(f, 7, control.Serving); strings.Join(got, ", ") != "a1 resume" {
		t.Errorf("deliveries after the response of a1: %v, want a1 resume", got)
	}
	f.Next(8)
	d, _ := f.Operation("d")
	r, _ := f.Operation("r")
	stepsSuperseded := d.Steps["a1"].State == StepSuperseded && d.Steps["a2"].State == StepSuperseded
	if !stepsSuperseded || !d.State.Ended() || r.State != Succeeded {
		t.Errorf("drain %s with step a1 %v, resume %s; want an ended drain with superseded steps, and resume done", d.State, d.Steps["a1"], r.State)
	}
}

// After the store was lost, new fences are above the fences that instances report.
func TestSubmit_InstancesWithHigherFence_ContinuesAbove(t *testing.T) {
	f := newServingFleet(t, threeInstances())
	f.Observe(2, 2, "a2", control.Status{Incarnation: "1", State: control.Serving, Fence: 41}, nil)
	o, err := f.Submit(3, Request{ID: "d", Kind: control.Drain, Targets: []string{"a1"}})
	if err != nil || o.Fence != 42 {
		t.Errorf("fence %d, error %v, want fence 42", o.Fence, err)
	}
}
