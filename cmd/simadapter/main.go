// Command simadapter serves instances of the balancer on the simulator's wire: batches on standard input, replies on
// standard output.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"onyxstream/internal/simadapter"
)

// gcPercent lets garbage collections be rare: the simulator counts their time as that of decisions, and the heap is
// small.
const gcPercent = 800

func main() {
	debug.SetGCPercent(gcPercent)
	if err := simadapter.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
