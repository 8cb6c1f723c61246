package cli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"onyxstream/internal/agent"
	"onyxstream/internal/control"
	"onyxstream/internal/logging"
	"onyxstream/internal/tomlfile"
)

// agentSocket is where the command line asks unless told otherwise.
const agentSocket = "onyxstream-agent.sock"

func agentCommand() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "agent",
		Short: "Run an agent: it follows many instances and carries out operations on them",
		Long: "agent follows the instances of an inventory file and carries out what operators order by the command line.\n" +
			"Operations are kept on disk: an agent that was killed goes on with them. What an instance was told holds without\n" +
			"an agent. docs/agent.md says how to set one up.",
		Example: "  onyxstream agent --config agent.toml",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			cfg := &agent.Config{}
			if _, err := tomlfile.Read(path, cfg); err != nil {
				return err
			}
			signal.Ignore(syscall.SIGPIPE) // a log whose reader is gone costs its lines alone
			log := zap.New(logging.NewCore(logging.New(os.Stderr), zap.InfoLevel))
			defer func() { _ = log.Sync() }()
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			a, err := agent.New(*cfg, log)
			if err != nil {
				return err
			}
			return a.Run(ctx)
		},
	}
	c.Flags().StringVar(&path, "config", "agent.toml", "the agent's configuration file")
	return c
}

// asking is what commands that ask the agent share.
type asking struct {
	socket string
	json   bool
}

func (a *asking) add(c *cobra.Command) {
	socket := os.Getenv("ONYXSTREAM_AGENT")
	if socket == "" {
		socket = agentSocket
	}
	c.PersistentFlags().StringVar(&a.socket, "agent", socket, "the agent's socket (ONYXSTREAM_AGENT)")
	c.PersistentFlags().BoolVar(&a.json, "json", false, "print JSON")
}

// callWithin is how long the command line waits for the agent itself.
const callWithin = 30 * time.Second

// call asks the agent.
func (a *asking) call(ctx context.Context, method, path string, in, out any) error {
	cl, err := control.Dial("unix:"+a.socket, nil)
	if err != nil {
		return err
	}
	defer cl.Close()
	ctx, cancel := context.WithTimeout(ctx, callWithin)
	defer cancel()
	return a.explain(cl.Call(ctx, method, path, in, out))
}

// explain gives errors of the agent their exit status, and says what to do about others.
func (a *asking) explain(err error) error {
	var remote *control.RemoteError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &remote) && remote.Code == 412:
		return &status{ExitLimit, err}
	case errors.As(err, &remote) && (remote.Code == 400 || remote.Code == 409):
		return usage(err)
	case errors.As(err, &remote):
		return err
	case errors.Is(err, os.ErrNotExist), errors.Is(err, syscall.ECONNREFUSED):
		return fmt.Errorf("no agent answers at %s: start one with 'onyxstream agent', or name its socket with --agent", a.socket)
	}
	return err
}

// group is a noun with its verbs.
func group(use, short string, verbs ...*cobra.Command) *cobra.Command {
	c := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		fmt.Fprint(c.ErrOrStderr(), c.UsageString())
		return usage(errors.New("a command is missing, see the usage above"))
	}}
	c.AddCommand(verbs...)
	return c
}
