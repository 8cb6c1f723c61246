package fakeserver

import (
	"testing"
	"time"
)

// After a node crashes, the front must eject it, but not before the eject delay has passed. The clients of its zone
// must go to another zone until the node passes its health checks again.
func TestFrontendBalancer_NodeCrashes_EjectedAfterDelay(t *testing.T) {
	env := newFixture(t)
	hostA, hostB := env.host("a", nil), env.host("b", nil)
	const ejectAfter = 200 * time.Millisecond
	balancer := NewFrontendBalancer(env.events, ejectAfter,
		Node{Name: "na", Addr: hostA.Addr(), Zone: "a"},
		Node{Name: "nb", Addr: hostB.Addr(), Zone: "b"})
	defer balancer.Close()
	if err := balancer.Ready(t.Context()); err != nil {
		t.Fatal(err)
	}
	for range 5 {
		if node, ok := balancer.Pick("b"); !ok || node.Name != "nb" {
			t.Errorf("picked %v for zone b, want nb", node)
		}
	}
	crashedAt := env.clock.Now()
	hostB.Crash()
	picksForB := func(want string) func() bool {
		return func() bool {
			node, _ := balancer.Pick("b")
			return node.Name == want
		}
	}
	eventually(t, "clients of zone b go to na", picksForB("na"))
	events, _ := env.events.Events()
	for _, event := range events {
		// The delay is counted from the last passed check, which precedes the crash.
		if event.Kind == EventNodeUnhealthy && event.At < crashedAt+ejectAfter-4*healthCheckInterval {
			t.Errorf("node ejected %v after the crash, want at least 200 ms minus four check intervals", event.At-crashedAt)
		}
	}
	if err := hostB.Restart(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "nb is healthy again", picksForB("nb"))
}
