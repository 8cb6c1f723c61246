// Command onyxstream is one node of the balancer on real sockets. The platform tells it what it needs
// through PROXY_CONFIG; see the README.
package main

import (
	"fmt"
	"os"

	"onyxstream/internal/lifecycle"
)

func main() {
	if len(os.Args) != 2 || os.Args[1] != "node" {
		fmt.Fprintln(os.Stderr, "usage: onyxstream node")
		os.Exit(2)
	}
	if err := lifecycle.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "onyxstream:", err)
		os.Exit(1)
	}
}
