// Command simhost hosts instances of the decision module on the simulator's wire: batches on
// standard input, replies on standard output.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"onyxstream/internal/simwire"
)

func main() {
	// Little is held, so collecting seldom costs little memory; a collection in a busy second would
	// be billed to the instances as time for their decisions.
	debug.SetGCPercent(800)
	if err := simwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
