package cli

import (
	"github.com/spf13/cobra"

	"onyxstream/internal/lifecycle"
)

func nodeCommand() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "node",
		Short: "Run a node",
		Long: "node runs a node until SIGTERM. PROXY_CONFIG names its JSON configuration, which SIGHUP reloads. --config names a\n" +
			"file of onyxstream's own settings (deploy/own.toml is an example); what it sets is off without it.",
		Example: "  PROXY_CONFIG=config.json onyxstream node\n" +
			"  PROXY_CONFIG=config.json onyxstream node --config own.toml",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			var own lifecycle.Own
			if path != "" {
				var err error
				own, err = lifecycle.ReadOwn(path)
				if err != nil {
					return err
				}
			}
			return lifecycle.Run(own)
		},
	}
	c.Flags().StringVar(&path, "config", "", "file of onyxstream's own settings, TOML")
	return c
}
