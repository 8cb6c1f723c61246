package sharedstate

import (
	"testing"
	"time"
)

// The remaining time of a drain is the same in another process, however the wall clock was stepped meanwhile.
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
			t.Errorf("step %v: deadline in %v, admission cutoff in %v", step, deadline, cutoff)
		}
	}
}
