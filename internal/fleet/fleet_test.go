package fleet

import (
	"testing"
	"time"

	"onyxstream/internal/control"
)

// threeInstances returns two instances in zone a and one in zone b.
func threeInstances() []Instance {
	return []Instance{
		{Name: "a1", Addr: "unix:a1", Zone: "a", Labels: map[string]string{"size": "big"}},
		{Name: "a2", Addr: "unix:a2", Zone: "a"},
		{Name: "b1", Addr: "unix:b1", Zone: "b", Labels: map[string]string{"size": "big"}},
	}
}

// newServingFleet returns a fleet in which all instances are in state Serving.
func newServingFleet(t *testing.T, list []Instance) *Fleet {
	t.Helper()
	f := New(DefaultConfig(), 1)
	if err := f.SetInventory(0, list); err != nil {
		t.Fatal(err)
	}
	for _, x := range list {
		f.Observe(1, 1, x.Name, control.Status{Name: x.Name, Incarnation: "1", State: control.Serving}, nil)
	}
	return f
}

// deliverAll acknowledges all pending deliveries and then observes each instance that got one in the given state. It
// returns the deliveries as "instance kind".
func deliverAll(f *Fleet, now time.Duration, state control.InstanceState) (delivered []string) {
	_, deliveries, _ := f.Next(now)
	for _, delivery := range deliveries {
		delivered = append(delivered, delivery.Instance.Name+" "+string(delivery.Command.Kind))
		f.RecordResponse(now, delivery, control.Response{Verdict: control.Done, Fence: delivery.Command.Fence, Incarnation: "1"}, nil)
		f.Observe(now+1, now+1, delivery.Instance.Name, control.Status{Incarnation: "1", State: state, Fence: delivery.Command.Fence}, nil)
	}
	return delivered
}
