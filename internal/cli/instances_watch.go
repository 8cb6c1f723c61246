package cli

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"onyxstream/internal/control"
	"onyxstream/internal/fleet"
)

func instancesWatchCommand(client *agentClient) *cobra.Command {
	return &cobra.Command{
		Use:   "watch",
		Short: "Print all instances on each change, until SIGINT or SIGTERM",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return watchInstances(c, client) },
	}
}

func watchInstances(c *cobra.Command, client *agentClient) error {
	stream, err := control.Dial("unix:"+client.socket, nil)
	if err != nil {
		return err
	}
	defer stream.Close()
	ctx, stop := untilSignal(c)
	defer stop()
	err = stream.Stream(ctx, "/v1/watch", func(line []byte) bool {
		if client.json {
			fmt.Fprintf(c.OutOrStdout(), "%s\n", line)
			return true
		}
		var views []fleet.View
		if json.Unmarshal(line, &views) != nil {
			return false
		}
		fmt.Fprintln(c.OutOrStdout(), time.Now().Format("15:04:05.000"))
		return printInstances(c.OutOrStdout(), views) == nil
	})
	if ctx.Err() != nil {
		return nil
	}
	return client.explain(err)
}
