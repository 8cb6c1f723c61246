// Command onyxstream runs a node of the load balancer, the agent that operates several nodes, and tools such as the load
// generator. A node reads its configuration from the file that PROXY_CONFIG names; see the README.
package main

import (
	"os"

	"onyxstream/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
