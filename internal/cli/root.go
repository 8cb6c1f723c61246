// Package cli implements the command line of onyxstream. Commands have the form "noun verb", such as "instances drain".
// They print tables for people, and JSON and exit statuses for scripts.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
)

// errorWriteTimeout is how long a failed command waits for its error to be written.
const errorWriteTimeout = time.Second

// Main runs the command line and returns the exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	root := rootCommand()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.Execute()
	if err == nil {
		return ExitOK
	}
	writeError(stderr, fmt.Sprintln("onyxstream:", err))
	return exitStatus(err)
}

// writeError writes the error of a failed command. The process must end even if nobody reads its standard error.
func writeError(stderr io.Writer, text string) {
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, _ = io.WriteString(stderr, text)
	}()
	select {
	case <-written:
	case <-time.After(errorWriteTimeout):
	}
}

func rootCommand() *cobra.Command {
	root := group("onyxstream", "A load balancer for long-lived connections, and tools to run and test it",
		"onyxstream is a load balancer for long-lived connections. It runs nodes, and has tools to operate many nodes and to\n"+
			"test them under load and faults.\n\n"+exitStatusHelp,
		nodeCommand(), loadCommand(), agentCommand(), instancesCommand(), hostsCommand(), operationsCommand(),
		keysCommand(), configCommand(), scaleCommand())
	root.SilenceUsage = true
	root.SilenceErrors = true
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError(err) })
	wrapArgErrors(root)
	return root
}

// group returns a command that only has subcommands. long may be empty.
func group(use, short, long string, subcommands ...*cobra.Command) *cobra.Command {
	c := &cobra.Command{
		Use:   use,
		Short: short,
		Long:  long,
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			fmt.Fprint(c.ErrOrStderr(), c.UsageString())
			return usageError(errors.New("a command is missing; see the usage above"))
		},
	}
	c.AddCommand(subcommands...)
	return c
}

// wrapArgErrors gives errors about the arguments of a command and its subcommands the exit status ExitUsage.
func wrapArgErrors(c *cobra.Command) {
	if check := c.Args; check != nil {
		c.Args = func(c *cobra.Command, args []string) error { return usageError(check(c, args)) }
	}
	for _, subcommand := range c.Commands() {
		wrapArgErrors(subcommand)
	}
}

// untilSignal returns a context that is canceled on SIGINT or SIGTERM. After stop is called, these signals terminate the
// process again.
func untilSignal(c *cobra.Command) (ctx context.Context, stop context.CancelFunc) {
	return signal.NotifyContext(c.Context(), syscall.SIGINT, syscall.SIGTERM)
}
