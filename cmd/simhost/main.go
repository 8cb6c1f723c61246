// Command simhost hosts instances of the decision module on the simulator's wire: batches on
// standard input, replies on standard output.
package main

import (
	"fmt"
	"os"

	"onyxstream/internal/simwire"
)

func main() {
	if err := simwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
