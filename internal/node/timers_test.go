package node

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Timers must expire in the order of their times, and timers with the same time in the order in which they were set.
func TestTimers_SameAndDifferentTimes_DueInOrder(t *testing.T) {
	var ts timers
	for i, at := range []time.Duration{5, 3, 5, 1} {
		ts.add(at, fmt.Sprint(i))
	}
	if ts.wait(0) != 1 {
		t.Errorf("wait %v, want 1ns", ts.wait(0))
	}
	var got []string
	for token, due := ts.next(5); due; token, due = ts.next(5) {
		got = append(got, token)
	}
	if !slices.Equal(got, []string{"3", "1", "0", "2"}) || ts.wait(0) != time.Hour {
		t.Errorf("timers due in the order %v, want 3, 1, 0, 2 and then none", got)
	}
}
