package cli

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"onyxstream/internal/control"
	"onyxstream/internal/fleet"
)

const (
	defaultAgentSocket = "onyxstream-agent.sock"
	agentSocketEnv     = "ONYXSTREAM_AGENT"
	agentTimeout       = 30 * time.Second // for one request to the agent
	agentJSONIndent    = " "
)

// agentClient sends requests to the agent. Its fields are set by the flags that all commands for the agent share.
type agentClient struct {
	socket string
	json   bool // print JSON instead of tables
}

func (a *agentClient) addFlags(c *cobra.Command) {
	socket := os.Getenv(agentSocketEnv)
	if socket == "" {
		socket = defaultAgentSocket
	}
	c.PersistentFlags().StringVar(&a.socket, "agent", socket, "the agent's socket ("+agentSocketEnv+")")
	c.PersistentFlags().BoolVar(&a.json, "json", false, "print JSON")
}

// call sends one request to the agent and decodes the response into out.
func (a *agentClient) call(ctx context.Context, method, path string, in, out any) error {
	client, err := control.Dial("unix:"+a.socket, nil)
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, agentTimeout)
	defer cancel()
	return a.explain(client.Call(ctx, method, path, in, out))
}

// instances returns all instances that the agent monitors.
func (a *agentClient) instances(ctx context.Context) (views []fleet.View, err error) {
	err = a.call(ctx, http.MethodGet, "/v1/instances", nil, &views)
	return views, err
}

// operation gets an operation, or posts an action on it such as "/abort", and returns its state.
func (a *agentClient) operation(ctx context.Context, method, id, action string) (o fleet.Operation, err error) {
	err = a.call(ctx, method, "/v1/operations/"+id+action, nil, &o)
	return o, err
}

// explain sets the exit status for an error that the agent returned. If no agent is running, explain returns an error that
// says what to do.
func (a *agentClient) explain(err error) error {
	var remote *control.RemoteError
	if errors.As(err, &remote) {
		switch remote.Code {
		case http.StatusPreconditionFailed:
			return &exitError{ExitLimitExceeded, err}
		case http.StatusBadRequest, http.StatusConflict:
			return usageError(err)
		}
		return err
	}
	if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) {
		return fmt.Errorf("no agent answers at %s: start one with 'onyxstream agent', or set its socket with --agent", a.socket)
	}
	return err
}
