// Command simadapter hosts instances of the decision module on the simulator's wire: batches on
// standard input, replies on standard output.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"onyxstream/internal/simadapter"
)

func main() {
	// Little is held, so collecting seldom costs little memory; a collection in a busy second would
	// be billed to the instances as time for their decisions.
	debug.SetGCPercent(800)
	if err := simadapter.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
