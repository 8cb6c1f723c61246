package fleet

import (
	"errors"
	"strings"
	"testing"
	"time"

	"onyxstream/internal/control"
)

// Deliveries to an unreachable instance are retried within the retry budget, its step times out, and the operation
// pauses.
func TestNext_UnreachableInstance_PausesOperation(t *testing.T) {
	f := newServingFleet(t, threeInstances())
	request := Request{
		ID:      "d",
		Kind:    control.Drain,
		Targets: []string{"a1", "b1"},
		Options: Options{MaxUnavailable: 3, AllowEmptyZone: true},
	}
	if _, err := f.Submit(2, request); err != nil {
		t.Fatal(err)
	}
	attempts := 0
	for now := time.Duration(3); now < time.Minute; now += 50 * time.Millisecond {
		for _, x := range []string{"a2", "b1"} {
			f.Observe(now, now, x, control.Status{Incarnation: "1", State: control.Serving}, nil)
		}
		_, deliveries, _ := f.Next(now)
		for _, delivery := range deliveries {
			attempts++
			if delivery.Instance.Name != "a1" {
				t.Fatalf("%s got a command before the step of a1 ended", delivery.Instance.Name)
			}
			f.RecordResponse(now, delivery, control.Response{}, errors.New("connection refused"))
		}
	}
	o, _ := f.Operation("d")
	if attempts < 5 || attempts > 20 || o.State != Paused || o.Steps["a1"].State != StepFailed || o.Steps["b1"].State != StepWaiting {
		t.Errorf("%d attempts, operation %s, step a1 %s, step b1 %s; want 5 to 20 attempts, paused, failed and waiting", attempts, o.State, o.Steps["a1"].State, o.Steps["b1"].State)
	}
	if _, err := f.Continue(time.Minute, "d"); err != nil {
		t.Fatal(err)
	}
	f.Observe(time.Minute, time.Minute, "a1", control.Status{Incarnation: "2", State: control.Serving}, nil)
	if got := deliverAll(f, time.Minute+1, control.Drained); strings.Join(got, "") != "b1 drain" {
		t.Errorf("deliveries after Continue: %v, want b1 drain", got)
	}
	f.Next(time.Minute + 3)
	if o, _ = f.Operation("d"); o.State != Failed || o.Steps["b1"].State != StepDone {
		t.Errorf("operation %s, step b1 %s, want failed and done", o.State, o.Steps["b1"].State)
	}
}

// An instance that restarts gets its drain command again, exactly once after each restart and even if the operation has
// ended, until a newer command replaces the drain.
func TestNext_InstanceRestarts_DeliversDesiredStateOnce(t *testing.T) {
	f := newServingFleet(t, threeInstances())
	if _, err := f.Submit(2, Request{ID: "d", Kind: control.Drain, Targets: []string{"a1"}}); err != nil {
		t.Fatal(err)
	}
	deliverAll(f, 3, control.Draining)
	f.Observe(5, 5, "a1", control.Status{Incarnation: "2", State: control.Serving}, nil)
	if got := deliverAll(f, 6, control.Drained); len(got) != 1 {
		t.Errorf("deliveries after a restart during the drain: %v, want 1", got)
	}
	f.Observe(8, 8, "a1", control.Status{Incarnation: "1", State: control.Drained, Fence: 1}, nil)
	f.Next(9)
	if o, _ := f.Operation("d"); o.State != Succeeded {
		t.Fatalf("operation is %s, want done", o.State)
	}
	f.Observe(20, 20, "a1", control.Status{Incarnation: "3", State: control.Serving}, nil)
	if got := deliverAll(f, 21, control.Drained); len(got) != 1 || got[0] != "a1 drain" {
		t.Errorf("deliveries after a restart: %v, want a1 drain", got)
	}
	if got := deliverAll(f, 23, control.Drained); len(got) != 0 {
		t.Errorf("further deliveries to the restarted instance: %v, want none", got)
	}
	if _, err := f.Submit(24, Request{ID: "r", Kind: control.Resume, Targets: []string{"a1"}}); err != nil {
		t.Fatal(err)
	}
	deliverAll(f, 25, control.Serving)
	f.Observe(30, 30, "a1", control.Status{Incarnation: "4", State: control.Serving}, nil)
	if got := deliverAll(f, 31, control.Serving); len(got) != 0 {
		t.Errorf("deliveries after a resume and a restart: %v, want none", got)
	}
}

// If the inventory gives the address of a removed instance to another name, the new instance must not get the commands
// of the removed one, whose step fails.
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
		t.Errorf("step of a removed instance: %+v, operation %s; want a failed step and an ended operation", o.Steps["a1"], o.State)
	}
	f.Observe(6, 6, "a9", control.Status{Incarnation: "9", State: control.Serving}, nil)
	if got := deliverAll(f, 7, control.Drained); len(got) != 0 {
		t.Errorf("deliveries to another instance at the same address: %v, want none", got)
	}
}
