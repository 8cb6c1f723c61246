package cli

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"onyxstream/internal/loadtest"
)

func loadStandCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "stand SCENARIO",
		Short: "Run the fleet and the faults of a scenario without load",
		Long: "stand starts the fleet of a scenario, prints the addresses of nodes, hosts and discovery, and injects the scenario's\n" +
			"faults. It stops on SIGINT or SIGTERM. Use it for load from other programs or for manual tests of nodes.",
		Example: "  onyxstream load stand examples/steady.toml",
		Args:    cobra.ExactArgs(1),
		RunE:    func(c *cobra.Command, args []string) error { return runFleet(c, args[0]) },
	}
}

func runFleet(c *cobra.Command, path string) error {
	scenario, _, err := loadtest.ReadScenario(path)
	if err != nil {
		return err
	}
	if scenario.Fleet == nil {
		return usageError(fmt.Errorf("%s: the scenario has no fleet", path))
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	ctx, stop := untilSignal(c)
	defer stop()
	cluster, err := scenario.Start(ctx, loadtest.PlayOptions{Program: program, NodeLog: c.ErrOrStderr()})
	if err != nil {
		return err
	}
	defer cluster.Close()
	for _, address := range cluster.Listeners() {
		fmt.Fprintf(c.OutOrStdout(), "%s %s %s\n", address.Kind, address.Name, address.Addr)
	}
	cluster.ScheduleFaults(ctx, scenario.Faults)
	<-ctx.Done()
	return cluster.Err()
}
