// Command onyxstream is one node of the balancer on real sockets, and the tools around it. The platform tells a node
// what it needs through PROXY_CONFIG; see the README.
package main

import (
	"os"

	"onyxstream/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
