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
	return group("scale", "Measure the cost of the endpoint list watch for fleets of many sizes",
		"scale runs fleets of simulated nodes, many in a process and without clients, and of real processes, and estimates from\n"+
			"the samples what a fleet costs at a target size.\n\n"+exitStatusHelp,
		scaleRunCommand(), scaleHollowCommand())
}

func scaleRunCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "run FILE",
		Short: "Run the fleets of a file",
		Long: "run measures the fleets of a file (examples/scale.toml): bytes and messages at the list service, processor time,\n" +
			"memory, and the time from a change until the last node has it. A run for which the machine is too small stops with\n" +
			"the reason, keeps its samples, and exits with 4.\n\n" + exitStatusHelp,
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

func scaleHollowCommand() *cobra.Command {
	return &cobra.Command{
		Use:    "hollow N",
		Short:  "Run simulated nodes, until standard input ends",
		Hidden: true, // scale run starts it
		Args:   cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			count, err := strconv.Atoi(args[0])
			if err != nil || count < 1 {
				return usageError(fmt.Errorf("%q is not a number of nodes", args[0]))
			}
			cfg, err := nodeconfig.Load()
			if err != nil {
				return err
			}
			return scaletest.RunSimulatedNodes(c.Context(), cfg, count, c.InOrStdin(), c.ErrOrStderr())
		},
	}
}
