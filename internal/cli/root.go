// Package cli is the command line: one noun and one verb, tables for people, JSON for scripts, and exit statuses that
// a script can use.
package cli

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"onyxstream/internal/lifecycle"
	"onyxstream/internal/loadtest"
	"onyxstream/internal/nodeconfig"
	"onyxstream/internal/tomlfile"
)

// The exit statuses.
const (
	ExitOK      = 0
	ExitFailed  = 1 // what was asked for could not be done
	ExitUsage   = 2 // the command line, or a file that it names, is wrong
	ExitBehind  = 3 // load: the generator fell behind, so the figures are not the node's alone
	ExitPartial = 4 // load: stopped before its end; the result says so
	ExitWorse   = 5 // load compare --check: a figure is worse by more than noise
	ExitLimit   = 6 // an order would take more instances away than its limits allow
	ExitNotWell = 7 // an operation that was waited for failed, or a check found instances that are not well
)

const statuses = `Exit statuses:
  0  done
  1  it could not be done
  2  the command line, or a file that it names, is wrong
  3  load: the generator fell behind, so the figures are not the node's alone
  4  load: stopped before its end; the result that was written is partial
  5  load compare --check: a figure is worse by more than noise
  6  the order would take more instances away than its limits allow
  7  an operation that was waited for did not succeed, or a check found instances that are not well`

// status is an error with an exit status of its own.
type status struct {
	code int
	err  error
}

func (s *status) Error() string { return s.err.Error() }
func (s *status) Unwrap() error { return s.err }

// Main runs the command line and returns the exit status.
func Main(args []string, out, errs io.Writer) int {
	root := root()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.Execute()
	if err == nil {
		return ExitOK
	}
	lastWords(errs, fmt.Sprintln("onyxstream:", err))
	return code(err)
}

// lastWordsWithin is how long a command that failed waits for somebody to take its error.
const lastWordsWithin = time.Second

// lastWords writes why a command failed, and waits no longer than that for it: the process must end though nobody reads.
func lastWords(errs io.Writer, text string) {
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, _ = io.WriteString(errs, text)
	}()
	select {
	case <-written:
	case <-time.After(lastWordsWithin):
	}
}

func code(err error) int {
	var s *status
	var file *tomlfile.Error
	var trace *loadtest.TraceError
	switch {
	case errors.As(err, &s):
		return s.code
	case errors.As(err, &file), errors.As(err, &trace):
		return ExitUsage
	}
	return ExitFailed
}

func usage(err error) error {
	if err == nil {
		return nil
	}
	return &status{ExitUsage, err}
}

func root() *cobra.Command {
	root := &cobra.Command{
		Use:   "onyxstream",
		Short: "A balancer for long-lived connections, and what it takes to run and test it",
		Long: "onyxstream is a balancer for long-lived connections: a node on sockets, and the tools to put load on it\n" +
			"and to see how it holds when things fail.\n\n" + statuses,
		SilenceUsage: true, SilenceErrors: true, Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			fmt.Fprint(c.ErrOrStderr(), c.UsageString())
			return usage(errors.New("a command is missing, see the usage above"))
		},
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usage(err) })
	root.AddCommand(node(), loadCommand(), agentCommand(), instancesCommand(), hostsCommand(), operationsCommand(), keysCommand(), configCommand(), scaleCommand())
	wrapArgs(root)
	return root
}

// wrapArgs gives complaints about arguments the status of a wrong command line.
func wrapArgs(c *cobra.Command) {
	if check := c.Args; check != nil {
		c.Args = func(c *cobra.Command, args []string) error { return usage(check(c, args)) }
	}
	for _, sub := range c.Commands() {
		wrapArgs(sub)
	}
}

func node() *cobra.Command {
	var own string
	c := &cobra.Command{
		Use:   "node",
		Short: "Run a node",
		Long: "node runs a node until SIGTERM. What it needs to know stands in the JSON file that PROXY_CONFIG names;\n" +
			"SIGHUP has it read again. --config names a file of onyxstream's own (deploy/own.toml is an example); what stands\n" +
			"in it is off without it.",
		Example: "  PROXY_CONFIG=config.json onyxstream node\n" +
			"  PROXY_CONFIG=config.json onyxstream node --config own.toml",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			var options nodeconfig.Options
			if own != "" {
				var err error
				if options, err = nodeconfig.ReadOptions(own); err != nil {
					return err
				}
			}
			return lifecycle.Run(options)
		},
	}
	c.Flags().StringVar(&own, "config", "", "file of onyxstream's own configuration, TOML")
	return c
}

// terminal says whether w is one.
func terminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
