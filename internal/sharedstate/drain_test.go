package sharedstate

import (
	"testing"
	"time"
)

// Another process must read the same remaining time of a drain, even if the wall clock was stepped in the meantime.
func TestDrain_WallClockStepped_RemainingStays(t *testing.T) {
	set := ClockReading{Wall: noon, Boot: time.Hour}
	for _, step := range []time.Duration{0, time.Hour, -time.Hour, 2 * time.Second, -2 * time.Second} {
		state := State{Node: "n1"}
		state.SetDrain(set.NewDrain(3*time.Second, time.Second))
		text, err := state.Encode()
		if err != nil {
			t.Fatal(err)
		}
		read, err := Decode(text, "n1")
		if err != nil {
			t.Fatal(err)
		}
		later := ClockReading{Wall: noon.Add(500*time.Millisecond + step), Boot: time.Hour + 500*time.Millisecond}
		deadline, cutoff := read.Drain.Remaining(later)
		if deadline != 2500*time.Millisecond || cutoff != 500*time.Millisecond {
			t.Errorf("clock step %v: got deadline in %v, admission cutoff in %v, want 2.5s and 0.5s", step, deadline, cutoff)
		}
	}
}
