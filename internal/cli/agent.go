package cli

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"onyxstream/internal/agent"
	"onyxstream/internal/logging"
	"onyxstream/internal/tomlfile"
)

func agentCommand() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "agent",
		Short: "Run an agent, which monitors instances and carries out operations on them",
		Long: "agent monitors the instances in an inventory file and carries out the operations that operators submit on the\n" +
			"command line. Operations are stored on disk, so that an agent continues them after a crash. Commands that instances\n" +
			"accepted remain in force when no agent runs. docs/agent.md describes the setup.",
		Example: "  onyxstream agent --config agent.toml",
		Args:    cobra.NoArgs,
		RunE:    func(c *cobra.Command, _ []string) error { return runAgent(c, path) },
	}
	c.Flags().StringVar(&path, "config", "agent.toml", "the agent's configuration file")
	return c
}

func runAgent(c *cobra.Command, path string) error {
	cfg := &agent.Config{}
	if _, err := tomlfile.Read(path, cfg); err != nil {
		return err
	}
	signal.Ignore(syscall.SIGPIPE) // a closed log pipe must not terminate the agent
	log := zap.New(logging.NewCore(logging.New(os.Stderr), zap.InfoLevel))
	defer func() { _ = log.Sync() }()
	ctx, stop := untilSignal(c)
	defer stop()
	a, err := agent.New(*cfg, log)
	if err != nil {
		return err
	}
	return a.Run(ctx)
}
