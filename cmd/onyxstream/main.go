// Command onyxstream is the program of the load balancer. Its subcommands run a node, run the agent that operates
// several nodes, act on nodes through the agent, and run tools such as the load generator. A node reads its
// configuration from the file that the environment variable PROXY_CONFIG names. The README describes each command.
package main

import (
	"os"

	"onyxstream/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
