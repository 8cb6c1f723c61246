package sharedstate

import (
	"testing"
	"time"
)

// A drain that one process was told of goes on for as long at another one, whatever happened to the wall clock between.
func TestDrain_ClockStepped_SpansAreReal(t *testing.T) {
	told := ClockReading{Wall: noon, Boot: time.Hour}
	for _, step := range []time.Duration{0, time.Hour, -time.Hour, 2 * time.Second, -2 * time.Second} {
		d := State{Node: "n1"}
		d.SetDrain(told.NewDrain(3*time.Second, time.Second))
		text, err := d.Encode()
		if err != nil {
			t.Fatal(err)
		}
		read, err := Decode(text, "n1")
		if err != nil {
			t.Fatal(err)
		}
		later := ClockReading{Wall: noon.Add(500*time.Millisecond + step), Boot: time.Hour + 500*time.Millisecond}
		if by, shut := read.Drain.Remaining(later); by != 2500*time.Millisecond || shut != 500*time.Millisecond {
			t.Errorf("step %v: all are gone within %v, nothing new is taken in %v", step, by, shut)
		}
	}
}
