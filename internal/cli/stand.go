package cli

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"onyxstream/internal/loadtest"
)

func loadStand() *cobra.Command {
	c := &cobra.Command{
		Use:   "stand SCENARIO",
		Short: "Start a scenario's fleet and its faults, without load",
		Long: "stand starts the fleet that a scenario names, prints where nodes, hosts and discovery listen, and plays its faults\n" +
			"until SIGINT or SIGTERM: for load from other processes, and for nodes that are tried by hand.",
		Example: "  onyxstream load stand examples/steady.toml",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, _, err := loadtest.ReadScenario(args[0])
			if err != nil {
				return err
			}
			if s.Fleet == nil {
				return usage(fmt.Errorf("%s: it has no fleet", args[0]))
			}
			program, err := os.Executable()
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			r, err := s.Start(ctx, loadtest.PlayOptions{Program: program, NodeLog: c.ErrOrStderr()})
			if err != nil {
				return err
			}
			defer r.Close()
			for _, a := range r.Listeners() {
				fmt.Fprintf(c.OutOrStdout(), "%s %s %s\n", a.Kind, a.Name, a.Addr)
			}
			r.PlayFaults(ctx, s.Faults)
			<-ctx.Done()
			return r.Err()
		},
	}
	return c
}
