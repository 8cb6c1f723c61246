package fakeserver

import (
	"testing"
	"time"
)

func TestFrontendBalancer_NodeCrashes_EjectedAfterDelay(t *testing.T) {
	env := newFixture(t)
	a, b := env.host("a", nil), env.host("b", nil)
	f := NewFrontendBalancer(env.events, 200*time.Millisecond, Node{"na", a.Addr(), "a"}, Node{"nb", b.Addr(), "b"})
	defer f.Close()
	if err := f.Ready(t.Context()); err != nil {
		t.Fatal(err)
	}
	for range 5 {
		if n, ok := f.Pick("b"); !ok || n.Name != "nb" {
			t.Errorf("zone b is dealt to %v", n)
		}
	}
	died := env.clock.Now()
	b.Crash()
	eventually(t, "clients of b go to a", func() bool { n, _ := f.Pick("b"); return n.Name == "na" })
	recs, _ := env.events.Events()
	for _, x := range recs {
		// The last check that went well may have been up to one check before the death.
		if x.Kind == EventNodeUnhealthy && x.At < died+200*time.Millisecond-4*healthCheckInterval {
			t.Errorf("noticed %v after the death", x.At-died)
		}
	}
	if err := b.Restart(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "b is in again", func() bool { n, _ := f.Pick("b"); return n.Name == "nb" })
}
