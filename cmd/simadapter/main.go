// Command simadapter connects instances of the balancer to the simulator. It reads batches of events from standard input
// and writes replies to standard output.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"onyxstream/internal/simadapter"
)

// gcPercent makes garbage collections rare, because the simulator counts their time as decision time. They can be rare
// because the heap is small.
const gcPercent = 800

func main() {
	debug.SetGCPercent(gcPercent)
	if err := simadapter.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
