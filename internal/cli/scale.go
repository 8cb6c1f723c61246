package cli

import (
	"errors"
	"fmt"
	"os"
	"strconv"

	"github.com/spf13/cobra"

	"onyxstream/internal/nodeconfig"
	"onyxstream/internal/scaletest"
	"onyxstream/internal/tomlfile"
)

const scaleJSONIndent = "  "

func scaleCommand() *cobra.Command {
	return group("scale", "Measure the cost of watching the endpoint list in fleets of several sizes",
		"scale runs fleets of simulated nodes, which share one process and have no clients, and fleets of real nodes, each in its\n"+
			"own process. From these samples it estimates the cost of a fleet of a target size.\n\n"+exitStatusHelp,
		scaleRunCommand(), scaleSimulatedNodesCommand())
}

func scaleRunCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "run FILE",
		Short: "Run the fleets in a file",
		Long: "run measures the fleets in a file such as examples/scale.toml: bytes and messages to and from discovery, CPU time,\n" +
			"memory, and the time from a change of the endpoint list until the last node receives it. If the machine is too small\n" +
			"for a fleet, run stops, prints the reason and the samples so far, and exits with 4.\n\n" + exitStatusHelp,
		Example: "  onyxstream scale run examples/scale.toml\n  onyxstream scale run examples/scale.toml --json > scale.json",
		Args:    cobra.ExactArgs(1),
		RunE:    func(c *cobra.Command, args []string) error { return runScale(c, args[0], asJSON) },
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print the result as JSON instead of tables")
	return c
}

func runScale(c *cobra.Command, path string, asJSON bool) error {
	var spec scaletest.Spec
	if _, err := tomlfile.Read(path, &spec); err != nil {
		return err
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	ctx, stop := untilSignal(c)
	defer stop()
	options := scaletest.Options{Program: program}
	if isTerminal(c.ErrOrStderr()) {
		options.Progress = func(text string) { fmt.Fprintln(c.ErrOrStderr(), text) }
	}
	result, runErr := scaletest.Run(ctx, spec, options)
	if asJSON {
		err = printJSON(c.OutOrStdout(), result, scaleJSONIndent)
	} else {
		err = printScale(c.OutOrStdout(), result)
	}
	switch {
	case err != nil:
		return err
	case runErr != nil:
		return runErr
	case result.Shortage != "":
		return &exitError{ExitPartial, errors.New(result.Shortage)}
	}
	return nil
}

func scaleSimulatedNodesCommand() *cobra.Command {
	return &cobra.Command{
		Use:    "hollow N",
		Short:  "Run simulated nodes until the end of standard input",
		Hidden: true, // started by scale run
		Args:   cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			count, err := strconv.Atoi(args[0])
			if err != nil || count < 1 {
				return usageError(fmt.Errorf("invalid number of nodes %q", args[0]))
			}
			cfg, err := nodeconfig.Load()
			if err != nil {
				return err
			}
			return scaletest.RunSimulatedNodes(c.Context(), cfg, count, c.InOrStdin(), c.ErrOrStderr())
		},
	}
}
