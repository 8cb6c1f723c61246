package cli

import (
	"github.com/spf13/cobra"

	"onyxstream/internal/control"
	"onyxstream/internal/fleet"
)

func hostsCommand() *cobra.Command {
	client := &agentClient{}
	c := group("hosts", "Override the state of hosts on instances", "",
		hostsOperationCommand(client, control.HostDrain, "drain", "Stop sending new requests to a host, regardless of its state in the endpoint list"),
		hostsOperationCommand(client, control.HostResume, "resume", "Remove the drain override from a host"))
	client.addFlags(c)
	return c
}

func hostsOperationCommand(client *agentClient, kind control.CommandKind, verb, short string) *cobra.Command {
	selection, operation := &selectionFlags{}, &operationFlags{}
	c := &cobra.Command{
		Use:     verb + " HOST",
		Short:   short,
		Example: "  onyxstream hosts " + verb + " s-5be2a07c --all --wait",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			views, err := client.instances(c.Context())
			if err != nil {
				return err
			}
			if selection.isEmpty(nil) {
				selection.All = true
			}
			targets, err := selection.selectNames(views, nil)
			if err != nil {
				return err
			}
			return operation.submit(c, client, fleet.Request{Kind: kind, Host: args[0], Targets: targets})
		},
	}
	selection.addFlags(c)
	operation.addFlags(c)
	return c
}
