package cli

import (
	"github.com/spf13/cobra"

	"onyxstream/internal/lifecycle"
	"onyxstream/internal/nodeconfig"
)

func nodeCommand() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "node",
		Short: "Run a node",
		Long: "node runs a node until SIGTERM. PROXY_CONFIG names its JSON configuration, which it reloads on SIGHUP. --config names\n" +
			"a file of onyxstream's own settings, such as deploy/own.toml. Features that this file doesn't configure are off.",
		Example: "  PROXY_CONFIG=config.json onyxstream node\n" +
			"  PROXY_CONFIG=config.json onyxstream node --config own.toml",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			var options nodeconfig.Options
			if path != "" {
				var err error
				options, err = nodeconfig.ReadOptions(path)
				if err != nil {
					return err
				}
			}
			return lifecycle.Run(options)
		},
	}
	c.Flags().StringVar(&path, "config", "", "TOML file of onyxstream's own settings")
	return c
}
