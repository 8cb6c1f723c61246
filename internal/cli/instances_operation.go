package cli

import (
	"fmt"

	"github.com/spf13/cobra"

	"onyxstream/internal/control"
	"onyxstream/internal/fleet"
)

// instancesOperationCommand returns the command for an operation on instances: drain or resume.
func instancesOperationCommand(client *agentClient, kind control.CommandKind, short string) *cobra.Command {
	selection, operation := &selectionFlags{}, &operationFlags{}
	c := &cobra.Command{
		Use:   string(kind) + " [NAME...]",
		Short: short,
		Long: "The command is sent to instances in waves of --at-once. Names may be shell patterns. If names, --zone and --label are\n" +
			"combined, an instance must match all of them.\n\n" + exitStatusHelp,
		Example: fmt.Sprintf("  onyxstream instances %[1]s n2 --wait\n"+
			"  onyxstream instances %[1]s --zone cardiff --at-once 2 --dry-run", kind),
		RunE: func(c *cobra.Command, names []string) error {
			views, err := client.instances(c.Context())
			if err != nil {
				return err
			}
			targets, err := selection.selectNames(views, names)
			if err != nil {
				return err
			}
			return operation.submit(c, client, fleet.Request{Kind: kind, Targets: targets})
		},
	}
	selection.addFlags(c)
	operation.addFlags(c)
	if kind == control.Drain {
		operation.addDrainFlags(c)
	}
	return c
}
