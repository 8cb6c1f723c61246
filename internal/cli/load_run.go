package cli

import (
	"github.com/spf13/cobra"

	"onyxstream/internal/loadtest"
)

func loadRunCommand() *cobra.Command {
	flags := &loadFlags{}
	c := &cobra.Command{
		Use:   "run SCENARIO",
		Short: "Run a scenario",
		Long: "run runs a scenario file, which docs/load.md describes. It starts the scenario's fleet of real nodes and fake hosts on\n" +
			"this machine, or sends the load to running nodes that --target names.\n\n" + exitStatusHelp,
		Example: "  onyxstream load run examples/steady.toml --page steady.html\n" +
			"  onyxstream load run surge.toml --target 10.0.0.4:8081 --target 10.0.0.5:8081 -o after.json --repeat 5",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			scenario, text, err := loadtest.ReadScenario(args[0])
			if err != nil {
				return err
			}
			return flags.run(c, scenario, text, loadtest.PlayOptions{})
		},
	}
	flags.addFlags(c)
	return c
}
