package cli

import (
	"fmt"

	"github.com/spf13/cobra"

	"onyxstream/internal/control"
	"onyxstream/internal/fleet"
)

func instancesCheckCommand(client *agentClient) *cobra.Command {
	selection := &selectionFlags{}
	c := &cobra.Command{
		Use:     "check [NAME...]",
		Short:   "List unhealthy instances; exit with 7 if there are any",
		Example: "  onyxstream instances check --all\n  onyxstream instances check --zone cardiff --json",
		RunE: func(c *cobra.Command, names []string) error {
			views, err := client.instances(c.Context())
			if err != nil {
				return err
			}
			if selection.isEmpty(names) {
				selection.All = true
			}
			selected, err := selection.selectNames(views, names)
			if err != nil {
				return err
			}
			return reportUnhealthy(c, client, len(selected), unhealthy(views, selected))
		},
	}
	selection.addFlags(c)
	return c
}

// unhealthy returns the selected instances that are unreachable or not serving.
func unhealthy(views []fleet.View, selected []string) (found []fleet.View) {
	isSelected := map[string]bool{}
	for _, name := range selected {
		isSelected[name] = true
	}
	for _, view := range views {
		serves := view.Reachability == fleet.Up && view.Status.State == control.Serving
		if !serves && isSelected[view.Name] {
			found = append(found, view)
		}
	}
	return found
}

func reportUnhealthy(c *cobra.Command, client *agentClient, checked int, found []fleet.View) error {
	var err error
	switch {
	case client.json:
		err = printJSON(c.OutOrStdout(), found, agentJSONIndent)
	case len(found) == 0:
		fmt.Fprintf(c.OutOrStdout(), "%d instances are healthy\n", checked)
	default:
		err = printInstances(c.OutOrStdout(), found)
	}
	if err == nil && len(found) > 0 {
		return &exitError{ExitUnhealthy, fmt.Errorf("%d of %d instances are unhealthy", len(found), checked)}
	}
	return err
}
