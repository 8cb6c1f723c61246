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
		Long: "run runs a scenario file (docs/load.md describes it): on the fleet that it names, of real nodes and fake hosts on\n" +
			"this machine, or on nodes that serve already.\n\n" + exitStatusHelp,
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
